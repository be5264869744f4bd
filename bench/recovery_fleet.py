"""A fleet whose programs are driven while their owners die."""

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
TURNS = 2
CALLERS = 150
THINK_SECONDS = 0.1
MAX_TOKENS = 8
CALL_SECONDS = 30.0
BUDGET = records.Budget(tokens=100_000, calls=1000, seconds=36_000.0)


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


class Fleet:
    """A local fleet with programs."""

    def __init__(self, seed: int, plan: local.FleetSpec) -> None:
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
        program = self.ids.program(local.ENGINE_POOL, self.fleet.spec.shards)
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


def drive(
    fleet: Fleet, load: Load, number: int, until: float, since: float
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
