"""An HTTP client that sends each request once and says how far it came.

`geventhttpclient` repeats requests with an idempotent method when a reused
connection turns out to be closed. Whether a call may be repeated is decided
elsewhere here, so the pool's retry count is set to none.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import ssl
from typing import Any
import urllib.parse

import gevent
from gevent import ssl as gevent_ssl
import geventhttpclient.client
import geventhttpclient.response

DEFAULT_CONNECT_SECONDS = 1.0
DEFAULT_READ_SECONDS = 30.0
DEFAULT_CONNECTIONS = 64
BLOCK_BYTES = 16384


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
    """An HTTP answer whose body arrives line by line."""

    def __init__(
        self, response: geventhttpclient.response.HTTPSocketPoolResponse
    ) -> None:
        self._response = response
        self.status = int(response.status_code)

    def header(self, name: str) -> str:
        """Returns a header of the answer, or an empty string."""
        return str(self._response.get(name) or "")

    def read(self) -> bytes:
        """Returns the rest of the body.

        Raises:
            ExchangeFailed: the connection broke.
        """
        with _as_exchange_failure():
            return bytes(self._response.read())

    def lines(self) -> Iterator[bytes]:
        r"""Yields the lines of the body, each without its "\n".

        Raises:
            ExchangeFailed: the connection broke before the body's end.
        """
        while True:
            with _as_exchange_failure():
                line = bytes(self._response.readline(b"\n"))
            if not line:
                return
            yield line[:-1]

    def close(self) -> None:
        """Closes the connection; the server sees that nobody listens."""
        sock, pool = self._response._sock, self._response._pool
        if sock is None or pool is None:
            return
        self._response._sock = None
        self._response._pool = None
        pool.release_socket(sock)

    def release(self) -> None:
        """Gives the connection back after the whole body was read."""
        self._response.release()


@contextlib.contextmanager
def _as_exchange_failure() -> Iterator[None]:
    try:
        yield
    except gevent.GreenletExit:
        raise
    except Exception as exc:
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
        options: dict[str, Any] = {}
        if url.scheme == "https":
            context = ssl_context or default_ssl_context()
            options = {"ssl": True, "ssl_context_factory": lambda: context}
        self._client = geventhttpclient.client.HTTPClient(
            url.hostname or "",
            url.port,
            connection_timeout=connect_seconds,
            network_timeout=read_seconds,
            concurrency=connections,
            **options,
        )
        self._pool = self._client._connection_pool
        # The client derives its number of retries from the pool's size; the
        # pool's limits were set from it already. -1 leaves no retry.
        self._pool.size = -1

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
        content_type = answer.header("content-type")
        content = answer.read()
        answer.release()
        return Answer(answer.status, content_type, content)

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
        self._connect()
        if check is not None:
            check()
        with _as_exchange_failure():
            response = self._client.request(
                method, self._prefix + path, body, headers or {}
            )
        return StreamedAnswer(response)

    def close(self) -> None:
        """Closes the idle connections."""
        self._client.close()

    def _connect(self) -> None:
        """Makes sure that there is a live connection before anything is sent.

        A failure here is certain not to have reached the server, which the
        client's own exceptions don't tell apart.
        """
        try:
            sock = self._pool.get_socket()
        except Exception as exc:
            raise ConnectFailed(f"{type(exc).__name__}: {exc}") from exc
        self._pool.return_socket(sock)
