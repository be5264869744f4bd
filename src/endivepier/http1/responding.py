"""Sends responses to clients: a complete one, or a head and then chunks."""

from __future__ import annotations

from collections.abc import Iterable
import typing

from endivepier.http1 import messages

if typing.TYPE_CHECKING:
    from endivepier.http1 import connections

REASON_PHRASES = {
    100: b"Continue", 200: b"OK", 201: b"Created", 202: b"Accepted",
    204: b"No Content", 400: b"Bad Request", 401: b"Unauthorized",
    402: b"Payment Required", 403: b"Forbidden", 404: b"Not Found",
    408: b"Request Timeout", 413: b"Content Too Large",
    421: b"Misdirected Request", 429: b"Too Many Requests",
    431: b"Request Header Fields Too Large", 500: b"Internal Server Error",
    502: b"Bad Gateway", 503: b"Service Unavailable",
    504: b"Gateway Timeout",
}  # fmt: skip


class Responder:
    """Sends the response to one request.

    Attributes:
        started: whether a part of the response may have been sent.
        finished: whether the response is complete.
    """

    def __init__(
        self,
        conn: connections.ClientConnection,
        *,
        keep_alive: bool,
        chunked: bool,
    ) -> None:
        self.started = False
        self.finished = False
        self._conn = conn
        self._keep_alive = keep_alive
        self._chunked = chunked

    @property
    def connection(self) -> connections.ClientConnection:
        """The connection that the request arrived on."""
        return self._conn

    def close_after_response(self) -> None:
        """Makes the server close the connection after this response."""
        self._keep_alive = False

    @property
    def keep_alive(self) -> bool:
        """Whether the connection stays open after this response."""
        return self._keep_alive and not self._conn.server.closing

    def send(
        self, status: int, headers: Iterable[messages.Header], body: bytes
    ) -> None:
        """Sends a complete response.

        Raises:
            errors.ClientGone: the client closed the connection, or sending
                timed out. `start`, `write` and `finish` raise it, too.
        """
        framing = [(b"Content-Length", b"%d" % len(body))]
        self.started = True
        self._write(self._head(status, headers, framing) + body)
        self.finished = True

    def start(self, status: int, headers: Iterable[messages.Header]) -> None:
        """Sends the head of a response whose body follows in chunks."""
        framing = []
        if self._chunked:
            framing.append((b"Transfer-Encoding", b"chunked"))
        else:
            self._keep_alive = False
        self.started = True
        self._write(self._head(status, headers, framing))

    def write(self, data: bytes) -> None:
        """Sends a chunk of the body immediately."""
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._write(data)

    def finish(self) -> None:
        """Ends the body, which completes the response."""
        if self._chunked:
            self._write(b"0\r\n\r\n")
        self.finished = True

    def _head(
        self,
        status: int,
        headers: Iterable[messages.Header],
        framing: Iterable[messages.Header],
    ) -> bytes:
        keep_alive = self.keep_alive
        self._keep_alive = keep_alive
        lines = [
            b"HTTP/1.1 %d %b" % (status, REASON_PHRASES.get(status, b"Unknown"))
        ]
        lines.extend(name + b": " + value for name, value in headers)
        lines.extend(name + b": " + value for name, value in framing)
        if not keep_alive:
            lines.append(b"Connection: close")
        lines.append(b"\r\n")
        return b"\r\n".join(lines)

    def _write(self, data: bytes) -> None:
        self._conn.write(data)
