"""Responses with neither a length nor chunks, whose target may have ended."""

import gevent
import pytest

from endivepier.gateway import model
from endivepier.http1 import messages
from tests.common import gateway_fleet
from tests.common import gateway_parts

EARLY_SECONDS = 0.002  # enough to ask a target on this machine


@pytest.fixture
def start():
    fleets = []

    def make(targets=1, **changes):
        route = gateway_parts.route(**{"resumable": False, **changes})
        fleets.append(gateway_fleet.Fleet([route], targets=targets))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop()


def stop_after_two_events(target, *, handle_status):
    """Makes a target send two events, and then handle requests for a status."""
    target.status_handler = handle_status
    target.handler = lambda request, responder: target.stream_until_close(
        request, responder, gateway_fleet.EVENTS[:2]
    )


# The kernel of a target that was killed between two events closed its
# connection, and callers took the stream for complete.
def test_a_stream_is_not_complete_if_its_target_was_killed(start):
    fleet = start()
    gateway_fleet.set_handlers(fleet, "crash_after_two_events")
    response = fleet.request()
    assert (response.status, response.complete) == (200, False)
    assert response.body == b"".join(gateway_fleet.EVENTS[:2])


# As above, for a target that listens again at once under its name.
def test_a_stream_is_not_complete_if_its_target_has_started_again(start):
    fleet = start()
    (target,) = fleet.targets

    def restart(request, responder):
        target.started = 2
        target.stream_until_close(request, responder, gateway_fleet.EVENTS[:2])

    target.handler = restart
    assert not fleet.request().complete


# As above, when its address belongs to another target by now.
def test_a_stream_is_not_complete_if_another_target_has_its_address(start):
    fleet = start()
    stop_after_two_events(
        fleet.targets[0],
        handle_status=lambda _, responder: responder.send(
            421, [(b"Instance-Id", b"other")], b""
        ),
    )
    assert not fleet.request().complete


# As above, when a proxy says that nothing is behind it.
@pytest.mark.parametrize("status", [404, 502, 503, 504])
def test_a_stream_is_not_complete_if_a_proxy_responds(start, status):
    fleet = start()
    stop_after_two_events(
        fleet.targets[0],
        handle_status=lambda _, responder: responder.send(
            status, [], b"<html>"
        ),
    )
    assert not fleet.request().complete


# A target that was paused at the end of its response may have been killed.
def test_a_stream_is_not_complete_while_its_target_does_not_respond(start):
    fleet = start()
    stop_after_two_events(
        fleet.targets[0], handle_status=lambda *_: gevent.sleep(3)
    )
    began = fleet.timers.now()
    assert not fleet.request().complete
    # Clients give up a stream that is silent for two seconds.
    assert fleet.timers.now() - began < 2


def test_a_stream_that_ends_at_a_target_that_is_full_is_complete(start):
    fleet = start()
    stop_after_two_events(
        fleet.targets[0],
        handle_status=lambda _, responder: responder.send(
            503, [(b"Not-Executed", b"1"), (b"Instance-Id", b"t0")], b""
        ),
    )
    assert fleet.request().complete


# The idle connection on which the target was to be asked had been closed.
def test_a_target_is_asked_again_if_it_closes_an_idle_connection(start):
    fleet = start()
    (target,) = fleet.targets
    target.handler = lambda request, responder: target.stream(
        request, responder, pause=0.05
    )
    # Leaves two idle connections: one for the next call, one for the status.
    gevent.joinall([gevent.spawn(fleet.request, f"c{n}") for n in range(2)])
    asked = []

    def close_first(request, responder):
        asked.append(request)
        if len(asked) == 1:
            responder.connection.close()
        else:
            target.state_start(request, responder)

    stop_after_two_events(target, handle_status=close_first)
    assert fleet.request().complete
    assert len(asked) == 2


# Open connections may fall silent for good, while new ones work.
def test_a_target_is_asked_again_if_a_kept_connection_is_silent(start):
    fleet = start()
    (target,) = fleet.targets
    target.handler = lambda request, responder: target.stream(
        request, responder, pause=0.05
    )
    gevent.joinall([gevent.spawn(fleet.request, f"c{n}") for n in range(2)])
    asked = []

    def be_silent_first(request, responder):
        asked.append(request)
        if len(asked) == 1:
            gevent.sleep(2)
        else:
            target.state_start(request, responder)

    stop_after_two_events(target, handle_status=be_silent_first)
    assert fleet.request().complete


