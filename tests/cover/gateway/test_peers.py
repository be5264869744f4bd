"""Requests between entry hosts, on real sockets."""

import json
import random
import time

import gevent
from gevent import socket
import pytest

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.choice import homes
from endivepier.gateway.choice import load_reports
from endivepier.gateway.hosts import introductions
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.hosts import rows as host_rows
from endivepier.gateway.store import rows
from endivepier.gateway.suspects import suspects
from endivepier.gateway.targets import departures as departures_lib
from endivepier.gateway.targets import limit_reports
from endivepier.gateway.targets import rates as target_rates
from endivepier.http1 import capacity
from endivepier.internal import codec
from endivepier.standins import table as table_lib
from endivepier.storage import ports
from endivepier.telemetry import metrics as metrics_lib
from tests.common import closing_server
from tests.common import crowd

WATCHDOG_SECONDS = 60.0


class Host:
    """One host, which serves an immediate and a slow operation."""

    def __init__(self, name, table):
        self.table = table
        self.timers = timers_lib.SystemTimers()
        self.departures = departures_lib.Departures(
            self.timers, metrics_lib.Metrics()
        )
        self.reports = load_reports.LoadReports(self.timers)
        self.rates = target_rates.TargetRates(
            self.timers, metrics_lib.Metrics()
        )
        self.limits = limit_reports.LimitReports(self.timers)
        self.suspects = suspects.Suspects(self.timers, metrics_lib.Metrics())
        self.capacity = capacity.Capacity()
        self.running = {}
        self.reports.set_source(lambda: self.running)
        self.peers = peers_lib.Peers(
            name,
            host_rows.HostRows(
                name,
                host_rows.Entry("127.0.0.1:0", "a"),
                table,
                table,
                self.timers,
            ),
            self.timers,
            self.reports,
            self.departures,
            self.limits,
            self.rates,
            self.suspects,
            homes.Homes("a", {}),
            self.capacity,
        )
        self.peers.register("echo", lambda body: body)
        self.peers.register("slow", self.slow)

    def slow(self, body):
        gevent.sleep(0.5)
        return body

    def start(self, table, name):
        """Starts, and writes a row with the port that the system assigned."""
        self.peers.start()
        gevent.sleep(0.05)
        address = self.peers.address
        entry = codec.encode(host_rows.Entry(address, "a"))
        key = rows.single_part_key(rows.HOSTS, name)
        table.transact(ports.Transaction((), (ports.Put(key, entry),)))


@pytest.fixture
def hosts():
    timers = timers_lib.SystemTimers()
    table = table_lib.MemoryTable(timers, random.Random(0))
    by_name = {name: Host(name, table) for name in ("h0", "h1")}
    for name, host in by_name.items():
        host.start(table, name)
    with gevent.Timeout(5):
        while not all(
            host.peers.available_hosts() for host in by_name.values()
        ):
            gevent.sleep(0.01)
    yield by_name
    for host in by_name.values():
        host.peers.stop()


def test_a_request_carries_load_reports_in_both_directions(hosts):
    hosts["h0"].running = {"t@1": 3}
    hosts["h1"].running = {"t@1": 5}
    hosts["h0"].peers.request("h1", "echo", b"{}")
    assert hosts["h1"].reports.calls_from_others("t@1") == 3
    assert hosts["h0"].reports.calls_from_others("t@1") == 5


def test_a_request_carries_departures_in_both_directions(hosts):
    hosts["h0"].departures.add("t@1", source="response")
    hosts["h1"].departures.add("u@1", source="response")
    hosts["h0"].peers.request("h1", "echo", b"{}")
    for host in hosts.values():
        assert "t@1" in host.departures
        assert "u@1" in host.departures
        assert "v@1" not in host.departures


