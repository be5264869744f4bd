"""An HTTP client that sends each request once and says how far it came.

Answers are read strictly (`endivepier.http1`): one that breaks off is not
whole, and bytes that follow a whole one belong to no request.
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
from endivepier.http1 import client as http1_client
from endivepier.http1 import errors as http_errors
from endivepier.http1 import messages
from endivepier.http1 import pool as pool_lib
from endivepier.http1 import responses

DEFAULT_CONNECT_SECONDS = 1.0
DEFAULT_READ_SECONDS = 30.0
DEFAULT_CONNECTIONS = 64
# Data that the server does not acknowledge breaks a connection after this.
USER_TIMEOUT_SECONDS = 10.0
PORTS = {"http": 80, "https": 443}


def default_ssl_context() -> gevent_ssl.SSLContext:
    """Returns a context that checks the server's certificate and name.

    It is gevent's kind of context: with the standard library's, a handshake
    would block the whole process where that is not patched.
    """
    context = gevent_ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.load_default_certs()
    return context


class ConnectFailed(OSError):
    """Raised when no connection could be made; nothing was sent."""


class ExchangeFailed(OSError):
    """Raised when there is no whole answer although something was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole HTTP answer.

    Attributes:
        status: the status code.
        content_type: media type of the body.
        body: the content.
    """

    status: int
    content_type: str
    body: bytes


class StreamedAnswer:
    """An HTTP answer whose body arrives line by line.

    Its connection is given back once the body was read, and closed if that
    fails.
    """

    def __init__(
        self,
        conn: http1_client.Connection,
        head: messages.Head,
        read_part: Callable[[], responses.Part],
        give_back: Callable[[http1_client.Connection, bool], None],
    ) -> None:
        self.status = head.status
        self._head = head
        self._conn: http1_client.Connection | None = conn
        self._read_part = read_part
        self._give_back = give_back
        self._whole = False

    def header(self, name: str) -> str:
        """Returns a header of the answer, or an empty string."""
        value = self._head.header(name.lower().encode()) or b""
        return value.decode("latin-1")

    def read(self) -> bytes:
        """Returns the rest of the body.

        Raises:
            ExchangeFailed: the connection broke.
        """
        return b"".join(self._pieces())

    def lines(self) -> Iterator[bytes]:
        r"""Yields the lines of the body, each without its "\n".

        Raises:
            ExchangeFailed: the connection broke before the body's end.
        """
        rest = b""
        for piece in self._pieces():
            *lines, rest = (rest + piece).split(b"\n")
            yield from lines
        if rest:
            yield rest

    def close(self) -> None:
        """Closes the connection; the server sees that nobody listens."""
        self._end(keep=False)

    def release(self) -> None:
        """Gives the connection back after the whole body was read."""
        self._end(keep=self._whole)

    def _pieces(self) -> Iterator[bytes]:
        while not self._whole:
            try:
                part = self._read_part()
            except ExchangeFailed:
                self.close()
                raise
            match part:
                case responses.Data(content=content):
                    yield content
                case responses.End():
                    self._whole = True
                    self.release()
                case _:
                    self.close()
                    raise ExchangeFailed("an answer began inside another one")

    def _end(self, *, keep: bool) -> None:
        conn, self._conn = self._conn, None
        if conn is not None:
            self._give_back(conn, keep)


@contextlib.contextmanager
def _as_exchange_failure() -> Iterator[None]:
    try:
        yield
    except http_errors.HttpError as exc:
        raise ExchangeFailed(f"{type(exc).__name__}: {exc}") from exc


class HttpClient:
    """Connections to one server, which is named by IP number and port."""

    def __init__(
        self,
        base_url: str,
        *,
        connect_seconds: float = DEFAULT_CONNECT_SECONDS,
        read_seconds: float = DEFAULT_READ_SECONDS,
        connections: int = DEFAULT_CONNECTIONS,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        url = urllib.parse.urlsplit(base_url)
        self._prefix = url.path.rstrip("/")
        self._host = url.hostname or ""
        self._address = f"{self._host}:{url.port or PORTS[url.scheme]}"
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
        self._free = gevent.lock.BoundedSemaphore(connections)

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Sends the request once and returns the whole answer.

        Raises:
            ConnectFailed: nothing was sent.
            ExchangeFailed: something may have been sent.
        """
        answer = self.open(method, path, body, headers)
        content = answer.read()
        return Answer(answer.status, answer.header("content-type"), content)

    def open(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        check: Callable[[], None] | None = None,
    ) -> StreamedAnswer:
        """Sends the request once and returns the answer's start.

        Args:
            method: HTTP method.
            path: path and query, below the base URL.
            body: the content.
            headers: further headers.
            check: called once a connection stands, right before the first
                byte; what it raises passes through, and nothing is sent.

        Raises:
            ConnectFailed: nothing was sent.
            ExchangeFailed: something may have been sent.
        """
        lines = [(b"Host", self._address.encode())]
        for name, value in (headers or {}).items():
            lines.append((name.encode(), value.encode("latin-1")))
        data = http1_client.encode_request(
            method.encode(), (self._prefix + path).encode(), lines, body
        )
        self._free.acquire()
        conn: http1_client.Connection | None = None
        try:
            conn = self._connect()
            if check is not None:
                check()
            with _as_exchange_failure():
                conn.send(data, self._deadline())
                head = conn.read(self._deadline())
            if not isinstance(head, messages.Head):
                raise ExchangeFailed("the answer has no head")
        except BaseException:
            self._give_back(conn, keep=False)
            raise
        found = conn
        return StreamedAnswer(
            conn,
            head,
            lambda: self._read_part(found),
            lambda conn, keep: self._give_back(conn, keep=keep),
        )

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close_idle(self._address)

    def _deadline(self) -> float:
        return self._timers.now() + self._read_seconds

    def _read_part(self, conn: http1_client.Connection) -> responses.Part:
        with _as_exchange_failure():
            return conn.read(self._deadline())

    def _give_back(
        self, conn: http1_client.Connection | None, *, keep: bool
    ) -> None:
        self._free.release()
        if conn is None:
            return
        if keep:
            self._pool.release(self._address, conn)
        else:
            conn.close()

    def _connect(self) -> http1_client.Connection:
        """Returns a connection that stands; nothing has been sent on it."""
        try:
            return self._pool.acquire(
                self._address,
                self._address,
                connect_seconds=self._connect_seconds,
            )
        except http_errors.ConnectFailed as exc:
            raise ConnectFailed(str(exc)) from exc
