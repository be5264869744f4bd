"""HTTP client for the table service."""

from __future__ import annotations

from typing import Any

from endivepier import errors
from endivepier.internal import codec
from endivepier.internal import http_client
from endivepier.internal import web
from endivepier.storage import ports
from endivepier.storage import wire
from endivepier.telemetry import spans

READ_TIMEOUT_SECONDS = 2.0
HEADERS = {"Content-Type": web.JSON_TYPE}


class HttpTable:
    """A `storage.ports.Table` over HTTP."""

    def __init__(self, base_url: str, tracer: spans.Tracer) -> None:
        self._client = http_client.HttpClient(
            base_url, read_seconds=READ_TIMEOUT_SECONDS
        )
        self._tracer = tracer

    def get(self, key: str) -> ports.Row | None:
        """Returns a row; see `storage.ports.Table.get`."""
        rows = self._read(wire.GET_PATH, wire.Get(key)).rows
        return rows[0].row() if rows else None

    def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> ports.Page:
        """Returns rows in order; see `storage.ports.Table.scan`."""
        document = self._read(wire.SCAN_PATH, wire.Scan(prefix, after, limit))
        return wire.page(document.rows, document.more)

    def transact(self, txn: ports.Transaction) -> int:
        """Commits a transaction; see `storage.ports.Table.transact`."""
        document = wire.transact_document(txn)
        try:
            response = self._post(wire.TRANSACT_PATH, document)
        except http_client.ConnectFailed as exc:
            raise errors.Unavailable(
                f"the request to the table service failed: {exc}"
            ) from exc
        except http_client.ExchangeFailed as exc:
            raise errors.OutcomeUnknown(
                f"no complete response from the table service: {exc}"
            ) from exc
        if response.status == 503:
            raise errors.Unavailable("the table service returned status 503")
        if response.status != 200:
            raise errors.OutcomeUnknown(
                f"the table service returned status {response.status}"
            )
        try:
            result = codec.decode(wire.Committed | wire.Conflict, response.body)
        except errors.Refused as exc:
            raise errors.OutcomeUnknown(
                f"invalid response from the table service: {exc.detail}"
            ) from exc
        match result:
            case wire.Conflict(key=key):
                raise errors.ConditionFailed(key)
            case _:
                return int(result.version)

    def _read(self, path: str, document: Any) -> wire.Rows:
        try:
            response = self._post(path, document)
        except OSError as exc:
            raise errors.Unavailable(
                f"the request to the table service failed: {exc}"
            ) from exc
        if response.status != 200:
            raise errors.Unavailable(
                f"the table service returned status {response.status}"
            )
        try:
            rows: wire.Rows = codec.decode(wire.Rows, response.body)
        except errors.Refused as exc:
            raise errors.Unavailable(
                f"invalid response from the table service: {exc.detail}"
            ) from exc
        return rows

    def _post(self, path: str, document: Any) -> http_client.Response:
        with self._tracer.span("table" + path):
            return self._client.request(
                "POST", path, codec.encode(document), HEADERS
            )
