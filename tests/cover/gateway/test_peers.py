"""Questions between entry hosts, on real sockets."""

import random

import gevent
import pytest

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import load_reports
from endivepier.gateway import peers as peers_lib
from endivepier.gateway import rows
from endivepier.internal import codec
from endivepier.standins import table as table_lib
from endivepier.storage import ports


class Host:
    """One host, whose answer may be silent."""

    def __init__(self, name, table):
        self.timers = timers_lib.SystemTimers()
        self.reports = load_reports.LoadReports(self.timers)
        self.running = {}
        self.reports.tell(lambda: self.running)
        self.peers = peers_lib.Peers(
            name,
            peers_lib.Entry("127.0.0.1:0", "a"),
            table,
            table,
            self.timers,
            self.reports,
        )
        self.peers.register("echo", lambda body: body)
        self.peers.register("slow", self.slow)

    def slow(self, body):
        gevent.sleep(0.5)
        return body

    def start(self, table, name):
        """Starts and makes known the port that the system gave."""
        self.peers.start()
        gevent.sleep(0.05)
        address = self.peers.address
        entry = codec.encode(peers_lib.Entry(address, "a"))
        key = rows.single_part_key(rows.HOSTS, name)
        table.transact(ports.Transaction((), (ports.Put(key, entry),)))


@pytest.fixture
def hosts():
    timers = timers_lib.SystemTimers()
    table = table_lib.MemoryTable(timers, random.Random(0))
    found = {name: Host(name, table) for name in ("h0", "h1")}
    for name, host in found.items():
        host.start(table, name)
    with gevent.Timeout(5):
        while not all(host.peers.askable() for host in found.values()):
            gevent.sleep(0.01)
    yield found
    for host in found.values():
        host.peers.stop()


def test_a_question_tells_both_sides_what_is_under_way(hosts):
    hosts["h0"].running = {"t@1": 3}
    hosts["h1"].running = {"t@1": 5}
    hosts["h0"].peers.ask("h1", "echo", b"{}")
    assert hosts["h1"].reports.elsewhere("t@1") == 3
    assert hosts["h0"].reports.elsewhere("t@1") == 5


def test_a_slow_answer_of_a_peer_that_lives_is_waited_for(hosts):
    assert hosts["h0"].peers.ask("h1", "slow", b"x", 2.0) == b"x"


def test_a_question_to_a_frozen_peer_ends_long_before_its_time(hosts):
    # A frozen owner of budgets held each turn for 1.5 s, again and again.
    hosts["h0"].peers.ask("h1", "echo", b"{}")  # leaves a connection
    for question in ("slow", peers_lib.PROBE):
        hosts["h1"].peers.register(question, lambda body: gevent.sleep(30))
    with gevent.Timeout(15), pytest.raises(errors.PeerUnreachable):
        hosts["h0"].peers.ask("h1", "slow", b"x", 60.0)
    assert not hosts["h0"].peers.can_ask("h1")


def test_a_peer_that_asks_is_not_silent_any_longer(hosts):
    answer = hosts["h1"].peers
    answer.register("echo", lambda body: gevent.sleep(30))
    with pytest.raises(errors.PeerUnreachable):
        hosts["h0"].peers.ask("h1", "echo", b"x")
    assert not hosts["h0"].peers.can_ask("h1")
    hosts["h1"].peers.ask("h0", "echo", b"x")
    assert hosts["h0"].peers.can_ask("h1")


def test_a_host_whose_row_is_deleted_late_makes_itself_known_again(hosts):
    # A write without an answer may be performed seconds later, such as the
    # deletion of the row by the process before this one.
    key = rows.single_part_key(rows.HOSTS, "h1")
    table = hosts["h1"].peers._table
    before = table.get(key).version
    table.transact(ports.Transaction((), (ports.Delete(key),)))
    with gevent.Timeout(5):
        while not ((row := table.get(key)) and row.version > before):
            gevent.sleep(0.01)


def test_a_host_that_leaves_still_answers(hosts):
    # What a leaving host granted is settled with it.
    hosts["h1"].peers.drain()
    with gevent.Timeout(5):
        while hosts["h0"].peers.askable():
            gevent.sleep(0.01)
    assert hosts["h0"].peers.ask("h1", "echo", b"x") == b"x"
