"""The server side of one client connection.

What a connection holds is counted in a share of the server's capacity: first
in that of clients that have shown no key, and from the head of a request on
that does in that of callers.
"""

from __future__ import annotations

import contextlib
import json
import socket as socket_lib
import ssl
import typing

import gevent
from gevent import socket

from endivepier.http1 import buffers as buffers_lib
from endivepier.http1 import capacity as capacity_lib
from endivepier.http1 import disconnects
from endivepier.http1 import errors
from endivepier.http1 import headers as headers_lib
from endivepier.http1 import messages
from endivepier.http1 import receiving
from endivepier.http1 import requests
from endivepier.http1 import responding
from endivepier.http1 import screening

if typing.TYPE_CHECKING:
    from endivepier.http1 import server as server_lib

SEND_TIMEOUT_SECONDS = 5.0  # after that, a client counts as disconnected
LINGER_SECONDS = 0.3  # to discard what a client sends after an error response
BUSY_RETRY_SECONDS = 1  # `Retry-After` while clients fill the memory
BUSY_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
) % BUSY_RETRY_SECONDS
# Work for a request besides reading it, as the number of received bytes that
# take as long. A client may send many requests without waiting for responses.
REQUEST_WORK_BYTES = 4096


class ClientConnection:
    """The server side of one client connection.

    Attributes:
        server: the server that accepted it.
        number: number of the connection, unique in its server.
    """

    def __init__(
        self, server: server_lib.Server, sock: socket.socket, number: int
    ) -> None:
        self.server = server
        self.number = number
        self._sock = sock
        self._limits = server.limits()
        self._reader = requests.RequestReader(self._limits)
        self._receiver = receiving.Receiver(sock)
        self._task = gevent.getcurrent()
        self._is_closed = False
        self._share = server.unknown
        self._screening: screening.Screening | None = None
        self._body: buffers_lib.Body | None = None

    @property
    def socket(self) -> socket.socket:
        """The connection's socket; callers must not read from it."""
        return self._sock

    def run(self, tls: ssl.SSLContext | None = None) -> None:
        """Serves requests until the connection is closed.

        Args:
            tls: the context for TLS, or None for plain TCP.
        """
        if not self._share.enter(self, capacity_lib.CONNECTION_BYTES):
            self._log_refused(0, f"no connection is left: {self._share.name}")
            return
        try:
            if tls is not None and not self._start_tls(tls):
                return
            refused = self._serve_all()
            if refused is not None and not self._is_closed:
                self._reader.clear()
                self._send_error(*refused)
        finally:
            self._share.leave(self)

    def _start_tls(self, tls: ssl.SSLContext) -> bool:
        """Returns whether the client completed the handshake in time."""
        try:
            self._sock = tls.wrap_socket(
                self._sock, server_side=True, do_handshake_on_connect=False
            )
            self._receiver = receiving.Receiver(self._sock)
            self._sock.settimeout(self._limits.header_seconds)
            self._sock.do_handshake()
        except OSError as exc:  # `ssl.SSLError` is one
            self._log_refused(0, f"the TLS handshake failed: {exc}")
            return False
        return True

    def _serve_all(self) -> tuple[int, str] | None:
        """Serves requests; returns the last error response, if any.

        An exception would keep all that was received until the client has read
        the response.
        """
        try:
            while self._serve_next():
                pass
        except requests.BadRequest as exc:
            return exc.status, str(exc)
        except (OSError, errors.ClientGone):
            pass
        return None

    def _serve_next(self) -> bool:
        """Serves a request; returns whether to read another one."""
        try:
            req = self._read_request()
            return req is not None and self._serve(req)
        finally:
            if self._body is not None:
                self._body.release()
                self._body = None

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
        sent_continue = False
        started_at: float | None = None
        body_started_at: float | None = None
        self._screening = None
        self._limits = self._reader.limits = self.server.limits()
        req = self._parse(b"")
        while req is None:
            if started_at is None and self._reader.started:
                started_at = self.server.timers.now()
            if body_started_at is None and self._reader.headers is not None:
                body_started_at = self.server.timers.now()
                self._screen(self._reader.target, self._reader.headers)
            if body_started_at is not None:
                self._check_body(body_started_at)
            if self._reader.wants_continue and not sent_continue:
                sent_continue = True
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            data = self._receive(started_at)
            if not data:
                return None
            req = self._parse(data)
        if self._screening is None:
            self._screen(req.target, req.headers)
        # The reader holds the request no more, but the handler will.
        held = len(req.target) + req.headers.size
        if self._body is not None:
            self._body.shrink(len(req.body))
        else:
            held += len(req.body)  # it came with the head
        self._charge(held, req.headers.part_count)
        req.received = self.server.timers.now()
        req.connection_number = self.number
        return req

    def _parse(self, data: bytes) -> messages.Request | None:
        """Parses more bytes; returns the next request if it is complete."""
        self._charge(len(data))
        lines = data.count(b"\n") + self._reader.unparsed_lines
        self.server.capacity.turns.wait(lines)
        if self._is_closed:
            raise errors.ClientGone("the connection was evicted")
        if data:
            self._reader.feed(data)
        req = self._reader.next_request()
        self._charge()
        return req

    def _charge(self, more: int = 0, parts: int = 0) -> None:
        """Counts what the connection holds.

        Args:
            more: bytes besides those that the reader holds.
            parts: headers, and entries of lists, that the handler takes apart.

        Raises:
            requests.BadRequest: there is no memory for it.
        """
        held = self._reader.held_bytes + more
        size = capacity_lib.CONNECTION_BYTES
        if more or self._reader.started:
            size += capacity_lib.REQUEST_BYTES
            size += capacity_lib.HEAD_FACTOR * held
            size += self.server.part_bytes * parts
        if not self._share.resize(self, size):
            raise self._busy()

    def _busy(self) -> requests.BadRequest:
        return requests.BadRequest(
            503, f"no memory is free for {self._share.name}; retry later"
        )

    def _screen(self, target: bytes, headers: headers_lib.Headers) -> None:
        """Finds out whose request it is, and counts it in their share.

        Raises:
            requests.BadRequest: that share is full.
        """
        self._screening = self.server.screen(target, headers)
        is_known = bool(self._screening.holder)
        share = self.server.known if is_known else self.server.unknown
        if share is self._share:
            return
        self._share.leave(self)
        self._share = share
        if not share.enter(self, capacity_lib.CONNECTION_BYTES):
            raise self._busy()
        self._charge()

    def _check_body(self, started_at: float) -> None:
        """Checks the rate of a body, and reserves memory for more of it.

        Raises:
            requests.BadRequest: it arrives too slowly, there is no memory for
                it, or it is large and its request will be refused anyway.
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
        assert self._screening is not None
        known = max(received, length or 0)
        if self._screening.refusal and known > buffers_lib.SMALL_BODY_BYTES:
            raise requests.BadRequest(*self._screening.refusal)
        if self._body is None:
            self._body = self._open_body(self._screening.holder)
        if not self._body.reserve(received, length, limits.header_seconds):
            raise requests.BadRequest(
                503, "no memory became free for the body; retry later"
            )

    def _open_body(self, holder: str) -> buffers_lib.Body:
        if holder:
            return self.server.known_bodies.open(holder)
        return self.server.unknown_bodies.open(str(self.number))

    def _receive(self, started_at: float | None) -> bytes:
        """Returns received bytes; empty at the end of the connection.

        An idle connection ends with its timeout.

        Args:
            started_at: when the first byte of the request was received, or
                None if there is none yet.

        Raises:
            requests.BadRequest: a request that has begun was not complete in
                time.
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
            if idle:
                return b""
            raise requests.BadRequest(
                408, "timeout while receiving the request"
            ) from None
        finally:
            self.server.idle_connections.discard(self)
        # What arrives on a socket that is shut down can't be answered.
        return b"" if self._is_closed else data

    def has_unread_data(self) -> bool:
        """Returns whether the client has sent data that were not read yet."""
        if self._is_closed:
            return False
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
        self._share.set_waiting(self, False)
        self.server.active_requests += 1
        try:
            # Hosts tell each other long lists, and respond within 80 ms.
            if self._share is not self.server.capacity.peers:
                self.server.capacity.turns.wait(req.headers.part_count)
            if self.server.cancel_on_disconnect:
                with disconnects.cancel_on_disconnect(self._sock, self._task):
                    self.server.handler(req, responder)
            else:
                self.server.handler(req, responder)
        except errors.ClientGone:
            return False
        finally:
            self.server.active_requests -= 1
            self._share.set_waiting(self, True)
        self._receiver.add_work(REQUEST_WORK_BYTES)
        return responder.finished and responder.keep_alive

    def _send_error(self, status: int, detail: str) -> None:
        """Sends an error as the last response and stops sending."""
        self._share.resize(self, capacity_lib.CONNECTION_BYTES)
        body = json.dumps({"error": detail}).encode()
        responder = responding.Responder(self, keep_alive=False, chunked=False)
        headers = [(b"Content-Type", b"application/json")]
        if status == 503:
            headers.append((b"Retry-After", b"%d" % BUSY_RETRY_SECONDS))
        self._log_refused(status, detail)
        with contextlib.suppress(errors.ClientGone, OSError):
            responder.send(status, headers, body)
            self._sock.shutdown(socket_lib.SHUT_WR)
            if self not in self._share:
                return  # its share is full; nothing counts what it holds
            # Closing a socket with unread bytes resets the connection, and the
            # client could lose the response.
            deadline = self.server.timers.now() + LINGER_SECONDS
            while (seconds := deadline - self.server.timers.now()) > 0:
                if not self._receiver.receive(seconds):
                    break

    def _log_refused(self, status: int, reason: str) -> None:
        self.server.capacity.refusals.write(
            "client.refused",
            connection=self.number,
            share=self._share.name,
            status=status,
            reason=reason,
        )

    def close(self) -> None:
        """Shuts the socket down, which makes the connection's task end."""
        self._is_closed = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket_lib.SHUT_RDWR)

    def evict(self) -> None:
        """Closes the connection for another one; see `shares.Share`.

        A request that has begun is not handled. The client may send it again.
        """
        has_begun = self._reader.started
        self._reader.clear()
        if has_begun:
            with contextlib.suppress(OSError):
                self._sock.settimeout(0.0)  # it must not wait for the client
                self._sock.send(BUSY_RESPONSE)
        self.close()
        self._sock.close()
        self.server.capacity.refusals.write(
            "client.evicted",
            connection=self.number,
            share=self._share.name,
            connections=len(self._share),
            held_bytes=self._share.held_bytes,
            had_begun=has_begun,
        )