# Hosts send the length of each response: one without it is not theirs, and its
# end may be missing.
def test_a_response_without_a_length_is_not_used(hosts):
    server = closing_server.Server(closing_server.HEAD + b"{}")
    peers = hosts["h0"].peers
    peers.rows.entries["h1"] = host_rows.Entry(server.address, "a")
    with pytest.raises(errors.PeerUnreachable) as caught:
        peers.request("h1", "echo", b"{}")
    server.stop()
    assert caught.value.sent


def test_a_slow_response_of_a_live_peer_is_awaited(hosts):
    assert hosts["h0"].peers.request("h1", "slow", b"x", 2.0) == b"x"


def test_a_request_to_a_frozen_peer_fails_long_before_its_timeout(hosts):
    # A frozen owner of budgets delayed each turn by the full timeout of 1.5 s.
    hosts["h0"].peers.request("h1", "echo", b"{}")  # leaves an idle connection
    for operation in ("slow", peers_lib.PROBE):
        hosts["h1"].peers.register(operation, lambda body: gevent.sleep(30))
    with gevent.Timeout(15), pytest.raises(errors.PeerUnreachable):
        hosts["h0"].peers.request("h1", "slow", b"x", 60.0)
    assert not hosts["h0"].peers.is_available("h1")


def test_a_request_from_an_avoided_peer_makes_it_available_again(hosts):
    avoided = hosts["h1"].peers
    avoided.register("echo", lambda body: gevent.sleep(30))
    with pytest.raises(errors.PeerUnreachable):
        hosts["h0"].peers.request("h1", "echo", b"x")
    assert not hosts["h0"].peers.is_available("h1")
    hosts["h1"].peers.request("h0", "echo", b"x")
    assert hosts["h0"].peers.is_available("h1")


def test_a_host_whose_row_is_deleted_late_writes_it_again(hosts):
    # A write without a response may take effect seconds later, such as the
    # previous process's deletion of the row.
    key = rows.single_part_key(rows.HOSTS, "h1")
    table = hosts["h1"].table
    version_before = table.get(key).version
    table.transact(ports.Transaction((), (ports.Delete(key),)))
    with gevent.Timeout(5):
        while not ((row := table.get(key)) and row.version > version_before):
            gevent.sleep(0.01)


def test_a_draining_host_still_responds(hosts):
    # Other hosts settle budget reservations with the host that granted them.
    hosts["h1"].peers.drain()
    with gevent.Timeout(5):
        while hosts["h0"].peers.available_hosts():
            gevent.sleep(0.01)
    assert hosts["h0"].peers.request("h1", "echo", b"x") == b"x"


# During a rolling update a host of the former release lacks new operations. It
# was avoided for every operation then, although it had responded.
def test_a_peer_that_does_not_know_an_operation_is_not_avoided(hosts):
    with pytest.raises(errors.PeerUnreachable):
        hosts["h0"].peers.request("h1", "of-a-later-release", b"{}")
    assert hosts["h0"].peers.is_available("h1")


# Hosts that know much at once exceeded the size of headers, and refused each
# other's messages.
def test_all_news_together_fit_into_the_headers_of_a_message(hosts):
    one, other = hosts["h0"], hosts["h1"]
    now = one.timers.now()
    load = {f"i-{n:010x}@1787173836376": 24 for n in range(260)}
    assert len(json.dumps(load, separators=(",", ":"))) > 8000
    one.running = load
    for n in range(500):
        name = f"i-{n:010x}@1787173836376"
        one.departures.add(name, source="response")
        one.limits.add(name, 4.0)
        one.rates.note(name, 4.5, now, "response")
        run = suspects.Run(now - 0.2, now)
        one.suspects.add_end(f"{n:020x}", name, run, suspects.CALL)
        for end in range(3):
            run = suspects.Run(now + 10 * end, now + 10 * end + 1)
            one.suspects.add_end(
                f"{n:019x}r", f"{name}{end}", run, suspects.CALL
            )
    # The size counts here: a busy machine may need more than the usual timeout.
    response = one.peers.request("h1", "echo", b"x" * 10, WATCHDOG_SECONDS)
    assert response == b"x" * 10
    assert other.rates.rate("i-00000001f3@1787173836376") == 4.5


