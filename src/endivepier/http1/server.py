"""Serves clients over HTTP/1.1: a task for each connection."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import itertools
import json
import socket as socket_lib
from typing import Any

import eliot
import gevent
from gevent import socket
import gevent.event
import gevent.server

from endivepier import timers as timers_lib
from endivepier.http1 import errors
from endivepier.http1 import messages
from endivepier.http1 import requests

READ_BYTES = 65536
BACKLOG = 512  # opening packets that find a full queue come again after seconds
SEND_SECONDS = 5.0  # a client that takes nothing for so long is gone
LINGER_SECONDS = 0.3  # to read what a client still sends after a refusal

REASONS = {
    100: b"Continue", 200: b"OK", 201: b"Created", 202: b"Accepted",
    204: b"No Content", 400: b"Bad Request", 401: b"Unauthorized",
    402: b"Payment Required", 403: b"Forbidden", 404: b"Not Found",
    408: b"Request Timeout", 413: b"Content Too Large",
    421: b"Misdirected Request", 429: b"Too Many Requests",
    431: b"Request Header Fields Too Large", 500: b"Internal Server Error",
    502: b"Bad Gateway", 503: b"Service Unavailable",
    504: b"Gateway Timeout",
}  # fmt: skip

Handler = Callable[[messages.Request, "Responder"], None]


class Responder:
    """The way back to the client of one request.

    Attributes:
        started: whether a part of the answer may have been sent.
        finished: whether the answer is whole.
    """

    def __init__(
        self, conn: ClientConnection, *, keep_alive: bool, chunked: bool
    ) -> None:
        self.started = False
        self.finished = False
        self._conn = conn
        self._keep_alive = keep_alive
        self._chunked = chunked

    @property
    def connection(self) -> ClientConnection:
        """The connection that the request came on."""
        return self._conn

    def close_after_response(self) -> None:
        """Has the connection closed after this answer."""
        self._keep_alive = False

    @property
    def keep_alive(self) -> bool:
        """Whether the connection is kept after this answer."""
        return self._keep_alive and not self._conn.server.closing

    def send(
        self, status: int, headers: Sequence[messages.Header], body: bytes
    ) -> None:
        """Sends a whole answer.

        Raises:
            errors.ClientGone: the client does not take it.
        """
        framing = [(b"Content-Length", b"%d" % len(body))]
        self.started = True
        self._write(self._head(status, headers, framing) + body)
        self.finished = True

    def start(self, status: int, headers: Sequence[messages.Header]) -> None:
        """Sends the head of an answer whose body follows piece by piece."""
        framing = []
        if self._chunked:
            framing.append((b"Transfer-Encoding", b"chunked"))
        else:
            self._keep_alive = False
        self.started = True
        self._write(self._head(status, headers, framing))

    def write(self, data: bytes) -> None:
        """Sends a piece of the body at once."""
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._write(data)

    def finish(self) -> None:
        """Ends the body, so that the answer is whole."""
        if self._chunked:
            self._write(b"0\r\n\r\n")
        self.finished = True

    def _head(
        self,
        status: int,
        headers: Sequence[messages.Header],
        framing: Sequence[messages.Header],
    ) -> bytes:
        keep = self.keep_alive
        self._keep_alive = keep
        lines = [b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b"Unknown"))]
        lines.extend(name + b": " + value for name, value in headers)
        lines.extend(name + b": " + value for name, value in framing)
        if not keep:
            lines.append(b"Connection: close")
        lines.append(b"\r\n")
        return b"\r\n".join(lines)

    def _write(self, data: bytes) -> None:
        self._conn.write(data)


class ClientConnection:
    """One connection of a client."""

    def __init__(self, server: Server, sock: socket.socket, number: int):
        self.server = server
        self.number = number
        self._sock = sock
        self._limits = server.limits()
        self._reader = requests.RequestReader(self._limits)
        self._task = gevent.getcurrent()

    @property
    def socket(self) -> socket.socket:
        """The connection's socket, to be looked at and not read."""
        return self._sock

    def run(self) -> None:
        """Serves requests until the connection ends."""
        try:
            while True:
                req = self._next()
                if req is None or not self._serve(req):
                    return
        except requests.BadRequest as exc:
            self._refuse(exc.status, str(exc))
        except (OSError, errors.ClientGone):
            return

    def write(self, data: bytes) -> None:
        """Sends bytes.

        Raises:
            errors.ClientGone: the client does not take them.
        """
        try:
            self._sock.settimeout(SEND_SECONDS)
            self._sock.sendall(data)
        except OSError as exc:
            raise errors.ClientGone(
                f"the client took no answer: {exc}"
            ) from exc

    def _next(self) -> messages.Request | None:
        """Reads until a request is whole; None at the connection's end."""
        req = self._reader.next_request()
        continued = False
        began: float | None = None
        self._limits = self._reader.limits = self.server.limits()
        while req is None:
            if self._reader.wants_continue and not continued:
                continued = True
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            if began is None and self._reader.started:
                began = self.server.timers.now()
            data = self._receive(began)
            if not data:
                return None
            self._reader.feed(data)
            req = self._reader.next_request()
        req.received = self.server.timers.now()
        req.connection = self.number
        return req

    def _receive(self, began: float | None) -> bytes:
        """Returns more bytes; none when the client is gone or too slow."""
        limits = self._limits
        if began is None or self._reader.headers_complete:
            self._sock.settimeout(limits.idle_seconds)
        else:
            passed = self.server.timers.now() - began
            self._sock.settimeout(max(limits.header_seconds - passed, 0.001))
        idle = began is None
        if idle:
            self.server.idle.add(self)
        try:
            return bytes(self._sock.recv(READ_BYTES))
        except TimeoutError:
            if not idle:
                self._refuse(408, "the request came too slowly")
            return b""
        finally:
            self.server.idle.discard(self)

    def _serve(self, req: messages.Request) -> bool:
        """Has one request answered; returns whether to read another."""
        responder = Responder(
            self, keep_alive=self._reader.keep_alive, chunked=True
        )
        self.server.active += 1
        try:
            if self.server.cancel_on_disconnect:
                with self._watched():
                    self.server.handler(req, responder)
            else:
                self.server.handler(req, responder)
        except errors.ClientGone:
            return False
        finally:
            self.server.active -= 1
        return responder.finished and responder.keep_alive

    @contextlib.contextmanager
    def _watched(self) -> Iterator[None]:
        """Raises `ClientGone` in this task once the client hangs up."""
        loop = gevent.get_hub().loop
        watcher = loop.io(self._sock.fileno(), 1)
        done = False

        def throw() -> None:
            if not done:
                self._task.throw(errors.ClientGone("the client hung up"))

        def look() -> None:
            try:
                data = socket_lib.socket.recv(
                    self._sock._sock, 1, socket_lib.MSG_PEEK
                )
            except BlockingIOError:
                return
            except OSError:
                data = b""
            watcher.stop()
            if not data:
                loop.run_callback(throw)

        watcher.start(look)
        try:
            yield
        finally:
            done = True
            watcher.stop()
            watcher.close()

    def _refuse(self, status: int, detail: str) -> None:
        """Sends a last answer and closes."""
        body = json.dumps({"error": detail}).encode()
        responder = Responder(self, keep_alive=False, chunked=False)
        headers = [(b"Content-Type", b"application/json")]
        with contextlib.suppress(errors.ClientGone, OSError):
            responder.send(status, headers, body)
            self._sock.shutdown(socket_lib.SHUT_WR)
            # Unread bytes would turn the close into a reset, and the client
            # would lose the answer.
            self._sock.settimeout(LINGER_SECONDS)
            while self._sock.recv(READ_BYTES):
                pass
        eliot.log_message(
            "client.refused",
            connection=self.number,
            status=status,
            reason=detail,
        )

    def close(self) -> None:
        """Closes the connection from outside; its task ends."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket_lib.SHUT_RDWR)


class Server:
    """A listener and its connections.

    Attributes:
        timers: the timer service.
        handler: answers one request.
        closing: whether connections are closed after their next answer.
        active: how many requests are being answered.
        idle: connections that wait for a request.
        open: all connections.
    """

    def __init__(
        self,
        listen: str,
        handler: Handler,
        timers: timers_lib.Timers,
        limits: Callable[[], messages.ClientLimits],
        *,
        cancel_on_disconnect: bool = True,
        **options: Any,
    ) -> None:
        """Makes a server.

        Args:
            listen: "ip:port"; port 0 takes a free one.
            handler: answers one request; it must leave the responder
                finished, or else the connection is cut.
            timers: the timer service.
            limits: returns what clients may send now.
            cancel_on_disconnect: whether `ClientGone` is raised in a handler
                whose client closes the connection.
            options: of `gevent.server.StreamServer`, for TLS.
        """
        self.cancel_on_disconnect = cancel_on_disconnect
        self.timers = timers
        self.handler = handler
        self.limits = limits
        self.closing = False
        self.active = 0
        self.idle: set[ClientConnection] = set()
        self.open: set[ClientConnection] = set()
        self._numbers = itertools.count(1)
        host, _, port = listen.rpartition(":")
        self._server = gevent.server.StreamServer(
            (host, int(port)), self._accept, backlog=BACKLOG, **options
        )

    @property
    def address(self) -> str:
        """The "ip:port" that the server listens on, once started."""
        return f"{self._server.server_host}:{self._server.server_port}"

    def start(self) -> None:
        """Listens; requests are served from now on."""
        self._server.start()

    def stop(self) -> None:
        """Stops listening; open connections go on."""
        self._server.close()

    def kill(self) -> None:
        """Stops listening and closes all connections."""
        self._server.close()
        for conn in list(self.open):
            conn.close()

    def close_idle(self) -> None:
        """Closes the connections that wait for a request."""
        for conn in list(self.idle):
            conn.close()

    def _accept(self, sock: socket.socket, peer: object) -> None:
        del peer
        sock.setsockopt(socket_lib.IPPROTO_TCP, socket_lib.TCP_NODELAY, 1)
        conn = ClientConnection(self, sock, next(self._numbers))
        self.open.add(conn)
        try:
            conn.run()
        finally:
            self.open.discard(conn)
            sock.close()
