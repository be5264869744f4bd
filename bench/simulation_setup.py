"""What a simulated run is given, and what comes out of it."""

from __future__ import annotations

import dataclasses
import enum

from endivepier.scheduling import policies
from endivepier.scheduling import work as work_lib
from endivepier.standins import engine as engine_lib
from endivepier.targets import ports

PROFILE = engine_lib.EngineProfile(tokens_per_event=64, kv_tokens=120000)


class Fault(enum.StrEnum):
    """What goes wrong at a third of the run, until its end."""

    NONE = "none"
    KILLED = "killed"
    SLOWED = "slowed"
    LATE_EVENTS = "late_events"


@dataclasses.dataclass(frozen=True, slots=True)
class Setup:
    """What is measured.

    Attributes:
        queue: the policy of the queues.
        route: the policy of the routers.
        slots: requests at an engine at a time.
        waiting: requests that may wait at a sidecar.
        profile: the engines' speed and size.
    """

    queue: policies.QueuePolicy
    route: policies.RoutePolicy
    slots: int = 8
    waiting: int = 512
    profile: engine_lib.EngineProfile = PROFILE


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedCall:
    """Message: a call for the router of the sidecar that owns the program."""

    work: work_lib.Work
    request: ports.Generate


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramOver:
    """Message: the program has ended; its engine memory is to be freed."""

    program_id: str


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a run gave.

    Attributes:
        latencies: seconds for each whole program without the flood's.
        completed: for each call that ended: its program's number in the
            plans, its turn and the moment.
        refusals: refusals that the driver saw, without the flood's.
        flood_refusals: the flood's.
        failures: programs that gave up.
        history_tokens: prompt tokens that an engine had seen before.
        recomputed_tokens: those of them that were not in a cache.
        tried: calls sent, without the flood's.
    """

    latencies: list[float] = dataclasses.field(default_factory=list)
    completed: list[tuple[int, int, float]] = dataclasses.field(
        default_factory=list
    )
    refusals: int = 0
    flood_refusals: int = 0
    failures: int = 0
    history_tokens: int = 0
    recomputed_tokens: int = 0
    tried: int = 0
