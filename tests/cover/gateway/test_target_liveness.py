"""Responses with neither a length nor chunks, whose target may have ended."""

import gevent
import pytest

from tests.common import gateway_fleet
from tests.common import gateway_parts


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


def test_a_target_is_not_asked_about_responses_with_chunks(start):
    fleet = start()
    assert fleet.request().complete
    assert fleet.targets[0].status_requests == 0
