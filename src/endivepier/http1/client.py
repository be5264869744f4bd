"""HTTP/1.1 client connections, without pipelining and without retries."""

from __future__ import annotations

import socket as socket_lib
import ssl

from gevent import socket
from gevent import ssl as gevent_ssl

from endivepier import timers as timers_lib
from endivepier.http1 import buffers as buffers_lib
from endivepier.http1 import errors
from endivepier.http1 import messages
from endivepier.http1 import receiving
from endivepier.http1 import responses

MAX_PORT_DIGITS = 5


class Connection:
    """A connection to a server.

    Attributes:
        address: "ip:port" of the server.
        request_count: number of requests sent on it.
        idle_since: when the last response was complete, monotonic seconds.
        idle_limit: idle timeout that the server declared, in seconds, or None.
    """

    def __init__(
        self, address: str, sock: socket.socket, timers: timers_lib.Timers
    ) -> None:
        self.address = address
        self.request_count = 0
        self.idle_since = timers.now()
        self.idle_limit: float | None = None
        self._sock = sock
        self._receiver = receiving.Receiver(sock)
        self._timers = timers
        self._reader = responses.ResponseReader()
        self._reusable = True

    def send(self, data: bytes, deadline: float) -> None:
        """Sends an encoded request.

        Raises:
            errors.ExchangeBroken: sending failed; the server may have received
                a part of the request, or all of it.
        """
        self.request_count += 1
        self._reader.expect_response()
        try:
            self._sock.settimeout(max(deadline - self._timers.now(), 0.001))
            self._sock.sendall(data)
        except TimeoutError as exc:
            raise errors.ExchangeTimeout(
                f"timeout while sending the request to {self.address}"
            ) from exc
        except OSError as exc:
            raise errors.ExchangeBroken(f"{self.address}: {exc}") from exc

    def read(self, deadline: float) -> responses.Part:
        """Returns the next part of a response.

        Raises:
            errors.ExchangeTimeout: no part arrived before `deadline`.
            errors.ExchangeBroken: the connection broke, or the server sent
                invalid HTTP.
            errors.LimitExceeded: the framing of the response is too long.
        """
        while True:
            part = self._reader.next_part()
            if part is not None:
                self._update_state(part)
                return part
            self._receive(deadline)

    @property
    def received_bytes(self) -> int:
        """Bytes received since the last request was sent."""
        return self._reader.received

    def now(self) -> float:
        """Returns the current time, in monotonic seconds."""
        return self._timers.now()

    def reusable(self) -> bool:
        """Returns whether another request may be sent now.

        This isn't so if the server has closed the connection or has sent
        bytes that belong to no request.
        """
        reader = self._reader
        if not self._reusable or reader.error or reader.trailing:
            return False
        if reader.parts:
            return False
        try:
            self._sock.settimeout(0)
            if isinstance(self._sock, gevent_ssl.SSLSocket):
                self._sock.recv(1)  # TLS can't peek; data is unexpected
            else:
                self._sock.recv(1, socket_lib.MSG_PEEK)
        except (BlockingIOError, TimeoutError, ssl.SSLWantReadError):
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Closes the connection, so that the server can cancel a request."""
        self._reusable = False
        self._sock.close()

    def _update_state(self, part: responses.Part) -> None:
        match part:
            case messages.Head():
                if not part.keep_alive:
                    self._reusable = False
                limit = _idle_limit(part)
                if limit is not None:
                    self.idle_limit = limit
            case responses.End():
                self.idle_since = self._timers.now()

    def _receive(self, deadline: float) -> None:
        seconds_left = deadline - self._timers.now()
        if seconds_left <= 0:
            raise errors.ExchangeTimeout(
                f"timeout while waiting for data from {self.address}"
            )
        try:
            data = self._receiver.receive(seconds_left)
        except TimeoutError as exc:
            raise errors.ExchangeTimeout(
                f"timeout while waiting for data from {self.address}"
            ) from exc
        except OSError as exc:
            self._reusable = False
            raise errors.ExchangeBroken(f"{self.address}: {exc}") from exc
        if data:
            self._reader.feed(data)
        else:
            self._reusable = False
            self._reader.feed_eof()


def _idle_limit(head: messages.Head) -> float | None:
    """Returns the timeout of a `Keep-Alive` header, in seconds, or None."""
    for token in messages.header_tokens(head.headers, b"keep-alive"):
        name, _, value = token.partition(b"=")
        if name.strip() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None


def read_body(
    conn: Connection,
    head: messages.Head,
    deadline: float,
    buffers: buffers_lib.Buffers,
    body: buffers_lib.Body,
) -> bytes:
    """Reads the body of a response whose head has been read.

    Args:
        conn: the connection.
        head: the head of the response.
        deadline: when to give up, in monotonic seconds.
        buffers: limits the size of the body.
        body: reserves the space for it.

    Raises:
        errors.ExchangeTimeout: it was incomplete at `deadline`, or the space
            for it did not become free.
        errors.LimitExceeded: it is too large.
        errors.ExchangeBroken: the connection ended within the response, or a
            second response began.
    """
    length = head.body_length()
    received = bytearray()  # a list of small pieces would take many times more
    while True:
        if max(len(received), length or 0) > buffers.body_bytes:
            raise errors.LimitExceeded(
                "body", conn.received_bytes, buffers.body_bytes
            )
        seconds = max(deadline - conn.now(), 0.0)
        if not body.reserve(len(received), length, seconds):
            raise errors.ExchangeTimeout(
                f"no memory became free for a response of {conn.address}"
            )
        part = conn.read(deadline)
        match part:
            case responses.Data(content=content):
                received += content
            case responses.End():
                return bytes(received)
            case _:
                raise errors.ExchangeBroken(
                    "a second response began within the body of the first"
                )


def read_whole(
    conn: Connection, deadline: float, buffers: buffers_lib.Buffers, peer: str
) -> tuple[messages.Head, bytes]:
    """Reads a complete response and returns its head and body.

    Args:
        conn: the connection.
        deadline: when to give up, in monotonic seconds.
        buffers: limits the memory for the body.
        peer: the server's name.

    Raises:
        errors.ExchangeTimeout: it was incomplete at `deadline`.
        errors.LimitExceeded: it is too large.
        errors.ExchangeBroken: the connection ended within the response, or a
            second response began.
    """
    head = conn.read(deadline)
    if not isinstance(head, messages.Head):
        raise errors.ExchangeBroken("the response has no head")
    with buffers.open(peer) as body:
        return head, read_body(conn, head, deadline, buffers, body)


def connect(
    address: str,
    timers: timers_lib.Timers,
    *,
    seconds: float,
    user_timeout: float,
    tls: ssl.SSLContext | None = None,
) -> Connection:
    """Opens a connection.

    Args:
        address: "ip:port".
        timers: the timer service.
        seconds: timeout for the TCP connection, and again for TLS.
        user_timeout: seconds after which unacknowledged data breaks the
            connection (TCP_USER_TIMEOUT).
        tls: context that verifies the server's certificate and name; None for
            plain TCP.

    Raises:
        errors.ConnectFailed: the connection could not be opened; no request
            was sent.
    """
    host, _, port = address.rpartition(":")
    if not port.isdecimal() or len(port) > MAX_PORT_DIGITS:
        raise errors.ConnectFailed(f"{address!r} has no port")
    sock = socket.socket(socket_lib.AF_INET, socket_lib.SOCK_STREAM)
    try:
        sock.setsockopt(socket_lib.IPPROTO_TCP, socket_lib.TCP_NODELAY, 1)
        sock.setsockopt(
            socket_lib.IPPROTO_TCP,
            socket_lib.TCP_USER_TIMEOUT,
            int(user_timeout * 1000),
        )
        sock.settimeout(seconds)
        sock.connect((host, int(port)))
        if tls is not None:
            # By default, a connection that ends without the peer's
            # close_notify, as if truncated by a third party, looks like one
            # that was closed.
            sock = tls.wrap_socket(
                sock, server_hostname=host, suppress_ragged_eofs=False
            )
    except ConnectionRefusedError as exc:
        sock.close()
        raise errors.ConnectRefused(f"{address}: {exc}") from exc
    except (OSError, OverflowError, ValueError) as exc:
        # OverflowError: there is no such port; ValueError: no such host name.
        sock.close()
        raise errors.ConnectFailed(f"{address}: {exc or 'timed out'}") from exc
    except BaseException:
        sock.close()
        raise
    return Connection(address, sock, timers)


def encode_request(
    method: bytes, target: bytes, headers: list[messages.Header], body: bytes
) -> bytes:
    """Encodes a request.

    Adds `Content-Length` for a body, and for an empty one unless the method is
    GET, HEAD or DELETE.
    """
    lines = [method + b" " + target + b" HTTP/1.1"]
    # Without the space after an empty one's colon, no line becomes longer than
    # it was received.
    lines.extend(
        name + (b": " if value else b":") + value for name, value in headers
    )
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(body))
    lines.append(b"")
    lines.append(body)
    return b"\r\n".join(lines)
