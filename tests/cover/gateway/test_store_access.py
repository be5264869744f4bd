"""Access to a store that rejects or does not answer some or all hosts."""

import json
import random

import gevent
import pytest

from endivepier import errors
from endivepier.gateway import calls
from endivepier.gateway.store import access as store_access
from endivepier.gateway.store import messages as store_messages
from endivepier.internal import codec
from endivepier.standins import clock
from endivepier.standins import table as table_lib
from endivepier.storage import ports
from endivepier.storage import scans
from tests.common import gateway_parts

PUT = ports.Transaction((ports.Absent("t//a"),), (ports.Put("t//a", b"x"),))


class UnreachableTable:
    """A table whose calls all fail."""

    def __init__(self, error=errors.Unavailable):
        self.error = error
        self.calls = 0

    def __getattr__(self, name):
        def call(*args, **kwargs):
            self.calls += 1
            raise self.error("rejected")

        return call


class FakePeers:
    """One peer, named "other".

    Attributes:
        handlers: the operations that this host serves.
        other: the operations that the peer serves.
        broken: whether requests to the peer fail after they were sent.
    """

    def __init__(self, broken=False):
        self.handlers = {}
        self.other = {}
        self.broken = broken

    def register(self, operation, handler):
        self.handlers[operation] = handler

    def available_hosts(self):
        return ["other"]

    def is_near(self, host):
        return True

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


def make_with_peer(timers, table, own_table):
    """Returns the store of a host on `own_table`, with a peer on `table`."""
    peers_of_other, own_peers = FakePeers(), FakePeers()
    make(timers, table, peers_of_other)
    own_peers.other = peers_of_other.handlers
    return make(timers, own_table, own_peers)


def test_a_rejected_host_reaches_the_store_through_a_peer(timers):
    table = table_lib.MemoryTable(timers)
    store = make_with_peer(timers, table, UnreachableTable())

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

    version, row, page, unavailable = timers.run(main)
    assert row == ports.Row("t//a", b"x", version)
    assert page == ports.Page((row,), more=False)
    assert not unavailable


def test_a_rejected_host_follows_tables_through_a_peer(timers):
    table = table_lib.MemoryTable(timers)
    store = make_with_peer(timers, table, UnreachableTable())

    def main():
        first = store.snapshot("t")
        table.transact(PUT)
        return store.changes("t", first.version, 1.0).rows[0].value

    assert timers.run(main) == b"x"


def put_rows(table, count):
    puts = tuple(ports.Put(f"t//{n}", b"x" * 100) for n in range(count))
    table.transact(ports.Transaction((), puts))


# A host that reached the store through a peer took the first page of a turn
# that is longer than a page for the whole turn.
def test_a_peer_tells_whether_more_rows_follow(timers):
    table = table_lib.MemoryTable(timers)
    table.page_bytes = 250
    store = make_with_peer(timers, table, UnreachableTable())

    def main():
        put_rows(table, 5)
        first = store.scan("t//")
        last = store.scan("t//", after="t//3")
        return first, last, scans.read_all(store, "t//")

    first, last, rows = timers.run(main)
    assert (len(first.rows), first.more) == (2, True)
    assert (len(last.rows), last.more) == (1, False)
    assert [row.key for row in rows] == [f"t//{n}" for n in range(5)]


# A peer of a former build sends one page, and does not tell whether it is the
# last one.
def test_a_scan_through_a_former_build_ends_with_an_empty_page(timers):
    table = table_lib.MemoryTable(timers)
    table.page_bytes = 250
    store = make_with_peer(timers, table, UnreachableTable())
    scan = store._peers.other[store_access.SCAN]

    def scan_without_more(body):
        reply = json.loads(scan(body))
        del reply["more"]
        return json.dumps(reply).encode()

    store._peers.other[store_access.SCAN] = scan_without_more

    def main():
        put_rows(table, 5)
        return scans.read_all(store, "t//")

    assert len(timers.run(main)) == 5


def test_lost_history_is_reported_through_a_peer(timers):
    table = table_lib.MemoryTable(timers)
    store = make_with_peer(timers, table, UnreachableTable())

    def main():
        table.transact(PUT)
        table.lose_history()
        with pytest.raises(errors.HistoryLost):
            store.changes("t", 0, 1.0)

    timers.run(main)


def test_a_transaction_with_an_unknown_outcome_is_not_relayed(timers):
    table = table_lib.MemoryTable(timers)
    store = make_with_peer(
        timers, table, UnreachableTable(errors.OutcomeUnknown)
    )

    def main():
        with pytest.raises(errors.OutcomeUnknown):
            store.transact(PUT)

    timers.run(main)
    assert not table.peek()


