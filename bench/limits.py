"""Limits: excess, wrongful refusals, messages and CPU, by policy."""

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

HOSTS = 6
WARM_UP_SECONDS = 20.0
RUN_SECONDS = 12.0
FULL_SECONDS = 60.0
KILL_AFTER_SECONDS = 4.0
ACCOUNT = "account"
LOAD = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A load on one account.

    Attributes:
        name: what it is called.
        rate: of the account, in requests/s.
        burst: of the account.
        multiple: offered load, as a multiple of the rate.
        skewed: whether all of it comes to one entry host.
        group: how many requests come at the same time.
        kills: whether an entry host that takes none of it is killed.
    """

    name: str
    rate: float
    burst: float
    multiple: float = LOAD
    skewed: bool = False
    group: int = 1
    kills: bool = False


CASES = (
    Case("even", 50.0, 50.0),
    Case("skewed", 50.0, 50.0, skewed=True),
    Case("bursts", 50.0, 50.0, group=20),
    Case("small_even", 2.0, 3.0),
    Case("small_skewed", 2.0, 3.0, skewed=True),
    Case("killed", 50.0, 50.0, kills=True),
    Case("flood", 50.0, 50.0, multiple=10.0),
)
POLICIES: Sequence[tuple[str, policies.Policy]] = (
    ("home", policies.HomeBucket()),
    ("fixed", policies.FixedSplit()),
    ("lending", policies.Lending()),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a run gave.

    Attributes:
        requests: how many were made.
        excess: by how many admissions the worst window was exceeded.
        wrongful: refusals where one bucket would have admitted.
        messages: of limiters, for each 1,000 requests.
        cpu: processor time of everything for each 1,000 requests, in ms.
    """

    requests: int
    excess: float
    wrongful: int
    messages: float
    cpu: float


def main() -> None:
    """Prints the figures."""
    args = figures.parser(__doc__ or "").parse_args()
    loop.configure()
    seconds = FULL_SECONDS if args.full else RUN_SECONDS
    for case in CASES:
        found = {
            name: _measure(case, policy, args.seed, seconds)
            for name, policy in POLICIES
        }
        for name, result in found.items():
            _emit(case, name, result, found["fixed"], args.seed)


def _emit(
    case: Case, policy: str, result: Result, fixed: Result, seed: int
) -> None:
    prefix = f"{case.name}_{policy}_"
    share = result.wrongful / result.requests
    baseline = fixed.wrongful / fixed.requests
    chosen = policy == "lending"
    goal = baseline / 10 if chosen and case.skewed else None
    for figure in (
        figures.Figure(
            *("limits", prefix + "excess", result.excess, "requests", seed),
            bound=0.0 if chosen else None,
        ),
        figures.Figure(
            *("limits", prefix + "wrongful", share, "ratio", seed),
            baseline=baseline,
            bound=goal,
        ),
        figures.Figure(
            "limits",
            prefix + "messages",
            result.messages,
            "messages/1000 requests",
            seed,
        ),
        figures.Figure(
            "limits", prefix + "cpu", result.cpu, "ms/1000 requests", seed
        ),
    ):
        figure.emit()


def _measure(
    case: Case, policy: policies.Policy, seed: int, seconds: float
) -> Result:
    account = state_lib.Account(ACCOUNT, case.rate, case.burst)
    world = limits_fleet.Fleet({ACCOUNT: account}, seed, policy)
    result: Result = world.timers.run(_run, world, case, seed, seconds)
    return result


def _run(
    world: limits_fleet.Fleet, case: Case, seed: int, seconds: float
) -> Result:
    names = [f"10.0.0.{number}:7000" for number in range(1, HOSTS + 1)]
    for name in names:
        world.start(name)
    world.timers.sleep(WARM_UP_SECONDS)
    before = sum(world.messages.values())
    # The holder that a home bucket would be at; the load comes to others.
    victim = world.entries[names[0]].rights.holders(ACCOUNT)[0].address
    others = [name for name in names if name != victim]
    if case.kills:
        world.timers.after(KILL_AFTER_SECONDS, lambda: world.kill(victim))
    began = time.process_time()
    _offer(world, case, others, random.Random(seed), seconds)
    cpu = time.process_time() - began
    count = len(world.decisions)
    return Result(
        requests=count,
        excess=_excess(world.decisions, case),
        wrongful=_wrongful(world.decisions, case),
        messages=1000 * (sum(world.messages.values()) - before) / count,
        cpu=1e6 * cpu / count,
    )


def _offer(
    world: limits_fleet.Fleet,
    case: Case,
    names: Sequence[str],
    rng: random.Random,
    seconds: float,
) -> None:
    """Offers the load and waits until all of it is decided."""
    end = world.timers.now() + seconds
    tasks = []
    while world.timers.now() < end:
        pause = rng.expovariate(case.rate * case.multiple / case.group)
        world.timers.sleep(pause)
        for _ in range(case.group):
            name = names[0] if case.skewed else rng.choice(names)
            tasks.append(gevent.spawn(world.request, name, ACCOUNT))
    gevent.joinall(tasks)


def _excess(decisions: Sequence[limits_fleet.Decision], case: Case) -> float:
    """Returns the largest of admitted - rate * length - burst."""
    debt, worst, last = 0.0, 0.0, 0.0
    for decision in decisions:
        if decision.admitted:
            debt = (
                max(0.0, debt - (decision.decided_at - last) * case.rate) + 1.0
            )
            last = decision.decided_at
            worst = max(worst, debt - case.burst)
    return worst if worst > 1e-6 else 0.0


def _wrongful(decisions: Sequence[limits_fleet.Decision], case: Case) -> int:
    """Counts refusals where one bucket for all would have admitted."""
    tokens, last, count = case.burst, 0.0, 0
    for decision in sorted(decisions, key=lambda item: item.requested_at):
        gained = (decision.requested_at - last) * case.rate
        tokens = min(case.burst, tokens + gained)
        last = decision.requested_at
        if (1.0 - tokens) / case.rate > limiter.MAX_WAIT_SECONDS:
            continue
        tokens -= 1.0
        count += not decision.admitted
    return count


if __name__ == "__main__":
    main()
