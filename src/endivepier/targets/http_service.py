"""HTTP client for a service."""

from __future__ import annotations

from collections.abc import Callable
import urllib.parse

import gevent

from endivepier import errors
from endivepier.internal import http_client
from endivepier.targets import ports
from endivepier.targets import wire
from endivepier.telemetry import spans

OUTCOME_TIMEOUT_SECONDS = 5.0


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
        """Sends the request once; see `targets.ports.Service.call`.

        The timeout applies to the head of the response and again to its body.
        """
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
            response = self._exchange(
                req.method, req.path, req.body, headers, seconds, check
            )
        content_type = response.header("content-type")
        echoed_id = response.header(wire.REQUEST_ID_HEADER)
        body = self._read_body(response, seconds)
        return ports.ServiceResponse(
            echoed_id, response.status, body, content_type
        )

    def outcome(self, idempotency_key: str) -> ports.ServiceResponse | None:
        """Returns a recorded outcome; see `targets.ports.Service.outcome`."""
        path = wire.OUTCOME_PATH + urllib.parse.quote(idempotency_key, safe="")
        response = self._exchange("GET", path, b"", {}, OUTCOME_TIMEOUT_SECONDS)
        content_type = response.header("content-type")
        echoed_id = response.header(wire.REQUEST_ID_HEADER)
        body = self._read_body(response, OUTCOME_TIMEOUT_SECONDS)
        if response.status == 404:
            return None
        if response.status != 200:
            raise errors.TargetFailed(
                self._name, f"it returned status {response.status}", sent=True
            )
        return ports.ServiceResponse(echoed_id, 200, body, content_type)

    def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        seconds: float,
        check: Callable[[], None] = ports.allow_send,
    ) -> http_client.StreamedResponse:
        timeout = http_client.ExchangeFailed("timeout")
        try:
            with gevent.Timeout(seconds, timeout):
                return self._client.open(method, path, body, headers, check)
        except http_client.ConnectFailed as exc:
            raise errors.TargetFailed(self._name, str(exc), sent=False) from exc
        except http_client.ExchangeFailed as exc:
            raise errors.TargetFailed(self._name, str(exc), sent=True) from exc

    def _read_body(
        self, response: http_client.StreamedResponse, seconds: float
    ) -> bytes:
        timeout = http_client.ExchangeFailed("timeout")
        try:
            with gevent.Timeout(seconds, timeout):
                body = response.read()
        except http_client.ExchangeFailed as exc:
            response.close()
            raise errors.TargetFailed(self._name, str(exc), sent=True) from exc
        response.release()
        return body
