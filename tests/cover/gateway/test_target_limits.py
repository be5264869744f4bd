"""Targets that name a rate which all hosts together keep."""

import gevent
import pytest

from endivepier.gateway import model
from endivepier.gateway.targets import tokens as rate_tokens
from tests.common import gateway_fleet
from tests.common import gateway_parts

RATE = 2.0  # requests/s
WINDOW_SECONDS = 4.0
# What the operators allow in any window of WINDOW_SECONDS.
MOST_IN_WINDOW = 1.5 * RATE * WINDOW_SECONDS + 5


@pytest.fixture
def start():
    fleets = []

    def make(hosts=3, targets=2, **changes):
        route = gateway_parts.route(**changes)
        fleets.append(
            gateway_fleet.Fleet([route], hosts=hosts, targets=targets)
        )
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop()


def name_rate(target, rate=RATE):
    """Makes a target name a rate in all of its responses, from now on."""
    default = type(target).headers
    header = (b"Server-Limit", b"%.1f" % rate)
    target.headers = lambda request: [*default(target, request), header]


def run_clients(fleet, seconds, pause=0.04, **headers):
    """Runs a client at each host; returns the responses of all."""
    responses = []
    until = fleet.timers.now() + seconds

    def run(host):
        n = 0
        while fleet.timers.now() < until:
            call = f"c{host}-{n}-{until}"
            responses.append(fleet.request(call, host, **headers))
            gevent.sleep(pause)
            n += 1

    hosts = range(len(fleet.gateways))
    gevent.joinall([gevent.spawn(run, host) for host in hosts])
    return responses


def most_used_target(fleet):
    """Returns the target that most calls go to, after some calls.

    Hosts prefer targets to which they have connections.
    """
    run_clients(fleet, seconds=0.3)
    return max(fleet.targets, key=lambda target: len(target.received))


def most_in_window(times):
    """Returns the most arrivals in any window of WINDOW_SECONDS."""
    return max(
        sum(start <= at < start + WINDOW_SECONDS for at in times)
        for start in times
    )


# Nothing read the header, and no host alone sent more than the rate, but all of
# them together did.
@pytest.mark.parametrize("kind", model.RouteKind)
def test_all_hosts_together_keep_the_rate_that_a_target_names(start, kind):
    fleet = start(kind=kind)
    limited = most_used_target(fleet)
    name_rate(limited)
    responses = run_clients(fleet, seconds=0.5)
    known_at = fleet.timers.now()
    responses += run_clients(fleet, seconds=5.0)
    times = [r.at for r in limited.received if r.at >= known_at]
    assert 0 < most_in_window(times) <= MOST_IN_WINDOW
    assert all(r.status == 200 and r.complete for r in responses)


def test_calls_beyond_the_rates_of_all_targets_are_refused_as_not_run(start):
    fleet = start(hosts=1, kind=model.RouteKind.NON_IDEMPOTENT)
    for target in fleet.targets:
        name_rate(target)
    run_clients(fleet, seconds=0.5)
    count = len(fleet.received())
    refused = [fleet.request(f"late{n}") for n in range(20)]
    refused = [response for response in refused if response.status != 200]
    assert {response.status for response in refused} == {503}
    assert all(b"retry-after" in response.head for response in refused)
    assert len(fleet.received()) == count + 20 - len(refused)


def test_a_target_gets_its_usual_calls_again_once_it_names_no_rate(start):
    fleet = start(hosts=2, targets=1, kind=model.RouteKind.IDEMPOTENT)
    name_rate(fleet.targets[0])
    refused = run_clients(fleet, seconds=1.0)
    assert 503 in {response.status for response in refused}
    del fleet.targets[0].headers
    run_clients(fleet, seconds=rate_tokens.MAX_PAUSE_SECONDS + 0.5)
    served = run_clients(fleet, seconds=1.0)
    assert {response.status for response in served} == {200}


# A host that restarts must not take the first call to learn of the limit.
def test_a_host_learns_a_rate_from_the_others(start):
    fleet = start(hosts=2)
    incarnation = f"{fleet.targets[0].name}@1"
    told, other = fleet.gateways
    told.dispatcher.rates.note(
        incarnation, RATE, fleet.timers.now(), "response"
    )
    other.peers.request("h0", "probe", b"{}")
    assert other.dispatcher.rates.rate(incarnation) == RATE


# The server at the address is another one than the target that was meant.
def test_the_rate_of_a_misdirected_request_is_not_the_targets(start):
    fleet = start(hosts=1, targets=1)
    fleet.targets[0].handler = lambda request, responder: responder.send(
        421, [(b"Server-Limit", b"1")], b""
    )
    fleet.request("c0")
    incarnation = f"{fleet.targets[0].name}@1"
    assert fleet.gateway.dispatcher.rates.rate(incarnation) is None
