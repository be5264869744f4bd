"""A host that the store turns away while it serves the others."""

import random

import pytest

from endivepier import errors
from endivepier.gateway import reach
from endivepier.standins import clock
from endivepier.standins import table as table_lib
from endivepier.storage import ports

PUT = ports.Transaction((ports.Absent("t//a"),), (ports.Put("t//a", b"x"),))


class TurnedAway:
    """A table that a host can't reach."""

    def __init__(self, error=errors.Unavailable):
        self.error = error
        self.calls = 0

    def __getattr__(self, name):
        def call(*args, **kwargs):
            self.calls += 1
            raise self.error("turned away")

        return call


class PeersOf:
    """Peers that answer from one other host."""

    def __init__(self, broken=False):
        self.answers = {}
        self.other = {}
        self.broken = broken

    def register(self, question, answer):
        self.answers[question] = answer

    def askable(self):
        return ["other"]

    def ask(self, host, question, body, seconds):
        if self.broken:
            raise errors.PeerUnreachable(host, "silent", sent=True)
        return self.other[question](body)


@pytest.fixture
def timers():
    return clock.VirtualTimers()


def make(timers, table, peers):
    store = reach.Store(table, table, timers, random.Random(0))
    store.join(peers)
    return store


def pair(timers, table, mine):
    """Returns the store of a host that uses `mine`, with a sound peer."""
    sound, turned = PeersOf(), PeersOf()
    make(timers, table, sound)
    turned.other = sound.answers
    return make(timers, mine, turned)


def test_a_host_that_is_turned_away_reaches_the_store_by_a_peer(timers):
    table = table_lib.MemoryTable(timers)
    store = pair(timers, table, TurnedAway())

    def main():
        version = store.transact(PUT)
        with pytest.raises(errors.ConditionFailed):
            store.transact(PUT)
        return version, store.get("t//a"), store.scan("t//"), store.is_away()

    version, row, rows, away = timers.run(main)
    assert row == ports.Row("t//a", b"x", version)
    assert rows == (row,)
    assert not away


def test_it_goes_on_to_follow_tables(timers):
    table = table_lib.MemoryTable(timers)
    store = pair(timers, table, TurnedAway())

    def main():
        first = store.snapshot("t")
        table.transact(PUT)
        return store.changes("t", first.version, 1.0).rows[0].value

    assert timers.run(main) == b"x"


def test_history_that_is_lost_is_told_as_such(timers):
    table = table_lib.MemoryTable(timers)
    store = pair(timers, table, TurnedAway())

    def main():
        table.transact(PUT)
        table.lose_history()
        with pytest.raises(errors.HistoryLost):
            store.changes("t", 0, 1.0)

    timers.run(main)


def test_a_transaction_whose_outcome_is_open_is_not_made_by_a_peer(timers):
    table = table_lib.MemoryTable(timers)
    store = pair(timers, table, TurnedAway(errors.OutcomeUnknown))

    def main():
        with pytest.raises(errors.OutcomeUnknown):
            store.transact(PUT)

    timers.run(main)
    assert not table.peek()


def test_a_peer_that_falls_silent_leaves_the_outcome_open(timers):
    store = make(timers, TurnedAway(), PeersOf(broken=True))

    def main():
        with pytest.raises(errors.OutcomeUnknown):
            store.transact(PUT)

    timers.run(main)


def test_an_outage_is_not_remembered_longer_than_it_lasts(timers):
    # A host went on refusing turns for 18 s after one failed call, since
    # only a call that succeeds could have cleared the mark.
    table = table_lib.MemoryTable(timers)
    table.faults.outage = True
    store = pair(timers, table, table)

    def main():
        with pytest.raises(errors.Unavailable):
            store.get("t//a")
        away = store.is_away()
        timers.sleep(reach.SUSPECT_SECONDS)
        return away, store.is_away()

    assert timers.run(main) == (True, False)
