"""Recovery: how soon programs go on after their owner's death, at what cost.

Time is simulated, so a seed gives the same figures each time. The last
figures, about our own code, use the machine's clock.
"""

from __future__ import annotations

from collections.abc import Iterator
import statistics
import time

import gevent
import gevent.pool

from bench import figures
from bench import recovery_fleet as fleet_lib
from endivepier.history import records
from endivepier.history import stored as stored_lib
from endivepier.internal import codec
from endivepier.internal import ids as ids_lib
from endivepier.internal import loop
from endivepier.sidecar import parts
from endivepier.standins import engine as engine_lib
from endivepier.standins import local
from endivepier.storage import ports
from endivepier.targets import ports as target_ports

NEXT_ANSWER_BOUND_SECONDS = 5.0
WRITES_BOUND = 300.0
PROGRAMS = 10_000
SAMPLE = 300
KILLED_AT_SECONDS = 2.0
LOAD_SECONDS = 6.0
QUIET_SECONDS = 20.0
UNGROUPED = stored_lib.GroupLimits(min_interval_seconds=0.0, max_programs=1)


def kill_under_load(seed: int) -> Iterator[figures.Figure]:
    """Kills the busiest owner while 60 programs make calls."""
    profile = engine_lib.EngineProfile(batch=64, batch_slope=0.005)
    fleet = fleet_lib.Fleet(
        seed, local.Plan(engines=6, shards=32, profile=profile)
    )
    load = fleet_lib.Load()

    def main() -> None:
        start = fleet.timers.now()
        killed = start + KILLED_AT_SECONDS
        tasks = [
            gevent.spawn(
                fleet_lib.drive,
                fleet,
                load,
                number,
                start + LOAD_SECONDS,
                killed,
            )
            for number in range(60)
        ]
        fleet.timers.sleep(KILLED_AT_SECONDS)
        fleet.fleet.kill(fleet.busiest())
        gevent.joinall(tasks, raise_error=True)
        fleet.timers.sleep(QUIET_SECONDS)

    fleet.timers.run(main)
    lost = _lost_turns(fleet, load)
    yield figures.Figure(
        fleet_lib.BENCH,
        "kill_to_next_answer_max",
        load.slowest,
        "s",
        seed,
        bound=NEXT_ANSWER_BOUND_SECONDS,
    )
    yield figures.Figure(
        fleet_lib.BENCH,
        "calls_answered",
        load.calls,
        "calls",
        seed,
        sense="min",
    )
    yield figures.Figure(
        fleet_lib.BENCH, "calls_refused", load.errors, "calls", seed, bound=0
    )
    yield figures.Figure(
        fleet_lib.BENCH, "turns_lost", lost, "turns", seed, bound=0
    )


def _lost_turns(fleet: fleet_lib.Fleet, load: fleet_lib.Load) -> int:
    """Returns how many answered turns the table does not have."""
    lost = 0
    for program_id, answered in load.answered.items():
        prefix = f"{records.TURN_PREFIX}{program_id}/"
        lost += max(0, answered - len(fleet.fleet.table.peek(prefix)))
    return lost


def one_program(seed: int) -> Iterator[figures.Figure]:
    """Kills the owner of one idle program, then makes its next call."""
    fleet = fleet_lib.Fleet(seed, local.Plan(engines=3, shards=8))

    def main() -> float:
        program = fleet.create(0)
        fleet.call(0, program, 0)
        fleet.fleet.kill(fleet.busiest())
        started = fleet.timers.now()
        fleet.call(0, program, 1)
        return fleet.timers.now() - started

    yield figures.Figure(
        fleet_lib.BENCH,
        "one_program_kill_to_next_answer",
        fleet.timers.run(main),
        "s",
        seed,
        bound=NEXT_ANSWER_BOUND_SECONDS,
    )