def test_a_host_that_introduces_itself_is_known_before_its_row_is_read(hosts):
    newcomer, other = hosts["h0"].peers, hosts["h1"].peers
    del other.rows.listed["h0"]
    assert not newcomer.introductions.is_known_to("h1")
    # The openers repeat it, as a reply may miss its timeout beside load.
    deadline = time.monotonic() + 30.0
    while not newcomer.introductions.is_known_to("h1"):
        assert time.monotonic() < deadline
        newcomer.introductions.introduce()
        gevent.sleep(0.1)
    assert other.rows.unlisted(60.0) == {"h0"}


# Otherwise the hosts would count for a while as if it had joined.
def test_a_host_that_leaves_is_not_taken_for_one_that_joins(hosts):
    leaving, other = hosts["h0"].peers, hosts["h1"].peers
    leaving.drain()
    with gevent.Timeout(5):
        while "h0" in other.rows.listed:
            gevent.sleep(0.01)
    leaving.request("h1", "echo", b"x")
    assert other.rows.unlisted(60.0) == set()
    del other.rows.departed["h0"]
    leaving.request("h1", "echo", b"x")
    assert other.rows.unlisted(60.0) == {"h0"}


# A former build responds with status 404.
def test_a_host_of_a_former_build_does_not_count_as_knowing_others(hosts):
    newcomer, other = hosts["h0"].peers, hosts["h1"].peers
    del other._handlers[introductions.INTRODUCE]
    for _ in range(2):
        newcomer.introductions.introduce()
        gevent.sleep(0.1)
    assert not newcomer.introductions.is_known_to("h1")
    assert newcomer.is_available("h1")
    assert newcomer.introductions._can_not_tell == {"h1"}


def test_an_unlisted_host_counts_until_rows_are_read_and_time_has_passed(hosts):
    rows_read = hosts["h0"].peers.rows
    rows_read.hear("new")
    assert rows_read.unlisted(60.0) == {"new"}
    rows_read._follower.last_contact = rows_read._timers.now() - 1.0
    assert rows_read.unlisted(0.0) == {"new"}
    rows_read._follower.last_contact = rows_read._timers.now()
    assert rows_read.unlisted(0.0) == set()


def test_unlisted_hosts_of_any_name_are_remembered_up_to_a_number(hosts):
    known = hosts["h0"].peers.rows
    for number in range(host_rows.MAX_HEARD + 10):
        known.hear(f"any-{number}")
    assert len(known.heard) == host_rows.MAX_HEARD
    assert "any-0" not in known.heard
    assert f"any-{host_rows.MAX_HEARD + 9}" in known.heard


def test_a_host_with_a_name_that_no_row_can_have_is_refused(hosts):
    peers = hosts["h0"].peers
    peers._host = "x" * (peers_lib.MAX_HOST_NAME + 1)
    with pytest.raises(errors.PeerUnreachable, match="400"):
        peers.request("h1", "echo", b"{}")
    assert not hosts["h1"].peers.rows.heard


# Whoever reaches the port took the connections and the memory of other hosts.
def test_a_crowd_at_the_port_leaves_listed_hosts_their_share(hosts):
    host = hosts["h1"]
    host.capacity.strangers.max_connections = 10
    ip, _, port = host.peers.address.rpartition(":")
    socks = []
    for _ in range(40):
        sock = socket.create_connection((ip, int(port)), timeout=5)
        sock.sendall(crowd.head(16000)[:-2])
        socks.append(sock)
    hosts["h0"].peers.request("h1", "echo", b"{}", 5.0)
    assert len(host.capacity.strangers) <= 10
    assert len(host.capacity.peers) == 1
    for sock in socks:
        sock.close()
    hosts["h0"].peers.request("h1", "echo", b"{}", 5.0)
    assert len(host.capacity.peers) == 1
