"""Measures how fast programs recover after their owner was killed.

The owner is the sidecar that holds a program's shard. Also measures the table
writes that recovery needs. Time is simulated, so a seed always gives the same
figures; only the wall time per recovered program uses the machine's clock.
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
TRANSACTIONS_PER_1000_CALLS_BOUND = 300.0
PROGRAMS = 10_000
SAMPLED_PROGRAMS = 300
KILLED_AT_SECONDS = 2.0
LOAD_SECONDS = 6.0
FLUSH_SECONDS = 20.0
UNGROUPED = stored_lib.GroupLimits(min_interval_seconds=0.0, max_programs=1)


def kill_under_load(seed: int) -> Iterator[figures.Figure]:
    """Kills the owner of the most shards while 60 programs make calls."""
    profile = engine_lib.EngineProfile(max_batch_size=64, batch_slope=0.005)
    fleet = fleet_lib.Fleet(
        seed, local.FleetSpec(engines=6, shards=32, profile=profile)
    )
    load = fleet_lib.Load()

    def main() -> None:
        start = fleet.timers.now()
        killed_at = start + KILLED_AT_SECONDS
        tasks = [
            gevent.spawn(
                fleet_lib.drive,
                fleet,
                load,
                number,
                start + LOAD_SECONDS,
                killed_at,
            )
            for number in range(60)
        ]
        fleet.timers.sleep(KILLED_AT_SECONDS)
        fleet.local.kill(fleet.owner_of_most_shards())
        gevent.joinall(tasks, raise_error=True)
        fleet.timers.sleep(FLUSH_SECONDS)

    fleet.timers.run(main)
    lost_turns = _lost_turns(fleet, load)
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
        fleet_lib.BENCH, "turns_lost", lost_turns, "turns", seed, bound=0
    )


def _lost_turns(fleet: fleet_lib.Fleet, load: fleet_lib.Load) -> int:
    """Returns the number of answered turns that are not in the table."""
    lost_turns = 0
    for program_id, answered in load.answered.items():
        prefix = f"{records.TURN_PREFIX}{program_id}/"
        lost_turns += max(0, answered - len(fleet.local.table.peek(prefix)))
    return lost_turns


def one_program(seed: int) -> Iterator[figures.Figure]:
    """Kills the owner of an idle program, then makes its next call."""
    fleet = fleet_lib.Fleet(seed, local.FleetSpec(engines=3, shards=8))

    def main() -> float:
        program = fleet.create(0)
        fleet.call(0, program, 0)
        fleet.local.kill(fleet.owner_of_most_shards())
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
    """Kills an owner during an outage of the table while calls go on."""
    fleet = fleet_lib.Fleet(seed, local.FleetSpec(engines=6, shards=16))
    load = fleet_lib.Load()
    calls_in_outage: list[int] = []

    def main() -> None:
        start = fleet.timers.now()
        until = start + 14.0
        tasks = [
            gevent.spawn(fleet_lib.drive, fleet, load, number, until, until)
            for number in range(12)
        ]
        fleet.timers.sleep(1.0)
        fleet.local.table.faults.outage = True
        before = load.calls
        fleet.timers.sleep(8.0)
        calls_in_outage.append(load.calls - before)
        fleet.local.kill(fleet.owner_of_most_shards())
        fleet.timers.sleep(1.0)
        fleet.local.table.faults.outage = False
        gevent.joinall(tasks, raise_error=True)
        fleet.timers.sleep(FLUSH_SECONDS)

    fleet.timers.run(main)
    yield figures.Figure(
        fleet_lib.BENCH,
        "outage_calls_answered",
        calls_in_outage[0],
        "calls",
        seed,
        sense="min",
    )
    lost_turns = _lost_turns(fleet, load)
    yield figures.Figure(
        fleet_lib.BENCH, "outage_turns_lost", lost_turns, "turns", seed, bound=0
    )


def writes_per_call(
    seed: int, limits: stored_lib.GroupLimits | None, seconds: float
) -> tuple[float, float, float]:
    """Runs a load and counts its table writes.

    Args:
        seed: the seed of the fleet.
        limits: limits on group commits, or None for the defaults.
        seconds: how long to count, after one second of warm-up.

    Returns:
        Transactions per 1,000 calls, rows per 1,000 calls, calls per second.
    """
    profile = engine_lib.EngineProfile(max_batch_size=512, batch_slope=0.0)
    spec = local.FleetSpec(engines=6, shards=32, profile=profile)
    fleet = fleet_lib.Fleet(seed, spec)
    for sidecar in fleet.local.sidecars.values():
        assert isinstance(sidecar, parts.EngineSidecar)
        _raise_concurrency(sidecar)
        if limits is not None:
            sidecar.journal._limits = limits
    load = fleet_lib.Load()
    table = fleet.local.table

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
    per_1000 = 1000 / calls
    return transactions * per_1000, rows * per_1000, calls / seconds


def _raise_concurrency(sidecar: parts.EngineSidecar) -> None:
    """Raises the queue's limit to the engines' batch size.

    No call then waits in the queue, so that table writes are measured.
    """
    sidecar.queue._slots = 512


def group_commit(seed: int, seconds: float) -> Iterator[figures.Figure]:
    """Compares group commit with one transaction for each change."""
    ungrouped, ungrouped_rows, _ = writes_per_call(seed, UNGROUPED, seconds)
    grouped, grouped_rows, calls_per_second = writes_per_call(
        seed, None, seconds
    )
    yield figures.Figure(
        fleet_lib.BENCH,
        "calls_per_second",
        calls_per_second,
        "calls/s",
        seed,
        sense="min",
    )
    yield figures.Figure(
        fleet_lib.BENCH,
        "transactions_per_1000_calls",
        grouped,
        "transactions",
        seed,
        ungrouped,
        TRANSACTIONS_PER_1000_CALLS_BOUND,
    )
    yield figures.Figure(
        fleet_lib.BENCH,
        "rows_per_1000_calls",
        grouped_rows,
        "rows",
        seed,
        ungrouped_rows,
    )


def whole_sidecar(seed: int, sample: int) -> Iterator[figures.Figure]:
    """Kills the owner of 10,000 programs, then calls about `sample` of them."""
    profile = engine_lib.EngineProfile(
        max_batch_size=512, batch_slope=0.0, token_seconds=0.005
    )
    spec = local.FleetSpec(engines=3, shards=24, profile=profile)
    fleet = fleet_lib.Fleet(seed, spec)
    for sidecar in fleet.local.sidecars.values():
        assert isinstance(sidecar, parts.EngineSidecar)
        _raise_concurrency(sidecar)

    def main() -> tuple[list[float], float, float, int]:
        for number in range(spec.shards * 4):
            fleet.create(number)
        address = fleet.owner_of_most_shards()
        leases = fleet._sidecar(address).shards.held()
        programs = _store_programs(fleet, [lease.shard for lease in leases])
        fleet.local.kill(address)
        killed_at = fleet.timers.now()
        reads = fleet.local.table.reads
        latencies: list[float] = []

        def call_program(number: int) -> None:
            fleet.call(number, programs[number], fleet_lib.STORED_TURNS)
            latencies.append(fleet.timers.now() - killed_at)

        step = len(programs) // sample
        sampled = range(0, len(programs), step)
        pool = gevent.pool.Pool(200)
        started = time.perf_counter()
        for number in sampled:
            pool.spawn(call_program, number)
        pool.join(raise_error=True)
        wall_seconds = time.perf_counter() - started
        reads = fleet.local.table.reads - reads
        return latencies, wall_seconds, fleet.timers.now() - killed_at, reads

    latencies, wall_seconds, total_seconds, reads = fleet.timers.run(main)
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
        len(latencies),
        "programs",
        seed,
        sense="min",
    )
    yield figures.Figure(
        fleet_lib.BENCH,
        "sidecar_kill_to_first_answer",
        min(latencies),
        "s",
        seed,
        bound=NEXT_ANSWER_BOUND_SECONDS,
    )
    yield figures.Figure(
        fleet_lib.BENCH,
        "sidecar_kill_to_median_answer",
        statistics.median(latencies),
        "s",
        seed,
    )
    yield figures.Figure(
        fleet_lib.BENCH, "sidecar_kill_to_last_answer", total_seconds, "s", seed
    )
    yield figures.Figure(
        fleet_lib.BENCH,
        "sidecar_reads_per_program",
        reads / len(latencies),
        "reads",
        seed,
    )
    yield figures.Figure(
        fleet_lib.BENCH,
        "sidecar_wall_milliseconds_per_program",
        1000 * wall_seconds / len(latencies),
        "ms",
        seed,
    )


def _store_programs(
    fleet: fleet_lib.Fleet, shards: list[str]
) -> list[ids_lib.ProgramId]:
    """Writes 10,000 programs with a history into the table; returns them."""
    programs: list[ids_lib.ProgramId] = []
    for number in range(PROGRAMS):
        pool, _, shard = shards[number % len(shards)].rpartition(".")
        program = ids_lib.ProgramId(pool, int(shard), fleet.ids.unique())
        writes: list[ports.Write] = []
        digest = records.FIRST_DIGEST
        for turn in range(1, fleet_lib.STORED_TURNS + 1):
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
            turn=fleet_lib.STORED_TURNS,
            digest=digest,
            serial=fleet_lib.STORED_TURNS,
        )
        key = records.program_key(str(program))
        writes.append(ports.Put(key, codec.encode(program_row)))
        fleet.local.table._apply(writes)
        programs.append(program)
    return programs


def main() -> None:
    """Runs the benchmark and prints a JSON line for each figure."""
    args = figures.parser(__doc__ or "").parse_args()
    loop.configure()
    sample = PROGRAMS if args.full else SAMPLED_PROGRAMS
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
