"""Runs model calls on the engine beside this sidecar."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import peers as peers_lib
from endivepier.scheduling import queue as queue_lib
from endivepier.scheduling import work as work_lib
from endivepier.targets import ports as target_ports
from endivepier.telemetry import metrics as metrics_lib
from endivepier.telemetry import spans


class Dispatcher:
    """The only path to one engine."""

    def __init__(
        self,
        engine: target_ports.ModelEngine,
        queue: queue_lib.Queue,
        timers: timers_lib.Timers,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._engine = engine
        self._queue = queue
        self._timers = timers
        self._metrics = metrics

    def register(
        self, inbox: peers_lib.Inbox, check_ready: Callable[[], None]
    ) -> None:
        """Takes model calls that other sidecars send here.

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

    def generate(
        self, req: work_lib.Generate
    ) -> Iterator[target_ports.EngineEvent]:
        """Waits for a slot, runs the call and yields the engine's events.

        Only a whole answer ends without an error: tokens without gaps, as
        many as the engine says, all with the id of this request.

        Raises:
            errors.Refused: it did not run, or the engine broke off.
        """
        started = self._timers.now()
        with contextlib.ExitStack() as slot:
            with spans.child("queue"):
                slot.enter_context(self._queue.slot(req.work))
            self._metrics.observe("queue_seconds", self._timers.now() - started)
            try:
                yield from self._checked(req.request)
            except errors.TargetFailed as exc:
                raise errors.Refused(
                    errors.Code.TARGET_FAILED,
                    502,
                    str(exc),
                    ran=errors.Ran.UNKNOWN if exc.sent else errors.Ran.NO,
                    retry_after=1.0,
                ) from None

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
                        self._count(event)
                        yield event
                        return
        finally:
            close = getattr(events, "close", None)
            if close is not None:
                close()
        raise _not_whole("the answer broke off")

    def _count(self, event: target_ports.Finished) -> None:
        self._metrics.count("prompt_tokens", event.prompt_tokens)
        self._metrics.count("cached_tokens", event.cached_tokens)
        self._metrics.count("completion_tokens", event.completion_tokens)


def _not_whole(detail: str) -> errors.TargetFailed:
    return errors.TargetFailed("engine", detail, sent=True)
