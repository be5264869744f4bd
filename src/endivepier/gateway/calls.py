"""The state of one client call, and its errors."""

from __future__ import annotations

import dataclasses

import eliot

from endivepier import errors
from endivepier.gateway import exchange as exchange_lib
from endivepier.gateway import model
from endivepier.http1 import responding

# `Retry-After` when all targets are full or unreachable. A turn at an engine
# takes some 200 ms, so slots become free all the time.
FULL_RETRY_SECONDS = 0.15
MIN_STORE_RETRY_SECONDS = 0.7  # store outages last seconds
# How long a call waits for an unavailable store: a quarter of the clients'
# timeout of 4 s, so that a client's attempts together outlast most outages.
STORE_WAIT_SECONDS = 1.0
# With these waits, and those that `Retry-After` asks for, a client's attempts
# last for so long. In a longer outage no call waits.
OUTLASTED_SECONDS = 10.0
# Longer values would have no effect: clients wait at most a third of their
# timeout of 4 s before a retry.
MAX_STORE_RETRY_SECONDS = 2.0
NOT_READY_RETRY_SECONDS = 0.5  # before the catalog is complete
# With less time than this before the deadline, no target can respond in time.
MIN_REMAINING_SECONDS = 0.01


@dataclasses.dataclass(slots=True)
class CallContext:
    """A client call and the state of serving it.

    Attributes:
        call: the decoded request.
        route: the route that matches the request.
        account: name of the client account, or empty.
        service: name of the service that the call is sent to.
        engine: properties of the service's model engines, or None if the
            service has none.
        responder: sends the response to the client.
        deadline: when the call must be answered, in monotonic seconds.
        last_target: the target that ran the program's previous turn, or empty.
        is_first_turn: whether the call is the first turn of its program, as
            decided when it got its rate limit token (see `accounts.shares`).
        delayed: whether the program begins so late that it is likely to miss
            its deadline.
        software_version: version that a target must have to run the call, as
            it began the call's stream; None for any version.
        tried: incarnations of the targets that the call was sent to.
        unreachable: incarnations of the targets that accepted no connection.
        may_have_run: whether any target may have run the call.
        may_continue: whether another target can go on after the events that
            the client has: the last of them has an id.
        contents: fingerprints of the request, the same for each retry.
        sent_at: when it was last sent to a target, monotonic seconds.
        has_turn: whether it has the turn of a suspected request.
        homes: the regions that may run it; None for all.
    """

    call: model.Call
    route: model.Route
    account: str
    service: str
    engine: model.Engine | None
    responder: responding.Responder
    deadline: float
    last_target: str = ""
    is_first_turn: bool = False
    delayed: bool = False
    software_version: str | None = None
    tried: list[str] = dataclasses.field(default_factory=list)
    unreachable: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    may_continue: bool = True
    contents: tuple[str, ...] = ()
    sent_at: float = 0.0
    has_turn: bool = False
    homes: frozenset[str] | None = None

    def may_retry(self, now: float) -> bool:
        """Returns whether the call may be sent to another target."""
        remaining = self.deadline - now
        return (
            len(self.tried) < self.route.most_targets
            and remaining > MIN_REMAINING_SECONDS
        )

    def may_run_again(self, now: float) -> bool:
        """Returns whether the call may be resent although it may have run."""
        return (
            self.route.repeatable and self.may_continue and self.may_retry(now)
        )

    def response_deadline(self, now: float, seconds: float) -> float:
        """Returns until when to wait for a silent target.

        A call that may not run again waits until its own deadline.

        Args:
            now: the current time, in monotonic seconds.
            seconds: how long a target may be silent before a call that may
                run again is sent to another one.
        """
        if not self.may_run_again(now):
            return self.deadline
        return min(self.deadline, now + seconds)


def overloaded(
    ctx: CallContext, detail: str, retry_after: float = FULL_RETRY_SECONDS
) -> errors.Refused:
    """Returns the error for a call that no target accepts."""
    return errors.Refused(
        errors.Code.OVERLOADED,
        503,
        f"service {ctx.service!r}: {detail}",
        retry_after=retry_after,
    )


def store_wait_seconds(ctx: CallContext, outage_seconds: float) -> float:
    """Returns how long a call may wait for an unavailable store, in seconds.

    A running program loses all its work if its turn is refused too often
    during an outage, so its calls wait. A program that has not begun loses
    nothing by a later retry, so its first turn does not wait. In an outage that
    the client's attempts do not outlast no call waits, so that its client can
    decide at once what to do.

    Args:
        ctx: the call.
        outage_seconds: how long the store has been unavailable.
    """
    if ctx.is_first_turn or outage_seconds >= OUTLASTED_SECONDS:
        return 0.0
    return STORE_WAIT_SECONDS


def store_unavailable(detail: str, seconds: float) -> errors.Refused:
    """Returns the error for a call that needs the store during an outage.

    `Retry-After` grows with the outage: one that has lasted for some time is
    likely to last as long again, and each retry that comes too early uses up
    one of the client's few attempts.

    Args:
        detail: what the store is needed for.
        seconds: how long the store has been unavailable.
    """
    return errors.Refused(
        errors.Code.STORE_UNAVAILABLE,
        503,
        detail,
        retry_after=min(
            max(seconds, MIN_STORE_RETRY_SECONDS), MAX_STORE_RETRY_SECONDS
        ),
    )


def _outcome_unknown(exc: errors.TargetFailed) -> errors.Refused:
    """Returns the error for a call that a target may have run."""
    return errors.Refused(
        errors.Code.OUTCOME_UNKNOWN,
        504 if exc.timeout else 502,
        str(exc),
        ran=errors.Ran.UNKNOWN,
    )


def _record_failure(
    ctx: CallContext, target: model.Target, exc: errors.TargetFailed
) -> None:
    """Records a target's failure, so that the call is not sent to it again.

    The failure counts as an attempt only if part of the call was sent.
    """
    eliot.log_message(
        "call.target_failed",
        request=ctx.call.id,
        target=exc.target,
        sent=exc.sent,
        reason=str(exc),
        attempts=len(ctx.tried),
        most=ctx.route.most_targets,
    )
    if not exc.sent:
        ctx.unreachable.add(target.incarnation)
        return
    ctx.may_have_run = True
    if target.incarnation not in ctx.tried:
        ctx.tried.append(target.incarnation)


def handle_failure(
    ctx: CallContext,
    target: model.Target,
    exc: errors.TargetFailed,
    now: float,
) -> None:
    """Records a target's failure and checks that the call may be resent.

    Raises:
        errors.Refused: the call may have run and may not run again.
    """
    _record_failure(ctx, target, exc)
    if exc.sent and not ctx.may_run_again(now):
        raise _outcome_unknown(exc)


def handle_rejection(
    ctx: CallContext, exchange: exchange_lib.Exchange, now: float
) -> None:
    """Checks that a call may be resent after a target refused to run it.

    Raises:
        errors.Refused: no attempt or no time is left.
    """
    eliot.log_message(
        "call.rejected",
        request=ctx.call.id,
        target=exchange.target.name,
        status=exchange.head.status,
        attempts=len(ctx.tried),
    )
    if not ctx.may_retry(now):
        raise overloaded(
            ctx,
            f"the last of {len(ctx.tried)} targets tried did not run the call",
        )
