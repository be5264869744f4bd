"""Runs model calls on the engine beside this sidecar."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterator
import contextlib

import gevent

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import peers as peers_lib
from endivepier.scheduling import engine_timing
from endivepier.scheduling import queue as queue_lib
from endivepier.scheduling import work as work_lib
from endivepier.targets import ports as target_ports
from endivepier.targets import tokens
from endivepier.telemetry import metrics as metrics_lib
from endivepier.telemetry import spans

FETCH_TIMEOUT_SECONDS = 2.0
PROBE_SESSION = "endivepier-probe"
PROBE_TEXT = f"{PROBE_SESSION} are you well?"
PROBE_TOKENS = 8


class Dispatcher:
    """The only sender of model calls to one engine.

    Calls go through a queue. The request ids in `_without_tokens` are those of
    running calls that have produced no token yet; these can still be cancelled
    and run on another engine.
    """

    def __init__(
        self,
        engine: target_ports.ModelEngine,
        queue: queue_lib.Queue,
        timers: timers_lib.Timers,
        metrics: metrics_lib.Metrics,
        peers: peers_lib.Peers,
    ) -> None:
        """Makes a dispatcher.

        Args:
            engine: the engine beside this sidecar.
            queue: the queue in front of this engine.
            timers: the timer service.
            metrics: records queueing times, tokens and faults of the engine.
            peers: sends messages to the sidecars of engines with prefixes.
        """
        self.queue = queue
        self.timing = engine_timing.EngineTiming(timers)
        self._engine = engine
        self._timers = timers
        self._metrics = metrics
        self._peers = peers
        self._probe_count = 0
        self._without_tokens: set[str] = set()

    def register(
        self, inbox: peers_lib.Inbox, check_ready: Callable[[], None]
    ) -> None:
        """Registers the handlers for messages from other sidecars.

        Args:
            inbox: receives the messages.
            check_ready: raises while this process accepts no new calls.
        """

        def handle(
            req: work_lib.Generate,
        ) -> Iterator[target_ports.EngineEvent]:
            check_ready()
            yield from self.generate(req)

        inbox.register_stream(
            work_lib.Generate, target_ports.EngineEvent, handle
        )
        inbox.register(
            work_lib.FetchPrefix, work_lib.Prefix, self.export_prefix
        )
        inbox.register(
            work_lib.ReleasePrefix, work_lib.Released, self.release_prefix
        )

    def generate(
        self, req: work_lib.Generate
    ) -> Generator[target_ports.EngineEvent, None, None]:
        """Waits for a slot, runs the call and yields the engine's events.

        The stream ends without an error only if the answer is complete: the
        token indices have no gaps, and the number of tokens matches the final
        event. Events with another request id are dropped.

        Raises:
            errors.Refused: the call did not run, or the engine failed before
                the answer was complete.
        """
        started = self._timers.now()
        fetch = None
        if req.prefix_at:
            fetch = gevent.spawn(self._fetch_prefix, req)
        try:
            with contextlib.ExitStack() as slot_stack:
                with spans.child_span("queue"):
                    slot_stack.enter_context(self.queue.slot(req.work))
                queue_seconds = self._timers.now() - started
                self._metrics.observe("queue_seconds", queue_seconds)
                if fetch is not None:
                    fetch.join()
                yield from self._run(req.request)
        finally:
            if fetch is not None:
                fetch.kill(block=False)

    def export_prefix(self, req: work_lib.FetchPrefix) -> work_lib.Prefix:
        """Exports a session's prefix and releases it from this engine.

        The result is empty if the engine has no such prefix or fails.
        """
        try:
            blob = self._engine.export_kv(req.session)
            if blob is not None:
                self._engine.release(req.session)
        except errors.TargetFailed:
            return work_lib.Prefix(None)
        return work_lib.Prefix(blob)

    def release_prefix(self, req: work_lib.ReleasePrefix) -> work_lib.Released:
        """Releases the session's prefix from the engine's cache.

        Raises:
            errors.Refused: the engine failed; the prefix may still be cached.
        """
        try:
            self._engine.release(req.session)
        except errors.TargetFailed as exc:
            raise _refusal_for(exc) from None
        return work_lib.Released()

    def expel(self) -> None:
        """Ends all queued calls and running ones that have no token yet.

        Their routers may send them to another target.
        """
        self.queue.refuse_all()
        for request_id in list(self._without_tokens):
            self._metrics.count("calls_expelled")
            gevent.spawn(self._cancel, request_id)

    def _cancel(self, request_id: str) -> None:
        # A slow engine may fail to respond to the cancellation, too.
        with contextlib.suppress(errors.TargetFailed):
            self._engine.cancel(request_id)

    def probe(self) -> Iterator[target_ports.EngineEvent]:
        """Sends a short test request, bypassing the queue, to time the engine.

        Raises:
            errors.Refused: the engine failed during the request.
            errors.TargetFailed: the engine failed before or after it.
        """
        models = self._engine.models()
        if not models:
            return
        self._probe_count += 1
        request_id = f"{PROBE_SESSION}-{self._probe_count}"
        req = target_ports.Generate(
            request_id=request_id,
            session=PROBE_SESSION,
            model=models[0],
            messages=(target_ports.ChatMessage("user", PROBE_TEXT),),
            max_tokens=PROBE_TOKENS,
        )
        started = self._timers.now()
        for event in self._run(req, can_expel=False):
            if isinstance(event, target_ports.Finished):
                elapsed = self._timers.now() - started
                token_count = max(event.completion_tokens, 1)
                self.timing.record_probe(elapsed / token_count)
            yield event
        self._engine.release(PROBE_SESSION)

    def _run(
        self, req: target_ports.Generate, *, can_expel: bool = True
    ) -> Iterator[target_ports.EngineEvent]:
        if can_expel:
            self._without_tokens.add(req.request_id)
        try:
            with self.timing.track_request():
                yield from self._timed_events(req)
        except errors.TargetFailed as exc:
            raise _refusal_for(exc) from None
        finally:
            self._without_tokens.discard(req.request_id)

    def _timed_events(
        self, req: target_ports.Generate
    ) -> Iterator[target_ports.EngineEvent]:
        """Yields the events and records the engine's timing from them."""
        started = previous = self._timers.now()
        prefill_seconds = 0.0
        for event in self._validated_events(req):
            now = self._timers.now()
            self._without_tokens.discard(req.request_id)
            match event:
                case target_ports.Token(index=0, count=count):
                    prefill_seconds = (
                        now - started - count * self.timing.token_seconds
                    )
                    # Marks activity only: its time is mostly prefill time.
                    self.timing.record_tokens(0.0, 0)
                case target_ports.Token(count=count):
                    self.timing.record_tokens(now - previous, count)
                case target_ports.Finished():
                    uncached_tokens = event.prompt_tokens - event.cached_tokens
                    self.timing.record_prefill(prefill_seconds, uncached_tokens)
                    self._count_tokens(event)
            previous = now
            yield event
            # Leaves out the time that the consumer spent on the event.
            previous += self._timers.now() - now

    def _validated_events(
        self, req: target_ports.Generate
    ) -> Iterator[target_ports.EngineEvent]:
        """Yields the request's events, without foreign and repeated ones.

        Raises:
            errors.TargetFailed: the engine failed or its answer is incomplete.
        """
        next_index = 0
        events = self._engine.generate(req)
        try:
            for event in events:
                if event.request_id != req.request_id:
                    self._metrics.count("foreign_answers")
                    continue
                match event:
                    case target_ports.Token(index=index, count=count):
                        if index < next_index:
                            self._metrics.count("repeated_tokens")
                            continue
                        if index > next_index:
                            raise _incomplete_answer("a token is missing")
                        next_index += count
                        yield event
                    case target_ports.Finished(completion_tokens=total):
                        if total != next_index:
                            raise _incomplete_answer(
                                "the final event has a wrong token count"
                            )
                        yield event
                        return
        finally:
            close = getattr(events, "close", None)
            if close is not None:
                close()
        raise _incomplete_answer("the answer ended without a final event")

    def _fetch_prefix(self, req: work_lib.Generate) -> None:
        """Moves the session's prefix to the engine from another sidecar's.

        If that fails, the engine recomputes the prefix.
        """
        started = self._timers.now()
        session = req.request.session
        try:
            prefix: work_lib.Prefix = self._peers.call(
                req.prefix_at,
                work_lib.FetchPrefix(session),
                work_lib.Prefix,
                seconds=FETCH_TIMEOUT_SECONDS,
            )
            if prefix.blob is None:
                self._metrics.count("prefixes_not_found")
                return
            self._engine.import_kv(session, prefix.blob)
        except (errors.PeerUnreachable, errors.Refused, errors.TargetFailed):
            self._metrics.count("prefixes_not_moved")
            return
        prompt_tokens = max(tokens.count_messages(req.request.messages), 1)
        self.timing.move.add((self._timers.now() - started) / prompt_tokens)
        self._metrics.count("prefixes_moved")

    def _count_tokens(self, event: target_ports.Finished) -> None:
        self._metrics.count("prompt_tokens", event.prompt_tokens)
        self._metrics.count("cached_tokens", event.cached_tokens)
        self._metrics.count("completion_tokens", event.completion_tokens)


def _refusal_for(exc: errors.TargetFailed) -> errors.Refused:
    return errors.Refused(
        errors.Code.TARGET_FAILED,
        502,
        str(exc),
        ran=errors.Ran.UNKNOWN if exc.sent else errors.Ran.NO,
        retry_after=1.0,
    )


def _incomplete_answer(detail: str) -> errors.TargetFailed:
    return errors.TargetFailed("engine", detail, sent=True)
