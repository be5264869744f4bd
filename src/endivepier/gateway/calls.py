"""A call on its way: what was decided for it so far, and its refusals."""

from __future__ import annotations

import dataclasses

import eliot

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import catalog as catalog_lib
from endivepier.gateway import exchange as exchange_lib
from endivepier.gateway import model
from endivepier.gateway import placement as placement_lib
from endivepier.http1 import server as server_lib

# How soon a client may come back when all targets are full or unreachable:
# a turn at an engine lasts some 200 ms, and slots come free all the time.
FULL_RETRY_SECONDS = 0.15
MIN_STORE_RETRY_SECONDS = 0.7  # at least: the store's outages last seconds
# A quarter of the users' deadlines, so that a client's tries last longer than
# most outages.
STORE_WAIT_SECONDS = 1.0
MAX_STORE_RETRY_SECONDS = 2.0  # clients wait a third of their 4 s at most
NOT_READY_RETRY_SECONDS = 0.5
# What is left of a deadline below which no target can answer in time.
MIN_REMAINING_SECONDS = 0.01


@dataclasses.dataclass(slots=True)
class CallContext:
    """A call with what was decided for it.

    Attributes:
        call: what the client asks.
        route: where it goes.
        account: name of its client account, or empty.
        service: name of the service that serves it.
        engine: what is known of the service's engines, or None.
        responder: the way back to the client.
        deadline: when it must be answered, monotonic seconds.
        last_target: the target that ran the program's turn before, or empty.
        is_first_turn: whether it is its program's first turn, as far as known.
        delayed: whether its program begins so late, after refusals, that it
            would not end in time.
        tried: incarnations of targets that it was sent to.
        unreachable: incarnations of targets that took no connection.
        may_have_run: whether some target may have run the call.
    """

    call: model.Call
    route: model.Route
    account: str
    service: str
    engine: model.Engine | None
    responder: server_lib.Responder
    deadline: float
    last_target: str = ""
    is_first_turn: bool = False
    delayed: bool = False
    tried: list[str] = dataclasses.field(default_factory=list)
    unreachable: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False

    def may_retry(self, now: float) -> bool:
        """Returns whether another target may be sent the call."""
        remaining = self.deadline - now
        return (
            len(self.tried) < self.route.most_targets
            and remaining > MIN_REMAINING_SECONDS
        )

    def may_run_again(self, now: float) -> bool:
        """Returns whether it may be sent again although it may have run."""
        return self.route.repeatable and self.may_retry(now)

    def response_deadline(self, now: float, seconds: float) -> float:
        """Returns until when a target may be silent.

        Args:
            now: the time.
            seconds: after how long the call is better sent elsewhere.
        """
        if not self.may_run_again(now):
            return self.deadline
        return min(self.deadline, now + seconds)


def next_target(
    ctx: CallContext,
    catalog: catalog_lib.Catalog,
    placement: placement_lib.Placement,
    timers: timers_lib.Timers,
) -> model.Target:
    """Returns the target that a call goes to next.

    Raises:
        errors.Refused: there is none; the call has not run.
    """
    if ctx.deadline - timers.now() <= MIN_REMAINING_SECONDS:
        raise errors.Refused(
            errors.Code.DEADLINE_EXCEEDED, 503, "no time is left for the call"
        )
    targets = catalog.targets(ctx.service)
    excluded = ctx.unreachable | set(ctx.tried)
    target = placement.choose(
        ctx.call, targets, ctx.engine, excluded, ctx.last_target
    )
    if target is None:
        raise overloaded(ctx, f"{len(targets)} targets, none takes the call")
    return target


def overloaded(ctx: CallContext, detail: str) -> errors.Refused:
    """Returns the refusal of a call that no target took."""
    return errors.Refused(
        errors.Code.OVERLOADED,
        503,
        f"service {ctx.service!r}: {detail}",
        retry_after=FULL_RETRY_SECONDS,
    )


def store_wait_seconds(ctx: CallContext) -> float:
    """Returns how long a call may wait for a store that is away, in seconds.

    A program under way loses all that it has done if its turn is refused too
    often before the store is back; one that begins can come back later.
    """
    return 0.0 if ctx.is_first_turn else STORE_WAIT_SECONDS


def store_unavailable(detail: str, seconds: float) -> errors.Refused:
    """Returns the refusal of a call that needs the store.

    An outage that has lasted for a while is likely to last as long again. A
    client has few tries, and one that comes back too early has one less.

    Args:
        detail: what can't be done.
        seconds: how long the store has been away.
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
    """Returns the answer to a call that may have run."""
    return errors.Refused(
        errors.Code.OUTCOME_UNKNOWN,
        504 if exc.timeout else 502,
        str(exc),
        ran=errors.Ran.UNKNOWN,
    )


def _record_failure(
    ctx: CallContext, target: model.Target, exc: errors.TargetFailed
) -> None:
    """Notes that a target did not answer a call, so that it is not asked again.

    Its failure counts as an attempt if something was sent.
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


def after_failure(
    ctx: CallContext,
    target: model.Target,
    exc: errors.TargetFailed,
    now: float,
) -> None:
    """Decides whether a call goes elsewhere after a target failed.

    Raises:
        errors.Refused: it does not; it may have run.
    """
    _record_failure(ctx, target, exc)
    if exc.sent and not ctx.may_run_again(now):
        raise _outcome_unknown(exc)


def after_rejection(
    ctx: CallContext, exchange: exchange_lib.Exchange, now: float
) -> None:
    """Decides whether a call goes elsewhere after a target's "not run".

    Raises:
        errors.Refused: it does not.
    """
    eliot.log_message(
        "call.rejected",
        request=ctx.call.id,
        target=exchange.target.name,
        status=exchange.head.status,
        attempts=len(ctx.tried),
    )
    if not ctx.may_retry(now):
        raise overloaded(ctx, f"{len(ctx.tried)} targets were full")
