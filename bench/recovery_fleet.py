"""A fleet of programs that make calls while their owners are killed."""

from __future__ import annotations

import dataclasses
import random

from endivepier import errors
from endivepier.history import messages
from endivepier.history import records
from endivepier.internal import ids as ids_lib
from endivepier.sidecar import parts
from endivepier.standins import local
from endivepier.targets import ports as target_ports

BENCH = "recovery"
STORED_TURNS = 2
CALLERS = 150
THINK_SECONDS = 0.1
MAX_TOKENS = 8
CALL_SECONDS = 30.0
BUDGET = records.Budget(tokens=100_000, calls=1000, seconds=36_000.0)


@dataclasses.dataclass(slots=True)
class Load:
    """Results of callers that each make one call after another.

    Attributes:
        answered: number of answered turns by program ID.
        slowest: longest duration in seconds of the calls that ended after the
            `since` of `drive`; time before `since` does not count.
        calls: number of answered calls.
        errors: number of calls that ended with an error.
    """

    answered: dict[str, int] = dataclasses.field(default_factory=dict)
    slowest: float = 0.0
    calls: int = 0
    errors: int = 0


class Fleet:
    """A local fleet with methods that create programs and make their calls.

    Attributes:
        local: the simulated hosts and their platform.
        timers: the clock of the simulation.
        ids: creates program IDs.
    """

    def __init__(self, seed: int, spec: local.FleetSpec) -> None:
        self.local = local.LocalFleet(seed, spec)
        self.timers = self.local.timers
        self.ids = ids_lib.Ids(random.Random(seed))
        self.local.start()

    def entry(self, number: int) -> local.entry_parts.Entry:
        """Returns entry host `number`, modulo how many there are."""
        entries = sorted(self.local.entries)
        return self.local.entries[entries[number % len(entries)]]

    def create(self, number: int) -> ids_lib.ProgramId:
        """Creates a program at the entry host `number`."""
        program = self.ids.program(local.ENGINE_POOL, self.local.spec.shards)
        message = messages.CreateProgram(
            str(program), local.ACCOUNT, local.MODEL, "standard", BUDGET
        )
        self.entry(number).owners.call(
            program, message, messages.ProgramView, seconds=CALL_SECONDS
        )
        return program

    def call(self, number: int, program: ids_lib.ProgramId, turn: int) -> None:
        """Makes a model call and reads its events to the end.

        Args:
            number: number of the entry host.
            program: the program that makes the call.
            turn: how many turns the program has had.
        """
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

    def owner_of_most_shards(self) -> str:
        """Returns the address of the sidecar with the most shards."""
        return max(
            sorted(self.local.sidecars),
            key=lambda address: len(self._sidecar(address).shards.held()),
        )

    def _sidecar(self, address: str) -> parts.EngineSidecar:
        sidecar = self.local.sidecars[address]
        assert isinstance(sidecar, parts.EngineSidecar)
        return sidecar


def drive(
    fleet: Fleet, load: Load, number: int, until: float, since: float
) -> None:
    """Creates a program and makes its calls one after another.

    Args:
        fleet: the fleet.
        load: where to record the results.
        number: number of the entry host, and seed of the think times.
        until: simulated time after which no call starts.
        since: simulated time from which `load.slowest` is measured.
    """
    # Random think times between calls keep the callers from synchronizing.
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
            call_seconds = fleet.timers.now() - max(started, since)
            load.slowest = max(load.slowest, call_seconds)
        fleet.timers.sleep(rng.uniform(0.0, THINK_SECONDS))
