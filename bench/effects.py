"""Measures the guarantees and the cost of non-idempotent requests.

Both parts run in simulated time. The first counts broken guarantees, such as
requests that ran twice, under faults: kills, pauses between claim and send,
network partitions, outages, late messages and lost replies, while callers
retry at other entry hosts. The second measures table transactions and latency
without faults: each row in its own transaction (baseline) and with group
commit.
"""

from __future__ import annotations

import dataclasses
import random
import sys
from typing import Literal

import gevent

from bench import effects_checker as checker
from bench import effects_faults as faults_lib
from bench import effects_fleet as fleet_lib
from bench import effects_standins as standins
from bench import figures
from endivepier.effects import group_commit

BENCH = "effects"
MIN_REQUESTS = 10_000
FULL_MIN_REQUESTS = 100_000
REQUESTS_PER_ROUND = 1000
ROUND_SECONDS = 60.0
RECOVERY_SECONDS = 30.0
MAX_ATTEMPTS = 3
FAULTS_PER_ROUND = 10
STEADY_REQUESTS = 1000
STEADY_REQUESTS_PER_SECOND = 200.0


def main() -> int:
    """Runs the benchmark and prints its figures."""
    args = figures.parser(__doc__ or "").parse_args()
    requests = FULL_MIN_REQUESTS if args.full else MIN_REQUESTS
    _measure_faults(args.seed, requests)
    _measure_cost(args.seed)
    return 0


@dataclasses.dataclass(slots=True)
class _Totals:
    """Counts of requests over all rounds.

    For `twice`, `false_no` and `wrong_answers` see `effects_checker.Verdict`.
    `unknown` counts requests whose last reply was missing or "unknown".
    """

    requests: int = 0
    effects: int = 0
    twice: int = 0
    false_no: int = 0
    wrong_answers: int = 0
    unknown: int = 0
    open_claims: int = 0


def _measure_faults(seed: int, requests: int) -> None:
    totals = _Totals()
    rng = random.Random(seed)
    while totals.requests < requests:
        _add_round(totals, rng)
    _emit(seed, "requests", totals.requests, "requests", "min", requests)
    _emit(seed, "effects", totals.effects, "requests", "min")
    _emit(seed, "run_twice", totals.twice, "requests", "max", 0)
    _emit(seed, "false_not_run", totals.false_no, "requests", "max", 0)
    _emit(seed, "wrong_answers", totals.wrong_answers, "requests", "max", 0)
    share = totals.unknown / totals.requests
    _emit(seed, "told_unknown_in_the_end", share, "share", "max")
    share = totals.open_claims / totals.requests
    _emit(seed, "left_to_operators", share, "share", "max")


def _add_round(totals: _Totals, rng: random.Random) -> None:
    """Runs one round on a new fleet and adds its counts."""
    fleet = fleet_lib.Fleet(
        rng.getrandbits(32), sidecars=4, tells_outcome=rng.random() < 0.5
    )
    fleet.faults = standins.Faults(
        late=0.03, paused=0.01, pause_seconds=20.0, lost_answers=0.02
    )
    fleet.table.faults.lost_replies = 0.03
    fleet.table.faults.lost_requests = 0.03
    fleet.timers.run(_run_round, fleet)
    if fleet.crashes:
        raise fleet.crashes[0]
    verdict = fleet.verdict()
    last = {item.name: item for item in fleet.attempts}
    totals.requests += len(last)
    totals.effects += len(fleet.effects())
    totals.twice += len(verdict.twice)
    totals.false_no += len(verdict.false_no)
    totals.wrong_answers += len(verdict.wrong_answer) + len(verdict.unrequested)
    totals.open_claims += len(fleet.open_claims())
    totals.unknown += sum(
        item.reported in (checker.Reported.UNKNOWN, checker.Reported.NO_REPLY)
        for item in last.values()
    )


