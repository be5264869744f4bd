"""Requests that a host itself fails on, by an exception nobody expects."""

import eliot
import gevent
import pytest

from endivepier import errors
from endivepier.gateway import model
from tests.common import gateway_fleet
from tests.common import gateway_parts


@pytest.fixture
def start():
    fleets = []

    def make(hosts=1, **changes):
        routes = [gateway_parts.route(**changes)]
        fleets.append(gateway_fleet.Fleet(routes, hosts=hosts))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop()


def fail(*args, **kwargs):
    raise OverflowError("int too large to convert to float")


# The client's connection was closed without an answer.
@pytest.mark.parametrize("kind", list(model.RouteKind))
def test_a_request_that_the_host_fails_on_gets_an_answer(
    start, kind, monkeypatch
):
    fleet = start(kind=kind)
    placement = fleet.gateway.placement
    with monkeypatch.context() as patched:
        patched.setattr(placement, "_cost", fail)
        response = fleet.request("fails")
    # 502 promises nothing: an exception may come after the call was sent.
    assert response.status == 502
    assert b"attempt-id: fails" in response.head
    for target in fleet.targets:
        target.handler = target.respond
    if kind is not model.RouteKind.STREAM:
        assert fleet.request("works").status == 200


def test_a_stream_that_has_begun_is_cut_off(start, monkeypatch):
    fleet = start()
    streams = fleet.gateway.handler._streams
    monkeypatch.setattr(streams, "_finish", fail)
    response = fleet.request()
    assert (response.status, response.complete) == (200, False)


# The peer took the closed connection for the end of this host, and avoided it.
def test_a_message_that_a_host_fails_on_does_not_make_it_look_silent(start):
    fleet = start(hosts=2)
    first, second = fleet.gateways
    second.peers.register("fails", fail)
    with pytest.raises(errors.PeerUnreachable, match="status 500"):
        first.peers.request("h1", "fails", b"{}")
    assert first.peers.is_available("h1")


def test_a_message_whose_sender_gives_up_is_no_failure_of_the_host(start):
    fleet = start(hosts=2)
    first, second = fleet.gateways
    second.peers.register("lasts", lambda body: gevent.sleep(1.0) or b"{}")
    lines = []
    eliot.add_destinations(lines.append)
    try:
        lines.clear()  # the first destination gets earlier messages
        with pytest.raises(errors.PeerUnreachable):
            first.peers.request("h1", "lasts", b"{}", seconds=0.05)
        gevent.sleep(0.2)
    finally:
        eliot.remove_destination(lines.append)
    kinds = [line.get("message_type") for line in lines]
    assert "peer.silent" in kinds
    assert "task.failed" not in kinds
