"""A plain service over HTTP."""

from __future__ import annotations

from collections.abc import Callable
import urllib.parse

import gevent

from endivepier import errors
from endivepier.internal import http_client
from endivepier.targets import ports
from endivepier.targets import wire
from endivepier.telemetry import spans

STATUS_SECONDS = 5.0


class HttpService:
    """A `targets.ports.Service` over HTTP."""

    def __init__(self, name: str, base_url: str, tracer: spans.Tracer) -> None:
        self._name = name
        self._client = http_client.HttpClient(base_url)
        self._tracer = tracer

    def call(
        self,
        req: ports.ServiceRequest,
        *,
        seconds: float,
        check: Callable[[], None] = ports.allow_send,
    ) -> ports.ServiceResponse:
        """Sends the request once; see `targets.ports.Service.call`."""
        headers = {
            "Content-Type": req.content_type,
            wire.REQUEST_ID_HEADER: req.request_id,
            **self._tracer.trace_headers(),
        }
        if req.idempotency_key:
            headers[wire.IDEMPOTENCY_HEADER] = req.idempotency_key
        if req.fence:
            headers[wire.FENCE_HEADER] = str(req.fence)
        with self._tracer.span("service.call"):
            answer = self._exchange(
                req.method, req.path, req.body, headers, seconds, check
            )
        content_type = answer.header("content-type")
        echoed = answer.header(wire.REQUEST_ID_HEADER)
        body = self._body(answer, seconds)
        return ports.ServiceResponse(echoed, answer.status, body, content_type)

    def outcome(self, idempotency_key: str) -> ports.ServiceResponse | None:
        """Asks for an outcome; see `targets.ports.Service.outcome`."""
        path = wire.OUTCOME_PATH + urllib.parse.quote(idempotency_key, safe="")
        answer = self._exchange("GET", path, b"", {}, STATUS_SECONDS)
        content_type = answer.header("content-type")
        echoed = answer.header(wire.REQUEST_ID_HEADER)
        body = self._body(answer, STATUS_SECONDS)
        if answer.status == 404:
            return None
        if answer.status != 200:
            raise errors.TargetFailed(
                self._name, f"it said {answer.status}", sent=True
            )
        return ports.ServiceResponse(echoed, 200, body, content_type)

    def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        seconds: float,
        check: Callable[[], None] = ports.allow_send,
    ) -> http_client.StreamedAnswer:
        timeout = http_client.ExchangeFailed("timeout")
        try:
            with gevent.Timeout(seconds, timeout):
                return self._client.open(method, path, body, headers, check)
        except http_client.ConnectFailed as exc:
            raise errors.TargetFailed(self._name, str(exc), sent=False) from exc
        except http_client.ExchangeFailed as exc:
            raise errors.TargetFailed(self._name, str(exc), sent=True) from exc

    def _body(
        self, answer: http_client.StreamedAnswer, seconds: float
    ) -> bytes:
        timeout = http_client.ExchangeFailed("timeout")
        try:
            with gevent.Timeout(seconds, timeout):
                body = answer.read()
        except http_client.ExchangeFailed as exc:
            answer.close()
            raise errors.TargetFailed(self._name, str(exc), sent=True) from exc
        answer.release()
        return body
