"""Responses that name no call, and come twice.

A target may send a response once more, late, where the next one is expected.
Only the id of its call tells them apart, and a rejection, or a response about
the target's status, may carry none.
"""

import gevent
import pytest

from endivepier.gateway import model
from endivepier.http1 import messages
from tests.common import gateway_fleet
from tests.common import gateway_parts

REJECTION = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
LATE_SECONDS = 0.1


@pytest.fixture
def start():
    fleets = []

    def make(targets=2, **changes):
        routes = [gateway_parts.route(**changes)]
        fleets.append(gateway_fleet.Fleet(routes, targets=targets))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop()


def repeat_late(responder, data):
    """Sends a response, and again when the next one is expected."""
    responder.connection.write(data)
    responder.started = responder.finished = True
    gevent.spawn_later(LATE_SECONDS, responder.connection.write, data)


# A posting was answered 503, "not run", while a target ran it, and was sent to
# another target besides.
@pytest.mark.parametrize("kind", ["posting", "stream"])
def test_a_rejection_that_comes_twice_rejects_one_call(start, kind):
    changes = {"kind": model.RouteKind.NON_IDEMPOTENT}
    if kind == "stream":
        changes = {"resumable": False}
    fleet = start(targets=1, **changes)
    target = fleet.targets[0]
    ran = []

    def handle(request, responder):
        if request.call == "rejected":
            repeat_late(responder, REJECTION)
            return
        ran.append(request.call)
        gevent.sleep(2 * LATE_SECONDS)
        (target.stream if kind == "stream" else target.respond)(
            request, responder
        )

    target.handler = handle
    assert fleet.request("rejected").status == 503
    response = fleet.request("served")
    assert (response.status, response.complete) == (200, True)
    assert ran == ["served"]


@pytest.mark.parametrize("status", [b"200 OK", b"503 Busy"])
def test_a_status_that_comes_twice_rejects_no_call(start, status):
    fleet = start(targets=1, resumable=False)
    target = fleet.targets[0]
    ran = []

    def state(request, responder):
        headers = b"\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        repeat_late(responder, b"HTTP/1.1 " + status + headers)

    def handle(request, responder):
        if request.call == "first":
            target.stream_until_close(request, responder)
            return
        ran.append(request.call)
        gevent.sleep(2 * LATE_SECONDS)
        target.stream(request, responder)

    target.status_handler = state
    target.handler = handle
    assert fleet.request("first").complete
    response = fleet.request("served")
    assert (response.status, response.complete) == (200, True)
    assert ran == ["served"]


# Responses that name their call are told apart, so that connections last.
def test_a_connection_is_used_again_after_a_response_that_names_its_call(start):
    fleet = start(targets=1, kind=model.RouteKind.NON_IDEMPOTENT)
    target = fleet.targets[0]
    connections = []

    def handle(request, responder):
        connections.append(responder.connection.number)
        headers = [*target.headers(request), (b"Not-Executed", b"1")]
        responder.send(503, headers, b"")

    target.handler = handle
    for number in range(3):
        assert fleet.request(f"call-{number}").status == 503
    assert len(set(connections)) == 1
    assert messages.find(fleet.received()[0].headers, b"attempt-id")
