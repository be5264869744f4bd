"""Engines that generate more than a turn allows."""

import pytest

from tests.common import gateway_fleet
from tests.common import gateway_parts

EVENT_TOKENS = 4  # as `gateway_parts.declaration` declares
EVENTS = [b"id: %d\ndata: word%d\n\n" % (n, n) for n in range(1, 201)]
ALLOWED = 3  # events of a turn


@pytest.fixture
def start():
    fleets = []

    def make(targets=1, **changes):
        route = gateway_parts.route(**changes)
        fleet = gateway_fleet.Fleet([route], targets=targets)
        fleets.append(fleet)
        return fleet

    yield make
    for fleet in fleets:
        fleet.stop()


def stream_events(fleet, count):
    """Makes all targets stream so many events."""
    for target in fleet.targets:
        target.handler = lambda request, responder, target=target: (
            target.stream(request, responder, EVENTS[:count])
        )


def send_turn(fleet, number, budget=1000):
    return fleet.request(
        f"turn-{number}",
        Program_Id="p",
        Session_Id="s",
        Token_Budget=budget,
        Token_Count=f"10,{ALLOWED * EVENT_TOKENS}",
        Prompt_Prefix="a:5,b:5",
    )


# A program was handed ten times its budget in one turn (BUDGET).
@pytest.mark.parametrize("targets", [1, 2])
@pytest.mark.parametrize("resumable", [False, True])
@pytest.mark.parametrize("retained", [False, True])
def test_a_turn_gets_no_more_events_than_it_has_tokens(
    start, targets, resumable, retained
):
    fleet = start(targets, resumable=resumable, retained=retained)
    stream_events(fleet, len(EVENTS))
    response = send_turn(fleet, 1)
    assert response.body == b"".join(EVENTS[:ALLOWED])
    assert not response.complete


def test_a_turn_of_the_most_tokens_is_complete(start):
    fleet = start()
    stream_events(fleet, ALLOWED)
    for number in range(3):
        response = send_turn(fleet, number)
        assert response.complete
        assert response.body == b"".join(EVENTS[:ALLOWED])


def test_a_program_gets_its_budget_and_no_more(start):
    fleet = start(resumable=False)
    stream_events(fleet, len(EVENTS))
    budget = 10 * EVENT_TOKENS
    statuses = []
    events = 0
    for number in range(8):
        response = send_turn(fleet, number, budget)
        statuses.append(response.status)
        events += response.body.count(b"data: ")
    assert events * EVENT_TOKENS <= budget + ALLOWED * EVENT_TOKENS
    assert statuses[-1] == 402


# Without the number of tokens there is nothing to compare with.
def test_a_turn_that_states_no_tokens_gets_all_events(start):
    fleet = start()
    stream_events(fleet, 20)
    response = fleet.request("turn", Program_Id="p", Token_Budget=1000)
    assert response.complete
    assert response.body == b"".join(EVENTS[:20])