# Its path for the status is declared with its service.
def test_a_stream_may_end_after_its_service_has_been_removed(start):
    fleet = start()
    (target,) = fleet.targets

    def remove_service(request, responder):
        fleet.declare([], services={})
        gevent.sleep(0.1)
        target.stream_until_close(request, responder)

    target.handler = remove_service
    assert fleet.request().complete


# Such a stream has been broken off, whether its target still runs or not.
def test_a_target_is_not_asked_about_a_stream_that_ends_in_an_event(start):
    fleet = start()
    gateway_fleet.set_handlers(fleet, "close_within_an_event")
    assert not fleet.request().complete
    assert fleet.targets[0].status_requests == 0


# A target resets connections beyond the most that it accepts.
def test_a_target_is_asked_again_if_it_has_too_many_connections(start):
    fleet = start()
    (target,) = fleet.targets
    asked = []

    def reset_twice(request, responder):
        asked.append(request)
        if len(asked) <= 2:
            gateway_fleet.reset(responder.connection)
            responder.connection.close()
        else:
            target.state_start(request, responder)

    stop_after_two_events(target, handle_status=reset_twice)
    assert fleet.request().complete


# A late response to an earlier call, of which its connection delivered the last
# bytes after the target had been killed.
def test_a_late_response_does_not_show_that_a_target_runs(start):
    fleet = start()
    (target,) = fleet.targets

    def respond_late(request, responder):
        responder.send(200, [(b"Attempt-Id", b"earlier")], b"late")
        responder.connection.close()
        target.status_handler = lambda *_: gevent.sleep(3)

    stop_after_two_events(target, handle_status=respond_late)
    assert not fleet.request().complete


def test_a_target_is_not_asked_about_responses_with_chunks(start):
    fleet = start()
    assert fleet.request().complete
    assert fleet.targets[0].status_requests == 0


# A target stops work at the deadline that it gets, and goes on to respond.
def test_a_stream_is_not_complete_if_its_target_stops_at_the_deadline(start):
    fleet = start(timeout=0.2)
    (target,) = fleet.targets

    def stop_at_deadline(request, responder):
        milliseconds = messages.find(request.headers, b"deadline-ms")
        target.stream_until_close(request, responder, gateway_fleet.EVENTS[:2])
        stops_at = request.at + int(milliseconds) / 1000 - EARLY_SECONDS
        gevent.sleep(stops_at - fleet.timers.now())

    target.handler = stop_at_deadline
    assert not fleet.request().complete


# As for streams: part of a plain response looked like the whole of it.
def test_a_plain_response_is_not_relayed_if_its_target_was_killed(start):
    fleet = start(kind=model.RouteKind.NON_IDEMPOTENT)
    gateway_fleet.set_handlers(fleet, "crash_after_two_events")
    assert fleet.request().status == 502


def test_a_repeatable_call_is_repeated_if_its_target_was_killed(start):
    fleet = start(targets=2, kind=model.RouteKind.IDEMPOTENT)
    gateway_fleet.set_handlers(fleet, "crash_after_two_events", "respond")
    response = fleet.request()
    assert response.status == 200
    assert response.body.startswith(b"done by t")
    assert len(fleet.received()) == 2


# A report of a few megabytes, which a body may have, takes many times more when
# it is decoded: 4 MB of small values as much as a host has.
def test_a_status_of_megabytes_is_not_read(start):
    fleet = start()
    (target,) = fleet.targets
    body = b'{"born": 1, "runs": [' + b"1," * 500_000 + b"1]}"
    target.status_handler = lambda request, responder: responder.send(
        200, [], body
    )
    target.handler = target.stream_until_close
    assert not fleet.request().complete
    assert fleet.request("again").status == 200  # it is still called


def test_a_status_of_some_kilobytes_is_read(start):
    fleet = start()
    (target,) = fleet.targets
    body = b'{"born": 1, "runs": [' + b"1," * 10_000 + b"1]}"
    target.status_handler = lambda request, responder: responder.send(
        200, [], body
    )
    target.handler = target.stream_until_close
    assert fleet.request().complete
