"""Fuzzes the gateway with forged headers and request smuggling.

Each example is one connection with a few requests, sent in pieces that are
split at random positions. Valid requests carry forged headers. The last
request may have ambiguous framing and smuggle another request in its body.
Targets must receive only the valid requests, unchanged and without the forged
headers.
"""

import dataclasses
import itertools

import gevent
import hypothesis
from hypothesis import strategies
import pytest

from endivepier.gateway import model
from endivepier.http1 import messages
from tests.common import gateway_fleet
from tests.common import gateway_parts

NON_IDEMPOTENT = gateway_parts.route(
    kind=model.RouteKind.NON_IDEMPOTENT, resumable=False
)
FORGED_HEADERS = (
    b"Tenant: other",
    b"Server-Seal: forged",
    b"Not-Executed: 1",
    b"Expect-Instance: t9",
    b"Program-Priority: 0",
    b"Hold: h",
    b"Pin-Ms: 9",
    b"Kv-From: 10.0.0.1:1/x",
    b"Kv-Backup: 10.0.0.1:1",
    b"Connection: X-Own",
)
SMUGGLED_REQUEST = (
    b"POST /a/hidden HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: hidden\r\n"
)
SMUGGLED_REQUEST += b"Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n"
# Framings for which servers disagree about the length of the body.
AMBIGUOUS_FRAMINGS = (
    b"Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
    b"Content-Length: 0\r\nContent-Length: 5\r\n",
    b"Content-Length: +0\r\n",
    b"Content-Length: 0, 0\r\n",
    b"Content-Length : 0\r\n",
    b"Transfer-Encoding: xchunked\r\n",
    b"Transfer-Encoding:\x0bchunked\r\n",
    b"X: a\r\n Content-Length: 0\r\n",
    b"X: a\nContent-Length: 0\r\n",
    b"X: a\rContent-Length: 0\r\n",
)


@dataclasses.dataclass(frozen=True)
class RawRequest:
    """The bytes of a request, and what a target should receive of it.

    The id is empty if no target should receive the request.
    """

    data: bytes
    id: str = ""
    path: bytes = b""
    body: bytes = b""


@strategies.composite
def valid_request(draw, number):
    id_ = f"c{number}"
    path = b"/a/" + draw(strategies.sampled_from((b"1", b"x%2Fy", b"z?q=1&r")))
    body = draw(
        strategies.binary(max_size=40) | strategies.just(SMUGGLED_REQUEST)
    )
    lines = [b"POST " + path + b" HTTP/1.1", b"Host: a.example"]
    lines += [b"Attempt-Id: " + id_.encode(), b"Authorization: Bearer key-1"]
    lines += draw(strategies.lists(strategies.sampled_from(FORGED_HEADERS)))
    if draw(strategies.booleans()):
        lines.append(b"Content-Length: %d" % len(body))
        content = body
    else:
        lines.append(b"Transfer-Encoding: chunked")
        split_at = draw(strategies.integers(0, len(body)))
        chunks = [
            part for part in (body[:split_at], body[split_at:], b"") if part
        ]
        content = b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in chunks)
        content += b"0\r\n\r\n"
    data = b"\r\n".join([*lines, b"", b""]) + content
    return RawRequest(data, id_, path, body)


@strategies.composite
def ambiguous_request(draw):
    head = b"POST /a/bad HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: bad\r\n"
    head += b"Authorization: Bearer key-1\r\n"
    head += draw(strategies.sampled_from(AMBIGUOUS_FRAMINGS))
    return RawRequest(head + b"\r\n" + SMUGGLED_REQUEST)


@strategies.composite
def request_sequences(draw):
    count = draw(strategies.integers(0, 3))
    requests = [draw(valid_request(number)) for number in range(count)]
    if draw(strategies.booleans()):
        requests.append(draw(ambiguous_request()))
    length = sum(len(request.data) for request in requests)
    cuts = draw(strategies.lists(strategies.integers(0, length), max_size=4))
    return requests, sorted(cuts)


@pytest.fixture(scope="module")
def fleet():
    fleet = gateway_fleet.Fleet(
        [NON_IDEMPOTENT], [gateway_parts.account(rate=0.0)]
    )
    for target in fleet.targets:
        target.handler = target.respond
    yield fleet
    fleet.stop()


def send_on_one_connection(fleet, requests, cuts):
    """Sends requests on one connection and returns the number of 200s."""
    sock = fleet.connect()
    sock.settimeout(5.0)
    data = b"".join(request.data for request in requests)
    cuts = [0, *cuts, len(data)]
    for start, end in itertools.pairwise(cuts):
        sock.sendall(data[start:end])
        gevent.sleep(0)
    response = b""
    try:
        while response.count(b"HTTP/1.1 ") < len(requests):
            chunk = sock.recv(65536)
            if not chunk:
                break
            response += chunk
    except ConnectionResetError:
        pass  # the server closed the connection with bytes unread
    sock.close()
    return response.count(b"HTTP/1.1 200 ")


@hypothesis.settings(max_examples=150, deadline=None)
@hypothesis.given(request_sequences())
def test_targets_receive_only_the_valid_requests_unchanged(fleet, case):
    requests, cuts = case
    for target in fleet.targets:
        target.received.clear()
    served = send_on_one_connection(fleet, requests, cuts)
    received = fleet.received()
    valid = {request.id: request for request in requests if request.id}
    assert len({request.call for request in received}) == len(received)
    assert served == len(received) == len(valid)
    for request in received:
        assert request.body == valid[request.call].body
        assert request.path == valid[request.call].path
        tenants = [v for k, v in request.headers if k.lower() == b"tenant"]
        assert tenants == [b"acme"]
        for name in (b"server-seal", b"not-executed", b"hold", b"pin-ms"):
            assert messages.find(request.headers, name) is None
        assert not any(k.lower().startswith(b"kv-") for k, _ in request.headers)
        assert messages.find(request.headers, b"authorization") is None
        expected = messages.find(request.headers, b"expect-instance")
        assert expected in {target.name.encode() for target in fleet.targets}


def test_valid_requests_on_one_connection_are_all_served(fleet):
    template = b"POST /a/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %d\r\n"
    template += b"Authorization: Bearer key-1\r\nContent-Length: 2\r\n\r\nin"
    requests = [RawRequest(template % number) for number in range(3)]
    assert send_on_one_connection(fleet, requests, []) == 3
