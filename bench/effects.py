"""Measures that non-idempotent requests run at most once, and what it costs.

Two parts, both in simulated time. Under faults: kills, pauses between claim
and send, cuts, outages, late messages, lost replies and lost answers, while
callers repeat requests at other entry hosts. Without faults: transactions of
the table and latency, with each row in a transaction of its own (before) and
with group commit (after).
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
REQUESTS = 10_000
FULL_REQUESTS = 100_000
ROUND_REQUESTS = 1000
ROUND_SECONDS = 60.0
CALM_SECONDS = 30.0
TRIES = 3
FAULTS_A_ROUND = 10
STEADY_REQUESTS = 1000
STEADY_RATE = 200.0


def main() -> int:
    """Runs the bench and prints its figures."""
    args = figures.parser(__doc__ or "").parse_args()
    requests = FULL_REQUESTS if args.full else REQUESTS
    _measure_faults(args.seed, requests)
    _measure_cost(args.seed)
    return 0


@dataclasses.dataclass(slots=True)
class _Totals:
    """Sums over all rounds."""

    requests: int = 0
    effects: int = 0
    twice: int = 0
    false_no: int = 0
    wrong_answers: int = 0
    unknown: int = 0
    claimed_open: int = 0


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
    share = totals.claimed_open / totals.requests
    _emit(seed, "left_to_operators", share, "share", "max")


def _add_round(totals: _Totals, rng: random.Random) -> None:
    fleet = fleet_lib.Fleet(
        rng.getrandbits(32), sidecars=4, tells_outcome=rng.random() < 0.5
    )
    fleet.faults = standins.Faults(
        late=0.03, paused=0.01, pause_seconds=20.0, lost_answers=0.02
    )
    fleet.table.faults.lost_replies = 0.03
    fleet.table.faults.lost_requests = 0.03
    fleet.timers.run(_round, fleet)
    if fleet.crashes:
        raise fleet.crashes[0]
    verdict = fleet.verdict()
    last = {item.name: item for item in fleet.attempts}
    totals.requests += len(last)
    totals.effects += len(fleet.effects())
    totals.twice += len(verdict.twice)
    totals.false_no += len(verdict.false_no)
    totals.wrong_answers += len(verdict.wrong_answer) + len(verdict.unrequested)
    totals.claimed_open += len(fleet.open_claims())
    totals.unknown += sum(
        item.reported in (checker.Reported.UNKNOWN, checker.Reported.NO_REPLY)
        for item in last.values()
    )


def _round(fleet: fleet_lib.Fleet) -> None:
    tasks = [
        gevent.spawn(_caller, fleet, number) for number in range(ROUND_REQUESTS)
    ]
    for _ in range(FAULTS_A_ROUND):
        fault = faults_lib.Fault(
            at=fleet.rng.uniform(0, ROUND_SECONDS),
            kind=fleet.rng.choice(list(faults_lib.Kind)),
            index=fleet.rng.randrange(4),
            seconds=fleet.rng.choice([0.5, 3.0, 10.0]),
        )
        gevent.spawn(faults_lib.inject, fleet, fault)
    fleet.timers.sleep(ROUND_SECONDS + CALM_SECONDS)
    gevent.joinall(tasks, raise_error=True)
    for number in range(ROUND_REQUESTS):
        fleet.look_up(fleet.entries[0], "bank", f"key-{number}")


def _caller(fleet: fleet_lib.Fleet, number: int) -> None:
    """Sends one request until it is answered, at any entry host."""
    fleet.timers.sleep(fleet.rng.uniform(0, ROUND_SECONDS))
    for _ in range(TRIES):
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
    single, _ = _steady(seed, rows=1)
    grouped, waits = _steady(seed, rows=group_commit.MAX_ROWS)
    figures.Figure(
        BENCH,
        "transactions_per_1000_effects",
        grouped,
        "transactions",
        seed,
        baseline=single,
    ).emit()
    bare = _bare_seconds()
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        wait = waits[int(len(waits) * share)]
        added = (wait - bare) * 1000
        _emit(seed, f"added_latency_{name}", added, "ms", "max")


def _steady(seed: int, *, rows: int) -> tuple[float, list[float]]:
    """Returns transactions per 1,000 effects, and the latencies in order."""
    fleet = fleet_lib.Fleet(seed, sidecars=1, entries=1, rows=rows)
    before = fleet.table.transactions

    def one(number: int) -> None:
        fleet.timers.sleep(fleet.rng.uniform(0, STEADY_REQUESTS / STEADY_RATE))
        fleet.send_request(fleet.entries[0], "bank", f"key-{number}", b"body")

    def drive() -> None:
        for number in range(STEADY_REQUESTS):
            gevent.spawn(one, number)
        fleet.timers.sleep(STEADY_REQUESTS / STEADY_RATE + CALM_SECONDS)

    fleet.timers.run(drive)
    effects = len(fleet.effects())
    written = fleet.table.transactions - before
    waits = sorted(item.end - item.start for item in fleet.attempts)
    return written / effects * 1000, waits


def _bare_seconds() -> float:
    """Returns what a request takes without claim and outcome."""
    fleet = fleet_lib.Fleet(0, sidecars=1, entries=1)
    service = next(iter(fleet.services.values())).inner
    return (
        2 * fleet.network.latency
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
