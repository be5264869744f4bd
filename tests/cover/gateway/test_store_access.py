"""A host that the store turns away while it serves the others."""

import random

import gevent
import pytest

from endivepier import errors
from endivepier.gateway import calls
from endivepier.gateway import store_access
from endivepier.internal import codec
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

    def register(self, operation, answer):
        self.answers[operation] = answer

    def available_hosts(self):
        return ["other"]

    def request(self, host, operation, body, seconds):
        if self.broken:
            raise errors.PeerUnreachable(host, "silent", sent=True)
        return self.other[operation](body)


@pytest.fixture
def timers():
    return clock.VirtualTimers()


def make(timers, table, peers):
    store = store_access.Store(table, table, timers, random.Random(0))
    store.use_peers(peers)
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
        return (
            version,
            store.get("t//a"),
            store.scan("t//"),
            store.is_unavailable(),
        )

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
        away = store.is_unavailable()
        timers.sleep(store_access.SUSPECT_SECONDS)
        return away, store.is_unavailable()

    assert timers.run(main) == (True, False)


class Silent:
    """A store that answers nothing, after a time-out, until it is back."""

    def __init__(self, timers):
        self.timers = timers
        self.back = False
        self.calls = 0

    def call(self):
        self.calls += 1
        if self.back:
            return None
        self.timers.sleep(1.0)
        raise errors.Unavailable("no answer in time")

    def get(self, key):
        return self.call()

    def changes(self, table, after, wait):
        self.call()
        return ports.Changes((), (), after)


def silent_store(timers):
    table = Silent(timers)
    return table, store_access.Store(table, table, timers, random.Random(0))


def lasts(timers, call):
    """Returns how long a call takes that fails."""
    began = timers.now()
    with pytest.raises(errors.Unavailable):
        call()
    return timers.now() - began


def test_calls_to_a_silent_store_fail_at_once_after_a_few(timers):
    # Each turn waited a second for its time-out while the store was silent,
    # and clients left before they were refused (cnt trouble-3).
    table, store = silent_store(timers)

    def main():
        for _ in range(store_access.OUTAGE_FAILURES):
            lasts(timers, lambda: store.get("t//a"))
        assert store.is_unavailable()
        return [lasts(timers, lambda: store.get("t//a")) for _ in range(20)]

    assert max(timers.run(main)) == 0.0
    assert table.calls == store_access.OUTAGE_FAILURES


def test_one_call_at_a_time_tries_a_silent_store(timers):
    table, store = silent_store(timers)

    def main():
        for _ in range(store_access.OUTAGE_FAILURES):
            lasts(timers, lambda: store.get("t//a"))
        timers.sleep(store_access.SUSPECT_SECONDS + 0.01)
        tasks = [
            gevent.spawn(lasts, timers, lambda: store.get("t//a"))
            for _ in range(10)
        ]
        gevent.joinall(tasks, raise_error=True)
        return sorted(task.value for task in tasks)

    assert timers.run(main) == [0.0] * 9 + [1.0]
    assert table.calls == store_access.OUTAGE_FAILURES + 1


def test_the_first_answer_of_a_feed_ends_an_outage(timers):
    table, store = silent_store(timers)

    def main():
        for _ in range(store_access.OUTAGE_FAILURES):
            lasts(timers, lambda: store.get("t//a"))
        table.back = True
        store.changes("t", 0, 1.0)
        return store.get("t//a")

    assert timers.run(main) is None
    assert not store.is_unavailable()


def test_a_lost_answer_now_and_then_is_no_outage(timers):
    table, store = silent_store(timers)

    def main():
        for number in range(20):
            table.back = bool(number % 3)
            if table.back:
                store.get("t//a")
            else:
                lasts(timers, lambda: store.get("t//a"))
        table.back = True
        return store.get("t//a")

    assert timers.run(main) is None


@pytest.mark.parametrize(
    ("away", "retry_after"),
    [(0.0, 0.7), (0.3, 0.7), (1.2, 1.2), (9.0, 2.0)],
)
def test_clients_come_back_later_the_longer_the_store_is_away(
    away, retry_after
):
    # With 0.7 s always, a client's six tries were over before an outage of
    # seven seconds was (cnt trouble-3, bgw trouble-2).
    assert calls.store_away("now", away).retry_after == retry_after


def test_a_wait_for_the_store_ends_with_its_first_answer(timers):
    table, store = silent_store(timers)
    peers = PeersOf()
    failed = store_access.Failed("unavailable", "it is away here, too")
    peers.other[store_access.GET] = lambda body: codec.encode(
        failed, store_access.Reply
    )
    store.use_peers(peers)

    def main():
        assert store.wait_until_available(1.0)
        for _ in range(store_access.OUTAGE_FAILURES):
            lasts(timers, lambda: store.get("t//a"))
        began = timers.now()
        assert not store.wait_until_available(0.4)
        assert timers.now() - began == pytest.approx(0.4)
        lasts(timers, lambda: store.get("t//a"))
        table.back = True
        timers.after(0.3, lambda: store.changes("t", 0, 1.0))
        began = timers.now()
        assert store.wait_until_available(1.0)
        return timers.now() - began

    assert timers.run(main) == pytest.approx(0.3)


def test_a_host_that_is_cut_off_alone_does_not_wait(timers):
    # Others can serve what it can't: its clients were held for a second
    # before they went there (scale-2 of both sites).
    _, store = silent_store(timers)
    store.use_peers(PeersOf(broken=True))

    def main():
        for _ in range(store_access.OUTAGE_FAILURES):
            lasts(timers, lambda: store.get("t//a"))
        store._peers.available_hosts = list
        began = timers.now()
        assert not store.wait_until_available(1.0)
        return timers.now() - began

    assert timers.run(main) == 0.0


def test_a_peer_that_lacks_the_store_does_not_close_the_way_by_others(timers):
    # Of two hosts that were cut off, each took the other's "no" for
    # everybody's, and refused turns for half a second each time (scale-2).
    _, store = silent_store(timers)
    peers = PeersOf()
    peers.available_hosts = lambda: ["cut", "sound", "cut too"]
    failed = store_access.Failed("unavailable", "it is away here, too")
    asked = []

    def request(host, operation, body, seconds):
        asked.append(host)
        reply = store_access.Found(()) if host == "sound" else failed
        return codec.encode(reply, store_access.Reply)

    peers.request = request
    store.use_peers(peers)

    def main():
        for _ in range(30):
            assert store.get("t//a") is None
            assert not store.is_unavailable()
            timers.sleep(0.1)

    timers.run(main)
    assert asked.count("sound") == 30


def test_peers_that_all_lack_the_store_are_not_asked_each_time(timers):
    _, store = silent_store(timers)
    peers = PeersOf()
    peers.available_hosts = lambda: [f"h{number}" for number in range(300)]
    failed = store_access.Failed("unavailable", "it is away here, too")
    asked = []

    def request(host, operation, body, seconds):
        asked.append(host)
        return codec.encode(failed, store_access.Reply)

    peers.request = request
    store.use_peers(peers)

    def main():
        for _ in range(100):
            lasts(timers, lambda: store.get("t//a"))
            timers.sleep(0.01)
        assert store.is_unavailable()

    timers.run(main)
    assert len(asked) < 60
