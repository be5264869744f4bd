"""Detection of a host that is cut off from the store and all other hosts."""

import random

import pytest

from endivepier import errors
from endivepier.gateway.hosts import isolation
from endivepier.standins import clock


class FakeNetwork:
    """Stands in for the store and the peers of one host."""

    def __init__(self):
        self.timers = clock.VirtualTimers()
        self.unreachable_since = None
        self.last_contact_at = 0.0
        self.names = ["h1", "h2", "h3", "h4"]
        self.alive = set(self.names)
        self.probes = 0

    def other_hosts(self):
        return self.names

    def request(self, host, operation, body):
        self.probes += 1
        if host not in self.alive:
            raise errors.PeerUnreachable(host, "silent", sent=True)
        self.last_contact_at = self.timers.now()


@pytest.fixture
def network():
    return FakeNetwork()


@pytest.fixture
def detector(network):
    return isolation.Isolation(
        network, network, network.timers, random.Random(0)
    )


def is_isolated_after(network, detector, seconds=4.0):
    for _ in range(int(seconds * 2)):
        network.timers.advance(0.5)
        detector.check()
    return detector.isolated


def test_a_host_that_reaches_nobody_is_isolated_until_the_store_responds(
    network, detector
):
    # A cut-off host refused its clients for 12 s, while the load balancer went
    # on to route connections to it.
    network.unreachable_since = 0.0
    network.alive.clear()
    assert is_isolated_after(network, detector)
    network.unreachable_since = None
    assert not is_isolated_after(network, detector, 0.5)


def test_a_store_that_is_down_for_all_hosts_isolates_none(network, detector):
    network.unreachable_since = 0.0
    assert not is_isolated_after(network, detector)


def test_a_host_without_peers_is_not_isolated(network, detector):
    network.unreachable_since = 0.0
    network.names = []
    assert not is_isolated_after(network, detector)


def test_while_the_store_responds_no_peer_is_probed(network, detector):
    network.alive.clear()
    assert not is_isolated_after(network, detector)
    assert network.probes == 0


def test_a_peer_that_responds_again_ends_the_isolation(network, detector):
    network.unreachable_since = 0.0
    network.alive.clear()
    assert is_isolated_after(network, detector)
    network.alive.update(network.names)
    assert not is_isolated_after(network, detector, 0.5)
