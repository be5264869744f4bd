"""A client's side of HTTP/1.1, on blocking sockets."""

from __future__ import annotations

import dataclasses
import socket

READ_BYTES = 65_536


@dataclasses.dataclass
class Answer:
    """What came back for a request.

    Attributes:
        status: the status; 0 if no whole head arrived.
        headers: the headers, with lowercase names.
        body: the body, without transfer coding, as far as it arrived.
        is_complete: whether the whole answer arrived.
        end: what ended an incomplete one.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    end: str = ""

    def __str__(self) -> str:
        """Returns a short form for the record."""
        if not self.status:
            return f"no answer ({self.end})"
        state = "whole" if self.is_complete else f"cut off ({self.end})"
        note = ""
        if self.status >= 400:
            note = " " + self.body[:120].decode("latin-1")
        return f"{self.status}, {len(self.body)} bytes, {state}{note}"


class Connection:
    """A connection to an entry host, for one request after the other."""

    def __init__(self, address: str, timeout: float = 10.0) -> None:
        host, _, port = address.rpartition(":")
        self._sock = socket.create_connection((host, int(port)), timeout=1.0)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.settimeout(timeout)
        self._received = b""

    def send(self, data: bytes) -> None:
        """Sends bytes of a request."""
        self._sock.sendall(data)

    def ask(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        """Sends a request and returns what comes back."""
        try:
            self.send(encode(method, target, headers, body))
        except OSError as exc:
            return Answer(end=f"sending failed: {exc}")
        return self.read()

    def read(self) -> Answer:
        """Reads the answer to the last request."""
        answer = Answer()
        try:
            self._read_into(answer)
            answer.is_complete = True
        except EOFError:
            answer.end = "the connection was closed"
        except OSError as exc:
            answer.end = f"{type(exc).__name__}: {exc}"
        return answer

    def close(self) -> None:
        """Closes the connection."""
        self._sock.close()

    def _read_into(self, answer: Answer) -> None:
        head = self._until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        answer.status = int(head[0].split(" ")[1])
        for line in head[1:]:
            name, _, value = line.partition(":")
            if name:
                answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding") != "chunked":
            left = int(answer.headers.get("content-length", "0"))
            answer.body = self._exactly(left)
            return
        while True:
            size = int(self._until(b"\r\n"), 16)
            answer.body += self._exactly(size)
            self._exactly(2)
            if not size:
                return

    def _until(self, mark: bytes) -> bytes:
        while mark not in self._received:
            self._receive()
        data, _, self._received = self._received.partition(mark)
        return data

    def _exactly(self, size: int) -> bytes:
        while len(self._received) < size:
            self._receive()
        data, self._received = self._received[:size], self._received[size:]
        return data

    def _receive(self) -> None:
        data = self._sock.recv(READ_BYTES)
        if not data:
            raise EOFError
        self._received += data


def encode(
    method: str, target: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Returns the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def ask(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> Answer:
    """Sends one request on a new connection."""
    try:
        conn = Connection(address)
    except OSError as exc:
        return Answer(end=f"no connection: {exc}")
    try:
        return conn.ask(method, target, headers, body)
    finally:
        conn.close()