def _run_round(fleet: fleet_lib.Fleet) -> None:
    """Sends the requests of one round while random faults occur.

    Looks up the outcome of each request afterwards.
    """
    tasks = [
        gevent.spawn(_run_caller, fleet, number)
        for number in range(REQUESTS_PER_ROUND)
    ]
    for _ in range(FAULTS_PER_ROUND):
        fault = faults_lib.Fault(
            at=fleet.rng.uniform(0, ROUND_SECONDS),
            kind=fleet.rng.choice(list(faults_lib.Kind)),
            index=fleet.rng.randrange(4),
            seconds=fleet.rng.choice([0.5, 3.0, 10.0]),
        )
        gevent.spawn(faults_lib.inject, fleet, fault)
    fleet.timers.sleep(ROUND_SECONDS + RECOVERY_SECONDS)
    gevent.joinall(tasks, raise_error=True)
    for number in range(REQUESTS_PER_ROUND):
        fleet.look_up(fleet.entries[0], "bank", f"key-{number}")


def _run_caller(fleet: fleet_lib.Fleet, number: int) -> None:
    """Sends one request up to `MAX_ATTEMPTS` times, at random entry hosts."""
    fleet.timers.sleep(fleet.rng.uniform(0, ROUND_SECONDS))
    for _ in range(MAX_ATTEMPTS):
        attempt = fleet.send_request(
            fleet.rng.choice(fleet.entries),
            "bank",
            f"key-{number}",
            b"body",
            through_owner=fleet.rng.random() < 0.3,
        )
        if attempt.reported is checker.Reported.YES:
            return
        fleet.timers.sleep(fleet.rng.uniform(0.5, 2.0))


def _measure_cost(seed: int) -> None:
    single, _ = _run_steady_load(seed, max_rows=1)
    grouped, latencies = _run_steady_load(seed, max_rows=group_commit.MAX_ROWS)
    figures.Figure(
        BENCH,
        "transactions_per_1000_effects",
        grouped,
        "transactions",
        seed,
        baseline=single,
    ).emit()
    base_seconds = _base_latency_seconds()
    for name, quantile in (("p50", 0.5), ("p99", 0.99)):
        latency = latencies[int(len(latencies) * quantile)]
        added = (latency - base_seconds) * 1000
        _emit(seed, f"added_latency_{name}", added, "ms", "max")


def _run_steady_load(seed: int, *, max_rows: int) -> tuple[float, list[float]]:
    """Runs a constant load without faults.

    Returns:
        Table transactions per 1,000 effects, and the latencies in seconds,
        sorted.
    """
    fleet = fleet_lib.Fleet(seed, sidecars=1, entries=1, max_rows=max_rows)
    before = fleet.table.transactions

    def send_request(number: int) -> None:
        fleet.timers.sleep(
            fleet.rng.uniform(0, STEADY_REQUESTS / STEADY_REQUESTS_PER_SECOND)
        )
        fleet.send_request(fleet.entries[0], "bank", f"key-{number}", b"body")

    def run() -> None:
        for number in range(STEADY_REQUESTS):
            gevent.spawn(send_request, number)
        fleet.timers.sleep(
            STEADY_REQUESTS / STEADY_REQUESTS_PER_SECOND + RECOVERY_SECONDS
        )

    fleet.timers.run(run)
    effects = len(fleet.effects())
    transactions = fleet.table.transactions - before
    latencies = sorted(item.end - item.start for item in fleet.attempts)
    return transactions / effects * 1000, latencies


def _base_latency_seconds() -> float:
    """Returns the latency of a request that writes no claim or outcome."""
    fleet = fleet_lib.Fleet(0, sidecars=1, entries=1)
    service = next(iter(fleet.services.values())).inner
    return (
        2 * fleet.network.latency_seconds
        + standins.CONNECT_SECONDS
        + service.faults.seconds
    )


def _emit(
    seed: int,
    name: str,
    value: float,
    unit: str,
    sense: Literal["max", "min"],
    bound: float | None = None,
) -> None:
    figures.Figure(
        BENCH, name, value, unit, seed, bound=bound, sense=sense
    ).emit()


if __name__ == "__main__":
    sys.exit(main())
