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
class Limits:
    """Up to when a turn is sent.

    Attributes:
        wait: seconds that first events lately waited at the best engine. A
            program may take some six tenths beyond its time on idle engines,
            0.15 s a turn, of which a first turn leaves most to later ones.
        crowd: calls under way for each slot of the engines. Up to about four
            fifths, turns run nearly as fast as alone; at one, others queue.
    """

    wait: float
    crowd: float


FIRST_TURN = Limits(0.06, 0.8)
DELAYED_FIRST_TURN = Limits(0.06, 0.3)
LATE = Limits(0.11, 1.0)
UNDER_WAY = Limits(0.28, 2.0)


def limits(
    call: model.Call, now: float, *, begins: bool, delayed: bool
) -> Limits:
    """Returns up to when a turn is sent.

    Args:
        call: the turn.
        now: the time.
        begins: whether it begins its program.
        delayed: whether that begins too late to end in time.
    """
    if begins:
        return DELAYED_FIRST_TURN if delayed else FIRST_TURN
    due = call.program_deadline
    if due is not None and due <= now:
        return LATE
    return UNDER_WAY


def refusal(
    call: model.Call,
    placement: placement_lib.Placement,
    targets: list[model.Target],
    now: float,
    *,
    begins: bool,
    delayed: bool,
) -> str:
    """Returns why a turn is refused; empty if it is not."""
    bounds = limits(call, now, begins=begins, delayed=delayed)
    wait = placement.least_wait(targets)
    if wait > bounds.wait:
        return f"turns wait {wait:.2f} s at the engines"
    crowd = placement.crowd(targets)
    if crowd >= bounds.crowd:
        return f"{crowd:.2f} turns are under way for each slot of the engines"
    return ""
