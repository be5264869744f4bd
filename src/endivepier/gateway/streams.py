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
from endivepier.gateway import store_access
from endivepier.gateway import turn_admission
from endivepier.gateway import turn_tokens
from endivepier.gateway import turns as turns_lib
from endivepier.http1 import messages

# Silence after which a resumable stream is continued elsewhere, in longest
# pauses of the route, and at least in seconds.
SILENT_GAPS = 3.0
MIN_SILENT_SECONDS = 0.4
# A prompt may wait in a queue and be read before the first event.
FIRST_EVENT_SECONDS = 1.0
BUSY_RETRY_SECONDS = 0.2  # a queue of a few tenths has gone by then
# A client leaves a stream that is silent for two seconds.
COMMIT_SECONDS = 2.0


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
    handed: int = 0
    last: int | None = None
    output: list[bytes] = dataclasses.field(default_factory=list)
    head: messages.Head | None = None


class Streams:
    """Serves streams."""

    def __init__(
        self,
        catalog: catalog_lib.Catalog,
        links: exchange_lib.Links,
        tokens: turn_tokens.TurnTokens,
        turns: turns_lib.Turns,
        store: store_access.Store,
        timers: timers_lib.Timers,
    ) -> None:
        self._catalog = catalog
        self._links = links
        self._tokens = tokens
        self._turns = turns
        self._store = store
        self._timers = timers

    def serve(self, passage: calls.Passage) -> None:
        """Answers a call with a stream.

        Raises:
            errors.Refused: it is answered with this refusal; nothing was
                sent to the client.
        """
        self._check_room(passage)
        body = self._body(passage)
        reservation = self._tokens.reserve(passage)
        if reservation is not None:
            passage.last_target = reservation.last_target
        progress = Progress(last=passage.call.last_event)
        try:
            self._run(passage, body, reservation, progress)
        finally:
            if reservation is not None:
                self._tokens.settle(passage, reservation, progress.handed)

    def _check_room(self, passage: calls.Passage) -> None:
        """Refuses a turn while the engines have too much to do.

        Raises:
            errors.Refused: the call has not run.
        """
        if passage.engine is None:
            return
        reason = turn_admission.refusal_reason(
            passage.call,
            self._links.placement,
            self._catalog.targets(passage.service),
            self._timers.now(),
            begins=passage.begins,
            delayed=passage.delayed,
        )
        if reason:
            raise errors.Refused(
                errors.Code.OVERLOADED,
                503,
                f"service {passage.service!r}: {reason}",
                retry_after=BUSY_RETRY_SECONDS,
            )

    def _body(self, passage: calls.Passage) -> bytes:
        """Returns what the target receives: the chain and the new input."""
        call = passage.call
        if not passage.route.retained:
            return call.body
        patience = calls.store_patience(passage)
        if not self._store.wait_until_available(patience):
            raise calls.store_away(
                "the turn could not be kept now", self._store.outage_seconds()
            )
        if not call.previous:
            return call.body
        try:
            turn = self._turns.find(call.previous, passage.account)
        except errors.Unavailable as exc:
            raise calls.store_away(
                f"turn {call.previous!r} can't be read now: {exc}",
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
        passage: calls.Passage,
        body: bytes,
        reservation: budget_owners.Reservation | None,
        progress: Progress,
    ) -> None:
        try:
            while not self._try_next(passage, body, reservation, progress):
                pass
        except errors.Refused as exc:
            if not progress.started and not passage.tried:
                raise
            self._break_off(passage, progress, exc)

    def _try_next(
        self,
        passage: calls.Passage,
        body: bytes,
        reservation: budget_owners.Reservation | None,
        progress: Progress,
    ) -> bool:
        """Sends the call to the next target; returns whether it ended."""
        target = calls.next_target(
            passage, self._catalog, self._links.placement, self._timers
        )
        try:
            return self._attempt(passage, target, body, reservation, progress)
        except errors.TargetFailed as exc:
            calls.after_failure(passage, target, exc, self._timers.now())
            return False

    def _attempt(
        self,
        passage: calls.Passage,
        target: model.Target,
        body: bytes,
        reservation: budget_owners.Reservation | None,
        progress: Progress,
    ) -> bool:
        """Sends the call once; returns whether it was answered."""
        dispatch = model.Dispatch(
            target,
            passage.account,
            passage.limit - self._timers.now(),
            body,
            last_event=progress.last,
        )
        exchange = self._links.send(
            passage.call, dispatch, repeatable=passage.route.repeatable
        )
        passage.tried.append(target.incarnation)
        with exchange:
            exchange.read_head(self._patience(passage, first=True))
            if exchange.not_run:
                calls.after_rejection(passage, exchange, self._timers.now())
                return False
            self._relay(passage, exchange, reservation, progress, body)
            return True

    def _relay(
        self,
        passage: calls.Passage,
        exchange: exchange_lib.Exchange,
        reservation: budget_owners.Reservation | None,
        progress: Progress,
        body: bytes,
    ) -> None:
        """Hands on the events of one target until its answer ends."""
        head = exchange.head
        if head.status != 200 or not exchange.verdict.sealed:
            self._relay_failure(passage, exchange, progress)
            return
        if progress.head is None:
            progress.head = head
        splitter = events.Splitter()
        skipped = progress.last
        while True:
            deadline = self._patience(passage, first=progress.handed == 0)
            data = exchange.read(deadline)
            if data is None:
                break
            found = [
                event
                for event in splitter.feed(data)
                if skipped is None
                or event.number is None
                or event.number > skipped
            ]
            if found and not progress.handed:
                exchange.note_first_event()
            if found:
                if reservation is not None and not progress.handed:
                    self._tokens.wait(
                        passage, reservation, passage.route.timeout
                    )
                self._hand_on(passage, found, progress)
        self._end(passage, progress, splitter.rest, body)

    def _hand_on(
        self,
        passage: calls.Passage,
        found: list[events.Event],
        progress: Progress,
    ) -> None:
        """Sends whole events to the client at once."""
        if not progress.started:
            self._start(passage, progress)
        progress.handed += len(found)
        for event in found:
            if event.number is not None:
                progress.last = event.number
            if passage.route.retained:
                progress.output.append(event.data + b"\n")
        passage.responder.write(b"".join(event.raw for event in found))

    def _start(self, passage: calls.Passage, progress: Progress) -> None:
        assert progress.head is not None
        headers = messages.end_to_end(progress.head.headers)
        progress.started = True
        passage.responder.start(progress.head.status, headers)

    def _end(
        self,
        passage: calls.Passage,
        progress: Progress,
        rest: bytes,
        body: bytes,
    ) -> None:
        """Ends a whole stream; a kept turn is durable before that."""
        if not progress.started:
            self._start(passage, progress)
        if rest:
            passage.responder.write(rest)
        if passage.route.retained:
            turn = turns_lib.Turn(
                passage.call.id,
                passage.account,
                body + b"".join(progress.output),
            )
            now = self._timers.now()
            deadline = min(now + COMMIT_SECONDS, passage.limit)
            try:
                self._turns.commit(turn, passage.route.retention, deadline)
            except errors.OutcomeUnknown as exc:
                raise errors.Refused(
                    errors.Code.STORE_UNAVAILABLE,
                    502,
                    str(exc),
                    ran=errors.Ran.YES,
                ) from exc
        passage.responder.finish()

    def _relay_failure(
        self,
        passage: calls.Passage,
        exchange: exchange_lib.Exchange,
        progress: Progress,
    ) -> None:
        """Hands on an answer that is not a stream."""
        limit = passage.limit
        body = exchange.read_all(limit)
        if progress.started:
            raise errors.TargetFailed(
                exchange.target.name,
                f"it answered {exchange.head.status} to a continued stream",
                sent=True,
            )
        headers = messages.end_to_end(exchange.head.headers)
        passage.responder.send(exchange.head.status, headers, body)

    def _patience(self, passage: calls.Passage, *, first: bool) -> float:
        """Returns until when to wait for the next event."""
        silent = max(SILENT_GAPS * passage.route.gap, MIN_SILENT_SECONDS)
        if first:
            silent = max(silent, FIRST_EVENT_SECONDS)
        return passage.silent_until(self._timers.now(), silent)

    def _break_off(
        self,
        passage: calls.Passage,
        progress: Progress,
        exc: errors.Refused,
    ) -> None:
        """Ends a call that can't be finished; never as if it were whole."""
        if not progress.started:
            raise exc
        eliot.log_message(
            "stream.broken_off",
            request=passage.call.id,
            events=progress.handed,
            last_event=progress.last,
            reason=str(exc),
        )
        raise Broken(exc)


class Broken(errors.EndivepierError):
    """Raised when an answer that has begun can't be finished.

    Close the client's connection.
    """
