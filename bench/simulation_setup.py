"""Settings, messages and results of the simulated scheduling runs."""

from __future__ import annotations

import dataclasses
import enum

from endivepier.scheduling import policies
from endivepier.scheduling import work as work_lib
from endivepier.standins import engine as engine_lib
from endivepier.targets import ports

PROFILE = engine_lib.EngineProfile(tokens_per_event=64, kv_tokens=120000)


class Fault(enum.StrEnum):
    """A fault that is injected into a run.

    Attributes:
        NONE: no fault.
        KILLED: one sidecar's host is killed after a third of the run.
        SLOWED: one engine becomes 10 times slower after a third of the run.
        LATE_EVENTS: all engines delay and lose cache events during the whole
            run. It is set in their profile, not injected by the cluster.
    """

    NONE = "none"
    KILLED = "killed"
    SLOWED = "slowed"
    LATE_EVENTS = "late_events"


@dataclasses.dataclass(frozen=True, slots=True)
class Setup:
    """The scheduling settings of one run.

    Attributes:
        queue_policy: the policy of the queues.
        route_policy: the policy of the routers.
        slots: most requests that run at an engine at the same time.
        queue_limit: most requests that wait at a sidecar.
        profile: the engines' speed and cache size.
    """

    queue_policy: policies.QueuePolicy
    route_policy: policies.RoutePolicy
    slots: int = 8
    queue_limit: int = 512
    profile: engine_lib.EngineProfile = PROFILE


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedCall:
    """Message: a model call, sent to the sidecar that owns the program."""

    work: work_lib.Work
    request: ports.Generate


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramOver:
    """Message: the program has ended; its owner releases its prefix."""

    program_id: str


@dataclasses.dataclass(slots=True)
class Outcome:
    """The results of one run.

    Attributes:
        latencies: seconds from start to end of each completed program that is
            not part of the flood.
        completed: for each completed call, with those of the flood, the index
            of its program in the plans, its turn, and its time of completion
            in seconds.
        refusals: number of refused calls, without those of the flood.
        flood_refusals: number of refused calls of the flood.
        failed_programs: programs that ended because a call ran out of retries,
            with those of the flood.
        history_tokens: prompt tokens that earlier turns had already contained.
        recomputed_tokens: history tokens that were not in the engine's cache.
        calls_sent: calls sent, with retries and without those of the flood.
    """

    latencies: list[float] = dataclasses.field(default_factory=list)
    completed: list[tuple[int, int, float]] = dataclasses.field(
        default_factory=list
    )
    refusals: int = 0
    flood_refusals: int = 0
    failed_programs: int = 0
    history_tokens: int = 0
    recomputed_tokens: int = 0
    calls_sent: int = 0
