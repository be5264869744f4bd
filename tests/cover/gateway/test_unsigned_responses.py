"""Successes that don't carry their target's signature."""

import pytest

from endivepier.gateway import model
from tests.common import gateway_fleet
from tests.common import gateway_parts

STREAM_BODY = b"".join(gateway_fleet.EVENTS)


@pytest.fixture
def start():
    fleets = []

    def make(**changes):
        fleets.append(gateway_fleet.Fleet([gateway_parts.route(**changes)]))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop()


def respond_unsigned_first(fleet, status, others):
    """Makes the first target that is called respond without a signature."""
    called = []

    def choose(target):
        def handle(request, responder):
            called.append(target.name)
            if len(called) > 1:
                getattr(target, others)(request, responder)
                return
            headers = [(b"Attempt-Id", request.call.encode())]
            responder.send(status, headers, STREAM_BODY)

        return handle

    for target in fleet.targets:
        target.handler = choose(target)
    return called


# Clients got a success that its target had not signed (MIXED).
@pytest.mark.parametrize("status", [200, 204, 299])
def test_a_repeatable_call_is_served_by_another_target(start, status):
    fleet = start(kind=model.RouteKind.IDEMPOTENT)
    called = respond_unsigned_first(fleet, status, "respond")
    response = fleet.request()
    assert (response.status, response.body[:7]) == (200, b"done by")
    assert len(set(called)) == 2


def test_a_resumable_stream_begins_at_another_target(start):
    fleet = start()
    called = respond_unsigned_first(fleet, 200, "stream")
    response = fleet.request()
    assert (response.complete, response.body) == (True, STREAM_BODY)
    assert len(set(called)) == 2


@pytest.mark.parametrize("status", [200, 204, 299])
@pytest.mark.parametrize(
    "changes",
    [
        {"kind": model.RouteKind.NON_IDEMPOTENT},
        {"resumable": False},
        {"resumable": False, "retained": True},
    ],
    ids=["posting", "stream", "turn"],
)
def test_a_call_that_may_have_run_is_answered_by_the_host(
    start, status, changes
):
    fleet = start(**changes)
    called = respond_unsigned_first(fleet, status, "respond")
    response = fleet.request()
    assert response.status == 502
    assert STREAM_BODY not in response.body
    assert len(called) == 1


# Failures need no signature.
@pytest.mark.parametrize("status", [300, 404, 500])
def test_a_failure_without_a_signature_is_passed_on(start, status):
    fleet = start(kind=model.RouteKind.NON_IDEMPOTENT)
    respond_unsigned_first(fleet, status, "respond")
    response = fleet.request()
    assert (response.status, response.body) == (status, STREAM_BODY)
