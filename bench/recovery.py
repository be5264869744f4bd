"""Recovery: how soon programs go on after their owner's death, at what cost.

Time is simulated, so a seed gives the same figures each time. The last
figures, about our own code, use the machine's clock.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import random
import statistics
import time

import gevent
import gevent.pool

from bench import figures
from endivepier import errors
from endivepier.history import journal as journal_lib
from endivepier.history import messages
from endivepier.history import records
from endivepier.internal import codec
from endivepier.internal import ids as ids_lib
from endivepier.internal import loop
from endivepier.sidecar import parts
from endivepier.standins import engine as engine_lib
from endivepier.standins import local
from endivepier.storage import ports
from endivepier.targets import ports as target_ports

BENCH = "recovery"
NEXT_ANSWER_BOUND_SECONDS = 5.0
WRITES_BOUND = 300.0
PROGRAMS = 10_000
SAMPLE = 300
TURNS = 2
CALLERS = 150
THINK_SECONDS = 0.1
KILLED_AT_SECONDS = 2.0
LOAD_SECONDS = 6.0
QUIET_SECONDS = 20.0
MAX_TOKENS = 8
CALL_SECONDS = 30.0
BUDGET = records.Budget(tokens=100_000, calls=1000, seconds=36_000.0)
UNGROUPED = journal_lib.GroupLimits(seconds=0.0, programs=1)


@dataclasses.dataclass(slots=True)
class Load:
    """Callers that each make one call after another.

    Attributes:
        answered: turns that were answered, by program.
        slowest: the longest time of a call that ran after the kill.
        calls: calls that were answered.
        errors: calls that ended with an error.
    """

    answered: dict[str, int] = dataclasses.field(default_factory=dict)
    slowest: float = 0.0
    calls: int = 0
    errors: int = 0


class _Fleet:
    """A local fleet with programs."""

    def __init__(self, seed: int, plan: local.Plan) -> None:
        self.fleet = local.LocalFleet(seed, plan)
        self.timers = self.fleet.timers
        self.ids = ids_lib.Ids(random.Random(seed))
        self.fleet.start()

    def entry(self, number: int) -> local.entry_parts.Entry:
        """Returns one of the entry hosts."""
        entries = sorted(self.fleet.entries)
        return self.fleet.entries[entries[number % len(entries)]]

    def create(self, number: int) -> ids_lib.ProgramId:
        """Creates a program by way of an entry host."""
        program = self.ids.program(local.ENGINE_POOL, self.fleet.plan.shards)
        message = messages.CreateProgram(
            str(program), local.ACCOUNT, local.MODEL, "standard", BUDGET
        )
        self.entry(number).owners.call(
            program, message, messages.ProgramView, seconds=CALL_SECONDS
        )
        return program

    def call(self, number: int, program: ids_lib.ProgramId, turn: int) -> None:
        """Makes a program's next model call."""
        message = messages.ModelCall(
            program_id=str(program),
            account=local.ACCOUNT,
            call_id=f"call-{turn}",
            messages=(target_ports.ChatMessage("user", f"step {turn}"),),
            whole=False,
            max_tokens=MAX_TOKENS,
            seconds=CALL_SECONDS,
        )
        stream = self.entry(number).owners.stream(
            program,
            message,
            messages.CallEvent,
            seconds=CALL_SECONDS,
            restarts=True,
        )
        for _ in stream:
            pass

    def busiest(self) -> str:
        """Returns the address of the sidecar with the most shards."""
        return max(
            sorted(self.fleet.sidecars),
            key=lambda address: len(self._sidecar(address).shards.held()),
        )

    def _sidecar(self, address: str) -> parts.EngineSidecar:
        sidecar = self.fleet.sidecars[address]
        assert isinstance(sidecar, parts.EngineSidecar)
        return sidecar


def _drive(
    fleet: _Fleet, load: Load, number: int, until: float, since: float
) -> None:
    """Drives one program until simulated time `until`."""
    # Callers think for a while between calls, so that they don't go in step.
    rng = random.Random(number)
    fleet.timers.sleep(rng.uniform(0.0, THINK_SECONDS))
    program = fleet.create(number)
    turn = 0
    while fleet.timers.now() < until:
        started = fleet.timers.now()
        try:
            fleet.call(number, program, turn)
        except errors.EndivepierError:
            load.errors += 1
            fleet.timers.sleep(0.1)
            continue
        turn += 1
        load.calls += 1
        load.answered[str(program)] = turn
        if fleet.timers.now() > since:
            taken = fleet.timers.now() - max(started, since)
            load.slowest = max(load.slowest, taken)
        fleet.timers.sleep(rng.uniform(0.0, THINK_SECONDS))


