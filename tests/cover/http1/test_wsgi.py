"""The callers' interface does not run what is hidden in a request."""

from gevent import socket
import pytest
import werkzeug.wrappers

from endivepier import timers as timers_lib
from endivepier.internal import web

HIDDEN = b"GET /hidden HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n"
HOST = b"Host: a.example\r\n"


@pytest.fixture
def served():
    asked = []

    def handler(req, **args):
        asked.append((req.path, req.get_data(), dict(req.headers)))
        return werkzeug.wrappers.Response(b"ok")

    app = web.App(body_limit=1000)
    app.route("POST", "/a", handler)
    app.route("GET", "/hidden", handler)
    server = web.Server("127.0.0.1:0", app)
    server.start()
    yield server, asked
    server.stop(timers_lib.SystemTimers(), 1.0)


def exchange(server, data):
    host, _, port = server.address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=5)
    sock.sendall(data)
    found = b""
    while piece := sock.recv(65536):
        found += piece
    return found


@pytest.mark.parametrize(
    "headers",
    [
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 0\r\nContent-Length: 5\r\n",
        b"Content-Length: +0\r\n",
        b"Content-Length : 0\r\n",
        b"X: 1\r\n Content-Length: 0\r\n",
        b"X: 1\nContent-Length: 0\r\n",
    ],
)
def test_nothing_hidden_in_a_request_runs(served, headers):
    # gevent.pywsgi 26.9 ran the second request for each of these.
    server, asked = served
    data = b"POST /a HTTP/1.1\r\n" + HOST + headers + b"\r\n"
    answer = exchange(server, data + b"0\r\n\r\n" + HIDDEN)
    assert answer.startswith(b"HTTP/1.1 400")
    assert answer.count(b"\r\n\r\n") == 1
    assert not asked


def test_a_name_with_an_underscore_never_stands_for_another(served):
    server, asked = served
    data = (
        b"POST /a HTTP/1.1\r\n"
        + HOST
        + b"X_Key: forged\r\nX-Key: true\r\nConnection: close\r\n"
        + b"Content-Length: 2\r\n\r\nhi"
    )
    assert exchange(server, data).startswith(b"HTTP/1.1 200")
    path, body, headers = asked[0]
    assert (path, body, headers["X-Key"]) == ("/a", b"hi", "true")


def test_a_body_over_the_limit_is_refused_with_its_reason(served):
    server, asked = served
    data = b"POST /a HTTP/1.1\r\n" + HOST + b"Content-Length: 1001\r\n\r\n"
    assert exchange(server, data).startswith(b"HTTP/1.1 413")
    assert not asked
