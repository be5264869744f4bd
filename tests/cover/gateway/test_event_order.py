"""Streams whose events a target repeats, swaps or does not number."""

import pytest

from tests.common import gateway_fleet
from tests.common import gateway_parts

EVENTS = gateway_fleet.EVENTS
STREAM_BODY = b"".join(EVENTS)
UNNUMBERED = [b"data: word%d\n\n" % n for n in range(1, 6)]


@pytest.fixture
def start():
    fleets = []

    def make(targets=2, versions=(), **changes):
        route = gateway_parts.route(**changes)
        fleets.append(
            gateway_fleet.Fleet([route], targets=targets, versions=versions)
        )
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop()


def respond_in_turn(fleet, *answers):
    """Makes the nth request, at any target, get the nth of some answers.

    Each is a list of events, and whether the response ends properly.
    """
    left = list(answers)

    def choose(target):
        def handle(request, responder):
            sent, ends_properly = left.pop(0)
            responder.start(200, target.headers(request))
            for event in sent:
                responder.write(event)
            if ends_properly:
                responder.finish()

        return handle

    for target in fleet.targets:
        target.handler = choose(target)


def is_whole(response):
    """Returns whether a client takes a response for a complete stream."""
    return response.status == 200 and response.complete


# A target that repeats an event or goes back has lost its place. Its stream was
# relayed as it was, and was complete.
@pytest.mark.parametrize(
    "numbers", [(1, 2, 2, 3, 4, 5), (1, 2, 3, 2, 4, 5), (1, 3, 2, 4, 5)]
)
@pytest.mark.parametrize("resumable", [False, True])
def test_a_stream_whose_ids_go_back_is_not_complete(start, numbers, resumable):
    fleet = start(targets=1, resumable=resumable)
    respond_in_turn(fleet, ([EVENTS[n - 1] for n in numbers], True))
    assert not is_whole(fleet.request())


def test_a_stream_whose_ids_go_back_is_resumed_at_another_target(start):
    fleet = start()
    respond_in_turn(
        fleet, ([EVENTS[0], EVENTS[0], *EVENTS[1:]], True), (EVENTS, True)
    )
    response = fleet.request()
    assert (response.complete, response.body) == (True, STREAM_BODY)


def test_a_turn_whose_ids_go_back_is_not_stored(start):
    fleet = start(targets=1, resumable=False, retained=True)
    respond_in_turn(fleet, ([*EVENTS, EVENTS[0]], True), (EVENTS, True))
    assert not is_whole(fleet.request("turn-1"))
    assert fleet.request("turn-2", Previous_Turn="turn-1").status == 404


def test_ids_may_skip_numbers(start):
    fleet = start(targets=1)
    respond_in_turn(fleet, (EVENTS[::2], True))
    response = fleet.request()
    assert (response.complete, response.body) == (True, b"".join(EVENTS[::2]))


# A second target began anew, and what the client had came twice.
@pytest.mark.parametrize("events", [UNNUMBERED, [EVENTS[0], *UNNUMBERED[1:]]])
def test_a_stream_does_not_go_on_after_an_event_without_an_id(start, events):
    fleet = start()
    respond_in_turn(fleet, (events[:2], False), (events, True))
    response = fleet.request()
    assert not response.complete
    assert response.body == b"".join(events[:2])


# A target that sends the whole stream again sends events without ids before
# the place where it is to be resumed.
def test_events_without_ids_are_not_repeated_where_a_stream_goes_on(start):
    events = [EVENTS[0], UNNUMBERED[1], *EVENTS[2:]]
    fleet = start()
    respond_in_turn(fleet, (events[:3], False), (events, True))
    response = fleet.request()
    body = b"".join(events)
    assert body.startswith(response.body)
    assert response.body == body or not is_whole(response)


def test_a_resumed_stream_goes_on_after_what_the_client_has(start):
    fleet = start()
    respond_in_turn(
        fleet, (EVENTS[:2], False), ([b": comment\n\n", *EVENTS], True)
    )
    response = fleet.request()
    assert response.complete
    assert response.body.replace(b": comment\n\n", b"") == STREAM_BODY


# A comment became an empty line of the history of later turns.
def test_a_comment_is_no_event_of_a_turn(start):
    fleet = start(targets=1, resumable=False, retained=True)
    events = [EVENTS[0], b": comment\n\n", EVENTS[1]]
    respond_in_turn(fleet, (events, True), (EVENTS, True))
    response = fleet.request("turn-1")
    assert (response.complete, response.body) == (True, b"".join(events))
    fleet.request("turn-2", Previous_Turn="turn-1")
    assert fleet.received()[-1].body == b"inword1\nword2\nin"


# It was complete without an event.
def test_a_stream_that_closes_after_a_comment_is_not_complete(start):
    fleet = start(targets=1)
    (target,) = fleet.targets
    target.handler = lambda request, responder: target.stream_until_close(
        request, responder, [b": comment\n\n"]
    )
    assert not is_whole(fleet.request())


# The head was sent with the comment, and the events were of another target.
def test_comments_before_the_first_event_are_those_of_its_target(start):
    fleet = start()
    comment = b": %b\n\n"
    called = []

    def choose(target):
        def handle(request, responder):
            called.append(target.name.encode())
            headers = [
                (b"Attempt-Id", request.call.encode()),
                (b"Server-Seal", target.name.encode()),
            ]
            responder.start(200, headers)
            responder.write(comment % target.name.encode())
            if len(called) == 2:
                responder.write(STREAM_BODY)
                responder.finish()

        return handle

    for target in fleet.targets:
        target.handler = choose(target)
    response = fleet.request()
    assert len(called) == 2
    assert response.complete
    assert b"server-seal: " + called[1] in response.head
    assert response.body == comment % called[1] + STREAM_BODY


def test_a_stream_of_comments_only_is_relayed(start):
    fleet = start(targets=1)
    respond_in_turn(fleet, ([b": comment\n\n"], True))
    response = fleet.request()
    assert (response.complete, response.body) == (True, b": comment\n\n")


# The id was converted to a number, which raised ValueError: the client's
# connection was closed, and the target counted as sound.
@pytest.mark.parametrize("digits", [19, 5000])
def test_an_id_of_too_many_digits_counts_as_none(start, digits):
    fleet = start()
    long_id = b"id: " + b"9" * digits + b"\ndata: word\n\n"
    respond_in_turn(fleet, ([long_id], False), (EVENTS, True))
    assert not is_whole(fleet.request("cut-off"))
    assert len(fleet.received()) == 1  # no other target can go on after it
    respond_in_turn(fleet, ([long_id, long_id], True))
    response = fleet.request("whole")
    assert (response.complete, response.body) == (True, long_id * 2)