def outage_and_kill(seed: int) -> Iterator[figures.Figure]:
    """Loses an owner during a store outage in which calls went on."""
    fleet = fleet_lib.Fleet(seed, local.Plan(engines=6, shards=16))
    load = fleet_lib.Load()
    during: list[int] = []

    def main() -> None:
        start = fleet.timers.now()
        until = start + 14.0
        tasks = [
            gevent.spawn(fleet_lib.drive, fleet, load, number, until, until)
            for number in range(12)
        ]
        fleet.timers.sleep(1.0)
        fleet.fleet.table.faults.outage = True
        before = load.calls
        fleet.timers.sleep(8.0)
        during.append(load.calls - before)
        fleet.fleet.kill(fleet.busiest())
        fleet.timers.sleep(1.0)
        fleet.fleet.table.faults.outage = False
        gevent.joinall(tasks, raise_error=True)
        fleet.timers.sleep(QUIET_SECONDS)

    fleet.timers.run(main)
    yield figures.Figure(
        fleet_lib.BENCH,
        "outage_calls_answered",
        during[0],
        "calls",
        seed,
        sense="min",
    )
    lost = _lost_turns(fleet, load)
    yield figures.Figure(
        fleet_lib.BENCH, "outage_turns_lost", lost, "turns", seed, bound=0
    )


def writes_per_call(
    seed: int, limits: stored_lib.GroupLimits | None, seconds: float
) -> tuple[float, float, float]:
    """Returns transactions and rows per 1,000 calls, and calls a second."""
    profile = engine_lib.EngineProfile(batch=512, batch_slope=0.0)
    plan = local.Plan(engines=6, shards=32, profile=profile)
    fleet = fleet_lib.Fleet(seed, plan)
    for sidecar in fleet.fleet.sidecars.values():
        assert isinstance(sidecar, parts.EngineSidecar)
        _widen(sidecar)
        if limits is not None:
            sidecar.journal._limits = limits
    load = fleet_lib.Load()
    table = fleet.fleet.table

    def main() -> tuple[int, int, int]:
        until = fleet.timers.now() + seconds + 1.0
        tasks = [
            gevent.spawn(fleet_lib.drive, fleet, load, number, until, until)
            for number in range(fleet_lib.CALLERS)
        ]
        fleet.timers.sleep(1.0)
        before = (load.calls, table.transactions, table.rows_written)
        fleet.timers.sleep(seconds)
        after = (load.calls, table.transactions, table.rows_written)
        gevent.joinall(tasks, raise_error=True)
        calls, transactions, rows = (
            late - early for early, late in zip(before, after, strict=True)
        )
        return calls, transactions, rows

    calls, transactions, rows = fleet.timers.run(main)
    per_call = 1000 / calls
    return transactions * per_call, rows * per_call, calls / seconds


def _widen(sidecar: parts.EngineSidecar) -> None:
    """Gives a queue room, so that the table's writes are what is measured."""
    sidecar.queue._slots = 512


def group_commit(seed: int, seconds: float) -> Iterator[figures.Figure]:
    """Compares one transaction a change with group commit."""
    before, rows_before, _ = writes_per_call(seed, UNGROUPED, seconds)
    after, rows_after, rate = writes_per_call(seed, None, seconds)
    yield figures.Figure(
        fleet_lib.BENCH, "calls_per_second", rate, "calls/s", seed, sense="min"
    )
    yield figures.Figure(
        fleet_lib.BENCH,
        "transactions_per_1000_calls",
        after,
        "transactions",
        seed,
        before,
        WRITES_BOUND,
    )
    yield figures.Figure(
        fleet_lib.BENCH,
        "rows_per_1000_calls",
        rows_after,
        "rows",
        seed,
        rows_before,
    )