def test_a_peer_that_does_not_respond_leaves_the_outcome_unknown(timers):
    store = make(timers, UnreachableTable(), FakePeers(broken=True))

    def main():
        with pytest.raises(errors.OutcomeUnknown):
            store.transact(PUT)

    timers.run(main)


def test_the_store_counts_as_available_again_without_a_successful_call(timers):
    # After one failed call a host refused turns for 18 s: only a successful
    # call cleared its mark of the outage.
    table = table_lib.MemoryTable(timers)
    table.faults.outage = True
    store = make_with_peer(timers, table, table)

    def main():
        with pytest.raises(errors.Unavailable):
            store.get("t//a")
        unavailable = store.is_unavailable()
        timers.sleep(store_access.SUSPECT_SECONDS)
        return unavailable, store.is_unavailable()

    assert timers.run(main) == (True, False)


class SilentTable:
    """A table whose calls time out until it has recovered."""

    def __init__(self, timers):
        self.timers = timers
        self.recovered = False
        self.calls = 0

    def call(self):
        self.calls += 1
        if self.recovered:
            return None
        self.timers.sleep(1.0)
        raise errors.Unavailable("no response in time")

    def get(self, key):
        return self.call()

    def changes(self, table, after, wait):
        self.call()
        return ports.Changes((), (), after)


def silent_store(timers):
    table = SilentTable(timers)
    return table, store_access.Store(table, table, timers, random.Random(0))


def failure_seconds(timers, call):
    """Returns how long a call takes to fail."""
    started_at = timers.now()
    with pytest.raises(errors.Unavailable):
        call()
    return timers.now() - started_at


def test_calls_to_a_silent_store_fail_at_once_after_a_few_timeouts(timers):
    # While the store was silent, each turn waited a second for the timeout, and
    # clients disconnected before they were refused.
    table, store = silent_store(timers)

    def main():
        for _ in range(store_access.OUTAGE_FAILURES):
            failure_seconds(timers, lambda: store.get("t//a"))
        assert store.is_unavailable()
        return [
            failure_seconds(timers, lambda: store.get("t//a"))
            for _ in range(20)
        ]

    assert max(timers.run(main)) == 0.0
    assert table.calls == store_access.OUTAGE_FAILURES


def test_one_trial_call_at_a_time_is_sent_to_a_silent_store(timers):
    table, store = silent_store(timers)

    def main():
        for _ in range(store_access.OUTAGE_FAILURES):
            failure_seconds(timers, lambda: store.get("t//a"))
        timers.sleep(store_access.SUSPECT_SECONDS + 0.01)
        tasks = [
            gevent.spawn(failure_seconds, timers, lambda: store.get("t//a"))
            for _ in range(10)
        ]
        gevent.joinall(tasks, raise_error=True)
        return sorted(task.value for task in tasks)

    assert timers.run(main) == [0.0] * 9 + [1.0]
    assert table.calls == store_access.OUTAGE_FAILURES + 1


def test_the_first_successful_call_of_a_feed_ends_an_outage(timers):
    table, store = silent_store(timers)

    def main():
        for _ in range(store_access.OUTAGE_FAILURES):
            failure_seconds(timers, lambda: store.get("t//a"))
        table.recovered = True
        store.changes("t", 0, 1.0)
        return store.get("t//a")

    assert timers.run(main) is None
    assert not store.is_unavailable()


def test_occasional_lost_responses_are_not_an_outage(timers):
    table, store = silent_store(timers)

    def main():
        for number in range(20):
            table.recovered = bool(number % 3)
            if table.recovered:
                store.get("t//a")
            else:
                failure_seconds(timers, lambda: store.get("t//a"))
        table.recovered = True
        return store.get("t//a")

    assert timers.run(main) is None


@pytest.mark.parametrize(
    ("outage_seconds", "retry_after"),
    [(0.0, 0.7), (0.3, 0.7), (1.2, 1.2), (9.0, 2.0)],
)
def test_clients_retry_later_the_longer_the_store_is_unavailable(
    outage_seconds, retry_after
):
    # With a fixed delay of 0.7 s, a client's six attempts were over before an
    # outage of seven seconds ended.
    assert (
        calls.store_unavailable("now", outage_seconds).retry_after
        == retry_after
    )


