"""Serves calls whose response is an event stream: turns at model engines.

Events are relayed as they arrive:

* A turn's tokens are reserved in its program's budget. If the reservation is
  likely to succeed, the call is sent to the target at once, and the first
  event is held back until the reservation is confirmed.
* After a failure, a resumable stream continues at another target of the same
  software version, from the last event that was sent to the client.
* On a route with `retained`, a turn is stored durably before its stream ends.
"""

from __future__ import annotations

import eliot

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import calls
from endivepier.gateway import exchange as exchange_lib
from endivepier.gateway import model
from endivepier.gateway.budgets import owners as budget_owners
from endivepier.gateway.budgets import turn_tokens
from endivepier.gateway.choice import load_check
from endivepier.gateway.choice import target_choice
from endivepier.gateway.store import access as store_access
from endivepier.gateway.streams import events
from endivepier.gateway.streams import progress as stream_progress
from endivepier.gateway.streams import silence
from endivepier.gateway.streams import turns as turns_lib
from endivepier.gateway.streams import versions as stream_versions
from endivepier.gateway.suspects import guard as suspect_guard
from endivepier.gateway.targets import catalog as catalog_lib
from endivepier.http1 import messages

MAX_EVENT_BYTES = 256 * 1024  # some hundred streams share a host's memory
MAX_STORED_OUTPUT_BYTES = 1024 * 1024  # of one turn
# Clients give up a stream that is silent for two seconds.
MAX_COMMIT_SECONDS = 2.0


