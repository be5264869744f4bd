"""An HTTP/1.1 server that runs one gevent task per client connection."""

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
BACKLOG = 512  # a SYN packet that meets a full queue is resent after seconds
SEND_TIMEOUT_SECONDS = 5.0  # after that, a client counts as disconnected
LINGER_SECONDS = 0.3  # to discard what a client sends after an error response

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

Handler = Callable[[messages.Request, "Responder"], None]


class Responder:
    """Sends the response to one request.

    Attributes:
        started: whether a part of the response may have been sent.
        finished: whether the response is complete.
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
        self, status: int, headers: Sequence[messages.Header], body: bytes
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

    def start(self, status: int, headers: Sequence[messages.Header]) -> None:
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
        headers: Sequence[messages.Header],
        framing: Sequence[messages.Header],
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


class ClientConnection:
    """The server side of one client connection.

    Attributes:
        server: the server that accepted it.
        number: number of the connection, unique in its server.
    """

    def __init__(self, server: Server, sock: socket.socket, number: int):
        self.server = server
        self.number = number
        self._sock = sock
        self._limits = server.limits()
        self._reader = requests.RequestReader(self._limits)
        self._task = gevent.getcurrent()

    @property
    def socket(self) -> socket.socket:
        """The connection's socket; callers must not read from it."""
        return self._sock

    def run(self) -> None:
        """Serves requests until the connection is closed."""
        try:
            while True:
                req = self._read_request()
                if req is None or not self._serve(req):
                    return
        except requests.BadRequest as exc:
            self._send_error(exc.status, str(exc))
        except (OSError, errors.ClientGone):
            return

    def write(self, data: bytes) -> None:
        """Sends bytes to the client.

        Raises:
            errors.ClientGone: the client closed the connection, or sending
                timed out.
        """
        try:
            self._sock.settimeout(SEND_TIMEOUT_SECONDS)
            self._sock.sendall(data)
        except OSError as exc:
            raise errors.ClientGone(
                f"sending the response failed: {exc}"
            ) from exc

    def _read_request(self) -> messages.Request | None:
        """Returns the next request; None if the connection is to be closed."""
        req = self._reader.next_request()
        sent_continue = False
        started_at: float | None = None
        self._limits = self._reader.limits = self.server.limits()
        while req is None:
            if self._reader.wants_continue and not sent_continue:
                sent_continue = True
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            if started_at is None and self._reader.started:
                started_at = self.server.timers.now()
            data = self._receive(started_at)
            if not data:
                return None
            self._reader.feed(data)
            req = self._reader.next_request()
        req.received = self.server.timers.now()
        req.connection_number = self.number
        return req

    def _receive(self, started_at: float | None) -> bytes:
        """Returns received bytes; empty at the end of the connection.

        On a timeout, it sends an error if a request has begun, and returns no
        bytes either.

        Args:
            started_at: when the first byte of the request was received, or
                None if there is none yet.
        """
        limits = self._limits
        if started_at is None or self._reader.headers_complete:
            self._sock.settimeout(limits.idle_seconds)
        else:
            elapsed = self.server.timers.now() - started_at
            self._sock.settimeout(max(limits.header_seconds - elapsed, 0.001))
        idle = started_at is None
        if idle:
            self.server.idle_connections.add(self)
        try:
            return bytes(self._sock.recv(READ_BYTES))
        except TimeoutError:
            if not idle:
                self._send_error(408, "timeout while receiving the request")
            return b""
        finally:
            self.server.idle_connections.discard(self)

    def _serve(self, req: messages.Request) -> bool:
        """Handles one request; returns whether to read another one."""
        responder = Responder(
            self, keep_alive=self._reader.keep_alive, chunked=True
        )
        self.server.active_requests += 1
        try:
            if self.server.cancel_on_disconnect:
                with self._cancel_on_disconnect():
                    self.server.handler(req, responder)
            else:
                self.server.handler(req, responder)
        except errors.ClientGone:
            return False
        finally:
            self.server.active_requests -= 1
        return responder.finished and responder.keep_alive

    @contextlib.contextmanager
    def _cancel_on_disconnect(self) -> Iterator[None]:
        """Raises `ClientGone` in this task when the client disconnects.

        Once the client has sent more data, a disconnect is not noticed.
        """
        loop = gevent.get_hub().loop
        watcher = loop.io(self._sock.fileno(), 1)
        done = False

        def raise_in_task() -> None:
            if not done:
                self._task.throw(
                    errors.ClientGone("the client closed the connection")
                )

        def check_for_eof() -> None:
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
                loop.run_callback(raise_in_task)

        watcher.start(check_for_eof)
        try:
            yield
        finally:
            done = True
            watcher.stop()
            watcher.close()

    def _send_error(self, status: int, detail: str) -> None:
        """Sends an error as the last response and stops sending."""
        body = json.dumps({"error": detail}).encode()
        responder = Responder(self, keep_alive=False, chunked=False)
        headers = [(b"Content-Type", b"application/json")]
        with contextlib.suppress(errors.ClientGone, OSError):
            responder.send(status, headers, body)
            self._sock.shutdown(socket_lib.SHUT_WR)
            # Closing a socket with unread bytes resets the connection, and the
            # client could lose the response.
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
        """Shuts the socket down, which makes the connection's task end."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket_lib.SHUT_RDWR)


class Server:
    """A listening socket and its client connections.

    Attributes:
        timers: the timer service.
        handler: handles one request.
        limits: returns the current limits for requests.
        cancel_on_disconnect: whether `ClientGone` is raised in the handler of
            a client that disconnects.
        closing: whether each connection is closed after its next response.
        active_requests: number of requests that are being handled.
        idle_connections: connections that wait for a request.
        connections: all open connections.
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
        """Creates a server that does not listen yet.

        Args:
            listen: "ip:port"; port 0 selects a free one.
            handler: handles one request. If it returns before the response is
                finished, the connection is closed.
            timers: the timer service.
            limits: returns the current limits for requests.
            cancel_on_disconnect: whether `ClientGone` is raised in the handler
                of a client that disconnects.
            options: options of `gevent.server.StreamServer`, for TLS.
        """
        self.cancel_on_disconnect = cancel_on_disconnect
        self.timers = timers
        self.handler = handler
        self.limits = limits
        self.closing = False
        self.active_requests = 0
        self.idle_connections: set[ClientConnection] = set()
        self.connections: set[ClientConnection] = set()
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
        """Starts to listen and to serve requests."""
        self._server.start()

    def stop(self) -> None:
        """Stops listening; open connections continue."""
        self._server.close()

    def kill(self) -> None:
        """Stops listening and closes all connections."""
        self._server.close()
        for conn in list(self.connections):
            conn.close()

    def close_idle(self) -> None:
        """Closes the connections that wait for a request."""
        for conn in list(self.idle_connections):
            conn.close()

    def _accept(self, sock: socket.socket, peer: object) -> None:
        del peer
        sock.setsockopt(socket_lib.IPPROTO_TCP, socket_lib.TCP_NODELAY, 1)
        conn = ClientConnection(self, sock, next(self._numbers))
        self.connections.add(conn)
        try:
            conn.run()
        finally:
            self.connections.discard(conn)
            sock.close()
