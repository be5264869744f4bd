"""Refuses turns while the engines are overloaded.

Only completed programs are of use. Full engines make every program late, and a
client gives up a turn that waits too long and sends it again, which adds load.
So turns are refused before the engines are full, those of programs with the
least to lose first: a program that has not begun has the least to lose, a
running one that is still in time the most. A program that begins so late that
it is likely to end late is refused earliest, since it would make others late.
"""

from __future__ import annotations

import dataclasses

from endivepier.gateway import model
from endivepier.gateway.choice import placement as placement_lib


@dataclasses.dataclass(frozen=True, slots=True)
class LoadLimits:
    """Load of the engines above which a turn is refused.

    Attributes:
        wait_seconds: queueing delay at the engine with the shortest one. A
            program may take some 60 % longer than on idle engines, which
            allows a delay of 0.15 s for each turn; a first turn leaves most
            of that allowance to later turns.
        calls_per_slot: running calls per slot of the engines. Up to about 0.8,
            turns run nearly as fast as alone; from 1.0 on, they queue.
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
    """Returns the load above which a turn is refused.

    Args:
        call: the turn.
        now: the time, monotonic seconds.
        begins: whether it is the first turn of its program.
        delayed: whether the program begins so late that it is likely to end
            late.
    """
    if begins:
        return DELAYED_FIRST_TURN_LIMITS if delayed else FIRST_TURN_LIMITS
    deadline = call.program_deadline
    if deadline is not None and deadline <= now:
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
    slots: float | None = None,
) -> str:
    """Returns why a turn is refused; empty if it is admitted.

    Args:
        call: the turn.
        placement: knows the load of the engines.
        targets: the engines that accept it.
        now: the time, monotonic seconds.
        begins: whether it is the first turn of its program.
        delayed: whether the program begins so late that it is likely to end
            late.
        slots: how many of the engines' slots may be used; all if None.
    """
    limits = load_limits(call, now, begins=begins, delayed=delayed)
    wait = placement.shortest_wait(targets)
    if wait > limits.wait_seconds:
        return f"turns wait {wait:.2f} s at the engines"
    per_slot = placement.calls_per_slot(targets, slots)
    if per_slot >= limits.calls_per_slot:
        return (
            f"{per_slot:.2f} turns are under way for each slot of the engines"
        )
    return ""
