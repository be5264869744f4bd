"""Targets that say in a response that they are about to stop."""

import random

import gevent
import pytest

from endivepier.gateway import model
from endivepier.gateway.targets import catalog
from tests.common import gateway_fleet
from tests.common import gateway_parts

LEAVING = (b"Server-Leaving", b"1")


@pytest.fixture
def start():
    fleets = []

    def make(hosts=1, targets=2, **changes):
        route = gateway_parts.route(**changes)
        fleets.append(
            gateway_fleet.Fleet([route], hosts=hosts, targets=targets)
        )
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop()


def announce_leaving(target):
    """Makes a target say that it leaves in all of its responses."""
    default = target.headers
    target.headers = lambda request: [*default(request), LEAVING]


def used_target(fleet):
    """Returns the target that requests go to, as it has a connection."""
    fleet.request("first")
    return next(target for target in fleet.targets if target.received)


# Requests were sent to a target for seconds after it had said that it leaves,
# since its row in the store did not say so.
@pytest.mark.parametrize("kind", model.RouteKind)
def test_a_target_that_says_that_it_leaves_gets_no_more_requests(start, kind):
    fleet = start(kind=kind)
    leaving = used_target(fleet)
    announce_leaving(leaving)
    for n in range(20):
        assert fleet.request(f"c{n}").status == 200
    assert [request.call for request in leaving.received] == ["first", "c0"]


def test_a_target_that_refuses_since_it_leaves_gets_no_more_requests(start):
    fleet = start()
    leaving = used_target(fleet)
    leaving.handler = lambda request, responder: responder.send(
        503, [(b"Not-Executed", b"1"), LEAVING], b""
    )
    fleet.request("c0")
    gevent.sleep(0.2)  # longer than a target that was full is avoided
    for n in range(1, 20):
        assert fleet.request(f"c{n}").status == 200
    assert [request.call for request in leaving.received] == ["first", "c0"]


def test_a_target_that_left_gets_requests_after_its_restart(start):
    fleet = start()
    left = used_target(fleet)
    announce_leaving(left)
    fleet.request("c0")
    del left.headers
    fleet.list_targets([left], started=2)
    fleet.unlist_targets([t for t in fleet.targets if t is not left])
    gevent.sleep(0.1)
    assert fleet.request("later").status == 200
    assert left.received[-1].call == "later"


# After an outage of the store, rows of live targets are written again.
def test_a_target_that_leaves_stays_unused_when_its_row_comes_back(start):
    fleet = start()
    leaving = used_target(fleet)
    announce_leaving(leaving)
    fleet.request("c0")
    fleet.unlist_targets([leaving])
    gevent.sleep(0.1)
    fleet.list_targets([leaving])
    fleet.unlist_targets([t for t in fleet.targets if t is not leaving])
    gevent.sleep(0.1)
    assert fleet.request("later").status == 503
    assert [request.call for request in leaving.received] == ["first", "c0"]


# A server that answers 421 has the address of the target that was meant, or is
# that target and leaves; in both cases the target is not there any more.
def test_a_target_whose_address_says_that_it_leaves_gets_no_more_requests(
    start,
):
    fleet = start()
    target = used_target(fleet)
    target.handler = lambda request, responder: responder.send(
        421, [LEAVING], b""
    )
    fleet.request("c0")
    gevent.sleep(0.2)  # longer than a target that was full is avoided
    fleet.request("c1")
    assert [request.call for request in target.received] == ["first", "c0"]


# With the store away, hosts learn of a departure from responses and peers only.
@pytest.mark.parametrize("seed", range(5))
def test_a_target_leaves_while_the_store_is_away(start, seed):
    rng = random.Random(seed)
    fleet = start(hosts=2, targets=4)
    leaving = rng.choice(fleet.targets)
    responses = []

    def run_clients(name, count):
        def run(client):
            for n in range(count):
                call = f"{name}-{client}-{n}"
                host = rng.randrange(2)
                response = fleet.request(call, host, Program_Id=call)
                responses.append(response)

        gevent.joinall([gevent.spawn(run, n) for n in range(4)])

    leaving.handler = lambda request, responder: leaving.stream(
        request, responder, pause=0.05
    )
    clients = gevent.spawn(run_clients, "before", 10)
    gevent.sleep(rng.uniform(0.1, 0.4))
    fleet.table.faults.outage = True
    announce_leaving(leaving)
    clients.join()
    while not all(
        f"{leaving.name}@1" in gateway.dispatcher.departures
        for gateway in fleet.gateways
    ):
        run_clients("until-known", 2)
    count = len(leaving.received)
    run_clients("after", 10)
    assert len(leaving.received) == count
    assert all(r.status == 200 and r.complete for r in responses)

    del leaving.headers
    fleet.table.faults.outage = False
    fleet.list_targets([leaving], started=2)
    fleet.unlist_targets([t for t in fleet.targets if t is not leaving])
    # The others stay in use for a while if the outage was a long one.
    gevent.sleep(1.5 + catalog.LAPSE_GRACE_SECONDS)
    run_clients("restarted", 1)
    assert len(leaving.received) == count + 4
