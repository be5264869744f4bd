"""Streams while targets of two software versions serve side by side.

What two versions send doesn't fit together, so a stream continues only at the
version that began it, whether the entry host or the client resumes it.
"""

import gevent
import pytest

from endivepier.gateway import model
from endivepier.http1 import messages
from tests.common import gateway_fleet
from tests.common import gateway_parts

STREAM_BODY = b"".join(gateway_fleet.EVENTS)
VERSIONS = ["v1", "v2", "v1", "v2"]
# With a target chosen at random, all of them fit with a chance of 1 in 6,561.
STREAMS = 8


@pytest.fixture
def start():
    fleets = []

    def make(versions=VERSIONS, hosts=1, **changes):
        route = gateway_parts.route(**changes)
        fleet = gateway_fleet.Fleet([route], versions=versions, hosts=hosts)
        fleets.append(fleet)
        for target in fleet.targets:
            target.handler = target.cut_off_new_stream
        return fleet

    yield make
    for fleet in fleets:
        fleet.stop()


def versions_that_ran(fleet, *calls):
    return {
        target.version
        for target in fleet.targets
        for request in target.received
        if request.call in calls
    }


def begin_stream(fleet, call, host=0):
    """Has a client receive the first two events of a stream."""
    response = fleet.request(call, host=host)
    assert not response.complete
    assert response.body == STREAM_BODY[: len(response.body)]


def resume_stream(fleet, began, call, host):
    """Has the client of a cut off stream resume it after two events."""
    return fleet.request(call, host=host, Resumes=began, Last_Event_Id="2")


# After a failure, the next target was chosen from all versions.
def test_an_entry_host_resumes_a_stream_at_its_version(start):
    fleet = start()
    for n in range(STREAMS):
        response = fleet.request(f"c{n}")
        assert (response.complete, response.body) == (True, STREAM_BODY)
        assert len(versions_that_ran(fleet, f"c{n}")) == 1


def test_a_stream_stays_incomplete_without_another_target_of_its_version(
    start,
):
    fleet = start(["v1", "v2"])
    begin_stream(fleet, "c1")
    assert len(fleet.received()) == 1


# Another entry host did not know which version had begun the stream.
def test_a_client_resumes_a_stream_at_its_version_through_another_host(start):
    fleet = start(hosts=2, most_targets=1)
    for n in range(STREAMS):
        begin_stream(fleet, f"c{n}", host=0)
        response = resume_stream(fleet, f"c{n}", f"d{n}", host=1)
        assert (response.status, response.complete) == (200, True)
        assert len(versions_that_ran(fleet, f"c{n}", f"d{n}")) == 1


def test_a_client_resumes_a_stream_at_its_version_after_its_host_is_lost(
    start,
):
    fleet = start(hosts=4, most_targets=1)
    for n in range(STREAMS):
        begin_stream(fleet, f"c{n}", host=0)
    fleet.kill_host(0)
    for n in range(STREAMS):
        response = resume_stream(fleet, f"c{n}", f"d{n}", host=1 + n % 3)
        assert (response.status, response.complete) == (200, True)
        assert len(versions_that_ran(fleet, f"c{n}", f"d{n}")) == 1


def test_a_stream_of_an_unknown_version_is_not_resumed(start):
    fleet = start()
    assert resume_stream(fleet, "unknown", "c1", host=0).status == 503
    assert fleet.received() == []


def test_a_stream_of_an_unnamed_call_resumes_while_there_is_one_version(start):
    fleet = start(["v1", "v1"], timeout=0.4)
    gevent.sleep(0.9)  # two timeouts, in which there was one version
    response = fleet.request("c1", Last_Event_Id="2")
    assert (response.status, response.complete) == (200, True)


