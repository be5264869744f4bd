"""Calls whose answer is a stream of events: turns at model engines.

Events are handed on as they arrive. What decides while a stream runs:

* A turn's tokens are reserved in its program's budget. If that is likely to
  succeed, the target begins at once and the first event waits for the
  reservation instead.
* A stream that may be resumed goes on at another target after a break, from
  the last event that was handed on.
* A turn that is kept is durable before its stream ends.
"""

from __future__ import annotations

import dataclasses

import eliot

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import budget_owners
from endivepier.gateway import calls
from endivepier.gateway import catalog as catalog_lib
from endivepier.gateway import events
from endivepier.gateway import exchange as exchange_lib
from endivepier.gateway import model
from endivepier.gateway import order
from endivepier.gateway import reach
from endivepier.gateway import turn_tokens
from endivepier.gateway import turns as turns_lib
from endivepier.http1 import messages

# Silence after which a resumable stream is continued elsewhere, in longest
# pauses of the route, and at least in seconds.
SILENCE_GAPS = 3.0
MIN_SILENCE_SECONDS = 0.4
# A prompt may wait in a queue and be read before the first event.
MIN_FIRST_EVENT_SECONDS = 1.0
BUSY_RETRY_SECONDS = 0.2  # a queue of a few tenths has gone by then
# A client leaves a stream that is silent for two seconds.
MAX_COMMIT_SECONDS = 2.0


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a stream has come.

    Attributes:
        started: whether the head has been sent to the client.
        handed: how many events were handed on.
        last: number of the last one, or of the last that the client has.
        output: data of the events, each with a line feed; kept turns only.
        head: the head of the first target's answer, which the client gets.
    """

    started: bool = False
    events_sent: int = 0
    last_event_id: int | None = None
    output: list[bytes] = dataclasses.field(default_factory=list)
    head: messages.Head | None = None


class StreamCalls:
    """Serves streams."""

    def __init__(
        self,
        catalog: catalog_lib.Catalog,
        dispatcher: exchange_lib.Dispatcher,
        tokens: turn_tokens.TurnTokens,
        turns: turns_lib.TurnStore,
        store: reach.Store,
        timers: timers_lib.Timers,
    ) -> None:
        self._catalog = catalog
        self._dispatcher = dispatcher
        self._tokens = tokens
        self._turns = turns
        self._store = store
        self._timers = timers

    def serve(self, ctx: calls.CallContext) -> None:
        """Answers a call with a stream.

        Raises:
            errors.Refused: it is answered with this refusal; nothing was
                sent to the client.
        """
        self._check_load(ctx)
        body = self._request_body(ctx)
        reservation = self._tokens.reserve(ctx)
        if reservation is not None:
            ctx.last_target = reservation.last_target
        progress = Progress(last_event_id=ctx.call.last_event)
        try:
            self._run(ctx, body, reservation, progress)
        finally:
            if reservation is not None:
                self._tokens.settle(ctx, reservation, progress.events_sent)

    def _check_load(self, ctx: calls.CallContext) -> None:
        """Refuses a turn while the engines have too much to do.

        Raises:
            errors.Refused: the call has not run.
        """
        if ctx.engine is None:
            return
        reason = order.refusal(
            ctx.call,
            self._dispatcher.placement,
            self._catalog.targets(ctx.service),
            self._timers.now(),
            begins=ctx.is_first_turn,
            delayed=ctx.delayed,
        )
        if reason:
            raise errors.Refused(
                errors.Code.OVERLOADED,
                503,
                f"service {ctx.service!r}: {reason}",
                retry_after=BUSY_RETRY_SECONDS,
            )

    def _request_body(self, ctx: calls.CallContext) -> bytes:
        """Returns what the target receives: the chain and the new input."""
        call = ctx.call
        if not ctx.route.retained:
            return call.body
        wait_seconds = calls.store_wait_seconds(ctx)
        if not self._store.wait_back(wait_seconds):
            raise calls.store_unavailable(
                "the turn could not be kept now", self._store.away_seconds()
            )
        if not call.previous:
            return call.body
        try:
            turn = self._turns.find(call.previous, ctx.account)
        except errors.Unavailable as exc:
            raise calls.store_unavailable(
                f"turn {call.previous!r} can't be read now: {exc}",
                self._store.away_seconds(),
            ) from exc
        if turn is None:
            raise errors.Refused(
                errors.Code.NOT_FOUND,
                404,
                f"turn {call.previous!r} does not exist; start a new chain",
            )
        return turn.history + call.body

    def _run(
        self,
        ctx: calls.CallContext,
        body: bytes,
        reservation: budget_owners.Reservation | None,
        progress: Progress,
    ) -> None:
        try:
            while not self._try_next(ctx, body, reservation, progress):
                pass
        except errors.Refused as exc:
            if not progress.started and not ctx.tried:
                raise
            self._abort(ctx, progress, exc)

    def _try_next(
        self,
        ctx: calls.CallContext,
        body: bytes,
        reservation: budget_owners.Reservation | None,
        progress: Progress,
    ) -> bool:
        """Sends the call to the next target; returns whether it ended."""
        target = calls.next_target(
            ctx, self._catalog, self._dispatcher.placement, self._timers
        )
        try:
            return self._attempt(ctx, target, body, reservation, progress)
        except errors.TargetFailed as exc:
            calls.after_failure(ctx, target, exc, self._timers.now())
            return False

    def _attempt(
        self,
        ctx: calls.CallContext,
        target: model.Target,
        body: bytes,
        reservation: budget_owners.Reservation | None,
        progress: Progress,
    ) -> bool:
        """Sends the call once; returns whether it was answered."""
        dispatch = model.Dispatch(
            target,
            ctx.account,
            ctx.deadline - self._timers.now(),
            body,
            last_event=progress.last_event_id,
        )
        exchange = self._dispatcher.send(
            ctx.call, dispatch, repeatable=ctx.route.repeatable
        )
        ctx.tried.append(target.incarnation)
        with exchange:
            exchange.read_head(self._event_deadline(ctx, first=True))
            if exchange.not_run:
                calls.after_rejection(ctx, exchange, self._timers.now())
                return False
            self._relay(ctx, exchange, reservation, progress, body)
            return True

    def _relay(
        self,
        ctx: calls.CallContext,
        exchange: exchange_lib.Exchange,
        reservation: budget_owners.Reservation | None,
        progress: Progress,
        body: bytes,
    ) -> None:
        """Hands on the events of one target until its answer ends."""
        head = exchange.head
        if head.status != 200 or not exchange.verdict.sealed:
            self._relay_response(ctx, exchange, progress)
            return
        if progress.head is None:
            progress.head = head
        splitter = events.Splitter()
        resume_after = progress.last_event_id
        while True:
            deadline = self._event_deadline(
                ctx, first=progress.events_sent == 0
            )
            data = exchange.read(deadline)
            if data is None:
                break
            new_events = [
                event
                for event in splitter.feed(data)
                if resume_after is None
                or event.id is None
                or event.id > resume_after
            ]
            if new_events and not progress.events_sent:
                exchange.report_first_event()
            if new_events:
                if reservation is not None and not progress.events_sent:
                    self._tokens.wait(ctx, reservation, ctx.route.timeout)
                self._forward(ctx, new_events, progress)
        self._finish(ctx, progress, splitter.partial_event, body)

    def _forward(
        self,
        ctx: calls.CallContext,
        new_events: list[events.Event],
        progress: Progress,
    ) -> None:
        """Sends whole events to the client at once."""
        if not progress.started:
            self._send_head(ctx, progress)
        progress.events_sent += len(new_events)
        for event in new_events:
            if event.id is not None:
                progress.last_event_id = event.id
            if ctx.route.retained:
                progress.output.append(event.data + b"\n")
        ctx.responder.write(b"".join(event.raw for event in new_events))

    def _send_head(self, ctx: calls.CallContext, progress: Progress) -> None:
        assert progress.head is not None
        headers = messages.end_to_end(progress.head.headers)
        progress.started = True
        ctx.responder.start(progress.head.status, headers)

    def _finish(
        self,
        ctx: calls.CallContext,
        progress: Progress,
        partial_event: bytes,
        body: bytes,
    ) -> None:
        """Ends a whole stream; a kept turn is durable before that."""
        if not progress.started:
            self._send_head(ctx, progress)
        if partial_event:
            ctx.responder.write(partial_event)
        if ctx.route.retained:
            turn = turns_lib.Turn(
                ctx.call.id,
                ctx.account,
                body + b"".join(progress.output),
            )
            now = self._timers.now()
            deadline = min(now + MAX_COMMIT_SECONDS, ctx.deadline)
            try:
                self._turns.commit(turn, ctx.route.retention, deadline)
            except errors.OutcomeUnknown as exc:
                raise errors.Refused(
                    errors.Code.STORE_UNAVAILABLE,
                    502,
                    str(exc),
                    ran=errors.Ran.YES,
                ) from exc
        ctx.responder.finish()

    def _relay_response(
        self,
        ctx: calls.CallContext,
        exchange: exchange_lib.Exchange,
        progress: Progress,
    ) -> None:
        """Hands on an answer that is not a stream."""
        deadline = ctx.deadline
        body = exchange.read_all(deadline)
        if progress.started:
            raise errors.TargetFailed(
                exchange.target.name,
                f"it answered {exchange.head.status} to a continued stream",
                sent=True,
            )
        headers = messages.end_to_end(exchange.head.headers)
        ctx.responder.send(exchange.head.status, headers, body)

    def _event_deadline(self, ctx: calls.CallContext, *, first: bool) -> float:
        """Returns until when to wait for the next event."""
        silence_seconds = max(SILENCE_GAPS * ctx.route.gap, MIN_SILENCE_SECONDS)
        if first:
            silence_seconds = max(silence_seconds, MIN_FIRST_EVENT_SECONDS)
        return ctx.response_deadline(self._timers.now(), silence_seconds)

    def _abort(
        self,
        ctx: calls.CallContext,
        progress: Progress,
        exc: errors.Refused,
    ) -> None:
        """Ends a call that can't be finished; never as if it were whole."""
        if not progress.started:
            raise exc
        eliot.log_message(
            "stream.broken_off",
            request=ctx.call.id,
            events=progress.events_sent,
            last_event=progress.last_event_id,
            reason=str(exc),
        )
        raise StreamAborted(exc)


class StreamAborted(errors.EndivepierError):
    """Raised when an answer that has begun can't be finished.

    Close the client's connection.
    """
