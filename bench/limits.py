"""Compares the rate limit policies in simulated time.

For each load and policy, measures the admissions above the limit, the wrongful
refusals, and the messages and processor time per 1,000 requests.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import random
import time

import gevent

from bench import figures
from bench import limits_fleet
from endivepier.configuration import state as state_lib
from endivepier.internal import loop
from endivepier.limits import limiter
from endivepier.limits import policies

ENTRY_HOSTS = 6
WARM_UP_SECONDS = 20.0
RUN_SECONDS = 12.0
FULL_RUN_SECONDS = 60.0
KILL_DELAY_SECONDS = 4.0
ACCOUNT_NAME = "account"
# As a multiple of the account's rate.
DEFAULT_LOAD = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """The load on one client account and the account's limit.

    Attributes:
        name: prefix of the names of the case's figures.
        rate: the account's rate in requests/s.
        burst: the account's burst in requests.
        multiple: offered load as a multiple of the rate.
        skewed: whether all requests go to one entry host.
        group_size: number of requests that are made at the same time.
        kills_host: whether an entry host that gets no requests is killed.
    """

    name: str
    rate: float
    burst: float
    multiple: float = DEFAULT_LOAD
    skewed: bool = False
    group_size: int = 1
    kills_host: bool = False


CASES = (
    Case("even", 50.0, 50.0),
    Case("skewed", 50.0, 50.0, skewed=True),
    Case("bursts", 50.0, 50.0, group_size=20),
    Case("small_even", 2.0, 3.0),
    Case("small_skewed", 2.0, 3.0, skewed=True),
    Case("killed", 50.0, 50.0, kills_host=True),
    Case("flood", 50.0, 50.0, multiple=10.0),
)
POLICIES: Sequence[tuple[str, policies.Policy]] = (
    ("home", policies.HomeBucket()),
    ("fixed", policies.FixedSplit()),
    ("lending", policies.Lending()),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The measured values of one run.

    Attributes:
        requests: number of requests.
        excess_requests: the most requests by which any time window exceeds
            its limit of rate x length + burst.
        wrongful_refusals: refusals of requests that a single token bucket for
            the whole fleet would have admitted.
        messages: messages between limiters per 1,000 requests.
        cpu_ms: processor time per 1,000 requests, of all simulated hosts and
            of the simulation itself.
    """

    requests: int
    excess_requests: float
    wrongful_refusals: int
    messages: float
    cpu_ms: float


def main() -> None:
    """Prints the figures as JSON lines."""
    args = figures.parser(__doc__ or "").parse_args()
    loop.configure()
    seconds = FULL_RUN_SECONDS if args.full else RUN_SECONDS
    for case in CASES:
        results = {
            name: _measure(case, policy, args.seed, seconds)
            for name, policy in POLICIES
        }
        for name, result in results.items():
            _emit(case, name, result, results["fixed"], args.seed)


def _emit(
    case: Case, policy: str, result: Result, fixed: Result, seed: int
) -> None:
    """Prints the figures of one run, with the fixed split as the baseline."""
    prefix = f"{case.name}_{policy}_"
    share = result.wrongful_refusals / result.requests
    baseline = fixed.wrongful_refusals / fixed.requests
    is_lending = policy == "lending"
    # The target is a tenth of the fixed split's refusals, under skewed load.
    bound = baseline / 10 if is_lending and case.skewed else None
    for figure in (
        figures.Figure(
            *(
                "limits",
                prefix + "excess",
                result.excess_requests,
                "requests",
                seed,
            ),
            bound=0.0 if is_lending else None,
        ),
        figures.Figure(
            *("limits", prefix + "wrongful", share, "ratio", seed),
            baseline=baseline,
            bound=bound,
        ),
        figures.Figure(
            "limits",
            prefix + "messages",
            result.messages,
            "messages/1000 requests",
            seed,
        ),
        figures.Figure(
            "limits", prefix + "cpu", result.cpu_ms, "ms/1000 requests", seed
        ),
    ):
        figure.emit()


def _measure(
    case: Case, policy: policies.Policy, seed: int, seconds: float
) -> Result:
    account = state_lib.Account(ACCOUNT_NAME, case.rate, case.burst)
    fleet = limits_fleet.Fleet({ACCOUNT_NAME: account}, seed, policy)
    result: Result = fleet.timers.run(_run, fleet, case, seed, seconds)
    return result


def _run(
    fleet: limits_fleet.Fleet, case: Case, seed: int, seconds: float
) -> Result:
    addresses = [
        f"10.0.0.{number}:7000" for number in range(1, ENTRY_HOSTS + 1)
    ]
    for address in addresses:
        fleet.start(address)
    fleet.timers.sleep(WARM_UP_SECONDS)
    sent_before = sum(fleet.messages.values())
    # This host holds a share of the account under every policy, and all of it
    # under the home bucket policy. All requests go to the other hosts.
    unloaded_host = (
        fleet.entries[addresses[0]].rights.holders(ACCOUNT_NAME)[0].address
    )
    load_addresses = [
        address for address in addresses if address != unloaded_host
    ]
    if case.kills_host:
        fleet.timers.after(
            KILL_DELAY_SECONDS, lambda: fleet.kill(unloaded_host)
        )
    started_at = time.process_time()
    _run_load(fleet, case, load_addresses, random.Random(seed), seconds)
    cpu_seconds = time.process_time() - started_at
    count = len(fleet.decisions)
    return Result(
        requests=count,
        excess_requests=_excess(fleet.decisions, case),
        wrongful_refusals=_wrongful(fleet.decisions, case),
        messages=1000 * (sum(fleet.messages.values()) - sent_before) / count,
        cpu_ms=1e6 * cpu_seconds / count,
    )


def _run_load(
    fleet: limits_fleet.Fleet,
    case: Case,
    addresses: Sequence[str],
    rng: random.Random,
    seconds: float,
) -> None:
    """Makes the case's requests and waits until all have been decided."""
    end = fleet.timers.now() + seconds
    tasks = []
    while fleet.timers.now() < end:
        pause = rng.expovariate(case.rate * case.multiple / case.group_size)
        fleet.timers.sleep(pause)
        for _ in range(case.group_size):
            address = addresses[0] if case.skewed else rng.choice(addresses)
            tasks.append(gevent.spawn(fleet.request, address, ACCOUNT_NAME))
    gevent.joinall(tasks)


def _excess(decisions: Sequence[limits_fleet.Decision], case: Case) -> float:
    """Returns the maximum, over all windows, of the admissions above the limit.

    The limit of a window is rate * length + burst. Rounding errors count as 0.
    """
    level, worst, last_at = 0.0, 0.0, 0.0
    for decision in decisions:
        if decision.admitted:
            level = (
                max(0.0, level - (decision.decided_at - last_at) * case.rate)
                + 1.0
            )
            last_at = decision.decided_at
            worst = max(worst, level - case.burst)
    return worst if worst > 1e-6 else 0.0


def _wrongful(decisions: Sequence[limits_fleet.Decision], case: Case) -> int:
    """Counts refusals that one bucket for the whole fleet would not make."""
    tokens, last_at, count = case.burst, 0.0, 0
    for decision in sorted(decisions, key=lambda item: item.requested_at):
        refill = (decision.requested_at - last_at) * case.rate
        tokens = min(case.burst, tokens + refill)
        last_at = decision.requested_at
        if (1.0 - tokens) / case.rate > limiter.MAX_WAIT_SECONDS:
            # The request would wait too long for the single bucket, too.
            continue
        tokens -= 1.0
        count += not decision.admitted
    return count


if __name__ == "__main__":
    main()