def kill_under_load(seed: int) -> Iterator[figures.Figure]:
    """Kills the busiest owner while 60 programs make calls."""
    profile = engine_lib.EngineProfile(batch=64, batch_slope=0.005)
    fleet = _Fleet(seed, local.Plan(engines=6, shards=32, profile=profile))
    load = Load()

    def main() -> None:
        start = fleet.timers.now()
        killed = start + KILLED_AT_SECONDS
        tasks = [
            gevent.spawn(
                _drive, fleet, load, number, start + LOAD_SECONDS, killed
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
        BENCH,
        "kill_to_next_answer_max",
        load.slowest,
        "s",
        seed,
        bound=NEXT_ANSWER_BOUND_SECONDS,
    )
    yield figures.Figure(
        BENCH, "calls_answered", load.calls, "calls", seed, sense="min"
    )
    yield figures.Figure(
        BENCH, "calls_refused", load.errors, "calls", seed, bound=0
    )
    yield figures.Figure(BENCH, "turns_lost", lost, "turns", seed, bound=0)


def _lost_turns(fleet: _Fleet, load: Load) -> int:
    """Returns how many answered turns the table does not have."""
    lost = 0
    for program_id, answered in load.answered.items():
        prefix = f"{records.TURN_PREFIX}{program_id}/"
        lost += max(0, answered - len(fleet.fleet.table.peek(prefix)))
    return lost


def one_program(seed: int) -> Iterator[figures.Figure]:
    """Kills the owner of one idle program, then makes its next call."""
    fleet = _Fleet(seed, local.Plan(engines=3, shards=8))

    def main() -> float:
        program = fleet.create(0)
        fleet.call(0, program, 0)
        fleet.fleet.kill(fleet.busiest())
        started = fleet.timers.now()
        fleet.call(0, program, 1)
        return fleet.timers.now() - started

    yield figures.Figure(
        BENCH,
        "one_program_kill_to_next_answer",
        fleet.timers.run(main),
        "s",
        seed,
        bound=NEXT_ANSWER_BOUND_SECONDS,
    )


def outage_and_kill(seed: int) -> Iterator[figures.Figure]:
    """Loses an owner during a store outage in which calls went on."""
    fleet = _Fleet(seed, local.Plan(engines=6, shards=16))
    load = Load()
    during: list[int] = []

    def main() -> None:
        start = fleet.timers.now()
        until = start + 14.0
        tasks = [
            gevent.spawn(_drive, fleet, load, number, until, until)
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
        BENCH, "outage_calls_answered", during[0], "calls", seed, sense="min"
    )
    lost = _lost_turns(fleet, load)
    yield figures.Figure(
        BENCH, "outage_turns_lost", lost, "turns", seed, bound=0
    )


def writes_per_call(
    seed: int, limits: journal_lib.GroupLimits | None, seconds: float
) -> tuple[float, float, float]:
    """Returns transactions and rows per 1,000 calls, and calls a second."""
    profile = engine_lib.EngineProfile(batch=512, batch_slope=0.0)
    plan = local.Plan(engines=6, shards=32, profile=profile)
    fleet = _Fleet(seed, plan)
    for sidecar in fleet.fleet.sidecars.values():
        assert isinstance(sidecar, parts.EngineSidecar)
        _widen(sidecar)
        if limits is not None:
            sidecar.journal._limits = limits
    load = Load()
    table = fleet.fleet.table

    def main() -> tuple[int, int, int]:
        until = fleet.timers.now() + seconds + 1.0
        tasks = [
            gevent.spawn(_drive, fleet, load, number, until, until)
            for number in range(CALLERS)
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
        BENCH, "calls_per_second", rate, "calls/s", seed, sense="min"
    )
    yield figures.Figure(
        BENCH,
        "transactions_per_1000_calls",
        after,
        "transactions",
        seed,
        before,
        WRITES_BOUND,
    )
    yield figures.Figure(
        BENCH, "rows_per_1000_calls", rows_after, "rows", seed, rows_before
    )


def whole_sidecar(seed: int, sample: int) -> Iterator[figures.Figure]:
    """Kills a sidecar that owns 10,000 programs; calls many of them."""
    profile = engine_lib.EngineProfile(
        batch=512, batch_slope=0.0, token_seconds=0.005
    )
    plan = local.Plan(engines=3, shards=24, profile=profile)
    fleet = _Fleet(seed, plan)
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
            fleet.call(number, programs[number], TURNS)
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
        BENCH, "sidecar_programs", PROGRAMS, "programs", seed, sense="min"
    )
    yield figures.Figure(
        BENCH,
        "sidecar_programs_called",
        len(taken),
        "programs",
        seed,
        sense="min",
    )
    yield figures.Figure(
        BENCH,
        "sidecar_kill_to_first_answer",
        min(taken),
        "s",
        seed,
        bound=NEXT_ANSWER_BOUND_SECONDS,
    )
    yield figures.Figure(
        BENCH,
        "sidecar_kill_to_median_answer",
        statistics.median(taken),
        "s",
        seed,
    )
    yield figures.Figure(
        BENCH, "sidecar_kill_to_last_answer", until_all, "s", seed
    )
    yield figures.Figure(
        BENCH, "sidecar_reads_per_program", reads / len(taken), "reads", seed
    )
    yield figures.Figure(
        BENCH,
        "sidecar_wall_milliseconds_per_program",
        1000 * wall / len(taken),
        "ms",
        seed,
    )


def _stored_programs(
    fleet: _Fleet, shards: list[str]
) -> list[ids_lib.ProgramId]:
    """Writes 10,000 programs with a history into the table."""
    found: list[ids_lib.ProgramId] = []
    for number in range(PROGRAMS):
        pool, _, shard = shards[number % len(shards)].rpartition(".")
        program = ids_lib.ProgramId(pool, int(shard), fleet.ids.unique())
        writes: list[ports.Write] = []
        digest = records.FIRST_DIGEST
        for turn in range(1, TURNS + 1):
            added = (target_ports.ChatMessage("user", f"step {turn}"),)
            digest = records.chain(digest, added, "an answer")
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
            budget=BUDGET,
            created=fleet.timers.wall(),
            turn=TURNS,
            digest=digest,
            serial=TURNS,
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
