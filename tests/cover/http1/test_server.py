import gevent
from gevent import socket
import gevent.event
import pytest

from endivepier import timers as timers_lib
from endivepier.http1 import errors
from endivepier.http1 import messages
from endivepier.http1 import server as server_lib

GET = b"GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n"


@pytest.fixture
def serve():
    servers = []

    def start(handler, limits=None):
        client_limits = limits or messages.ClientLimits()
        server = server_lib.Server(
            "127.0.0.1:0",
            handler,
            timers_lib.SystemTimers(),
            lambda: client_limits,
        )
        server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.stop()


def connect(server):
    host, _, port = server.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=5)


def read_until(sock, end):
    data = b""
    while end not in data:
        piece = sock.recv(65536)
        if not piece:
            return data
        data += piece
    return data


def test_a_connection_serves_many_requests(serve):
    server = serve(lambda req, res: res.send(200, [], req.target))
    sock = connect(server)
    for _ in range(3):
        sock.sendall(GET)
        assert read_until(sock, b"/a").startswith(b"HTTP/1.1 200 OK")


def test_chunks_are_sent_as_they_are_written(serve):
    first_chunk_read = gevent.event.Event()

    def handler(req, res):
        res.start(200, [])
        res.write(b"one")
        first_chunk_read.wait(5)
        res.write(b"two")
        res.finish()

    sock = connect(serve(handler))
    sock.sendall(GET)
    assert b"one" in read_until(sock, b"one\r\n")
    first_chunk_read.set()
    assert read_until(sock, b"0\r\n\r\n").endswith(b"two\r\n0\r\n\r\n")


def test_an_unfinished_response_does_not_look_complete(serve):
    def handler(req, res):
        res.start(200, [])
        res.write(b"one")

    sock = connect(serve(handler))
    sock.sendall(GET)
    assert not read_until(sock, b"0\r\n\r\n").endswith(b"0\r\n\r\n")


def test_a_client_disconnect_cancels_its_handler(serve):
    outcome = gevent.event.AsyncResult()
    running = gevent.event.Event()

    def handler(req, res):
        running.set()
        try:
            gevent.sleep(10)
        except errors.ClientGone:
            outcome.set("gone")
            raise

    sock = connect(serve(handler))
    sock.sendall(GET)
    running.wait(5)
    sock.close()
    assert outcome.get(timeout=0.5) == "gone"


def test_a_slow_request_head_gets_status_408(serve):
    limits = messages.ClientLimits(header_seconds=0.05)
    sock = connect(serve(lambda req, res: None, limits))
    sock.sendall(b"GET /a HT")
    assert read_until(sock, b"\r\n\r\n").startswith(b"HTTP/1.1 408")


def test_an_idle_connection_is_closed_without_a_response(serve):
    limits = messages.ClientLimits(idle_seconds=0.05)
    sock = connect(serve(lambda req, res: None, limits))
    assert sock.recv(1) == b""


def test_a_closing_server_closes_each_connection_after_its_response(serve):
    server = serve(lambda req, res: res.send(200, [], b"ok"))
    sock = connect(server)
    server.closing = True
    sock.sendall(GET)
    assert b"Connection: close" in read_until(sock, b"\r\n\r\nok")
    assert sock.recv(1) == b""


# The request was passed on, and its response could not be written.
def test_a_request_that_has_arrived_is_served_before_its_connection_closes(
    serve,
):
    server = serve(lambda req, res: res.send(200, [], b"ok"))
    server.closing = True
    sock = connect(server)
    gevent.sleep(0.05)
    sock.sendall(GET)
    server.close_idle()
    assert read_until(sock, b"ok").startswith(b"HTTP/1.1 200")
    gevent.sleep(0.05)
    assert not server.connections


def test_a_request_that_arrives_after_the_close_is_not_handled(serve):
    handled = []
    server = serve(lambda req, res: handled.append(req))
    sock = connect(server)
    gevent.sleep(0.05)
    server.close_idle()
    sock.sendall(GET)
    assert sock.recv(1) == b""
    gevent.sleep(0.05)
    assert not handled
    assert not server.connections


def test_a_closing_server_still_serves_new_connections(serve):
    server = serve(lambda req, res: res.send(200, [], b"ok"))
    server.closing = True
    sock = connect(server)
    sock.sendall(GET)
    assert read_until(sock, b"ok").startswith(b"HTTP/1.1 200")