class StreamCalls:
    """Sends calls to targets and relays their event streams."""

    def __init__(
        self,
        catalog: catalog_lib.Catalog,
        dispatcher: exchange_lib.Dispatcher,
        choice: target_choice.TargetChoice,
        check: load_check.LoadCheck,
        guard: suspect_guard.SuspectGuard,
        tokens: turn_tokens.TurnTokens,
        versions: stream_versions.StreamVersions,
        turns: turns_lib.TurnStore,
        store: store_access.Store,
        timers: timers_lib.Timers,
    ) -> None:
        self._catalog = catalog
        self._dispatcher = dispatcher
        self._choice = choice
        self._load_check = check
        self._guard = guard
        self._tokens = tokens
        self._versions = versions
        self._turns = turns
        self._store = store
        self._timers = timers

    def serve(self, ctx: calls.CallContext) -> None:
        """Serves a call and relays the target's events to the client.

        Raises:
            errors.Refused: nothing has been sent to the client yet; the caller
                sends this error response.
            stream_progress.StreamAborted: the stream failed after its head was
                sent.
        """
        self._guard.begin(ctx)
        self._versions.set_resumed(ctx)
        self._load_check.check(ctx)
        body = self._request_body(ctx)
        reservation = self._tokens.reserve(ctx)
        if reservation is not None:
            ctx.last_target = reservation.last_target
        progress = stream_progress.Progress(last_event_id=ctx.call.last_event)
        try:
            self._run(ctx, body, reservation, progress)
        finally:
            self._guard.end(ctx)
            if reservation is not None:
                self._tokens.settle(ctx, reservation, progress.events_sent)

    def _request_body(self, ctx: calls.CallContext) -> bytes:
        """Returns the request body: the earlier turns and the new input."""
        call = ctx.call
        if not ctx.route.retained:
            return call.body
        wait_seconds = calls.store_wait_seconds(
            ctx, self._store.outage_seconds()
        )
        if not self._store.wait_until_available(wait_seconds):
            raise calls.store_unavailable(
                "the store for turns is unavailable",
                self._store.outage_seconds(),
            )
        if not call.previous:
            return call.body
        try:
            turn = self._turns.find(call.previous, ctx.account)
        except errors.Unavailable as exc:
            raise calls.store_unavailable(
                f"turn {call.previous!r} can't be read from the store: {exc}",
                self._store.outage_seconds(),
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
        progress: stream_progress.Progress,
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
        progress: stream_progress.Progress,
    ) -> bool:
        """Sends the call to the next target; returns whether it was served."""
        target = self._choice.next(ctx)
        try:
            return self._attempt(ctx, target, body, reservation, progress)
        except errors.TargetFailed as exc:
            self._guard.note_failure(ctx, target, exc)
            calls.handle_failure(ctx, target, exc, self._timers.now())
            return False

    def _attempt(
        self,
        ctx: calls.CallContext,
        target: model.Target,
        body: bytes,
        reservation: budget_owners.Reservation | None,
        progress: stream_progress.Progress,
    ) -> bool:
        """Sends the call to a target; returns whether the target served it."""
        ctx.sent_at = now = self._timers.now()
        dispatch = model.Dispatch(
            target,
            ctx.account,
            ctx.deadline - now,
            body,
            last_event=progress.last_event_id,
            contents=ctx.contents,
        )
        exchange = self._dispatcher.send(
            ctx.call, dispatch, repeatable=ctx.route.repeatable
        )
        ctx.tried.append(target.incarnation)
        with exchange:
            exchange.read_head(self._event_deadline(ctx, first=True))
            if exchange.not_run:
                calls.handle_rejection(ctx, exchange, self._timers.now())
                return False
            self._relay(ctx, exchange, reservation, progress, body)
            self._guard.note_completed(ctx)
            return True

    def _relay(
        self,
        ctx: calls.CallContext,
        exchange: exchange_lib.Exchange,
        reservation: budget_owners.Reservation | None,
        progress: stream_progress.Progress,
        body: bytes,
    ) -> None:
        """Relays one target's response, without events that the client has.

        The end of the response may lie within an event. The stream is cut off
        then, however the response ended.

        Raises:
            errors.TargetFailed: the stream was cut off.
        """
        head = exchange.head
        if head.status != 200 or not exchange.verdict.sealed:
            self._relay_response(ctx, exchange, progress)
            return
        if not progress.started:
            progress.head = head
        splitter = events.Splitter()
        sequence = events.Sequence(progress.last_event_id, progress.started)
        has_event = False  # from this target
        deadline = self._event_deadline(ctx, first=progress.events_sent == 0)
        while True:
            data = exchange.read(deadline)
            if data is None:
                break
            received = splitter.feed(data)
            if splitter.partial_length > MAX_EVENT_BYTES:
                raise exchange.limit_exceeded("event", MAX_EVENT_BYTES)
            new_events = sequence.add(received)
            surplus = self._tokens.surplus(
                ctx, reservation, progress, new_events
            )
            if surplus:
                new_events = new_events[:-surplus]
            if not has_event and not all(e.is_comment for e in new_events):
                has_event = True
                exchange.report_first_event()
            if new_events:
                if reservation is not None and not progress.events_sent:
                    self._tokens.wait(ctx, reservation, ctx.route.timeout)
                if not progress.events_sent:
                    self._versions.set_begun(ctx, exchange.target)
                self._forward(ctx, new_events, progress)
            if sequence.fault:
                raise exchange.failure(sequence.fault)
            if surplus:
                raise exchange.failure("it sent more than the turn's tokens")
            if sequence.has_excess:
                raise exchange.limit_exceeded(
                    "comments", events.MAX_COMMENT_BYTES
                )
            # Neither comments nor parts of an event are progress.
            if not all(event.is_comment for event in received):
                deadline = self._event_deadline(
                    ctx, first=progress.events_sent == 0
                )
            if len(progress.output) > MAX_STORED_OUTPUT_BYTES:
                raise exchange.limit_exceeded("output", MAX_STORED_OUTPUT_BYTES)
        eliot.log_message(
            "stream.ended",
            request=ctx.call.id,
            target=exchange.target.name,
            ended_by="close" if head.until_close else "framing",
            events=progress.events_sent,
            last_event=progress.last_event_id,
            partial_bytes=splitter.partial_length,
        )
        if splitter.partial_length:
            raise exchange.failure("the stream ended within an event")
        if head.until_close and not has_event:
            raise exchange.failure("the connection closed before an event")
        exchange.check_end()
        if sequence.held:
            self._forward(ctx, sequence.held, progress)
        self._finish(ctx, progress, body)

    def _forward(
        self,
        ctx: calls.CallContext,
        new_events: list[events.Event],
        progress: stream_progress.Progress,
    ) -> None:
        """Sends events and comments to the client in one write."""
        if not progress.started:
            self._send_head(ctx, progress)
        for event in new_events:
            if event.is_comment:
                continue
            progress.events_sent += 1
            if event.id is not None:
                progress.last_event_id = event.id
            ctx.may_continue = event.id is not None
            if ctx.route.retained:
                progress.output += event.data + b"\n"
        ctx.responder.write(b"".join(event.raw for event in new_events))

    def _send_head(
        self, ctx: calls.CallContext, progress: stream_progress.Progress
    ) -> None:
        assert progress.head is not None
        headers = messages.end_to_end(progress.head.headers)
        progress.started = True
        ctx.responder.start(progress.head.status, headers)

    def _finish(
        self,
        ctx: calls.CallContext,
        progress: stream_progress.Progress,
        body: bytes,
    ) -> None:
        """Ends a complete stream, after storing the turn if required."""
        if not progress.started:
            self._send_head(ctx, progress)
        if ctx.route.retained:
            turn = turns_lib.Turn(
                ctx.call.id, ctx.account, body + progress.output
            )
            deadline = min(
                self._timers.now() + MAX_COMMIT_SECONDS, ctx.deadline
            )
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
        progress: stream_progress.Progress,
    ) -> None:
        """Relays a response that is not an event stream, such as an error."""
        body = exchange.read_all(ctx.deadline)
        if progress.started:
            raise errors.TargetFailed(
                exchange.target.name,
                f"it answered status {exchange.head.status} instead of resuming"
                " the stream",
                sent=True,
            )
        headers = messages.end_to_end(exchange.head.headers)
        try:
            ctx.responder.send(exchange.head.status, headers, body)
        finally:
            exchange.release_body()

    def _event_deadline(self, ctx: calls.CallContext, *, first: bool) -> float:
        """Returns until when to wait for the next data from a target."""
        return silence.event_deadline(
            ctx,
            self._timers.now(),
            first=first,
            has_other=self._choice.has_other(ctx),
        )

    def _abort(
        self,
        ctx: calls.CallContext,
        progress: stream_progress.Progress,
        exc: errors.Refused,
    ) -> None:
        """Aborts a call so that the client doesn't take it for complete."""
        if not progress.started:
            raise exc
        eliot.log_message(
            "stream.broken_off",
            request=ctx.call.id,
            events=progress.events_sent,
            last_event=progress.last_event_id,
            reason=str(exc),
        )
        raise stream_progress.StreamAborted(exc)
