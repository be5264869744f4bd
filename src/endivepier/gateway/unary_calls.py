"""Serves calls with a single response body, such as calls to tools."""

from __future__ import annotations

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import calls
from endivepier.gateway import exchange as exchange_lib
from endivepier.gateway import model
from endivepier.gateway.choice import target_choice
from endivepier.gateway.suspects import guard as suspect_guard
from endivepier.http1 import messages

# A repeatable call is sent to another target when its target has been silent
# for this multiple of the route's latency objective, and for no less than the
# minimum below. Nearly all responses arrive well before.
SILENCE_OBJECTIVES = 1.5
MIN_SILENCE_SECONDS = 0.15
# The least time to read a body after its head has arrived. The target has done
# the work by then, so abandoning the response would waste it.
MIN_BODY_SECONDS = 0.2


class UnaryCalls:
    """Sends calls to targets and relays complete responses only."""

    def __init__(
        self,
        dispatcher: exchange_lib.Dispatcher,
        choice: target_choice.TargetChoice,
        guard: suspect_guard.SuspectGuard,
        timers: timers_lib.Timers,
    ) -> None:
        self._dispatcher = dispatcher
        self._choice = choice
        self._guard = guard
        self._timers = timers

    def serve(self, ctx: calls.CallContext) -> None:
        """Sends a call to targets until one runs it, and relays the response.

        Raises:
            errors.Refused: no response can be relayed; the caller sends this
                error response instead.
        """
        self._guard.begin(ctx)
        try:
            self._run(ctx)
        finally:
            self._guard.end(ctx)

    def _run(self, ctx: calls.CallContext) -> None:
        while True:
            target = self._choice.next(ctx)
            try:
                exchange, body = self._attempt(ctx, target)
            except errors.TargetFailed as exc:
                self._guard.note_failure(ctx, target, exc)
                calls.handle_failure(ctx, target, exc, self._timers.now())
                continue
            try:
                if exchange.not_run:
                    calls.handle_rejection(ctx, exchange, self._timers.now())
                    continue
                self._guard.note_completed(ctx)
                self._respond(ctx, exchange.head, body)
                return
            finally:
                exchange.release_body()

    def _attempt(
        self, ctx: calls.CallContext, target: model.Target
    ) -> tuple[exchange_lib.Exchange, bytes]:
        ctx.sent_at = now = self._timers.now()
        dispatch = model.Dispatch(
            target,
            ctx.account,
            ctx.deadline - now,
            ctx.call.body,
            contents=ctx.contents,
        )
        repeatable = ctx.route.repeatable
        exchange = self._dispatcher.send(
            ctx.call, dispatch, repeatable=repeatable
        )
        ctx.tried.append(target.incarnation)
        with exchange:
            deadline = self._response_deadline(ctx)
            exchange.read_head(deadline)
            body = exchange.read_all(
                max(deadline, self._timers.now() + MIN_BODY_SECONDS)
            )
        return exchange, body

    def _response_deadline(self, ctx: calls.CallContext) -> float:
        """Returns until when to wait for the response of a new attempt."""
        silence_seconds = max(
            SILENCE_OBJECTIVES * ctx.route.objective, MIN_SILENCE_SECONDS
        )
        return ctx.response_deadline(self._timers.now(), silence_seconds)

    def _respond(
        self, ctx: calls.CallContext, head: messages.Head, body: bytes
    ) -> None:
        headers = messages.end_to_end(head.headers)
        ctx.responder.send(head.status, headers, body)
