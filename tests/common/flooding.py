"""A raw server on loopback that sends bytes without end."""

from gevent import socket
import gevent.server

PIECE_BYTES = 65536
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = HEAD + b"Transfer-Encoding: chunked\r\nServer-Seal: s\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def repeat(unit):
    return unit * max(PIECE_BYTES // len(unit), 1)


# What the server sends at first, and what it repeats without end.
FLOODS = {
    "a chunked body": (CHUNKED, chunk(b"x" * PIECE_BYTES)),
    "tiny chunks": (CHUNKED, repeat(chunk(b"x"))),
    "a body up to the close": (HEAD + b"\r\n", b"x" * PIECE_BYTES),
    "headers": (HEAD, repeat(b"X: yyyyyyyyyyyyyyyy\r\n")),
    "a header": (HEAD + b"X: ", b"x" * PIECE_BYTES),
    "a reason phrase": (HEAD[:-2], b"x" * PIECE_BYTES),
    "a trailer": (CHUNKED + b"0\r\nX: ", b"x" * PIECE_BYTES),
    "trailers": (CHUNKED + b"0\r\n", repeat(b"X: yyyyyyyyyyyyyyyy\r\n")),
    "interim responses": (b"", repeat(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "a chunk extension": (CHUNKED + b"1;x=", b"x" * PIECE_BYTES),
    "chunk extensions": (
        CHUNKED,
        repeat(b"1;x=" + b"y" * 1000 + b"\r\nx\r\n"),
    ),
}


class FloodingServer:
    """Sends a flood to each client that has sent something.

    Attributes:
        address: "ip:port" of the server.
        connections: how many connections were accepted.
        sent_bytes: bytes that the clients' sockets took.
    """

    def __init__(self, first, repeated, most_bytes=1 << 30):
        self.connections = 0
        self.sent_bytes = 0
        self._first = first
        self._repeated = repeated
        self._most_bytes = most_bytes
        self._server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def _serve(self, sock, peer):
        self.connections += 1
        try:
            request = sock.recv(PIECE_BYTES)
            first = self._first
            if callable(first):
                first = first(request)
            sock.sendall(first)
            while self.sent_bytes < self._most_bytes:
                sock.sendall(self._repeated)
                self.sent_bytes += len(self._repeated)
        except OSError:
            pass  # the client closed the connection
        finally:
            sock.close()

    def stop(self):
        self._server.stop(timeout=1)


def connect(address):
    """Returns a socket that is connected to a server."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=5)


def handler(target, first, repeated, most_bytes=1 << 28):
    """Returns a request handler for a `FakeTarget` that floods its caller.

    Args:
        target: the target, which provides the headers of its responses.
        first: what precedes the flood; the target's headers replace the end
            of its first line.
        repeated: what is sent without end.
        most_bytes: when to stop, so that a failing test ends.
    """

    def flood(request, responder):
        lines = [name + b": " + v for name, v in target.headers(request)]
        start, _, rest = first.partition(b"\r\n")
        write = responder.connection.write
        write(b"\r\n".join([start, *lines, rest]) if start else b"")
        for _ in range(most_bytes // len(repeated)):
            write(repeated)

    return flood


# Event streams that never end, or never complete an event.
EVENT_FLOODS = {
    "an event": (CHUNKED, chunk(b"data: " + b"x" * PIECE_BYTES)),
    "lines of an event": (CHUNKED, chunk(b"data: x\n" * 8192)),
}


# What is no event: streams of them never begin.
COMMENT_FLOODS = {
    "comments": (CHUNKED, chunk(b": wait\n\n")),
    "long comments": (CHUNKED, chunk(b": " + b"x" * 10_000 + b"\n\n")),
    "fields of no event": (CHUNKED, chunk(b"5f0e1c" * 2000 + b"\n\n")),
    "empty lines": (CHUNKED, chunk(b"\n" * 4096)),
    "times to wait": (CHUNKED, chunk(b"retry: 1000\n\n" * 100)),
}
