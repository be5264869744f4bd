"""Tracing with OpenTelemetry: one span per hop and W3C trace context.

A gevent task exports spans from a bounded queue, so that a slow or unreachable
collector delays no request. Spans that end while the queue is full are dropped
and counted.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import contextvars
import enum
from typing import Any
from typing import Protocol

import gevent
import gevent.queue
from opentelemetry import context as context_api
from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as trace_sdk
from opentelemetry.sdk.trace import export
from opentelemetry.trace.propagation import tracecontext

from endivepier.internal import failures

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
_TRACER_KEY = context_api.create_key("endivepier-tracer")

QUEUE_SPANS = 2048
BATCH_SPANS = 256
EXPORT_INTERVAL_SECONDS = 1.0


class _Headers(Protocol):
    """Headers that can be looked up by name."""

    def get(self, name: str, /) -> str | None:
        """Returns the value of a header, or None."""


class Exporter(enum.StrEnum):
    """Destination of spans."""

    NONE = "none"
    CONSOLE = "console"
    OTLP = "otlp"


class _QueueProcessor(trace_sdk.SpanProcessor):
    """Queues ended spans, which a gevent task exports in batches."""

    def __init__(self, exporter: export.SpanExporter) -> None:
        self._exporter = exporter
        self._queue: gevent.queue.Queue = gevent.queue.Queue(QUEUE_SPANS)
        self.dropped = 0
        self._task = gevent.spawn(self._export_periodically)

    def on_end(self, span: trace_sdk.ReadableSpan) -> None:
        """Queues a span; drops it if the queue is full."""
        try:
            self._queue.put_nowait(span)
        except gevent.queue.Full:
            self.dropped += 1

    def shutdown(self) -> None:
        """Stops the task and exports the spans that are still queued."""
        self._task.kill()
        self._export_batch()
        self._exporter.shutdown()

    def force_flush(self, timeout_millis: int = 30000) -> bool:
        """Exports the queued spans."""
        del timeout_millis
        self._export_batch()
        return True

    def _export_periodically(self) -> None:
        while True:
            gevent.sleep(EXPORT_INTERVAL_SECONDS)
            failures.contain(self._export_batch)

    def _export_batch(self) -> None:
        while not self._queue.empty():
            count = min(BATCH_SPANS, self._queue.qsize())
            batch = [self._queue.get_nowait() for _ in range(count)]
            self._exporter.export(batch)


def make_exporter(kind: Exporter, endpoint: str) -> export.SpanExporter | None:
    """Returns the exporter for a setting; None if spans are not exported."""
    match kind:
        case Exporter.NONE:
            return None
        case Exporter.CONSOLE:
            return export.ConsoleSpanExporter()
        case Exporter.OTLP:
            from opentelemetry.exporter.otlp.proto.http import trace_exporter

            return trace_exporter.OTLPSpanExporter(endpoint=endpoint or None)


class Tracer:
    """Creates the spans of one process."""

    def __init__(
        self,
        process: str,
        kind: Exporter = Exporter.NONE,
        endpoint: str = "",
    ) -> None:
        """Creates a tracer.

        Args:
            process: name of the process, the `service.name` of its spans.
            kind: destination of spans.
            endpoint: URL of the OTLP collector, for `Exporter.OTLP`.
        """
        resource = resources.Resource({"service.name": process})
        self._provider = trace_sdk.TracerProvider(
            resource=resource, shutdown_on_exit=False
        )
        exporter = make_exporter(kind, endpoint)
        self._enabled = exporter is not None
        if exporter is not None:
            self._provider.add_span_processor(_QueueProcessor(exporter))
        self._tracer = self._provider.get_tracer("endivepier")

    def extract_context(self, headers: _Headers) -> context_api.Context:
        """Returns the trace context in the headers of a request.

        Only `traceparent` is used, which has a fixed format. `tracestate` and
        `baggage` contain free text, which must not get from a caller to a
        target.
        """
        carrier = {}
        value = headers.get("traceparent")
        if value:
            carrier["traceparent"] = value
        context = context_api.Context()
        return _PROPAGATOR.extract(carrier, context=context)

    def trace_headers(self) -> dict[str, str]:
        """Returns the headers that propagate the current trace context."""
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier)
        return carrier

    @contextlib.contextmanager
    def span(
        self, name: str, context: context_api.Context | None = None
    ) -> Iterator[None]:
        """Runs the block in a span, a child of `context` or the current one."""
        parent = context_api.get_current() if context is None else context
        if not self._enabled:
            # Without an exporter, the caller's trace context is propagated
            # unchanged.
            current = trace.get_current_span(parent)
        else:
            current = self._tracer.start_span(name, context=parent)
        inner_context = trace.set_span_in_context(current, parent)
        inner_context = context_api.set_value(_TRACER_KEY, self, inner_context)
        token = context_api.attach(inner_context)
        try:
            yield
        finally:
            with contextlib.suppress(ValueError):
                context_api.detach(token)
            if self._enabled:
                current.end()

    def stop(self) -> None:
        """Exports the remaining spans."""
        self._provider.shutdown()


def spawn(function: Callable[..., Any], *args: Any) -> gevent.Greenlet:
    """Spawns a gevent task that inherits the current trace context.

    `gevent.spawn` starts a task with an empty context.
    """
    return gevent.spawn(contextvars.copy_context().run, function, *args)


def child_span(name: str) -> contextlib.AbstractContextManager[None]:
    """Runs the block in a child of the current span, if there is one."""
    tracer = context_api.get_value(_TRACER_KEY)
    if isinstance(tracer, Tracer):
        return tracer.span(name)
    return contextlib.nullcontext()