# The only version of the service that the route has now was taken for that of
# the service at which the stream began.
@pytest.mark.parametrize("began", ["c1", ""], ids=["lost", "unnamed"])
def test_a_stream_is_not_resumed_at_the_service_its_route_moved_to(
    start, began
):
    changes = {"timeout": 0.6, "most_targets": 1}
    fleet = start(["v1", "v1"], hosts=2, **changes)
    stays = gateway_parts.route(**changes)
    moved = gateway_parts.route(
        backends=(model.Backend("moved", 1.0),), **changes
    )
    fleet.move_routes("moved", [stays], ["v2"])
    gevent.sleep(1.3)  # two timeouts, in which the service had one version
    begin_stream(fleet, "c1")
    fleet.kill_host(0)  # the only one that knows where the stream began
    fleet.move_routes("moved", [moved], [])
    gevent.sleep(0.1)
    response = resume_stream(fleet, began, "c2", host=1)
    assert versions_that_ran(fleet, "c1", "c2") == {"v1"}
    assert response.status == 503


def test_a_stream_is_not_resumed_once_its_version_is_gone(start):
    fleet = start(["v1", "v2"], hosts=2, most_targets=1)
    begin_stream(fleet, "c1")
    (ran,) = versions_that_ran(fleet, "c1")
    fleet.unlist_targets([t for t in fleet.targets if t.version == ran])
    gevent.sleep(0.1)
    assert resume_stream(fleet, "c1", "c2", host=1).status == 503
    assert len(fleet.received()) == 1


def test_a_stream_resumes_at_its_version_after_a_second_one_appears(start):
    fleet = start(["v1", "v1"], hosts=2, most_targets=1)
    for n in range(STREAMS):
        begin_stream(fleet, f"c{n}", host=0)
    fleet.add_target("v2")
    gevent.sleep(0.1)
    for n in range(STREAMS):
        response = resume_stream(fleet, f"c{n}", f"d{n}", host=1)
        assert response.status in (200, 503)
        assert versions_that_ran(fleet, f"c{n}", f"d{n}") == {"v1"}


def test_a_silent_target_is_awaited_if_no_other_fits_its_stream(start):
    fleet = start(["v1", "v2"], timeout=20.0)
    for target in fleet.targets:
        target.handler = lambda request, responder, t=target: t.stream(
            request, responder, pause=0.7
        )
    response = fleet.request("c1")
    assert (response.complete, response.body) == (True, STREAM_BODY)


def name_targets_in_heads(fleet, events_of_first):
    """Makes heads name their targets; the first response is cut off.

    Returns:
        The names of the targets that were called, in order.
    """
    called = []

    def choose(target):
        def handle(request, responder):
            called.append(target.name)
            after = int(messages.find(request.headers, b"last-event-id") or 0)
            is_first = len(called) == 1
            end = events_of_first if is_first else len(gateway_fleet.EVENTS)
            headers = [
                (b"Attempt-Id", request.call.encode()),
                (b"Server-Seal", target.name.encode()),
                (b"Weight-Versions", target.version[1:].encode()),
            ]
            responder.start(200, headers)
            for event in gateway_fleet.EVENTS[after:end]:
                responder.write(event)
            if not is_first:
                responder.finish()

        return handle

    for target in fleet.targets:
        target.handler = choose(target)
    return called


# A target that sent a head only was followed by one of another version, and the
# client got the signature and version of the first with events of the second.
def test_the_head_is_of_the_target_that_sends_the_first_event(start):
    fleet = start(["v1", "v2"])
    called = name_targets_in_heads(fleet, 0)
    response = fleet.request()
    assert (response.complete, response.body) == (True, STREAM_BODY)
    assert len(called) == 2
    assert f"server-seal: {called[1]}\r\n".encode() in response.head
    version = fleet.targets[int(called[1][1:])].version
    assert f"weight-versions: {version[1:]}\r\n".encode() in response.head


def test_the_head_stays_when_a_stream_goes_on_at_another_target(start):
    fleet = start(["v1", "v1"])
    called = name_targets_in_heads(fleet, 2)
    response = fleet.request()
    assert (response.complete, response.body) == (True, STREAM_BODY)
    assert len(called) == 2
    assert f"server-seal: {called[0]}\r\n".encode() in response.head


# A turn that its client resumed was stored without the events that the client
# already had, and later turns continued from that.
def test_a_turn_is_never_stored_without_its_first_events(start):
    fleet = start(["v1", "v1"], most_targets=1, retained=True)
    begin_stream(fleet, "c1")
    assert resume_stream(fleet, "c1", "c2", host=0).status == 503
    assert fleet.request("c3", Previous_Turn="c2").status == 404
