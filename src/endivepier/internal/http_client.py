"""An HTTP client that never repeats a request.

Its errors tell whether the server may have received the request. Responses are
parsed strictly by `endivepier.http1`: a truncated response is an error, and a
connection with bytes after a complete response is not used again.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import functools
import math
import ssl
import urllib.parse

from gevent import ssl as gevent_ssl
import gevent.lock

from endivepier import timers as timers_lib
from endivepier.http1 import buffers as buffers_lib
from endivepier.http1 import client as http1_client
from endivepier.http1 import errors as http_errors
from endivepier.http1 import messages
from endivepier.http1 import pool as pool_lib
from endivepier.http1 import responses

DEFAULT_CONNECT_SECONDS = 1.0
DEFAULT_READ_SECONDS = 30.0
DEFAULT_MAX_CONNECTIONS = 64
# The TCP user timeout: how long sent data may stay unacknowledged before the
# connection is closed.
USER_TIMEOUT_SECONDS = 10.0
# The largest bodies are prefixes that move between engines; see also
# `daemons.common.MAX_INTERNAL_BODY_BYTES`.
MAX_BODY_BYTES = 256 * 1024 * 1024
MAX_LINE_BYTES = 16 * 1024 * 1024
# The lowest average rate of a body, apart from its first read timeout.
MIN_BYTES_PER_SECOND = 4096.0
DEFAULT_PORTS = {"http": 80, "https": 443}


def default_ssl_context() -> gevent_ssl.SSLContext:
    """Returns a context that verifies the server's certificate and name.

    It is a context of gevent: a handshake with one of the standard library
    blocks the whole process unless the library is monkey-patched.
    """
    context = gevent_ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.load_default_certs()
    return context


class ConnectFailed(OSError):
    """Raised when connecting failed; nothing was sent."""


class ExchangeFailed(OSError):
    """Raised when no complete response came; something may have been sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response.

    Attributes:
        status: the status code.
        content_type: the media type of the body.
        body: the body.
        until_close: whether the body ended with the connection, so that only
            its content can show that it is truncated.
    """

    status: int
    content_type: str
    body: bytes
    until_close: bool = False


class StreamedResponse:
    """An HTTP response whose body is read as it arrives.

    Its connection returns to the pool after the whole body was read, and is
    closed if reading fails.
    """

    def __init__(
        self,
        conn: http1_client.Connection,
        head: messages.Head,
        read_seconds: float,
        body: buffers_lib.Body,
        release_connection: Callable[[http1_client.Connection, bool], None],
    ) -> None:
        self.status = head.status
        self.until_close = head.until_close
        self._head = head
        self._conn: http1_client.Connection | None = conn
        self._read_seconds = read_seconds
        self._body = body
        self._release_connection = release_connection
        self._complete = False

    def header(self, name: str) -> str:
        """Returns the value of a header, or an empty string."""
        value = self._head.header(name.lower().encode()) or b""
        return value.decode("latin-1")

    def read(self) -> bytes:
        """Returns the rest of the body.

        Raises:
            ExchangeFailed: the connection failed, or the body is too large or
                arrives too slowly.
        """
        conn = self._conn
        if conn is None:
            return b""
        length = self._head.body_length()
        started_at = conn.now()
        content = bytearray()  # a list of small chunks would take much more
        while True:
            received = len(content)
            self._check_size("body", max(received, length or 0), MAX_BODY_BYTES)
            deadline = (
                started_at
                + self._read_seconds
                + received / MIN_BYTES_PER_SECOND
            )
            seconds = max(deadline - conn.now(), 0.0)
            if not self._body.reserve(received, length, seconds):
                self.close()
                raise ExchangeFailed("no memory became free for the body")
            chunk = self._read_chunk(deadline)
            if chunk is None:
                return bytes(content)
            content += chunk

    def lines(self) -> Iterator[bytes]:
        r"""Yields the lines of the body, each without its "\n".

        Raises:
            ExchangeFailed: the connection failed before the end of the body,
                or a line is too long or arrives too slowly.
        """
        rest = bytearray()
        deadline = 0.0
        while (conn := self._conn) is not None:
            deadline = deadline or conn.now() + self._read_seconds
            chunk = self._read_chunk(deadline)
            if chunk is None:
                break
            first, *others = chunk.split(b"\n")
            rest += first
            self._check_size("line", len(rest), MAX_LINE_BYTES)
            if others:
                yield bytes(rest)
                yield from others[:-1]
                rest = bytearray(others[-1])
                deadline = 0.0
        if rest:
            yield bytes(rest)

    def close(self) -> None:
        """Closes the connection, so that the server can stop responding."""
        self._detach(keep=False)

    def release(self) -> None:
        """Returns the connection to the pool, or closes it.

        It is closed if the body was not read to its end.
        """
        self._detach(keep=self._complete)

    def _read_chunk(self, deadline: float) -> bytes | None:
        """Returns the next part of the body, or None at its end."""
        if self._conn is None:
            return None
        try:
            with _as_exchange_failure():
                part = self._conn.read(deadline)
        except ExchangeFailed:
            self.close()
            raise
        match part:
            case responses.Data(content=content):
                return content
            case responses.End():
                self._complete = True
                self.release()
                return None
            case _:
                self.close()
                raise ExchangeFailed("a second response began within the body")

    def _check_size(self, name: str, size: int, limit: int) -> None:
        if size > limit:
            self.close()
            raise ExchangeFailed(
                f"a {name} of the response has {size} bytes or more; the limit"
                f" is {limit}"
            )

    def _detach(self, *, keep: bool) -> None:
        """Releases the connection; does nothing if that was done before."""
        self._body.release()
        conn, self._conn = self._conn, None
        if conn is not None:
            self._release_connection(conn, keep)


@contextlib.contextmanager
def _as_exchange_failure() -> Iterator[None]:
    try:
        yield
    except http_errors.HttpError as exc:
        raise ExchangeFailed(f"{type(exc).__name__}: {exc}") from exc


# All clients of the process share its memory.
_BUFFERS = buffers_lib.Buffers(
    body_bytes=MAX_BODY_BYTES,
    small_bytes=64 * 1024 * 1024,
    large_bytes=2 * MAX_BODY_BYTES,
)


class HttpClient:
    """A client for one server, given by IP address and port."""

    def __init__(
        self,
        base_url: str,
        *,
        connect_seconds: float = DEFAULT_CONNECT_SECONDS,
        read_seconds: float = DEFAULT_READ_SECONDS,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Creates a client; it connects when a request is sent.

        Args:
            base_url: scheme, IP address, optional port and path prefix.
            connect_seconds: the longest wait for a connection.
            read_seconds: the longest wait for the head of a response and for
                each part of its body.
            max_connections: the most connections in use at the same time;
                further requests wait.
            ssl_context: for `https`; None for `default_ssl_context()`.
        """
        url = urllib.parse.urlsplit(base_url)
        self._prefix = url.path.rstrip("/")
        self._host = url.hostname or ""
        self._address = f"{self._host}:{url.port or DEFAULT_PORTS[url.scheme]}"
        tls = None
        if url.scheme == "https":
            tls = ssl_context or default_ssl_context()
        self._connect_seconds = connect_seconds
        self._read_seconds = read_seconds
        self._timers = timers_lib.SystemTimers()
        self._pool = pool_lib.Pool(
            self._timers,
            functools.partial(http1_client.connect, tls=tls),
            user_timeout=USER_TIMEOUT_SECONDS,
            idle_seconds=math.inf,
        )
        self._connection_slots = gevent.lock.BoundedSemaphore(max_connections)

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Sends the request once and returns the complete response.

        Raises:
            ConnectFailed: nothing was sent.
            ExchangeFailed: something may have been sent.
        """
        response = self.open(method, path, body, headers)
        content = response.read()
        return Response(
            response.status,
            response.header("content-type"),
            content,
            response.until_close,
        )

    def open(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        check: Callable[[], None] | None = None,
    ) -> StreamedResponse:
        """Sends the request once and returns after the response's head.

        Args:
            method: the HTTP method.
            path: path and query, relative to the base URL.
            body: the request body.
            headers: additional headers.
            check: called on a connected socket, right before the first byte
                is sent. If it raises, nothing is sent and the exception
                propagates.

        Raises:
            ConnectFailed: nothing was sent.
            ExchangeFailed: something may have been sent.
        """
        fields = [(b"Host", self._address.encode())]
        for name, value in (headers or {}).items():
            fields.append((name.encode(), value.encode("latin-1")))
        data = http1_client.encode_request(
            method.encode(), (self._prefix + path).encode(), fields, body
        )
        self._connection_slots.acquire()
        conn: http1_client.Connection | None = None
        try:
            conn = self._connect()
            if check is not None:
                check()
            with _as_exchange_failure():
                conn.send(data, self._deadline())
                head = conn.read(self._deadline())
            if not isinstance(head, messages.Head):
                raise ExchangeFailed("the response has no head")
        except BaseException:
            self._release_connection(conn, keep=False)
            raise
        return StreamedResponse(
            conn,
            head,
            self._read_seconds,
            _BUFFERS.open(self._address),
            lambda conn, keep: self._release_connection(conn, keep=keep),
        )

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close_idle(self._address)

    def _deadline(self) -> float:
        return self._timers.now() + self._read_seconds

    def _release_connection(
        self, conn: http1_client.Connection | None, *, keep: bool
    ) -> None:
        """Returns a connection to the pool, or closes it."""
        self._connection_slots.release()
        if conn is None:
            return
        if keep:
            self._pool.release(self._address, conn)
        else:
            conn.close()

    def _connect(self) -> http1_client.Connection:
        """Returns an idle or new connection; no request is pending on it."""
        try:
            return self._pool.acquire(
                self._address,
                self._address,
                connect_seconds=self._connect_seconds,
            )
        except http_errors.ConnectFailed as exc:
            raise ConnectFailed(str(exc)) from exc
