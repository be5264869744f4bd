"""The object store over HTTP."""

from __future__ import annotations

import urllib.parse

from endivepier import errors
from endivepier.internal import http_client
from endivepier.storage import wire

READ_SECONDS = 10.0
MEDIA_TYPE = "application/octet-stream"


class HttpObjects:
    """A `storage.ports.Objects` over HTTP."""

    def __init__(self, base_url: str) -> None:
        self._client = http_client.HttpClient(
            base_url, read_seconds=READ_SECONDS
        )

    def put(self, name: str, body: bytes) -> None:
        """Stores a body; see `storage.ports.Objects.put`."""
        answer = self._request("PUT", name, body)
        if answer.status == 409:
            raise errors.ConditionFailed(name)
        if answer.status >= 300:
            raise errors.Unavailable(f"the object store said {answer.status}")

    def get(self, name: str) -> bytes | None:
        """Returns a body; see `storage.ports.Objects.get`."""
        answer = self._request("GET", name)
        if answer.status == 404:
            return None
        if answer.status >= 300:
            raise errors.Unavailable(f"the object store said {answer.status}")
        return answer.body

    def _request(
        self, method: str, name: str, body: bytes = b""
    ) -> http_client.Response:
        path = wire.OBJECT_PATH + urllib.parse.quote(name, safe="")
        try:
            return self._client.request(
                method, path, body, {"Content-Type": MEDIA_TYPE}
            )
        except OSError as exc:
            raise errors.Unavailable(f"the object store: {exc}") from exc
