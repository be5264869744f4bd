"""Requests, answers and their headers, as they came over the wire.

Headers keep their spelling, order and repetitions, so that what is forwarded
is what was received. Names are compared without regard to case.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

Header = tuple[bytes, bytes]

# Headers that concern one connection only (RFC 9110, section 7.6.1).
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
    """Returns the first value of the header `name` (in lowercase), or None."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def find_all(headers: Iterable[Header], name: bytes) -> list[bytes]:
    """Returns all values of the header `name`, which is in lowercase."""
    return [value for key, value in headers if key.lower() == name]


def tokens(headers: Iterable[Header], name: bytes) -> set[bytes]:
    """Returns the comma-separated tokens of a header, in lowercase."""
    found: set[bytes] = set()
    for value in find_all(headers, name):
        found.update(part.strip().lower() for part in value.split(b","))
    found.discard(b"")
    return found


def end_to_end(headers: Sequence[Header]) -> list[Header]:
    """Returns the headers that may be forwarded over another connection."""
    named = tokens(headers, b"connection")
    return [
        (key, value)
        for key, value in headers
        if key.lower() not in HOP_BY_HOP and key.lower() not in named
    ]


@dataclasses.dataclass(slots=True)
class Request:
    """A whole request of a client.

    Attributes:
        method: as it was sent, in capitals.
        target: the path and query, undecoded.
        headers: as received.
        body: the content without its framing.
        received: when its last byte was read, monotonic seconds.
        connection: number of the connection it came on.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes = b""
    received: float = 0.0
    connection: int = 0

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, by its lowercase name."""
        return find(self.headers, name)


@dataclasses.dataclass(slots=True)
class Head:
    """Status line and headers of an answer.

    Attributes:
        status: the status code.
        headers: as received.
        until_close: whether only the end of the connection ends the body.
        keep_alive: whether the server keeps the connection open.
    """

    status: int
    headers: list[Header]
    until_close: bool = False
    keep_alive: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, by its lowercase name."""
        return find(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send, and how long it may take.

    Attributes:
        header_bytes: largest request line and headers together.
        body_bytes: largest body.
        header_seconds: from the first byte of a request to its last header.
        idle_seconds: how long a connection may stay without a request.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
