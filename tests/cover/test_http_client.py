"""What the HTTP client does when connections break: nothing is repeated."""

import gevent
import gevent.event
import gevent.server
import gevent.socket
import pytest

from endivepier import errors
from endivepier.internal import http_client
from endivepier.targets import http_service
from endivepier.targets import ports
from endivepier.telemetry import spans

METHODS = ["POST", "PUT", "DELETE", "GET"]
POOL_SIZES = [1, http_client.DEFAULT_MAX_CONNECTIONS]
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"
REDIRECT = (
    b"HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class Server:
    """Reads requests and does with each connection what it is told.

    Attributes:
        requests: the first line of each request that came.
        replies: what to send next; None to close without a word. The
            connection stays open after a whole reply.
    """

    def __init__(self, *replies):
        self.requests = []
        self.replies = list(replies)
        self.connections = 0
        self._socks = []
        self._server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.url = f"http://127.0.0.1:{self._server.server_port}"

    def close_idle(self):
        """Closes the connections that stand open."""
        for sock in self._socks:
            sock.shutdown(gevent.socket.SHUT_RDWR)
        gevent.sleep(0.02)

    def send_all(self, data):
        """Sends bytes that nobody asked for on all connections."""
        for sock in self._socks:
            sock.sendall(data)
        gevent.sleep(0.02)

    def stop(self):
        self._server.stop()

    def _serve(self, sock, address):
        del address
        self.connections += 1
        self._socks.append(sock)
        lines = sock.makefile("rb")
        while True:
            try:
                first = lines.readline()
                length = 0
                while line := lines.readline().strip():
                    name, _, value = line.lower().partition(b":")
                    if name == b"content-length":
                        length = int(value)
                lines.read(length)
            except (OSError, ValueError):
                return
            if not first:
                return
            self.requests.append(first)
            reply = self.replies.pop(0) if self.replies else None
            if reply is None or reply is HALF:
                if reply:
                    sock.sendall(reply)
                lines.close()
                sock.close()
                return
            sock.sendall(reply)


@pytest.fixture(params=POOL_SIZES)
def pool_size(request):
    return request.param


CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
)


@pytest.mark.parametrize("first", [WHOLE, CHUNKED])
def test_bytes_after_a_whole_answer_are_no_part_of_it(first):
    # geventhttpclient 2.6.1 gave both answers as the body of the first.
    server = Server(first + WHOLE, WHOLE)
    client = http_client.HttpClient(server.url)
    assert client.request("POST", "/first", b"body").body == b"ok"
    assert client.request("POST", "/second", b"body").body == b"ok"
    assert server.connections == 2
    server.stop()


def test_an_answer_that_comes_too_late_is_not_the_next_ones():
    server = Server(WHOLE, WHOLE)
    client = http_client.HttpClient(server.url)
    client.request("POST", "/first", b"body")
    server.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nBAD")
    assert client.request("POST", "/second", b"body").body == b"ok"
    assert server.connections == 2
    server.stop()


def test_lines_of_a_stream_come_whole():
    body = b"a\nbc\n\nd"
    pieces = [b"1\r\n" + body[n : n + 1] + b"\r\n" for n in range(len(body))]
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    server = Server(head + b"".join(pieces) + b"0\r\n\r\n")
    client = http_client.HttpClient(server.url)
    answer = client.open("GET", "/stream")
    assert list(answer.lines()) == [b"a", b"bc", b"", b"d"]
    answer.release()
    server.stop()


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("broken", [None, HALF])
@pytest.mark.parametrize("reused", [False, True])
def test_sends_a_request_once_when_the_server_reads_it_and_closes(
    method, broken, reused, pool_size
):
    server = Server(*([WHOLE] if reused else []), broken, WHOLE, WHOLE)
    client = http_client.HttpClient(server.url, max_connections=pool_size)
    if reused:
        client.request(method, "/first", b"body")
    with pytest.raises(http_client.ExchangeFailed):
        client.request(method, "/once", b"body")
    gevent.sleep(0.02)
    asked = [line for line in server.requests if b"/once" in line]
    assert len(asked) == 1
    assert client.request(method, "/after", b"body").body == b"ok"
    server.stop()


@pytest.mark.parametrize("method", METHODS)
def test_sends_a_request_once_after_a_connection_died_while_idle(
    method, pool_size
):
    server = Server(WHOLE, WHOLE)
    client = http_client.HttpClient(server.url, max_connections=pool_size)
    client.request(method, "/first", b"body")
    server.close_idle()
    assert client.request(method, "/second", b"body").body == b"ok"
    assert len(server.requests) == 2
    assert server.connections == 2
    server.stop()


@pytest.mark.parametrize("method", METHODS)
def test_says_that_nothing_was_sent_only_if_no_connection_stood(method):
    server = Server()
    server.stop()
    client = http_client.HttpClient(server.url)
    with pytest.raises(http_client.ConnectFailed):
        client.request(method, "/never", b"body")
    assert server.requests == []


def test_sends_nothing_if_the_check_before_the_first_byte_fails():
    server = Server(WHOLE)
    client = http_client.HttpClient(server.url)

    def check():
        raise errors.TargetFailed("ledger", "too late", sent=False)

    with pytest.raises(errors.TargetFailed):
        client.open("POST", "/never", b"body", check=check)
    assert client.request("POST", "/after", b"body").body == b"ok"
    assert [b"/after" in line for line in server.requests] == [True]
    server.stop()


@pytest.mark.parametrize("method", METHODS)
def test_follows_no_redirect_and_no_proxy(method, monkeypatch):
    proxy = Server(WHOLE)
    for name in ("http_proxy", "HTTP_PROXY", "all_proxy", "ALL_PROXY"):
        monkeypatch.setenv(name, proxy.url)
    server = Server(REDIRECT, WHOLE)
    client = http_client.HttpClient(server.url)
    assert client.request(method, "/here", b"body").status == 307
    assert len(server.requests) == 1
    assert proxy.requests == []
    proxy.stop()
    server.stop()


@pytest.mark.parametrize(
    ("reply", "sent"), [(None, True), (HALF, True), ("down", False)]
)
def test_a_service_that_breaks_off_tells_whether_it_was_reached(reply, sent):
    server = Server(reply)
    if reply == "down":
        server.stop()
    service = http_service.HttpService(
        "ledger", server.url, spans.Tracer("test")
    )
    req = ports.ServiceRequest("id", "PUT", "/x", b"body", "text/plain", "key")
    with pytest.raises(errors.TargetFailed) as caught:
        service.call(req, seconds=2.0)
    assert caught.value.sent is sent
    assert len(server.requests) == sent
    server.stop()
