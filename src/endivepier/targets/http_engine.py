"""HTTP client for a model engine."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
from typing import Any

import gevent

from endivepier import errors
from endivepier.internal import codec
from endivepier.internal import http_client
from endivepier.internal import web
from endivepier.targets import ports
from endivepier.targets import wire
from endivepier.telemetry import spans


class HttpEngine:
    """A `targets.ports.ModelEngine` over HTTP."""

    def __init__(self, name: str, base_url: str, tracer: spans.Tracer) -> None:
        self._name = name
        self._client = http_client.HttpClient(base_url)
        self._tracer = tracer

    def generate(self, req: ports.Generate) -> Iterator[ports.EngineEvent]:
        """Yields events; see `targets.ports.ModelEngine.generate`."""
        ended = False
        try:
            with self._tracer.span("engine.generate"):
                response = self._open(wire.GENERATE_PATH, req)
            try:
                for event in self._events(response):
                    ended = isinstance(event, ports.Finished)
                    yield event
            finally:
                if ended:
                    response.release()
                else:
                    response.close()
        except errors.TargetFailed as exc:
            # A request that was not sent or was rejected needs no cancellation.
            ended = not exc.sent
            raise
        finally:
            # While an engine computes the first token, it does not notice a
            # closed connection, so it gets an explicit request to cancel. The
            # caller does not wait for that request.
            if not ended:
                gevent.spawn(self._cancel_quietly, req.request_id)

    def _events(
        self, response: http_client.StreamedResponse
    ) -> Iterator[ports.EngineEvent]:
        try:
            if response.status != 200:
                detail = response.read().decode(errors="replace")[:200]
                raise errors.TargetFailed(self._name, detail, sent=False)
            for line in response.lines():
                try:
                    event = codec.decode(ports.EngineEvent, line)
                except errors.Refused as exc:
                    raise errors.TargetFailed(
                        self._name, f"not an event: {line[:80]!r}", sent=True
                    ) from exc
                yield event
        except http_client.ExchangeFailed as exc:
            raise errors.TargetFailed(self._name, str(exc), sent=True) from exc

    def _cancel_quietly(self, request_id: str) -> None:
        with contextlib.suppress(errors.TargetFailed, errors.Fenced):
            self.cancel(request_id)

    def cancel(self, request_id: str) -> None:
        """Cancels a request; see `targets.ports.ModelEngine.cancel`."""
        self._request(wire.CANCEL_PATH, wire.RequestName(request_id), wire.Done)

    def load_report(self) -> ports.EngineLoad:
        """Returns the engine's latest load report."""
        report: ports.EngineLoad = self._request(
            wire.LOAD_PATH, wire.Done(), ports.EngineLoad
        )
        return report

    def cached_prefixes(self) -> Sequence[ports.HeldPrefix]:
        """Returns the prefixes that are cached now."""
        reply: wire.Held = self._request(wire.HELD_PATH, wire.Done(), wire.Held)
        return reply.prefixes

    def release(self, session: str) -> None:
        """Frees the cached prefix of a session."""
        self._request(wire.RELEASE_PATH, wire.SessionName(session), wire.Done)

    def cache_events(self, after: int) -> Sequence[ports.CacheEvent]:
        """Returns events with a sequence greater than `after`."""
        reply: wire.Events = self._request(
            wire.EVENTS_PATH, wire.EventsAfter(after), wire.Events
        )
        return reply.events

    def export_kv(self, session: str) -> bytes | None:
        """Returns the session's cached prefix, or None."""
        reply: wire.KvBlob = self._request(
            wire.EXPORT_PATH, wire.SessionName(session), wire.KvBlob
        )
        return reply.blob

    def import_kv(self, session: str, blob: bytes) -> None:
        """Imports an exported prefix into the cache."""
        self._request(wire.IMPORT_PATH, wire.KvBlob(session, blob), wire.Done)

    def order(self, order: ports.Order) -> None:
        """Executes an order; see `targets.ports.ModelEngine.order`."""
        self._request(wire.ORDER_PATH, order, wire.Done)

    def models(self) -> Sequence[str]:
        """Returns the models that are loaded."""
        reply: wire.Models = self._request(
            wire.MODELS_PATH, wire.Done(), wire.Models
        )
        return reply.models

    def _request(self, path: str, document: Any, reply_type: type[Any]) -> Any:
        response = self._open(path, document)
        try:
            body = response.read()
        except http_client.ExchangeFailed as exc:
            raise errors.TargetFailed(self._name, str(exc), sent=True) from exc
        response.release()
        if response.status == 409:
            raise errors.Fenced(body.decode(errors="replace")[:200])
        if response.status != 200:
            raise errors.TargetFailed(
                self._name, f"it returned status {response.status}", sent=True
            )
        try:
            return codec.decode(reply_type, body)
        except errors.Refused as exc:
            raise errors.TargetFailed(
                self._name, f"invalid response: {exc.detail}", sent=True
            ) from exc

    def _open(self, path: str, document: Any) -> http_client.StreamedResponse:
        headers = {
            "Content-Type": web.JSON_TYPE,
            **self._tracer.trace_headers(),
        }
        try:
            return self._client.open(
                "POST", path, codec.encode(document), headers
            )
        except http_client.ConnectFailed as exc:
            raise errors.TargetFailed(self._name, str(exc), sent=False) from exc
        except http_client.ExchangeFailed as exc:
            raise errors.TargetFailed(self._name, str(exc), sent=True) from exc
