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

FETCH_SECONDS = 2.0
PROBE_SESSION = "endivepier-probe"
PROBE_TEXT = f"{PROBE_SESSION} are you well?"
PROBE_TOKENS = 8


class Dispatcher:
    """The only path to one engine."""

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
            queue: what waits for it.
            timers: the timer service.
            metrics: counts what goes wrong.
            peers: the way to sidecars that hold prefixes.
        """
        self.queue = queue
        self.timing = engine_timing.EngineTiming(timers)
        self._engine = engine
        self._timers = timers
        self._metrics = metrics
        self._peers = peers
        self._probes = 0
        self._early: set[str] = set()

    def register(
        self, inbox: peers_lib.Inbox, check_ready: Callable[[], None]
    ) -> None:
        """Takes calls and requests for prefixes of others.

        Args:
            inbox: where they arrive.
            check_ready: raises while this process takes no new work.
        """

        def handle(
            req: work_lib.Generate,
        ) -> Iterator[target_ports.EngineEvent]:
            check_ready()
            yield from self.generate(req)

        inbox.register_stream(
            work_lib.Generate, target_ports.EngineEvent, handle
        )
        inbox.register(work_lib.FetchPrefix, work_lib.Prefix, self.give_prefix)
        inbox.register(
            work_lib.ReleasePrefix, work_lib.Released, self.release_prefix
        )

    def generate(
        self, req: work_lib.Generate
    ) -> Generator[target_ports.EngineEvent, None, None]:
        """Waits for a slot, runs the call and yields the engine's events.

        Only a whole answer ends without an error: tokens without gaps, as
        many as the engine says, all with the id of this request.

        Raises:
            errors.Refused: it did not run, or the engine broke off.
        """
        started = self._timers.now()
        fetch = None
        if req.prefix_at:
            fetch = gevent.spawn(self._fetch, req)
        try:
            with contextlib.ExitStack() as slot:
                with spans.child("queue"):
                    slot.enter_context(self.queue.slot(req.work))
                waited = self._timers.now() - started
                self._metrics.observe("queue_seconds", waited)
                if fetch is not None:
                    fetch.join()
                yield from self._run(req.request)
        finally:
            if fetch is not None:
                fetch.kill(block=False)

    def give_prefix(self, req: work_lib.FetchPrefix) -> work_lib.Prefix:
        """Exports a session's prefix and frees its memory here."""
        try:
            blob = self._engine.export_kv(req.session)
            if blob is not None:
                self._engine.release(req.session)
        except errors.TargetFailed:
            return work_lib.Prefix(None)
        return work_lib.Prefix(blob)

    def release_prefix(self, req: work_lib.ReleasePrefix) -> work_lib.Released:
        """Frees the memory that a session holds at the engine.

        Raises:
            errors.Refused: the engine gave no answer; it may hold it still.
        """
        try:
            self._engine.release(req.session)
        except errors.TargetFailed as exc:
            raise _refusal(exc) from None
        return work_lib.Released()

    def expel(self) -> None:
        """Ends all that waits or has no token yet; it may go elsewhere."""
        self.queue.expel()
        for request_id in list(self._early):
            self._metrics.count("calls_expelled")
            gevent.spawn(self._cancel, request_id)

    def _cancel(self, request_id: str) -> None:
        # The slow engine may fail to answer this as well.
        with contextlib.suppress(errors.TargetFailed):
            self._engine.cancel(request_id)

    def probe(self) -> Iterator[target_ports.EngineEvent]:
        """Runs a small request of our own, past the queue.

        Raises:
            errors.Refused: the engine broke off.
        """
        models = self._engine.models()
        if not models:
            return
        self._probes += 1
        name = f"{PROBE_SESSION}-{self._probes}"
        req = target_ports.Generate(
            request_id=name,
            session=PROBE_SESSION,
            model=models[0],
            messages=(target_ports.ChatMessage("user", PROBE_TEXT),),
            max_tokens=PROBE_TOKENS,
        )
        started = self._timers.now()
        for event in self._run(req, may_move=False):
            if isinstance(event, target_ports.Finished):
                taken = self._timers.now() - started
                self.timing.probed(taken / event.completion_tokens)
            yield event
        self._engine.release(PROBE_SESSION)

    def _run(
        self, req: target_ports.Generate, *, may_move: bool = True
    ) -> Iterator[target_ports.EngineEvent]:
        if may_move:
            self._early.add(req.request_id)
        try:
            with self.timing.running():
                yield from self._measured(req)
        except errors.TargetFailed as exc:
            raise _refusal(exc) from None
        finally:
            self._early.discard(req.request_id)

    def _measured(
        self, req: target_ports.Generate
    ) -> Iterator[target_ports.EngineEvent]:
        """Yields the events and learns the engine's rates from them."""
        started = last = self._timers.now()
        first = 0.0
        for event in self._checked(req):
            now = self._timers.now()
            self._early.discard(req.request_id)
            match event:
                case target_ports.Token(index=0, count=count):
                    first = now - started - count * self.timing.token_seconds
                    self.timing.event(0.0, 0)
                case target_ports.Token(count=count):
                    self.timing.event(now - last, count)
                case target_ports.Finished():
                    fresh = event.prompt_tokens - event.cached_tokens
                    self.timing.first(first, fresh)
                    self._count(event)
            last = now
            yield event
            # What the consumer took is not the engine's time.
            last += self._timers.now() - now

    def _checked(
        self, req: target_ports.Generate
    ) -> Iterator[target_ports.EngineEvent]:
        """Passes on the events of this request and drops all others."""
        expected = 0
        events = self._engine.generate(req)
        try:
            for event in events:
                if event.request_id != req.request_id:
                    self._metrics.count("foreign_answers")
                    continue
                match event:
                    case target_ports.Token(index=index, count=count):
                        if index < expected:
                            self._metrics.count("repeated_tokens")
                            continue
                        if index > expected:
                            raise _not_whole("a token is missing")
                        expected += count
                        yield event
                    case target_ports.Finished(completion_tokens=total):
                        if total != expected:
                            raise _not_whole("the count of tokens is wrong")
                        yield event
                        return
        finally:
            close = getattr(events, "close", None)
            if close is not None:
                close()
        raise _not_whole("the answer broke off")

    def _fetch(self, req: work_lib.Generate) -> None:
        """Moves the session's prefix here; without it, it is recomputed."""
        started = self._timers.now()
        session = req.request.session
        try:
            found: work_lib.Prefix = self._peers.call(
                req.prefix_at,
                work_lib.FetchPrefix(session),
                work_lib.Prefix,
                seconds=FETCH_SECONDS,
            )
            if found.blob is None:
                self._metrics.count("prefixes_not_found")
                return
            self._engine.import_kv(session, found.blob)
        except (errors.PeerUnreachable, errors.Refused, errors.TargetFailed):
            self._metrics.count("prefixes_not_moved")
            return
        size = tokens.count_messages(req.request.messages)
        self.timing.move.add((self._timers.now() - started) / size)
        self._metrics.count("prefixes_moved")

    def _count(self, event: target_ports.Finished) -> None:
        self._metrics.count("prompt_tokens", event.prompt_tokens)
        self._metrics.count("cached_tokens", event.cached_tokens)
        self._metrics.count("completion_tokens", event.completion_tokens)


def _refusal(exc: errors.TargetFailed) -> errors.Refused:
    return errors.Refused(
        errors.Code.TARGET_FAILED,
        502,
        str(exc),
        ran=errors.Ran.UNKNOWN if exc.sent else errors.Ran.NO,
        retry_after=1.0,
    )


def _not_whole(detail: str) -> errors.TargetFailed:
    return errors.TargetFailed("engine", detail, sent=True)
