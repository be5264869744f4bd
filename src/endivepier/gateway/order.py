"""Which turns are sent while turns wait at all engines.

Only whole programs count. A turn that waits too long is given up by its
client and comes again, so that sending more than the engines can take makes
them do work for nobody. What is refused is decided by what its program has to
lose: one that begins loses least, one that is in time and under way most.
"""

from __future__ import annotations

from endivepier.gateway import model

# Longest waits for the first event, in seconds, at which a turn is sent. A
# program may take some six tenths beyond its time on idle engines, 0.15 s a
# turn, of which a first turn leaves most to those that follow it.
FIRST_TURN_SECONDS = 0.06
LATE_SECONDS = 0.11
UNDER_WAY_SECONDS = 0.28


def patience(call: model.Call, now: float) -> float:
    """Returns the longest wait at engines at which a turn is still sent."""
    if call.is_first_turn:
        return FIRST_TURN_SECONDS
    due = call.program_deadline
    if due is not None and due <= now:
        return LATE_SECONDS
    return UNDER_WAY_SECONDS
