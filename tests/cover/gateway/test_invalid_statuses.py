"""Responses of targets whose status code is none."""

import pytest

from endivepier.gateway import model
from tests.common import gateway_fleet
from tests.common import gateway_parts

# Status codes have a first digit of 1 to 5 (RFC 9110, section 15).
CODES = ["000", "001", "099", "600", "999"]
STREAM_BODY = b"".join(gateway_fleet.EVENTS)


@pytest.fixture
def start():
    fleets = []

    def make(**changes):
        routes = [gateway_parts.route(**changes)]
        fleets.append(gateway_fleet.Fleet(routes))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop()


def respond_first(fleet, code, headers=(), others="respond"):
    """Makes the first target that is called respond with a status code.

    Returns the targets called. The others use the given handler.
    """
    called = []

    def choose(target):
        def handle(request, responder):
            called.append(target.name)
            if len(called) > 1:
                getattr(target, others)(request, responder)
                return
            lines = [f"HTTP/1.1 {code} Odd".encode()]
            lines += [
                name + b": " + value
                for name, value in [*target.headers(request), *headers]
            ]
            lines += [b"Content-Length: 4", b"", b"fail"]
            responder.connection.write(b"\r\n".join(lines))

        return handle

    for target in fleet.targets:
        target.handler = choose(target)
    return called


# Clients got these codes as answers, with the target's signature (MIXED).
@pytest.mark.parametrize("code", CODES)
def test_a_repeatable_call_is_served_by_another_target(start, code):
    fleet = start(kind=model.RouteKind.IDEMPOTENT)
    called = respond_first(fleet, code)
    response = fleet.request()
    assert (response.status, response.body[:7]) == (200, b"done by")
    assert len(set(called)) == 2


@pytest.mark.parametrize("code", CODES)
@pytest.mark.parametrize(
    "changes",
    [
        {"kind": model.RouteKind.NON_IDEMPOTENT},
        {"resumable": False},
        {"resumable": False, "retained": True},
    ],
    ids=["posting", "stream", "turn"],
)
def test_a_call_that_may_have_run_is_answered_by_the_host(start, code, changes):
    fleet = start(**changes)
    called = respond_first(fleet, code)
    response = fleet.request()
    assert response.status == 502
    assert b"server-seal" not in response.head
    assert len(called) == 1


@pytest.mark.parametrize("code", CODES)
def test_a_resumable_stream_begins_at_another_target(start, code):
    fleet = start()
    called = respond_first(fleet, code, others="stream")
    response = fleet.request()
    assert (response.complete, response.body) == (True, STREAM_BODY)
    assert len(set(called)) == 2


@pytest.mark.parametrize("code", CODES)
def test_a_stream_that_has_begun_does_not_go_on_with_such_a_response(
    start, code
):
    fleet = start()
    called = []

    def choose(target):
        def handle(request, responder):
            called.append(target.name)
            if len(called) == 1:
                target.cut_off(request, responder)
                return
            head = [f"HTTP/1.1 {code} Odd".encode()]
            head += [n + b": " + v for n, v in target.headers(request)]
            event = gateway_fleet.EVENTS[2]
            head += [b"Content-Length: %d" % len(event), b"", event]
            responder.connection.write(b"\r\n".join(head))

        return handle

    for target in fleet.targets:
        target.handler = choose(target)
    response = fleet.request()
    assert (response.status, response.complete) == (200, False)
    assert gateway_fleet.EVENTS[2] not in response.body


# A code that is none promises nothing, whatever the headers say.
@pytest.mark.parametrize("code", CODES)
def test_such_a_response_does_not_say_that_the_call_has_not_run(start, code):
    fleet = start(kind=model.RouteKind.NON_IDEMPOTENT)
    called = respond_first(fleet, code, [(b"Not-Executed", b"1")])
    assert fleet.request().status == 502
    assert len(called) == 1


@pytest.mark.parametrize("code", CODES)
def test_a_target_that_states_its_status_so_is_not_known_to_run(start, code):
    fleet = start(resumable=False)

    def state(request, responder):
        responder.connection.write(
            f"HTTP/1.1 {code} Odd\r\nContent-Length: 0\r\n\r\n".encode()
        )

    for target in fleet.targets:
        target.status_handler = state
        target.handler = target.stream_until_close
    assert not fleet.request().complete


@pytest.mark.parametrize("code", ["200", "299", "404", "500", "599"])
def test_a_code_that_exists_reaches_the_client(start, code):
    fleet = start(kind=model.RouteKind.NON_IDEMPOTENT)
    respond_first(fleet, code)
    response = fleet.request()
    assert (response.status, response.body) == (int(code), b"fail")
    assert b"server-seal: s" in response.head
