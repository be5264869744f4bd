"""HTTP requests, response heads and headers, as received.

Headers keep their spelling, order and repetitions, so that they can be
forwarded unchanged. Names are compared case-insensitively.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from endivepier.http1 import headers as headers_lib

Header = headers_lib.Header

# Headers that apply to a single connection (RFC 9110, section 7.6.1), and
# those that the sender of each hop sets anew.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)


def find(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Returns the first value of a header by its lowercase name, or None."""
    if isinstance(headers, headers_lib.Headers):
        return headers.find(name)
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def find_all(headers: Iterable[Header], name: bytes) -> list[bytes]:
    """Returns all values of a header by its lowercase name."""
    return [value for key, value in headers if key.lower() == name]


def header_tokens(headers: Iterable[Header], name: bytes) -> set[bytes]:
    """Returns the comma-separated tokens of a header, in lowercase."""
    result: set[bytes] = set()
    for value in find_all(headers, name):
        result.update(part.strip().lower() for part in value.split(b","))
    result.discard(b"")
    return result


def end_to_end(headers: Iterable[Header]) -> Iterator[Header]:
    """Yields the headers that may be forwarded over another connection."""
    connection_options = header_tokens(headers, b"connection")
    for key, value in headers:
        name = key.lower()
        if name not in HOP_BY_HOP and name not in connection_options:
            yield key, value


@dataclasses.dataclass(slots=True)
class Request:
    """A complete client request.

    Attributes:
        method: in uppercase, as sent.
        target: path and query, not percent-decoded.
        headers: as received.
        body: the body, without transfer coding.
        received: when the last byte was read, monotonic seconds.
        connection_number: number of the connection that it arrived on.
    """

    method: bytes
    target: bytes
    headers: headers_lib.Headers
    body: bytes = b""
    received: float = 0.0
    connection_number: int = 0

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, by its lowercase name."""
        return find(self.headers, name)


@dataclasses.dataclass(slots=True)
class Head:
    """Status code and headers of a response.

    Attributes:
        status: the status code.
        headers: as received.
        until_close: whether the body extends to the end of the connection.
        keep_alive: whether the server keeps the connection open.
    """

    status: int
    headers: list[Header]
    until_close: bool = False
    keep_alive: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, by its lowercase name."""
        return find(self.headers, name)

    def body_length(self) -> int | None:
        """Returns the declared length of the body, or None."""
        value = self.header(b"content-length")
        return None if value is None else int(value)


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Size limits and timeouts for client requests.

    Attributes:
        header_bytes: maximum size of the request line and headers.
        body_bytes: maximum size of the body.
        header_seconds: timeout from the first byte of a request to the end of
            its headers.
        idle_seconds: timeout for a connection without a request, and for each
            read of a body.
        body_bytes_per_second: the lowest average rate of a body, apart from
            its first `idle_seconds`.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
    body_bytes_per_second: float = 4096.0
