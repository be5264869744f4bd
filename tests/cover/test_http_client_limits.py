"""What `internal.http_client` accepts from a server that sends without end."""

import gevent
import gevent.server
import pytest

from endivepier.internal import http_client
from tests.common import flooding


@pytest.fixture
def flood():
    servers = []

    def start(first, repeated):
        servers.append(flooding.FloodingServer(first, repeated))
        return http_client.HttpClient(
            f"http://{servers[-1].address}", read_seconds=20.0
        )

    yield start
    for server in servers:
        server.stop()


FRAMING_FLOODS = [name for name in flooding.FLOODS if "body" not in name]


@pytest.mark.parametrize("name", FRAMING_FLOODS)
def test_framing_without_end_is_a_failure(flood, name):
    client = flood(*flooding.FLOODS[name])
    with gevent.Timeout(10), pytest.raises(http_client.ExchangeFailed):
        client.request("GET", "/a")


def test_a_body_over_the_limit_is_a_failure(flood, monkeypatch):
    monkeypatch.setattr(http_client, "MAX_BODY_BYTES", 1024 * 1024)
    client = flood(*flooding.FLOODS["a chunked body"])
    with gevent.Timeout(10), pytest.raises(http_client.ExchangeFailed):
        client.request("GET", "/a")


def test_a_line_without_end_is_a_failure(flood):
    client = flood(*flooding.FLOODS["a chunked body"])
    response = client.open("GET", "/a")
    with gevent.Timeout(10), pytest.raises(http_client.ExchangeFailed):
        list(response.lines())


@pytest.mark.parametrize("method", ["read", "lines"])
def test_a_body_that_trickles_is_a_failure(method):
    def trickle(sock, address):
        sock.recv(65536)
        sock.sendall(flooding.CHUNKED)
        while True:
            sock.sendall(flooding.chunk(b"x"))
            gevent.sleep(0.02)

    server = gevent.server.StreamServer(("127.0.0.1", 0), trickle)
    server.start()
    client = http_client.HttpClient(
        f"http://127.0.0.1:{server.server_port}", read_seconds=0.2
    )
    response = client.open("GET", "/a")
    with gevent.Timeout(10), pytest.raises(http_client.ExchangeFailed):
        list(getattr(response, method)())
    server.stop(timeout=0)


def test_lines_are_complete_however_the_chunks_are_split():
    def serve(sock, address):
        sock.recv(65536)
        pieces = [b"on", b"e\ntwo\nth", b"ree\n\nfo", b"ur"]
        sock.sendall(flooding.CHUNKED + b"".join(map(flooding.chunk, pieces)))
        sock.sendall(b"0\r\n\r\n")

    server = gevent.server.StreamServer(("127.0.0.1", 0), serve)
    server.start()
    client = http_client.HttpClient(f"http://127.0.0.1:{server.server_port}")
    response = client.open("GET", "/a")
    assert list(response.lines()) == [b"one", b"two", b"three", b"", b"four"]
    server.stop(timeout=0)
