"""A host that is cut off from the store and from all other hosts."""

import random

import pytest

from endivepier import errors
from endivepier.gateway import isolation
from endivepier.standins import clock


class World:
    """The store and the peers as one host reaches them."""

    def __init__(self):
        self.timers = clock.VirtualTimers()
        self.unreachable_since = None
        self.last_contact_at = 0.0
        self.names = ["h1", "h2", "h3", "h4"]
        self.alive = set(self.names)
        self.asked = 0

    def other_hosts(self):
        return self.names

    def request(self, host, operation, body):
        self.asked += 1
        if host not in self.alive:
            raise errors.PeerUnreachable(host, "silent", sent=True)
        self.last_contact_at = self.timers.now()


@pytest.fixture
def world():
    return World()


@pytest.fixture
def watch(world):
    return isolation.Isolation(world, world, world.timers, random.Random(0))


def look(world, watch, seconds=4.0):
    for _ in range(int(seconds * 2)):
        world.timers.advance(0.5)
        watch.check()
    return watch.isolated


def test_a_host_that_reaches_nobody_is_isolated_until_the_store_is_back(
    world, watch
):
    # Clients of a cut-off host were refused for 12 s, while the balancer went
    # on to send it more (cnt scale-2).
    world.unreachable_since = 0.0
    world.alive.clear()
    assert look(world, watch)
    world.unreachable_since = None
    assert not look(world, watch, 0.5)


def test_a_store_that_is_down_for_all_isolates_nobody(world, watch):
    world.unreachable_since = 0.0
    assert not look(world, watch)


def test_a_host_without_others_is_not_isolated(world, watch):
    world.unreachable_since = 0.0
    world.names = []
    assert not look(world, watch)


def test_while_the_store_answers_no_peer_is_asked(world, watch):
    world.alive.clear()
    assert not look(world, watch)
    assert world.asked == 0


def test_a_peer_that_answers_again_ends_the_isolation(world, watch):
    world.unreachable_since = 0.0
    world.alive.clear()
    assert look(world, watch)
    world.alive.update(world.names)
    assert not look(world, watch, 0.5)
