"""How long a stream waits for a target that sends nothing."""

from __future__ import annotations

from endivepier.gateway import calls

# A resumable stream continues at another target after a silence of this
# multiple of the route's objective for the pause between events, and of no less
# than the minimum below.
SILENCE_GAPS = 3.0
MIN_SILENCE_SECONDS = 0.4
# The minimum before the first event: the engine may queue the call, and it
# prefills the prompt.
MIN_FIRST_EVENT_SECONDS = 1.0


def event_deadline(
    ctx: calls.CallContext, now: float, *, first: bool, has_other: bool
) -> float:
    """Returns until when to wait for the next data from a target.

    A silent target is waited for if no other one can continue the stream.

    Args:
        ctx: the call.
        now: the current time, in monotonic seconds.
        first: whether the client has no event yet.
        has_other: whether there is a target that the call was not sent to.
    """
    if not has_other:
        return ctx.deadline
    seconds = max(SILENCE_GAPS * ctx.route.gap, MIN_SILENCE_SECONDS)
    if first:
        seconds = max(seconds, MIN_FIRST_EVENT_SECONDS)
    return ctx.response_deadline(now, seconds)
