"""A model engine over HTTP."""

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
        whole = False
        try:
            with self._tracer.span("engine.generate"):
                answer = self._open(wire.GENERATE_PATH, req)
            try:
                for event in self._events(answer):
                    whole = isinstance(event, ports.Finished)
                    yield event
            finally:
                if whole:
                    answer.release()
                else:
                    answer.close()
        except errors.TargetFailed as exc:
            whole = not exc.sent
            raise
        finally:
            # An engine that computes the first token does not look at its
            # connection, so it is told as well. The caller does not wait.
            if not whole:
                gevent.spawn(self._cancel_quietly, req.request_id)

    def _events(
        self, answer: http_client.StreamedAnswer
    ) -> Iterator[ports.EngineEvent]:
        try:
            if answer.status != 200:
                detail = answer.read().decode(errors="replace")[:200]
                raise errors.TargetFailed(self._name, detail, sent=False)
            for line in answer.lines():
                try:
                    event = codec.decode(ports.EngineEvent, line)
                except errors.Refused as exc:
                    raise errors.TargetFailed(
                        self._name, f"no event: {line[:80]!r}", sent=True
                    ) from exc
                yield event
        except http_client.ExchangeFailed as exc:
            raise errors.TargetFailed(self._name, str(exc), sent=True) from exc

    def _cancel_quietly(self, request_id: str) -> None:
        with contextlib.suppress(errors.TargetFailed, errors.Fenced):
            self.cancel(request_id)

    def cancel(self, request_id: str) -> None:
        """Ends a request; see `targets.ports.ModelEngine.cancel`."""
        self._ask(wire.CANCEL_PATH, wire.RequestName(request_id), wire.Done)

    def load_report(self) -> ports.EngineLoad:
        """Returns the last load report."""
        report: ports.EngineLoad = self._ask(
            wire.LOAD_PATH, wire.Done(), ports.EngineLoad
        )
        return report

    def cached_prefixes(self) -> Sequence[ports.HeldPrefix]:
        """Returns what the cache holds now."""
        held: wire.Held = self._ask(wire.HELD_PATH, wire.Done(), wire.Held)
        return held.prefixes

    def release(self, session: str) -> None:
        """Frees the prefix of a session."""
        self._ask(wire.RELEASE_PATH, wire.SessionName(session), wire.Done)

    def cache_events(self, after: int) -> Sequence[ports.CacheEvent]:
        """Returns events with a sequence greater than `after`."""
        found: wire.Events = self._ask(
            wire.EVENTS_PATH, wire.EventsAfter(after), wire.Events
        )
        return found.events

    def export_kv(self, session: str) -> bytes | None:
        """Returns the session's cached prefix, or None."""
        found: wire.KvBlob = self._ask(
            wire.EXPORT_PATH, wire.SessionName(session), wire.KvBlob
        )
        return found.blob

    def import_kv(self, session: str, blob: bytes) -> None:
        """Puts an exported prefix into the cache."""
        self._ask(wire.IMPORT_PATH, wire.KvBlob(session, blob), wire.Done)

    def order(self, order: ports.Order) -> None:
        """Carries out an order; see `targets.ports.ModelEngine.order`."""
        self._ask(wire.ORDER_PATH, order, wire.Done)

    def models(self) -> Sequence[str]:
        """Returns the models that are loaded."""
        found: wire.Models = self._ask(
            wire.MODELS_PATH, wire.Done(), wire.Models
        )
        return found.models

    def _ask(self, path: str, document: Any, reply: type[Any]) -> Any:
        answer = self._open(path, document)
        try:
            body = answer.read()
        except http_client.ExchangeFailed as exc:
            raise errors.TargetFailed(self._name, str(exc), sent=True) from exc
        answer.release()
        if answer.status == 409:
            raise errors.Fenced(body.decode(errors="replace")[:200])
        if answer.status != 200:
            raise errors.TargetFailed(
                self._name, f"it said {answer.status}", sent=True
            )
        return codec.decode(reply, body)

    def _open(self, path: str, document: Any) -> http_client.StreamedAnswer:
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
