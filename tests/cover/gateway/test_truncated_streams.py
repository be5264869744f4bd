"""Streams that break off at their target, by the framing of the response."""

import gevent
import pytest

from endivepier.gateway import model
from endivepier.http1 import messages
from tests.common import gateway_fleet
from tests.common import gateway_parts

STREAM_BODY = b"".join(gateway_fleet.EVENTS)
WAYS_TO_BREAK_OFF = [
    "close_within_an_event",
    "close_before_an_event",
    "finish_within_an_event",
    "crash_after_two_events",
]


@pytest.fixture
def start():
    fleets = []

    def make(**changes):
        fleets.append(gateway_fleet.Fleet([gateway_parts.route(**changes)]))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop()


def test_a_stream_that_ends_with_its_connection_is_complete(start):
    fleet = start()
    gateway_fleet.set_handlers(fleet, "stream_until_close")
    response = fleet.request()
    assert (response.complete, response.body) == (True, STREAM_BODY)
    assert len(fleet.received()) == 1


def test_events_without_ids_may_end_with_the_connection(start):
    fleet = start()
    for target in fleet.targets:
        target.handler = lambda request, responder, t=target: (
            t.stream_until_close(request, responder, [b"data: word\n\n"])
        )
    response = fleet.request()
    assert (response.complete, response.body) == (True, b"data: word\n\n")


def test_a_resumed_stream_without_more_events_is_complete(start):
    fleet = start()
    fleet.request("c1")
    response = fleet.request("c2", Resumes="c1", Last_Event_Id="5")
    assert (response.complete, response.body) == (True, b"")
    assert len(fleet.received()) == 2


# A second target that closed after its head ended the stream of the first.
def test_a_resumed_stream_that_closes_before_an_event_is_not_complete(start):
    fleet = start()
    gateway_fleet.set_handlers(fleet, "cut_off", "close_before_an_event")
    response = fleet.request()
    assert not response.complete
    assert response.body == STREAM_BODY[: len(response.body)]
    assert len(fleet.received()) == 2


def test_a_reset_is_not_taken_for_the_end_of_a_stream(start):
    fleet = start()
    gateway_fleet.set_handlers(fleet, "reset_after_two_events")
    response = fleet.request()
    assert (response.complete, response.body) == (True, STREAM_BODY)
    assert len(fleet.received()) == 2


# A target that crashed within an event closed its connection, and the bytes of
# that event were relayed as the end of a complete stream.
@pytest.mark.parametrize("way", WAYS_TO_BREAK_OFF)
def test_a_truncated_stream_is_resumed_at_another_target(start, way):
    fleet = start()
    gateway_fleet.set_handlers(fleet, way)
    response = fleet.request()
    assert (response.complete, response.body) == (True, STREAM_BODY)
    assert len(fleet.received()) == 2


# As above, on a route whose streams can't be resumed.
@pytest.mark.parametrize("way", WAYS_TO_BREAK_OFF)
def test_a_truncated_stream_does_not_look_complete(start, way):
    fleet = start(resumable=False)
    gateway_fleet.set_handlers(fleet, way)
    response = fleet.request()
    assert response.status != 200 or not response.complete
    assert len(fleet.received()) == 1


# Later turns continued from the history of a turn that had been truncated.
@pytest.mark.parametrize("way", WAYS_TO_BREAK_OFF)
def test_a_turn_whose_stream_is_truncated_is_not_stored(start, way):
    fleet = start(resumable=False, retained=True)
    gateway_fleet.set_handlers(fleet, way)
    fleet.request("turn-1")
    assert fleet.request("turn-2", Previous_Turn="turn-1").status == 404


def test_a_turn_whose_stream_ends_with_its_connection_is_stored(start):
    fleet = start(resumable=False, retained=True)
    gateway_fleet.set_handlers(fleet, "stream_until_close")
    assert fleet.request("turn-1").complete
    assert fleet.request("turn-2", Previous_Turn="turn-1").status == 200
    outputs = b"".join(b"word%d\n" % n for n in range(1, 6))
    assert fleet.received()[-1].body == b"in" + outputs + b"in"


# Both kinds of calls, on a target that says "not run" without a length.
@pytest.mark.parametrize("kind", list(model.RouteKind))
def test_a_rejection_may_end_with_its_connection(start, kind):
    fleet = start(kind=kind, resumable=False)
    others = "stream" if kind is model.RouteKind.STREAM else "respond"
    gateway_fleet.set_handlers(fleet, "reject_until_close", others)
    assert fleet.request().status == 200
    assert len(fleet.received()) == 2


@pytest.mark.parametrize("kind", list(model.RouteKind))
def test_an_error_may_end_with_its_connection(start, kind):
    fleet = start(kind=kind, resumable=False)
    gateway_fleet.set_handlers(fleet, "fail_until_close")
    response = fleet.request()
    assert (response.status, response.body) == (500, b"broken")


# It is the answer to another call, up to the end of the connection.
@pytest.mark.parametrize("kind", list(model.RouteKind))
def test_another_calls_answer_without_a_length_is_not_relayed(start, kind):
    fleet = start(kind=kind, resumable=False)
    gateway_fleet.set_handlers(fleet, "answer_other_call_until_close")
    response = fleet.request()
    assert (response.status == 200) == (kind is model.RouteKind.IDEMPOTENT)
    assert b"not yours" not in response.raw_body


def test_a_plain_response_may_end_with_its_connection(start):
    fleet = start(kind=model.RouteKind.NON_IDEMPOTENT)
    gateway_fleet.set_handlers(fleet, "stream_until_close")
    response = fleet.request()
    assert (response.status, response.body) == (200, STREAM_BODY)


def test_a_plain_response_that_is_reset_is_not_relayed(start):
    fleet = start(kind=model.RouteKind.NON_IDEMPOTENT)
    gateway_fleet.set_handlers(fleet, "reset_after_two_events")
    assert fleet.request().status == 502


# The target that went on with a stream counted as one without a first event,
# so its expected wait grew until the stream ended.
def test_a_resumed_stream_does_not_count_as_waiting_for_its_first_event(start):
    fleet = start()
    for target in fleet.targets:
        target.handler = lambda request, responder, t=target: (
            t.stream(request, responder, pause=0.2)
            if messages.find(request.headers, b"last-event-id")
            else t.cut_off(request, responder)
        )
    task = gevent.spawn(fleet.request, Prompt_Prefix="5c:800")
    gevent.sleep(0.3)
    placement = fleet.gateway.placement
    targets = fleet.gateway.catalog.targets("s")
    running = [t for t in targets if placement.load(t).running]
    assert len(running) == 1
    assert placement.load(running[0]).awaiting_first_event == {}
    assert task.get().complete
