"""Responses without a length or chunks, to processes of our own interface.

Such a response ends with its connection, so only its content can show that it
is truncated.
"""

import contextlib
import ssl

from gevent import ssl as gevent_ssl
import gevent.server
import gevent.socket
import pytest
import trustme

from endivepier import errors
from endivepier.history import messages as history_messages
from endivepier.internal import http_client
from endivepier.internal import http_peers
from endivepier.limits import messages
from endivepier.storage import http_hosts
from endivepier.storage import http_objects
from endivepier.storage import http_table
from endivepier.storage import ports as storage_ports
from endivepier.targets import http_engine
from endivepier.targets import http_service
from endivepier.targets import ports as target_ports
from endivepier.telemetry import spans
from tests.common import closing_server

TRACER = spans.Tracer("test")
TAKE = messages.Take("acme")


@pytest.fixture
def serve():
    servers = []

    def start(body):
        servers.append(closing_server.Server(closing_server.HEAD + body))
        return servers[-1].url

    yield start
    for server in servers:
        server.stop()


# A commit whose response was truncated counted as a request of the caller that
# was wrong and had not run.
def test_a_commit_with_a_truncated_response_has_an_unknown_outcome(serve):
    table = http_table.HttpTable(serve(b'{"version":'), TRACER)
    with pytest.raises(errors.OutcomeUnknown):
        table.transact(storage_ports.Transaction((), ()))


def test_a_truncated_response_to_a_read_counts_as_unavailable(serve):
    table = http_table.HttpTable(serve(b'{"rows":[{"key":"a"'), TRACER)
    with pytest.raises(errors.Unavailable):
        table.get("a")
    with pytest.raises(errors.Unavailable):
        table.scan("a")


# A truncated object looked complete, and a retry of an effect replayed it.
def test_an_object_whose_end_can_not_be_checked_is_not_returned(serve):
    objects = http_objects.HttpObjects(serve(b"half of the ans"))
    with pytest.raises(errors.Unavailable):
        objects.get("answer/1")


# The host list of a response that was truncated ended the task that reads it.
@pytest.mark.parametrize("body", [b"", b'{"hosts":[', b'{"hosts":[]'])
def test_a_truncated_host_list_counts_as_unavailable(serve, body):
    with pytest.raises(errors.Unavailable):
        http_hosts.HttpHostList(serve(body)).hosts()


def test_a_whole_host_list_may_end_with_its_connection(serve):
    assert http_hosts.HttpHostList(serve(b'{"hosts":[]}')).hosts() == ()


# A truncated response of a peer was taken for a refusal of the caller's
# request, as not run.
@pytest.mark.parametrize("body", [b"", b"{", b'{"loan":1'])
def test_a_truncated_response_of_a_peer_does_not_mean_that_nothing_ran(
    serve, body
):
    peers = http_peers.HttpPeers("secret", TRACER)
    address = serve(body).removeprefix("http://")
    with pytest.raises(errors.PeerUnreachable) as caught:
        peers.call(address, TAKE, messages.Lent, seconds=1.0)
    assert caught.value.sent


@pytest.mark.parametrize(
    "body", [b"", b'{"kind":"en', b'{"text":"a","kind":"chunk"']
)
def test_a_truncated_stream_of_a_peer_does_not_mean_that_nothing_ran(
    serve, body
):
    peers = http_peers.HttpPeers("secret", TRACER)
    address = serve(body).removeprefix("http://")
    with pytest.raises(errors.PeerUnreachable) as caught:
        list(peers.stream(address, TAKE, history_messages.Chunk, seconds=1.0))
    assert caught.value.sent


def test_a_whole_stream_of_a_peer_may_end_with_its_connection(serve):
    peers = http_peers.HttpPeers("secret", TRACER)
    lines = b'{"text":"a","kind":"chunk"}\n{"kind":"end"}'
    address = serve(lines).removeprefix("http://")
    items = list(
        peers.stream(address, TAKE, history_messages.Chunk, seconds=1.0)
    )
    assert items == [history_messages.Chunk("a")]


# A truncated load report ended the task that asks for it.
@pytest.mark.parametrize("body", [b"", b'{"models":['])
def test_a_truncated_response_of_an_engine_counts_as_its_failure(serve, body):
    engine = http_engine.HttpEngine("e", serve(body), TRACER)
    with pytest.raises(errors.TargetFailed):
        engine.models()


def test_a_whole_response_of_an_engine_may_end_with_its_connection(serve):
    engine = http_engine.HttpEngine("e", serve(b'{"models":["m"]}'), TRACER)
    assert list(engine.models()) == ["m"]


def test_an_answer_of_a_service_may_end_with_its_connection(serve):
    service = http_service.HttpService("s", serve(b"done"), TRACER)
    request = target_ports.ServiceRequest("r", "POST", "/", b"", "text/plain")
    assert service.call(request, seconds=1.0).body == b"done"


EVENTS = [
    b'{"request_id":"r","index":0,"text":"a","kind":"token"}\n',
    b'{"request_id":"r","prompt_tokens":1,"cached_tokens":0,'
    b'"completion_tokens":1,"reason":"stop","kind":"finished"}\n',
]
STREAM = b"".join(EVENTS)


# The dispatcher takes only an answer with its final event for complete.
@pytest.mark.parametrize("length", range(0, len(STREAM) - 1, 7))
def test_a_truncated_engine_stream_never_has_its_final_event(serve, length):
    engine = http_engine.HttpEngine("e", serve(STREAM[:length]), TRACER)
    received = []
    with contextlib.suppress(errors.TargetFailed):
        received.extend(engine.generate(target_ports.Generate(*"rsm", (), 1)))
    assert not any(isinstance(e, target_ports.Finished) for e in received)


# Without the server's close_notify, anyone on the path may have closed the
# connection, and the rest of the body may be missing.
@pytest.mark.parametrize("closes_properly", [True, False])
def test_a_body_over_tls_ends_with_close_notify_only(closes_properly):
    authority = trustme.CA()
    server_context = gevent_ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    authority.issue_cert("127.0.0.1").configure_cert(server_context)

    def respond(sock, address):
        del address
        tls = server_context.wrap_socket(sock, server_side=True)
        tls.recv(65536)
        tls.sendall(closing_server.HEAD + b"body")
        if closes_properly:
            tls.unwrap()
        else:
            tls.shutdown(gevent.socket.SHUT_WR)

    server = gevent.server.StreamServer(("127.0.0.1", 0), respond)
    server.start()
    context = http_client.default_ssl_context()
    authority.configure_trust(context)
    client = http_client.HttpClient(
        f"https://127.0.0.1:{server.server_port}", ssl_context=context
    )
    if closes_properly:
        assert client.request("GET", "/").body == b"body"
    else:
        with pytest.raises(http_client.ExchangeFailed):
            client.request("GET", "/")
    server.stop()


# A status that is none was recorded as the outcome of an effect (MIXED).
@pytest.mark.parametrize("code", ["000", "099", "600", "999"])
def test_a_response_of_no_valid_status_is_no_outcome(code):
    data = f"HTTP/1.1 {code} Odd\r\nContent-Length: 2\r\n\r\nok".encode()
    server = closing_server.Server(data)
    try:
        service = http_service.HttpService("s", server.url, TRACER)
        req = target_ports.ServiceRequest("r-1", "POST", "/x", b"{}", "a/b")
        with pytest.raises(errors.TargetFailed) as caught:
            service.call(req, seconds=1.0)
        assert caught.value.sent
        with pytest.raises(errors.TargetFailed):
            service.outcome("key-1")
    finally:
        server.stop()