def test_a_wait_for_the_store_ends_with_its_first_response(timers):
    table, store = silent_store(timers)
    peers = FakePeers()
    unavailable_reply = store_messages.Failed(
        "unavailable", "the store is unreachable here, too"
    )
    peers.other[store_access.GET] = lambda body: codec.encode(
        unavailable_reply, store_messages.Reply
    )
    store.use_peers(peers)

    def main():
        assert store.wait_until_available(1.0)
        for _ in range(store_access.OUTAGE_FAILURES):
            failure_seconds(timers, lambda: store.get("t//a"))
        started_at = timers.now()
        assert not store.wait_until_available(0.4)
        assert timers.now() - started_at == pytest.approx(0.4)
        failure_seconds(timers, lambda: store.get("t//a"))
        table.recovered = True
        timers.after(0.3, lambda: store.changes("t", 0, 1.0))
        started_at = timers.now()
        assert store.wait_until_available(1.0)
        return timers.now() - started_at

    assert timers.run(main) == pytest.approx(0.3)


def test_the_only_host_that_is_cut_off_does_not_wait(timers):
    # Other hosts can serve its clients, which it used to delay for a second
    # before they turned to another host.
    _, store = silent_store(timers)
    store.use_peers(FakePeers(broken=True))

    def main():
        for _ in range(store_access.OUTAGE_FAILURES):
            failure_seconds(timers, lambda: store.get("t//a"))
        store._peers.available_hosts = list
        started_at = timers.now()
        assert not store.wait_until_available(1.0)
        return timers.now() - started_at

    assert timers.run(main) == 0.0


def test_a_cut_off_peer_does_not_prevent_relaying_by_other_peers(timers):
    # Each of two cut-off hosts took the other's failure for one of all peers,
    # and refused turns for half a second each time.
    _, store = silent_store(timers)
    peers = FakePeers()
    peers.available_hosts = lambda: ["cut", "sound", "cut too"]
    unavailable_reply = store_messages.Failed(
        "unavailable", "the store is unreachable here, too"
    )
    requested_hosts = []

    def request(host, operation, body, seconds):
        requested_hosts.append(host)
        reply = (
            store_messages.Found(()) if host == "sound" else unavailable_reply
        )
        return codec.encode(reply, store_messages.Reply)

    peers.request = request
    store.use_peers(peers)

    def main():
        for _ in range(30):
            assert store.get("t//a") is None
            assert not store.is_unavailable()
            timers.sleep(0.1)

    timers.run(main)
    assert requested_hosts.count("sound") == 30


def test_peers_that_are_all_cut_off_are_not_tried_for_each_call(timers):
    _, store = silent_store(timers)
    peers = FakePeers()
    peers.available_hosts = lambda: [f"h{number}" for number in range(300)]
    unavailable_reply = store_messages.Failed(
        "unavailable", "the store is unreachable here, too"
    )
    requested_hosts = []

    def request(host, operation, body, seconds):
        requested_hosts.append(host)
        return codec.encode(unavailable_reply, store_messages.Reply)

    peers.request = request
    store.use_peers(peers)

    def main():
        for _ in range(100):
            failure_seconds(timers, lambda: store.get("t//a"))
            timers.sleep(0.01)
        assert store.is_unavailable()

    timers.run(main)
    assert len(requested_hosts) < 60


# Waits help those whose client still asks when the store is back; in a longer
# outage it would learn nothing by them.
@pytest.mark.parametrize(
    ("is_first_turn", "outage_seconds", "waits"),
    [
        (False, 0.5, True),
        (False, calls.OUTLASTED_SECONDS, False),
        (True, 0.5, False),
    ],
)
def test_only_running_programs_wait_and_only_in_an_outage_that_clients_outlast(
    is_first_turn, outage_seconds, waits
):
    ctx = calls.CallContext(
        call=gateway_parts.call(),
        route=gateway_parts.route(),
        account="acme",
        service="s",
        engine=None,
        responder=None,
        deadline=4.0,
        is_first_turn=is_first_turn,
    )
    seconds = calls.store_wait_seconds(ctx, outage_seconds)
    assert seconds == (calls.STORE_WAIT_SECONDS if waits else 0.0)


def test_a_store_whose_last_call_failed_counts_as_failing(timers):
    table, store = silent_store(timers)

    def main():
        assert not store.is_failing()
        failure_seconds(timers, lambda: store.get("t//a"))
        timers.sleep(store_access.SUSPECT_SECONDS + 0.01)
        assert not store.is_unavailable()
        assert store.is_failing()
        table.recovered = True
        store.get("t//a")
        return store.is_failing()

    assert timers.run(main) is False