def whole_sidecar(seed: int, sample: int) -> Iterator[figures.Figure]:
    """Kills a sidecar that owns 10,000 programs; calls many of them."""
    profile = engine_lib.EngineProfile(
        batch=512, batch_slope=0.0, token_seconds=0.005
    )
    plan = local.Plan(engines=3, shards=24, profile=profile)
    fleet = fleet_lib.Fleet(seed, plan)
    for sidecar in fleet.fleet.sidecars.values():
        assert isinstance(sidecar, parts.EngineSidecar)
        _widen(sidecar)

    def main() -> tuple[list[float], float, float, int]:
        for number in range(plan.shards * 4):
            fleet.create(number)
        address = fleet.busiest()
        owned = fleet._sidecar(address).shards.held()
        programs = _stored_programs(fleet, [lease.shard for lease in owned])
        fleet.fleet.kill(address)
        killed = fleet.timers.now()
        reads = fleet.fleet.table.reads
        taken: list[float] = []

        def one(number: int) -> None:
            fleet.call(number, programs[number], fleet_lib.TURNS)
            taken.append(fleet.timers.now() - killed)

        step = len(programs) // sample
        chosen = range(0, len(programs), step)
        pool = gevent.pool.Pool(200)
        started = time.perf_counter()
        for number in chosen:
            pool.spawn(one, number)
        pool.join(raise_error=True)
        wall = time.perf_counter() - started
        reads = fleet.fleet.table.reads - reads
        return taken, wall, fleet.timers.now() - killed, reads

    taken, wall, until_all, reads = fleet.timers.run(main)
    yield figures.Figure(
        fleet_lib.BENCH,
        "sidecar_programs",
        PROGRAMS,
        "programs",
        seed,
        sense="min",
    )
    yield figures.Figure(
        fleet_lib.BENCH,
        "sidecar_programs_called",
        len(taken),
        "programs",
        seed,
        sense="min",
    )
    yield figures.Figure(
        fleet_lib.BENCH,
        "sidecar_kill_to_first_answer",
        min(taken),
        "s",
        seed,
        bound=NEXT_ANSWER_BOUND_SECONDS,
    )
    yield figures.Figure(
        fleet_lib.BENCH,
        "sidecar_kill_to_median_answer",
        statistics.median(taken),
        "s",
        seed,
    )
    yield figures.Figure(
        fleet_lib.BENCH, "sidecar_kill_to_last_answer", until_all, "s", seed
    )
    yield figures.Figure(
        fleet_lib.BENCH,
        "sidecar_reads_per_program",
        reads / len(taken),
        "reads",
        seed,
    )
    yield figures.Figure(
        fleet_lib.BENCH,
        "sidecar_wall_milliseconds_per_program",
        1000 * wall / len(taken),
        "ms",
        seed,
    )


def _stored_programs(
    fleet: fleet_lib.Fleet, shards: list[str]
) -> list[ids_lib.ProgramId]:
    """Writes 10,000 programs with a history into the table."""
    found: list[ids_lib.ProgramId] = []
    for number in range(PROGRAMS):
        pool, _, shard = shards[number % len(shards)].rpartition(".")
        program = ids_lib.ProgramId(pool, int(shard), fleet.ids.unique())
        writes: list[ports.Write] = []
        digest = records.FIRST_DIGEST
        for turn in range(1, fleet_lib.TURNS + 1):
            added = (target_ports.ChatMessage("user", f"step {turn}"),)
            digest = records.next_digest(digest, added, "an answer")
            row = records.TurnRow(
                turn=turn,
                call_id=f"call-{turn - 1}",
                added=added,
                answer="an answer",
                prompt_tokens=8,
                completion_tokens=2,
                reason="stop",
                digest=digest,
            )
            key = records.turn_key(str(program), turn)
            writes.append(ports.Put(key, codec.encode(row)))
        program_row = records.ProgramRow(
            program_id=str(program),
            account=local.ACCOUNT,
            model=local.MODEL,
            kind="standard",
            budget=fleet_lib.BUDGET,
            created=fleet.timers.wall(),
            turn=fleet_lib.TURNS,
            digest=digest,
            serial=fleet_lib.TURNS,
        )
        key = records.program_key(str(program))
        writes.append(ports.Put(key, codec.encode(program_row)))
        fleet.fleet.table._apply(writes)
        found.append(program)
    return found


def main() -> None:
    """Runs the bench and prints a JSON line for each figure."""
    args = figures.parser(__doc__ or "").parse_args()
    loop.configure()
    sample = PROGRAMS if args.full else SAMPLE
    seconds = 10.0 if args.full else 2.0
    for measure in (
        one_program(args.seed),
        kill_under_load(args.seed),
        outage_and_kill(args.seed),
        group_commit(args.seed, seconds),
        whole_sidecar(args.seed, sample),
    ):
        for figure in measure:
            figure.emit()


if __name__ == "__main__":
    main()
