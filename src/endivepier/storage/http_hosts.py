"""HTTP client for the platform's list of hosts."""

from __future__ import annotations

from collections.abc import Sequence

from endivepier import errors
from endivepier.internal import codec
from endivepier.internal import http_client
from endivepier.storage import ports
from endivepier.storage import wire

READ_TIMEOUT_SECONDS = 2.0


class HttpHostList:
    """A `storage.ports.HostList` over HTTP."""

    def __init__(self, base_url: str) -> None:
        self._client = http_client.HttpClient(
            base_url, read_seconds=READ_TIMEOUT_SECONDS
        )

    def hosts(self) -> Sequence[ports.Host]:
        """Returns the list; see `storage.ports.HostList.hosts`."""
        try:
            response = self._client.request("GET", wire.HOSTS_PATH)
        except OSError as exc:
            raise errors.Unavailable(
                f"the request for the host list failed: {exc}"
            ) from exc
        if response.status != 200:
            raise errors.Unavailable(
                f"the host list returned status {response.status}"
            )
        try:
            document: wire.Hosts = codec.decode(wire.Hosts, response.body)
        except errors.Refused as exc:
            raise errors.Unavailable(
                f"invalid response with the host list: {exc.detail}"
            ) from exc
        return document.hosts
