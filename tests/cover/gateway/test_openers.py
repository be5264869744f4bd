"""Which host may begin a program that is new to it, without the store."""

import dataclasses

import pytest

from endivepier.gateway.budgets import known_programs
from endivepier.gateway.budgets import openers
from endivepier.gateway.hosts import rows as host_rows
from endivepier.internal import rendezvous
from endivepier.standins import clock

RETENTION_SECONDS = 60.0
HORIZON_SECONDS = RETENTION_SECONDS + openers.CLOCK_MARGIN_SECONDS
NAMES = ("h0", "h1", "h2")


class Rows:
    """What one host knows of all hosts' rows."""

    def __init__(self, host, timers):
        self.timers = timers
        self.is_leaving = False
        self.is_settled = True
        self.read_at = timers.now()
        self.departed = {}
        self.heard = set()
        self.by_host = {
            name: host_rows.Entry(name, "a", since=0.0, listed_since=0.0)
            for name in NAMES
        }
        self.host = host

    @property
    def own(self):
        return self.by_host[self.host]

    def members(self):
        return dict(self.by_host)

    def unlisted(self, seconds):
        return self.heard

    def change(self, host, **changes):
        entry = self.by_host.get(host, host_rows.Entry(host, "a"))
        self.by_host[host] = dataclasses.replace(entry, **changes)


class Peers:
    def __init__(self, rows):
        self.rows = rows
        self.silent = set()
        self.known_to = set(NAMES)
        self.introductions = self  # has the methods of `Introductions` itself
        self.rounds = 0  # of introductions

    def is_known_to(self, host):
        return host in self.known_to

    def introduce(self):
        self.rounds += 1

    def is_available(self, host):
        return host in self.rows.by_host and host not in self.silent


class World:
    """The decisions of one host, the first choice for the program "p".

    Attributes:
        first, second: its name, and that of the next choice.
    """

    def __init__(self):
        self.timers = clock.VirtualTimers(start=1000.0)
        self.first, self.second, _ = rendezvous.rank("p", NAMES, 3)
        self.openers, self.rows, self.peers = self.at(self.first)

    def at(self, host):
        rows = Rows(host, self.timers)
        peers = Peers(rows)
        return (
            openers.Openers(
                host, peers, self.timers, lambda: RETENTION_SECONDS
            ),
            rows,
            peers,
        )


@pytest.fixture
def world():
    return World()


def test_only_the_first_choice_opens_a_program(world):
    assert world.openers.may_open("p")
    assert not world.openers.may_be_open("p")
    other, _, _ = world.at(world.second)
    assert not other.may_open("p")
    assert other.may_be_open("p")


def test_a_silent_first_choice_is_not_replaced(world):
    other, _, peers = world.at(world.second)
    peers.silent.add(world.first)
    assert not other.may_open("p")
    assert other.may_be_open("p")


def test_a_process_that_follows_a_lost_one_opens_nothing_for_a_while(world):
    now = world.timers.wall()
    world.rows.change(world.first, since=now, lost_at=now)
    assert not world.openers.may_open("p")
    assert world.openers.may_be_open("p")
    world.timers.advance(HORIZON_SECONDS + 1.0)
    world.rows.read_at = world.timers.now()
    assert world.openers.may_open("p")
    assert not world.openers.may_be_open("p")


# It opened a program that had a row: another host had written it before.
def test_a_host_that_joined_opens_nothing_for_a_while(world):
    world.rows.change(world.first, since=world.timers.wall())
    assert not world.openers.may_open("p")
    assert world.openers.may_be_open("p")  # others may not know it yet
    world.timers.advance(openers.SETTLE_SECONDS)
    assert not world.openers.may_be_open("p")
    world.peers.silent.add(world.second)
    assert world.openers.may_be_open("p")


# The store turned the former first choice away, so that it did not read the new
# host's row, and opened programs whose budgets were spent.
def test_a_host_that_joined_counts_on_no_host_that_may_not_know_it(world):
    world.rows.change(world.first, since=world.timers.wall())
    world.timers.advance(openers.SETTLE_SECONDS)
    world.peers.known_to.discard(world.second)
    assert world.openers.may_be_open("p")
    world.timers.advance(HORIZON_SECONDS)
    assert not world.openers.may_be_open("p")


def test_nothing_is_opened_in_the_place_of_a_host_that_is_not_listed_yet(world):
    other, rows, _ = world.at(world.second)
    del rows.by_host[world.first]
    assert other.may_open("p")
    assert not other.may_be_open("p")
    rows.heard.add(world.first)
    assert not other.may_open("p")
    assert other.may_be_open("p")


def test_only_a_host_that_joined_introduces_itself(world):
    world.openers.tick()
    assert world.peers.rounds == 0
    now = world.timers.wall()
    world.rows.change(world.first, since=now, lost_at=now)
    world.openers.tick()
    assert world.peers.rounds == 0
    world.rows.change(world.first, lost_at=0.0)
    world.openers.tick()
    assert world.peers.rounds == 1
    world.rows.is_leaving = True
    world.openers.tick()
    assert world.peers.rounds == 1


def test_a_host_opens_nothing_in_the_place_of_one_that_left(world):
    other, rows, _ = world.at(world.second)
    del rows.by_host[world.first]
    rows.departed[world.first] = world.timers.now()
    assert not other.may_open("p")
    world.timers.advance(HORIZON_SECONDS + 1.0)
    rows.read_at = world.timers.now()
    assert other.may_open("p")


def test_a_host_that_left_after_a_loss_still_counts(world):
    other, rows, _ = world.at(world.second)
    rows.change(world.first, has_left=True, lost_at=world.timers.wall())
    assert other.may_be_open("p")


# A host that joined meanwhile may have become the first choice.
def test_a_process_that_was_suspended_reads_the_rows_first(world):
    assert world.openers.may_open("p")
    world.timers.advance(openers.SUSPENDED_SECONDS + 0.1)
    assert not world.openers.may_open("p")
    assert not world.openers.may_open("q")
    world.rows.read_at = world.timers.now()
    assert world.openers.may_open("p")


# Such a process writes rows as if no program had been opened.
def test_nothing_is_opened_beside_a_process_of_a_former_build(world):
    world.rows.change(world.second, since=None, listed_since=None)
    assert not world.openers.may_open("p")


def test_a_program_is_new_once_as_long_as_it_may_come_back(world):
    assert world.openers.is_new("p")
    world.timers.advance(HORIZON_SECONDS - 1.0)
    assert not world.openers.is_new("p")
    world.timers.advance(HORIZON_SECONDS + 1.0)
    assert world.openers.is_new("p")


# It was forgotten 70 s after it came first, also while it ran.
def test_a_program_is_remembered_from_its_last_use_on(world):
    for _ in range(10):
        world.openers.is_new("p")
        world.timers.advance(HORIZON_SECONDS / 2)
    world.timers.advance(HORIZON_SECONDS / 2 - 1.0)
    assert not world.openers.is_new("p")


def test_a_host_that_had_to_forget_programs_opens_none(world, monkeypatch):
    monkeypatch.setattr(known_programs, "MAX_PROGRAMS", 3)
    for number in range(4):
        assert world.openers.is_new(f"p{number}")
    assert not world.openers.may_open("p")
