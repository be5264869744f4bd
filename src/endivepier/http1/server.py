"""An HTTP/1.1 server that runs one gevent task per client connection."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
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
from endivepier.http1 import buffers as buffers_lib
from endivepier.http1 import errors
from endivepier.http1 import messages
from endivepier.http1 import receiving
from endivepier.http1 import requests
from endivepier.http1 import responding

BACKLOG = 512  # a SYN packet that meets a full queue is resent after seconds
SEND_TIMEOUT_SECONDS = 5.0  # after that, a client counts as disconnected
LINGER_SECONDS = 0.3  # to discard what a client sends after an error response
BUSY_RETRY_SECONDS = 1  # `Retry-After` while request bodies fill the memory
# Work for a request besides reading it, as the number of received bytes that
# take as long. A client may send many requests without waiting for responses.
REQUEST_WORK_BYTES = 4096

Handler = Callable[[messages.Request, responding.Responder], None]


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
        self._receiver = receiving.Receiver(sock)
        self._task = gevent.getcurrent()
        self._is_closed = False

    @property
    def socket(self) -> socket.socket:
        """The connection's socket; callers must not read from it."""
        return self._sock

    def run(self) -> None:
        """Serves requests until the connection is closed."""
        try:
            while True:
                with self.server.buffers.open(str(self.number)) as body:
                    req = self._read_request(body)
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

    def _read_request(self, body: buffers_lib.Body) -> messages.Request | None:
        """Returns the next request; None if the connection is to be closed.

        Args:
            body: reserves the memory for the request's body.
        """
        req = self._reader.next_request()
        sent_continue = False
        started_at: float | None = None
        body_started_at: float | None = None
        self._limits = self._reader.limits = self.server.limits()
        while req is None:
            if self._reader.wants_continue and not sent_continue:
                sent_continue = True
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            if started_at is None and self._reader.started:
                started_at = self.server.timers.now()
            if body_started_at is None and self._reader.headers_complete:
                body_started_at = self.server.timers.now()
            if body_started_at is not None:
                self._check_body(body, body_started_at)
            data = self._receive(started_at)
            if not data:
                return None
            self._reader.feed(data)
            req = self._reader.next_request()
        req.received = self.server.timers.now()
        req.connection_number = self.number
        return req

    def _check_body(self, body: buffers_lib.Body, started_at: float) -> None:
        """Checks the rate of a body, and reserves memory for more of it.

        Raises:
            requests.BadRequest: it arrives too slowly, or there is no memory
                for it.
        """
        received = self._reader.body_received
        limits = self._limits
        elapsed = self.server.timers.now() - started_at
        rate = limits.body_bytes_per_second
        if elapsed > limits.idle_seconds + received / rate:
            raise requests.BadRequest(
                408,
                f"{received} bytes of the body arrived in {elapsed:.1f} s;"
                f" send at least {rate:.0f} bytes per second",
            )
        length = self._reader.body_length
        if not body.reserve(received, length, limits.header_seconds):
            raise requests.BadRequest(
                503, "no memory became free for the body; retry later"
            )

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
            seconds = limits.idle_seconds
        else:
            elapsed = self.server.timers.now() - started_at
            seconds = max(limits.header_seconds - elapsed, 0.001)
        idle = started_at is None
        if idle:
            self.server.idle_connections.add(self)
        try:
            data = self._receiver.receive(seconds)
        except TimeoutError:
            if not idle:
                self._send_error(408, "timeout while receiving the request")
            return b""
        finally:
            self.server.idle_connections.discard(self)
        # What arrives on a socket that is shut down can't be answered.
        return b"" if self._is_closed else data

    def has_unread_data(self) -> bool:
        """Returns whether the client has sent data that were not read yet."""
        try:
            data = socket_lib.socket.recv(
                self._sock._sock,
                1,
                socket_lib.MSG_PEEK | socket_lib.MSG_DONTWAIT,
            )
        except OSError:
            return False
        return bool(data)

    def _serve(self, req: messages.Request) -> bool:
        """Handles one request; returns whether to read another one."""
        responder = responding.Responder(
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
        self._receiver.add_work(REQUEST_WORK_BYTES)
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
        responder = responding.Responder(self, keep_alive=False, chunked=False)
        headers = [(b"Content-Type", b"application/json")]
        if status == 503:
            headers.append((b"Retry-After", b"%d" % BUSY_RETRY_SECONDS))
        with contextlib.suppress(errors.ClientGone, OSError):
            responder.send(status, headers, body)
            self._sock.shutdown(socket_lib.SHUT_WR)
            # Closing a socket with unread bytes resets the connection, and the
            # client could lose the response.
            deadline = self.server.timers.now() + LINGER_SECONDS
            while (seconds := deadline - self.server.timers.now()) > 0:
                if not self._receiver.receive(seconds):
                    break
        eliot.log_message(
            "client.refused",
            connection=self.number,
            status=status,
            reason=detail,
        )

    def close(self) -> None:
        """Shuts the socket down, which makes the connection's task end."""
        self._is_closed = True
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
        buffers: the memory for request bodies.
        connections: all open connections.
    """

    def __init__(
        self,
        listen: str,
        handler: Handler,
        timers: timers_lib.Timers,
        limits: Callable[[], messages.ClientLimits],
        *,
        buffers: buffers_lib.Buffers | None = None,
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
            buffers: the memory for request bodies; None for the default.
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
        self.buffers = buffers or buffers_lib.Buffers()
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
        """Closes the connections that wait for a request.

        One whose request has arrived and is about to be read stays open.
        """
        for conn in list(self.idle_connections):
            if not conn.has_unread_data():
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
