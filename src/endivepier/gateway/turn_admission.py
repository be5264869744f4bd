"""Which turns are refused while engines have much to do.

Only whole programs count. Engines that are full make every program late, and
a turn that waits too long is given up by its client and comes again. So the
engines are kept below that by what a program has to lose: one that begins
loses least, one that is in time and under way most. One that begins too late
to end in time has lost already what others would lose for it.
"""

from __future__ import annotations

import dataclasses

from endivepier.gateway import model
from endivepier.gateway import placement as placement_lib


@dataclasses.dataclass(frozen=True, slots=True)
class LoadLimits:
    """Up to when a turn is sent.

    Attributes:
        wait: seconds that first events lately waited at the best engine. A
            program may take some six tenths beyond its time on idle engines,
            0.15 s a turn, of which a first turn leaves most to later ones.
        crowd: calls under way for each slot of the engines. Up to about four
            fifths, turns run nearly as fast as alone; at one, others queue.
    """

    wait_seconds: float
    calls_per_slot: float


FIRST_TURN_LIMITS = LoadLimits(0.06, 0.8)
DELAYED_FIRST_TURN_LIMITS = LoadLimits(0.06, 0.3)
LATE_PROGRAM_LIMITS = LoadLimits(0.11, 1.0)
RUNNING_PROGRAM_LIMITS = LoadLimits(0.28, 2.0)


def load_limits(
    call: model.Call, now: float, *, begins: bool, delayed: bool
) -> LoadLimits:
    """Returns up to when a turn is sent.

    Args:
        call: the turn.
        now: the time.
        begins: whether it begins its program.
        delayed: whether that begins too late to end in time.
    """
    if begins:
        return DELAYED_FIRST_TURN_LIMITS if delayed else FIRST_TURN_LIMITS
    due = call.program_deadline
    if due is not None and due <= now:
        return LATE_PROGRAM_LIMITS
    return RUNNING_PROGRAM_LIMITS


def refusal_reason(
    call: model.Call,
    placement: placement_lib.Placement,
    targets: list[model.Target],
    now: float,
    *,
    begins: bool,
    delayed: bool,
) -> str:
    """Returns why a turn is refused; empty if it is not."""
    bounds = load_limits(call, now, begins=begins, delayed=delayed)
    wait = placement.shortest_wait(targets)
    if wait > bounds.wait_seconds:
        return f"turns wait {wait:.2f} s at the engines"
    per_slot = placement.calls_per_slot(targets)
    if per_slot >= bounds.calls_per_slot:
        return (
            f"{per_slot:.2f} turns are under way for each slot of the engines"
        )
    return ""
