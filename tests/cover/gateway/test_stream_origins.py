"""Finding where a stream began, over several entry hosts."""

import collections

from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.streams import origins as stream_origins
from endivepier.standins import clock
from tests.common import gateway_peers

PERIOD = 8.0
V1 = stream_origins.Origin("s", "v1")
V2 = stream_origins.Origin("s", "v2")


class FakeCatalog:
    """What one host knows of the software versions of service "s".

    Attributes:
        listed: versions of the listed targets.
        only: the only version of the last seconds, or None.
        in_store: versions of the targets in the store.
        read_seconds: how long a read from the store takes.
        routes_kept: whether routes lead where they led.
    """

    def __init__(self, timers):
        self.timers = timers
        self.listed = {"v1"}
        self.only = "v1"
        self.in_store = {"v1"}
        self.read_seconds = 0.0
        self.routes_kept = True

    def versions(self, service):
        return set(self.listed)

    def recent_versions(self, service, seconds):
        return set(self.listed)

    def only_version(self, service, seconds):
        return self.only

    def covers(self, service, seconds):
        """Returns whether no route led elsewhere."""
        return self.routes_kept

    def has_only(self, service, version):
        """Returns whether the store has no other version."""
        self.timers.sleep(self.read_seconds)
        return self.in_store == {version}


class CountingPeers(gateway_peers.SimulatedPeers):
    """Peers that count the requests by operation."""

    def __init__(self, *args):
        super().__init__(*args)
        self.requests = collections.Counter()

    def request(self, host, operation, body, seconds=None):
        self.requests[operation] += 1
        return super().request(host, operation, body, seconds)


class Hosts:
    """Several entry hosts that exchange the origins of streams."""

    def __init__(self, count=8):
        self.timers = clock.VirtualTimers()
        self.peers = {}
        self.catalogs = {}
        self.origins = {}
        for name in [f"h{number}" for number in range(count)]:
            CountingPeers(name, self.peers, self.timers, 0.002)
            self.start(name)

    def start(self, name):
        """Starts or restarts a host; a restart loses its memory."""
        self.catalogs[name] = FakeCatalog(self.timers)
        self.origins[name] = stream_origins.StreamOrigins(
            name,
            self.catalogs[name],
            self.catalogs[name],
            self.catalogs[name],
            self.peers[name],
            self.timers,
        )

    def mix_versions(self):
        for catalog in self.catalogs.values():
            catalog.listed = {"v1", "v2"}
            catalog.only = None

    def record(self, name, call, origin):
        self.timers.run(self.origins[name].record, call, origin, PERIOD)

    def find(self, name, call):
        return self.timers.run(self.origins[name].find, call, "s", PERIOD)

    def sent(self):
        """Returns the number of messages with origins."""
        return sum(
            peers.requests[stream_origins.RECORD]
            for peers in self.peers.values()
        )


def test_each_host_finds_the_origin_of_a_stream_whose_host_is_lost():
    hosts = Hosts()
    hosts.mix_versions()
    streams = {f"c{n}": (V1, V2)[n % 2] for n in range(20)}
    for call, origin in streams.items():
        hosts.record("h0", call, origin)
    hosts.timers.advance(0.1)
    hosts.peers["h0"].cut = True
    for call, origin in streams.items():
        for name in ("h1", "h4", "h7"):
            assert hosts.find(name, call) == origin


def test_most_origins_are_found_after_three_of_eight_hosts_restart_at_once():
    hosts = Hosts()
    hosts.mix_versions()
    for n in range(200):
        hosts.record("h0", f"c{n}", V2)
    hosts.timers.advance(0.1)
    for name in ("h0", "h1", "h2"):
        hosts.start(name)
    hosts.mix_versions()
    found = [hosts.find("h5", f"c{n}") for n in range(200)]
    assert set(found) <= {V2, None}
    # A stream is lost if both of its replicas restarted: 1 of 21.
    assert found.count(V2) >= 170


def test_nothing_is_sent_while_the_service_has_one_version():
    hosts = Hosts()
    for n in range(20):
        hosts.record("h0", f"c{n}", V1)
    hosts.timers.advance(1.0)
    assert hosts.sent() == 0
    assert hosts.find("h1", "c0") == V1


def test_origins_from_before_a_second_version_are_sent_when_it_appears():
    hosts = Hosts()
    for n in range(20):
        hosts.record("h0", f"c{n}", V1)
    hosts.mix_versions()
    hosts.record("h0", "later", V2)
    hosts.timers.advance(0.1)
    hosts.peers["h0"].cut = True
    assert {hosts.find("h1", f"c{n}") for n in range(20)} == {V1}


def test_origins_that_no_client_can_use_any_more_are_not_sent():
    hosts = Hosts()
    hosts.record("h0", "old", V1)
    hosts.timers.advance(PERIOD + 1)
    hosts.mix_versions()
    hosts.record("h0", "new", V2)
    hosts.timers.advance(0.1)
    hosts.peers["h0"].cut = True
    assert hosts.find("h1", "new") == V2
    assert hosts.find("h1", "old") is None


def test_a_burst_of_streams_is_sent_in_few_messages():
    hosts = Hosts(count=3)
    hosts.mix_versions()

    def record_all():
        for n in range(500):
            hosts.origins["h0"].record(f"c{n}", V1, PERIOD)

    hosts.timers.run(record_all)
    hosts.timers.advance(0.1)
    assert hosts.sent() <= 4
    assert hosts.find("h2", "c499") == V1


def test_an_unknown_stream_has_no_origin_among_two_versions():
    hosts = Hosts()
    hosts.mix_versions()
    assert hosts.find("h0", "unknown") is None


def test_a_host_that_has_just_started_learns_the_only_version_from_peers():
    hosts = Hosts()
    hosts.catalogs["h0"].only = None
    assert hosts.find("h0", "unknown") == V1


# A version came and went which the peers had not seen yet.
def test_a_peer_does_not_name_a_version_that_its_store_contradicts():
    hosts = Hosts()
    hosts.catalogs["h0"].only = None
    for name in list(hosts.catalogs)[1:]:
        hosts.catalogs[name].in_store = {"v1", "v2"}
    assert hosts.find("h0", "unknown") is None


# Hosts whose reads from the store are slow must not count as unreachable.
def test_a_peer_replies_in_time_though_the_store_does_not():
    hosts = Hosts()
    hosts.catalogs["h0"].only = None
    for name in list(hosts.catalogs)[1:]:
        hosts.catalogs[name].read_seconds = 1.0
    began = hosts.timers.now()
    assert hosts.find("h0", "unknown") is None
    assert hosts.timers.now() - began < peers_lib.REQUEST_TIMEOUT_SECONDS


# A peer whose list of targets lags says that there is one version only.
def test_a_peer_that_knows_one_version_is_not_believed_over_the_own_list():
    hosts = Hosts()
    hosts.catalogs["h0"].only = None
    hosts.catalogs["h0"].listed = {"v1", "v2"}
    assert hosts.find("h0", "unknown") is None


# All hosts that knew the second version were lost.
def test_the_only_version_is_not_taken_if_the_store_has_another():
    hosts = Hosts(count=2)
    hosts.peers["h0"].cut = True
    assert hosts.find("h0", "unknown") == V1
    hosts.catalogs["h0"].in_store = {"v1", "v2"}
    assert hosts.find("h0", "unknown") is None


def test_a_host_without_peers_finds_no_origin():
    hosts = Hosts(count=2)
    hosts.mix_versions()
    hosts.peers["h0"].cut = True
    assert hosts.find("h0", "unknown") is None
