"""Rows of targets, written by others, that no call can be sent by."""

import gevent
import pytest

from endivepier import timers as timers_lib
from endivepier.gateway import model
from endivepier.http1 import client
from endivepier.http1 import errors as http_errors
from endivepier.http1 import messages
from tests.common import gateway_fleet
from tests.common import gateway_parts

# Fields of a target that the gateway can't compute with. JSON limits neither
# the digits nor the sign of a number.
NUMBERS = {
    "slots that no float holds": {"slots": 10**400},
    "slots beyond any target": {"slots": 10**15},
    "negative slots": {"slots": -(10**400)},
    "a start that no float holds": {"started": 10**400},
    "a start before all time": {"started": -(10**400)},
    "a cold time without end": {"cold_seconds": float("inf")},
    "a cold time that is no number": {"cold_seconds": float("nan")},
}

ADDRESSES = {
    "no address": "",
    "no port": "127.0.0.1",
    "an empty port": "127.0.0.1:",
    "a port that is no number": "127.0.0.1:http",
    "a port beyond all": "127.0.0.1:65536",
    "a port of many digits": "127.0.0.1:" + "1" * 5000,
    "a negative port": "127.0.0.1:-1",
    "port 0": "127.0.0.1:0",
    "no host": ":8080",
    "a host name": "target.example:8080",
    "a host name with a label that is too long": "x" * 70 + ".example:80",
    "any host": "0.0.0.0:8080",
    "many hosts": "224.0.0.1:8080",
    "a header": "127.0.0.1\r\nTenant: other:80",
}

# Names go to targets in a header, and to other hosts in lists.
NAMES = {
    "no name": "",
    "a line feed": "x\nTenant: other",
    "a space": "x 1",
    "a comma": "x,t1@1",
    "an equals sign": "x=1",
    "a slash": "x/t0",
    "a letter of no header": "\u2603",
    "a name without end": "x" * 60_000,
}


@pytest.fixture
def start():
    fleets = []

    def make(hosts=1, **changes):
        changes = {"kind": model.RouteKind.IDEMPOTENT, **changes}
        routes = [gateway_parts.route(**changes)]
        fleet = gateway_fleet.Fleet(routes, hosts=hosts, cold=(2.0, 100.0))
        for target in fleet.targets:
            target.handler = target.respond
        fleets.append(fleet)
        return fleet

    yield make
    for fleet in fleets:
        fleet.stop()


def assert_serves(fleet, requests=5):
    for number in range(requests):
        assert fleet.request(f"call-{number}").status == 200


def wait_until_followed(fleet):
    """Waits until a target that is listed now is known."""
    fleet.add_target("v1")
    fleet.targets[-1].handler = fleet.targets[-1].respond
    with gevent.Timeout(5):
        while not fleet.gateway.catalog.is_listed(
            f"targets//{fleet.targets[-1].name}"
        ):
            gevent.sleep(0.01)


def wait_until_ready(gateway):
    with gevent.Timeout(5):
        while not gateway.is_ready():
            gevent.sleep(0.01)


# Choosing a target raised OverflowError, and every client of the service lost
# its connection until somebody removed the row (RECOVER).
@pytest.mark.parametrize("name", NUMBERS)
def test_calls_are_served_beside_a_row_with_an_unusable_number(start, name):
    fleet = start()
    fleet.list_entry("x-1", **NUMBERS[name])
    wait_until_followed(fleet)
    assert_serves(fleet)
    listed = fleet.gateway.catalog.targets(fleet.service)
    assert "x-1" not in [target.name for target in listed]


@pytest.mark.parametrize("name", NUMBERS)
def test_turns_are_served_beside_a_row_with_an_unusable_number(start, name):
    fleet = start(kind=model.RouteKind.STREAM)
    for target in fleet.targets:
        target.handler = target.stream
    fleet.list_entry("x-1", **NUMBERS[name])
    gevent.sleep(0.1)
    for number in range(5):
        assert fleet.request(f"turn-{number}", Token_Count="10,4").complete


@pytest.mark.parametrize("name", NUMBERS)
def test_a_target_whose_row_becomes_unusable_gets_no_more_calls(start, name):
    fleet = start()
    target = fleet.targets[0]
    fleet.list_entry(
        target.name, address=target.server.address, **NUMBERS[name]
    )
    wait_until_followed(fleet)
    assert_serves(fleet)
    assert target.received == []


# The task that follows the table ended with an exception: a host that started
# after the row was written never got ready.
@pytest.mark.parametrize("name", NUMBERS)
def test_a_host_that_starts_beside_an_unusable_row_gets_ready(start, name):
    fleet = start()
    fleet.list_entry("x-1", **NUMBERS[name])
    gateway = fleet.restart_host(0)
    wait_until_ready(gateway)
    wait_until_followed(fleet)
    assert_serves(fleet)


# Connecting raised ValueError, the client's connection was closed, and the row
# counted as an idle target without failures, which was chosen again.
@pytest.mark.parametrize("name", ADDRESSES)
def test_calls_are_served_beside_a_row_without_a_usable_address(start, name):
    fleet = start()
    fleet.list_entry("x-1", address=ADDRESSES[name])
    wait_until_followed(fleet)
    assert_serves(fleet)
    listed = fleet.gateway.catalog.targets(fleet.service)
    assert "x-1" not in [target.name for target in listed]


# A name with a line feed would have added headers to requests, and one with a
# separator made other hosts ignore all that a message said.
@pytest.mark.parametrize("name", NAMES)
def test_calls_are_served_beside_a_row_without_a_usable_name(start, name):
    fleet = start()
    sound = fleet.targets[1]
    fleet.list_entry("x-1", name=NAMES[name], address=sound.server.address)
    wait_until_followed(fleet)
    assert_serves(fleet)
    named = {
        messages.find(request.headers, b"expect-instance")
        for request in fleet.received()
    }
    assert named <= {target.name.encode() for target in fleet.targets}
    listed = fleet.gateway.catalog.targets(fleet.service)
    assert NAMES[name] not in [target.name for target in listed]


@pytest.mark.parametrize(
    "name",
    [
        "no address",
        "no port",
        "an empty port",
        "a port that is no number",
        "a port beyond all",
        "a port of many digits",
        "a negative port",
        "a host name with a label that is too long",
    ],
)
def test_connecting_to_what_is_no_address_fails_as_a_connection(name):
    with pytest.raises(http_errors.ConnectFailed):
        client.connect(
            ADDRESSES[name],
            timers_lib.SystemTimers(),
            seconds=0.2,
            user_timeout=0.2,
        )
