"""The WSGI server runs no second request smuggled inside another one."""

from gevent import socket
import pytest
import werkzeug.wrappers

from endivepier import timers as timers_lib
from endivepier.internal import web

HIDDEN = b"GET /hidden HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n"
HOST = b"Host: a.example\r\n"


@pytest.fixture
def served():
    handled = []

    def handler(req, **args):
        handled.append((req.path, req.get_data(), dict(req.headers)))
        return werkzeug.wrappers.Response(b"ok")

    app = web.App(body_limit=1000)
    app.route("POST", "/a", handler)
    app.route("GET", "/hidden", handler)
    server = web.Server("127.0.0.1:0", app)
    server.start()
    yield server, handled
    server.stop(timers_lib.SystemTimers(), 1.0)


def exchange(server, data):
    host, _, port = server.address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=5)
    sock.sendall(data)
    response = b""
    while piece := sock.recv(65536):
        response += piece
    return response


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
def test_a_smuggled_request_does_not_run(served, headers):
    # gevent.pywsgi 26.9 ran the second request for each of these.
    server, handled = served
    data = b"POST /a HTTP/1.1\r\n" + HOST + headers + b"\r\n"
    response = exchange(server, data + b"0\r\n\r\n" + HIDDEN)
    assert response.startswith(b"HTTP/1.1 400")
    assert response.count(b"\r\n\r\n") == 1
    assert not handled


def test_a_header_with_an_underscore_does_not_replace_one_with_a_hyphen(served):
    server, handled = served
    data = (
        b"POST /a HTTP/1.1\r\n"
        + HOST
        + b"X_Key: forged\r\nX-Key: true\r\nConnection: close\r\n"
        + b"Content-Length: 2\r\n\r\nhi"
    )
    assert exchange(server, data).startswith(b"HTTP/1.1 200")
    path, body, headers = handled[0]
    assert (path, body, headers["X-Key"]) == ("/a", b"hi", "true")


def test_a_body_over_the_limit_gets_status_413(served):
    server, handled = served
    data = b"POST /a HTTP/1.1\r\n" + HOST + b"Content-Length: 1001\r\n\r\n"
    assert exchange(server, data).startswith(b"HTTP/1.1 413")
    assert not handled
