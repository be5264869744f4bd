"""What targets see of requests that clients send in every form.

Each example is a connection with a few requests, cut into pieces anywhere:
sound ones with forged headers, and ones whose framing is ambiguous and hides
another request. Targets must see the sound ones alone, and unchanged.
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

POST = gateway_parts.route(kind=model.RouteKind.NON_IDEMPOTENT, resumable=False)
FORGED = (
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
HIDDEN = b"POST /a/hidden HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: hidden\r\n"
HIDDEN += b"Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n"
# Framings that some servers read as a shorter body than others do.
AMBIGUOUS = (
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
class Sent:
    """A request: its bytes, and what a target should see of it."""

    data: bytes
    id: str = ""
    path: bytes = b""
    body: bytes = b""


@strategies.composite
def sound(draw, number):
    id_ = f"c{number}"
    path = b"/a/" + draw(strategies.sampled_from((b"1", b"x%2Fy", b"z?q=1&r")))
    body = draw(strategies.binary(max_size=40) | strategies.just(HIDDEN))
    lines = [b"POST " + path + b" HTTP/1.1", b"Host: a.example"]
    lines += [b"Attempt-Id: " + id_.encode(), b"Authorization: Bearer key-1"]
    lines += draw(strategies.lists(strategies.sampled_from(FORGED)))
    if draw(strategies.booleans()):
        lines.append(b"Content-Length: %d" % len(body))
        content = body
    else:
        lines.append(b"Transfer-Encoding: chunked")
        at = draw(strategies.integers(0, len(body)))
        chunks = [piece for piece in (body[:at], body[at:], b"") if piece]
        content = b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in chunks)
        content += b"0\r\n\r\n"
    data = b"\r\n".join([*lines, b"", b""]) + content
    return Sent(data, id_, path, body)


@strategies.composite
def ambiguous(draw):
    head = b"POST /a/bad HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: bad\r\n"
    head += b"Authorization: Bearer key-1\r\n"
    head += draw(strategies.sampled_from(AMBIGUOUS))
    return Sent(head + b"\r\n" + HIDDEN)


@strategies.composite
def connections(draw):
    count = draw(strategies.integers(0, 3))
    sent = [draw(sound(number)) for number in range(count)]
    if draw(strategies.booleans()):
        sent.append(draw(ambiguous()))
    length = sum(len(each.data) for each in sent)
    cuts = draw(strategies.lists(strategies.integers(0, length), max_size=4))
    return sent, sorted(cuts)


@pytest.fixture(scope="module")
def fleet():
    made = gateway_fleet.Fleet([POST], [gateway_parts.account(rate=0.0)])
    for target in made.targets:
        target.behave = target.plain
    yield made
    made.stop()


def exchange(fleet, sent, cuts):
    """Sends the requests on one connection; returns how many got a 200."""
    sock = fleet.connect()
    sock.settimeout(5.0)
    data = b"".join(each.data for each in sent)
    cuts = [0, *cuts, len(data)]
    for start, end in itertools.pairwise(cuts):
        sock.sendall(data[start:end])
        gevent.sleep(0)
    answer = b""
    try:
        while answer.count(b"HTTP/1.1 ") < len(sent):
            piece = sock.recv(65536)
            if not piece:
                break
            answer += piece
    except ConnectionResetError:
        pass  # a bad request leaves bytes unread
    sock.close()
    return answer.count(b"HTTP/1.1 200 ")


@hypothesis.settings(max_examples=150, deadline=None)
@hypothesis.given(connections())
def test_targets_see_the_sound_requests_alone_and_unchanged(fleet, drawn):
    sent, cuts = drawn
    for target in fleet.targets:
        target.seen.clear()
    served = exchange(fleet, sent, cuts)
    seen = fleet.seen()
    sound_ones = {each.id: each for each in sent if each.id}
    assert len({each.call for each in seen}) == len(seen)
    assert served == len(seen) == len(sound_ones)
    for each in seen:
        assert each.body == sound_ones[each.call].body
        assert each.path == sound_ones[each.call].path
        tenants = [v for k, v in each.headers if k.lower() == b"tenant"]
        assert tenants == [b"acme"]
        for name in (b"server-seal", b"not-executed", b"hold", b"pin-ms"):
            assert messages.find(each.headers, name) is None
        assert not any(k.lower().startswith(b"kv-") for k, _ in each.headers)
        assert messages.find(each.headers, b"authorization") is None
        expected = messages.find(each.headers, b"expect-instance")
        assert expected in {target.name.encode() for target in fleet.targets}


def test_sound_requests_one_after_the_other_are_all_served(fleet):
    one = b"POST /a/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %d\r\n"
    one += b"Authorization: Bearer key-1\r\nContent-Length: 2\r\n\r\nin"
    sent = [Sent(one % number) for number in range(3)]
    assert exchange(fleet, sent, []) == 3
