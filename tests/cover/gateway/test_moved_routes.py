"""Streams whose route changes before their clients resume them."""

import itertools

import gevent
import pytest

from endivepier.gateway import model
from tests.common import gateway_fleet
from tests.common import gateway_parts

TIMEOUT = 2.0  # of the route; a stream may be resumed for two of them
RETRY_SECONDS = 2.0
STREAMS = 12


def make_route(*services, **changes):
    backends = tuple(model.Backend(service, 1.0) for service in services)
    values = {"timeout": TIMEOUT, "most_targets": 1, "backends": backends}
    return gateway_parts.route(**{**values, **changes})


@pytest.fixture
def start():
    fleets = []

    def make(*services, hosts=6, **changes):
        """Starts a fleet with targets of services "s" and "other"."""
        route = make_route(*services, **changes)
        fleet = gateway_fleet.Fleet([route], targets=1, hosts=hosts)
        fleets.append(fleet)
        fleet.service = "other"
        fleet.add_target("v1")
        for target in fleet.targets:
            target.handler = target.cut_off_new_stream
        gevent.sleep(2 * TIMEOUT + 0.2)  # the versions are known by then
        return fleet

    yield make
    for fleet in fleets:
        fleet.stop()


def targets_that_ran(fleet, *calls):
    return {
        target.name
        for target in fleet.targets
        for request in target.received
        if request.call in calls
    }


def begin_streams(fleet, **headers):
    for n in range(STREAMS):
        response = fleet.request(f"c{n}", host=0, **headers)
        assert (response.status, response.complete) == (200, False)


def resume_streams(fleet, hosts, retry=False, **headers):
    """Resumes all streams at some hosts; returns how many went on.

    Args:
        fleet: the fleet.
        hosts: numbers of the hosts.
        retry: whether refused ones are tried again, as on a busy machine hosts
            may not hear from each other in time.
        headers: further headers of the requests.
    """
    went_on = set()
    retry_until = fleet.timers.now() + (RETRY_SECONDS if retry else 0.0)
    for attempt in itertools.count():
        for n in sorted(set(range(STREAMS)) - went_on):
            response = fleet.request(
                f"d{n}-{attempt}",
                host=hosts[(n + attempt) % len(hosts)],
                Resumes=f"c{n}",
                Last_Event_Id="2",
                **headers,
            )
            assert response.status in (200, 503)
            if response.status == 200:
                went_on.add(n)
            ran = targets_that_ran(fleet, f"c{n}", f"d{n}-{attempt}")
            assert len(ran) == 1
        if len(went_on) == STREAMS or fleet.timers.now() >= retry_until:
            return len(went_on)
        gevent.sleep(0.1)


# Each service had one version, so that no origin was recorded, and the service
# to which the route leads now was taken for the one that began the stream.
@pytest.mark.parametrize("is_lost", [False, True])
def test_a_stream_does_not_go_on_at_the_service_of_a_moved_route(
    start, is_lost
):
    fleet = start("s")
    begin_streams(fleet)
    if is_lost:
        fleet.kill_host(0)
    fleet.declare([make_route("other")])
    gevent.sleep(0.1)
    assert resume_streams(fleet, range(1, 6)) == 0


# A longer prefix takes a part of the paths from another route.
def test_a_stream_does_not_go_on_at_the_service_of_a_new_route(start):
    fleet = start("s")
    begin_streams(fleet)
    new = make_route("other", name="new", prefix="/a/1")
    fleet.declare([make_route("s"), new])
    gevent.sleep(0.1)
    assert resume_streams(fleet, range(1, 6)) == 0


# The last host that had not read the declaration took the old service.
def test_a_host_that_lags_does_not_take_the_service_of_an_old_declaration(
    start,
):
    fleet = start("s", hosts=2)
    lagging = fleet.gateways[1].catalog
    lagging.stop()
    fleet.declare([make_route("other")])
    gevent.sleep(0.1)
    begin_streams(fleet)
    fleet.kill_host(0)
    assert resume_streams(fleet, [1]) == 0


# The service was chosen anew, by the id of the request to resume.
def test_a_stream_goes_on_at_its_service_if_weights_choose_services(start):
    fleet = start("s", "other")
    begin_streams(fleet)
    gevent.sleep(0.1)  # the origins are sent
    assert resume_streams(fleet, range(1, 6), retry=True) == STREAMS


# The name of a route is a part of what chooses the service of a program.
def test_a_stream_does_not_go_on_at_the_service_of_a_renamed_route(start):
    fleet = start("s", "other")
    begin_streams(fleet, Program_Id="p1")
    ran = targets_that_ran(fleet, "c0")
    for n in range(8):
        fleet.declare([make_route("s", "other", name=f"new{n}")])
        gevent.sleep(0.1)
        fleet.request(f"e{n}", host=1, Program_Id="p1")
        if targets_that_ran(fleet, f"e{n}") != ran:
            break
    resume_streams(fleet, range(1, 6), Program_Id="p1")


def test_a_stream_of_an_unknown_service_is_not_resumed(start):
    fleet = start("s", "other", hosts=2)
    begin_streams(fleet)
    response = fleet.request("d", Resumes="unknown", Last_Event_Id="2")
    assert response.status == 503


# The route is unknown in between, so that nothing tells where it led.
def test_a_stream_does_not_go_on_at_the_service_of_a_route_that_came_back(
    start,
):
    fleet = start("s")
    begin_streams(fleet)
    fleet.kill_host(0)
    for routes in ([], [make_route("other")]):
        fleet.declare(routes)
        gevent.sleep(0.05)
    assert resume_streams(fleet, range(1, 6)) == 0


# Routes come and go all the time, which must not stop the streams of others.
def test_streams_go_on_beside_a_route_that_is_removed(start):
    fleet = start("s")
    new = make_route("other", name="new", prefix="/b/")
    fleet.declare([make_route("s"), new])
    gevent.sleep(2 * TIMEOUT + 0.2)
    begin_streams(fleet)
    fleet.kill_host(0)
    fleet.declare([make_route("s")])
    gevent.sleep(0.1)
    assert resume_streams(fleet, range(1, 6), retry=True) == STREAMS


def test_streams_go_on_beside_a_route_that_is_added(start):
    fleet = start("s")
    begin_streams(fleet)
    fleet.kill_host(0)
    new = make_route("other", name="new", prefix="/b/")
    fleet.declare([make_route("s"), new])
    gevent.sleep(0.1)
    assert resume_streams(fleet, range(1, 6), retry=True) == STREAMS


# A target had got all earlier turns with the request that began the stream, and
# only the client's input with the one that resumed it.
def test_a_turn_is_not_resumed_after_its_route_ceased_to_store_turns(start):
    fleet = start("s", hosts=2, retained=True, resumable=False)
    begin_streams(fleet)
    fleet.declare([make_route("s")])
    gevent.sleep(0.1)
    assert resume_streams(fleet, [0, 1]) == 0


# Nor was it asked whether its route allows it.
def test_a_stream_is_not_resumed_on_a_route_without_this(start):
    fleet = start("s", hosts=2, resumable=False)
    begin_streams(fleet)
    assert resume_streams(fleet, [0, 1]) == 0
