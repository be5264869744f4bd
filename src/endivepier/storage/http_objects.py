"""HTTP client for the object store."""

from __future__ import annotations

import urllib.parse

from endivepier import errors
from endivepier.internal import http_client
from endivepier.storage import wire

READ_TIMEOUT_SECONDS = 10.0
MEDIA_TYPE = "application/octet-stream"


class HttpObjects:
    """A `storage.ports.Objects` over HTTP."""

    def __init__(self, base_url: str) -> None:
        self._client = http_client.HttpClient(
            base_url, read_seconds=READ_TIMEOUT_SECONDS
        )

    def put(self, name: str, body: bytes) -> None:
        """Stores a body; see `storage.ports.Objects.put`."""
        response = self._request("PUT", name, body)
        if response.status == 409:
            raise errors.ConditionFailed(name)
        if response.status >= 300:
            raise errors.Unavailable(
                f"the object store returned status {response.status}"
            )

    def get(self, name: str) -> bytes | None:
        """Returns a body; see `storage.ports.Objects.get`."""
        response = self._request("GET", name)
        if response.status == 404:
            return None
        if response.status >= 300:
            raise errors.Unavailable(
                f"the object store returned status {response.status}"
            )
        if response.until_close:
            raise errors.Unavailable(
                f"object {name!r} came without a length, so it may be truncated"
            )
        return response.body

    def _request(
        self, method: str, name: str, body: bytes = b""
    ) -> http_client.Response:
        path = wire.OBJECT_PATH + urllib.parse.quote(name, safe="")
        try:
            return self._client.request(
                method, path, body, {"Content-Type": MEDIA_TYPE}
            )
        except OSError as exc:
            raise errors.Unavailable(
                f"the request to the object store failed: {exc}"
            ) from exc
