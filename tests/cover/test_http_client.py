"""The HTTP client never repeats a request, however a connection fails."""

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
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"
REDIRECT = (
    b"HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class Server:
    """A server that sends the given replies.

    Attributes:
        requests: the request line of each request.
        replies: the replies to the next requests, in order. None closes the
            connection without a reply. A connection stays open after any
            reply but `TRUNCATED`.
        connections: number of accepted connections.
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
        """Closes all open connections."""
        for sock in self._socks:
            sock.shutdown(gevent.socket.SHUT_RDWR)
        gevent.sleep(0.02)

    def send_all(self, data):
        """Sends bytes that belong to no request on all connections."""
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
                request_line = lines.readline()
                length = 0
                while line := lines.readline().strip():
                    name, _, value = line.lower().partition(b":")
                    if name == b"content-length":
                        length = int(value)
                lines.read(length)
            except (OSError, ValueError):
                return
            if not request_line:
                return
            self.requests.append(request_line)
            reply = self.replies.pop(0) if self.replies else None
            if reply is None or reply is TRUNCATED:
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


@pytest.mark.parametrize("first", [COMPLETE, CHUNKED])
def test_bytes_after_a_complete_response_are_not_part_of_it(first):
    # geventhttpclient 2.6.1 returned both responses as the body of the first.
    server = Server(first + COMPLETE, COMPLETE)
    client = http_client.HttpClient(server.url)
    assert client.request("POST", "/first", b"body").body == b"ok"
    assert client.request("POST", "/second", b"body").body == b"ok"
    assert server.connections == 2
    server.stop()


def test_a_late_response_is_not_returned_for_the_next_request():
    server = Server(COMPLETE, COMPLETE)
    client = http_client.HttpClient(server.url)
    client.request("POST", "/first", b"body")
    server.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nBAD")
    assert client.request("POST", "/second", b"body").body == b"ok"
    assert server.connections == 2
    server.stop()


def test_lines_that_arrive_in_pieces_are_reassembled():
    body = b"a\nbc\n\nd"
    pieces = [b"1\r\n" + body[n : n + 1] + b"\r\n" for n in range(len(body))]
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    server = Server(head + b"".join(pieces) + b"0\r\n\r\n")
    client = http_client.HttpClient(server.url)
    response = client.open("GET", "/stream")
    assert list(response.lines()) == [b"a", b"bc", b"", b"d"]
    response.release()
    server.stop()


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("broken", [None, TRUNCATED])
@pytest.mark.parametrize("reused", [False, True])
def test_sends_a_request_once_if_the_server_closes_the_connection(
    method, broken, reused, pool_size
):
    server = Server(*([COMPLETE] if reused else []), broken, COMPLETE, COMPLETE)
    client = http_client.HttpClient(server.url, max_connections=pool_size)
    if reused:
        client.request(method, "/first", b"body")
    with pytest.raises(http_client.ExchangeFailed):
        client.request(method, "/once", b"body")
    gevent.sleep(0.02)
    sent = [line for line in server.requests if b"/once" in line]
    assert len(sent) == 1
    assert client.request(method, "/after", b"body").body == b"ok"
    server.stop()


@pytest.mark.parametrize("method", METHODS)
def test_sends_a_request_once_after_an_idle_connection_was_closed(
    method, pool_size
):
    server = Server(COMPLETE, COMPLETE)
    client = http_client.HttpClient(server.url, max_connections=pool_size)
    client.request(method, "/first", b"body")
    server.close_idle()
    assert client.request(method, "/second", b"body").body == b"ok"
    assert len(server.requests) == 2
    assert server.connections == 2
    server.stop()


@pytest.mark.parametrize("method", METHODS)
def test_reports_that_nothing_was_sent_if_connecting_failed(method):
    server = Server()
    server.stop()
    client = http_client.HttpClient(server.url)
    with pytest.raises(http_client.ConnectFailed):
        client.request(method, "/never", b"body")
    assert server.requests == []


def test_sends_nothing_if_the_check_before_the_first_byte_raises():
    server = Server(COMPLETE)
    client = http_client.HttpClient(server.url)

    def check():
        raise errors.TargetFailed("ledger", "too late", sent=False)

    with pytest.raises(errors.TargetFailed):
        client.open("POST", "/never", b"body", check=check)
    assert client.request("POST", "/after", b"body").body == b"ok"
    assert [b"/after" in line for line in server.requests] == [True]
    server.stop()


@pytest.mark.parametrize("method", METHODS)
def test_follows_no_redirect_and_uses_no_proxy(method, monkeypatch):
    proxy = Server(COMPLETE)
    for name in ("http_proxy", "HTTP_PROXY", "all_proxy", "ALL_PROXY"):
        monkeypatch.setenv(name, proxy.url)
    server = Server(REDIRECT, COMPLETE)
    client = http_client.HttpClient(server.url)
    assert client.request(method, "/here", b"body").status == 307
    assert len(server.requests) == 1
    assert proxy.requests == []
    proxy.stop()
    server.stop()


@pytest.mark.parametrize(
    ("reply", "sent"), [(None, True), (TRUNCATED, True), ("down", False)]
)
def test_an_error_of_a_service_call_tells_whether_anything_was_sent(
    reply, sent
):
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
