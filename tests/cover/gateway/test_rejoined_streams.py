"""A stream that is taken up again goes on at the version that began it.

In simulated time and without a network: hosts follow the targets of a service
while versions come and go, hosts are lost one by one or all at once, the store
forgets its history, and the changes reach some hosts late.
"""

import collections
import random

import pytest

from endivepier import errors
from endivepier.gateway.streams import origins as stream_origins
from endivepier.gateway.targets import catalog as catalog_lib
from endivepier.gateway.targets import departures as departures_lib
from endivepier.gateway.targets import route_history
from endivepier.gateway.targets import version_check
from endivepier.standins import clock
from endivepier.standins import table as table_lib
from endivepier.storage import ports
from endivepier.telemetry import metrics as metrics_lib
from tests.common import gateway_parts
from tests.common import gateway_peers

TIMEOUT = 4.0  # of the route; clients take a stream up within it
PERIOD = 2.0 * TIMEOUT
SERVED_AFTER_REMOVAL = 3.0  # how long a target serves without a row


class Decoder:
    """Decodes targets named "VERSION-NUMBER"."""

    declaration_table = "declared"
    target_table = "targets"

    def decode_declaration(self, row):
        return gateway_parts.declaration(1)

    def decode_evacuated(self, key):
        return None

    def decode_target(self, row):
        name = row.key.rpartition("/")[2]
        return gateway_parts.target(
            name,
            software_version=name.partition("-")[0],
            draining=row.value == b"draining",
        )


class Access:
    """One host's way to the store, which may be slow or refuse it."""

    def __init__(self, table, timers):
        self.table = table
        self.timers = timers
        self.late_until = 0.0
        self.refused_until = 0.0

    def _pass(self):
        late = self.late_until - self.timers.now()
        if late > 0:
            self.timers.sleep(late)
        if self.refused_until > self.timers.now():
            raise errors.Unavailable("busy")

    def snapshot(self, table):
        self._pass()
        return self.table.snapshot(table)

    def changes(self, table, after, wait):
        self._pass()
        changes = self.table.changes(table, after, wait)
        self._pass()
        return changes


class Peers(gateway_peers.SimulatedPeers):
    """Peers of which some may be lost."""

    def request(self, host, operation, body, seconds=None):
        if host not in self.hosts:
            raise errors.PeerUnreachable(host, "lost", sent=False)
        return super().request(host, operation, body, seconds)


class Fleet:
    """Hosts that begin streams and take them up again.

    Attributes:
        begun: version and time of each stream, by the id of its call.
        outcomes: how often streams went on ("kept"), were refused or joined
            from two versions.
    """

    def __init__(self, hosts=5, seed=0):
        self.rng = random.Random(seed)
        self.timers = clock.VirtualTimers()
        self.table = table_lib.MemoryTable(self.timers, self.rng)
        self.peers = {}
        self.access = {}
        self.catalogs = {}
        self.origins = {}
        self.begun = {}
        self.outcomes = collections.Counter()
        self.put("declared//config", "targets//v1-0", "targets//v1-1")
        self.hosts = [f"h{number}" for number in range(hosts)]
        for name in self.hosts:
            self.start(name)

    def start(self, name):
        """Starts a host, or replaces its process."""
        if name in self.catalogs:
            self.catalogs[name].stop()
        peers = Peers(name, self.peers, self.timers, 0.003)
        access = self.access[name] = Access(self.table, self.timers)
        catalog = self.catalogs[name] = catalog_lib.Catalog(
            access,
            Decoder(),
            self.timers,
            departures_lib.Departures(self.timers, metrics_lib.Metrics()),
        )
        catalog.start()
        check = version_check.VersionCheck(
            catalog, access, Decoder(), self.timers
        )
        self.origins[name] = stream_origins.StreamOrigins(
            name,
            catalog,
            check,
            route_history.RouteHistory(catalog, self.timers),
            peers,
            self.timers,
        )

    def put(self, *keys, value=b"ready"):
        puts = tuple(ports.Put(key, value) for key in keys)
        self.timers.run(self.table.transact, ports.Transaction((), puts))

    def delete(self, *keys):
        deletes = tuple(ports.Delete(key) for key in keys)
        self.timers.run(self.table.transact, ports.Transaction((), deletes))

    def rows(self):
        return [row.key for row in self.table.peek("targets//")]

    def begin(self, call, host):
        """Begins a stream at a host, at any target that it knows."""
        targets = self.catalogs[host].targets("s")
        if not targets:
            return
        version = self.rng.choice(targets).software_version
        self.begun[call] = (version, self.timers.now())
        origin = stream_origins.Origin("s", version)
        self.timers.run(self.origins[host].record, call, origin, PERIOD)

    def take_up(self, call, host):
        """Takes a stream up again at a host."""
        version, _ = self.begun.pop(call)
        found = self.timers.run(self.origins[host].find, call, "s", PERIOD)
        if found is None:
            self.outcomes["refused"] += 1
        elif found.version == version:
            self.outcomes["kept"] += 1
        else:
            self.outcomes["joined"] += 1

    def take_up_all(self, host):
        for call in list(self.begun):
            self.take_up(call, host)


@pytest.mark.parametrize("old_has_left", [False, True])
def test_no_stream_is_joined_after_all_hosts_were_lost_at_once(old_has_left):
    fleet = Fleet()
    fleet.timers.advance(2 * PERIOD)
    for n in range(20):
        fleet.begin(f"c{n}", fleet.hosts[n % 5])
    fleet.put("targets//v2-0", "targets//v2-1")
    if old_has_left:
        fleet.delete("targets//v1-0", "targets//v1-1")
    for name in fleet.hosts:
        fleet.start(name)
    fleet.timers.advance(1.0)
    fleet.take_up_all("h0")
    assert fleet.outcomes == {"refused": 20}


# It was listed, served and left while the host's feed was silent, and the store
# forgot its history meanwhile.
def test_a_version_that_a_host_never_saw_is_not_taken_for_another():
    fleet = Fleet()
    fleet.timers.advance(2 * PERIOD)
    lagging = fleet.access["h4"]
    lagging.late_until = fleet.timers.now() + 1.9
    fleet.timers.advance(0.1)
    fleet.put("targets//v2-0")
    fleet.timers.advance(0.1)
    for n in range(20):
        fleet.begin(f"c{n}", "h0")
    fleet.delete("targets//v2-0")
    fleet.table.lose_history()
    fleet.timers.advance(2.0)
    for name in fleet.hosts[:4]:
        del fleet.peers[name]
    fleet.take_up_all("h4")
    assert fleet.outcomes["joined"] == 0


# Its feed was silent for a second when a second version was added, and all
# other hosts were lost: it took the only version that it knew for that of the
# streams.
@pytest.mark.parametrize("silence", ["late", "refused"])
def test_a_host_alone_does_not_take_a_stream_for_one_of_its_only_version(
    silence,
):
    fleet = Fleet()
    fleet.timers.advance(2 * PERIOD)
    lagging = fleet.access["h4"]
    lagging.late_until = fleet.timers.now() + 1.0
    fleet.timers.advance(0.1)
    fleet.put("targets//v2-0")
    fleet.timers.advance(0.1)
    for n in range(20):
        fleet.begin(f"c{n}", "h0")
    for name in fleet.hosts[:4]:
        del fleet.peers[name]
    if silence == "refused":
        lagging.late_until = 0.0
        lagging.refused_until = fleet.timers.now() + 5.0
    fleet.take_up_all("h4")
    assert fleet.outcomes["joined"] == 0
    assert sum(fleet.outcomes.values()) == 20


# A second version came and went while one host's feed was silent. Hosts that
# started after that asked this host, which knew one version only.
@pytest.mark.parametrize("restarted", [["h4"], ["h0", "h1", "h2", "h4"]])
def test_a_host_that_lags_vouches_for_no_version(restarted):
    fleet = Fleet()
    fleet.timers.advance(2 * PERIOD)
    fleet.access["h3"].late_until = fleet.timers.now() + 1.9
    fleet.timers.advance(0.1)
    fleet.put("targets//v2-0")
    fleet.timers.advance(0.1)
    for n in range(40):
        fleet.begin(f"c{n}", "h0")
    fleet.delete("targets//v2-0")
    for name in restarted:
        fleet.start(name)
    fleet.timers.advance(0.2)
    for name in {"h0", "h1", "h2"} - set(restarted):
        del fleet.peers[name]
    for n in range(40):
        fleet.take_up(f"c{n}", restarted[n % len(restarted)])
    assert fleet.outcomes["joined"] == 0
    assert fleet.outcomes["kept"] > 0


# It still believed that there was one version, and asked nobody.
def test_a_host_that_learns_of_a_version_late_asks_its_peers():
    fleet = Fleet()
    fleet.timers.advance(2 * PERIOD)
    fleet.access["h4"].late_until = fleet.timers.now() + 1.9
    fleet.timers.advance(0.1)
    fleet.put("targets//v2-0")
    fleet.timers.advance(0.1)
    for n in range(20):
        fleet.begin(f"c{n}", "h0")
    fleet.timers.advance(0.1)
    del fleet.peers["h0"]
    fleet.take_up_all("h4")
    assert fleet.outcomes == {"kept": 20}


@pytest.mark.parametrize("seed", range(40))
def test_no_stream_is_joined_in_random_histories(seed):
    """Releases beside losses, late changes and a store without history."""
    fleet = Fleet(seed=seed)
    rng = fleet.rng
    fleet.timers.advance(2 * PERIOD)
    newest = 1
    for step in range(400):
        fleet.timers.advance(rng.choice((0.02, 0.1, 0.4)))
        now = fleet.timers.now()
        host = rng.choice(fleet.hosts)
        match rng.randrange(40):
            case 0:
                newest += 1
                fleet.put(f"targets//v{newest}-0", f"targets//v{newest}-1")
            case 1 | 2:
                old = [k for k in fleet.rows() if f"v{newest}-" not in k]
                if old:
                    fleet.delete(*old)
            case 3:
                fleet.table.lose_history()
            case 4:
                fleet.access[host].late_until = now + rng.uniform(0.2, 1.5)
            case 5:
                fleet.access[host].refused_until = now + rng.uniform(0.5, 4.0)
            case 6:
                fleet.start(host)
            case 7 if step % 3 == 0:
                for name in fleet.hosts:
                    fleet.start(name)
        fleet.begin(f"c{step}", rng.choice(fleet.hosts))
        for call, (_, begun_at) in list(fleet.begun.items()):
            if now - begun_at > TIMEOUT:
                del fleet.begun[call]
            elif rng.random() < 0.1:
                fleet.take_up(call, rng.choice(fleet.hosts))
    assert fleet.outcomes["joined"] == 0
    assert fleet.outcomes["kept"] > 0


@pytest.mark.parametrize("seed", range(12))
def test_no_stream_is_joined_while_versions_come_back(seed):
    """As above, with three versions that come, go and come back, some at once.

    Hosts start more often, and their feeds are late for longer.
    """
    fleet = Fleet(seed=seed)
    rng = fleet.rng
    fleet.timers.advance(2 * PERIOD)
    for step in range(400):
        fleet.timers.advance(rng.choice((0.02, 0.1, 0.4)))
        now = fleet.timers.now()
        host = rng.choice(fleet.hosts)
        version = f"v{rng.randrange(1, 4)}"
        match rng.randrange(44):
            case 0:
                numbers = rng.choices(range(3), k=2)
                fleet.put(*[f"targets//{version}-{n}" for n in {*numbers}])
            case 1 | 2:
                keys = [k for k in fleet.rows() if f"//{version}-" in k]
                if len(keys) < len(fleet.rows()):
                    fleet.delete(*keys)
            case 3:
                fleet.table.lose_history()
            case 4:
                fleet.access[host].late_until = now + rng.uniform(0.2, 2.5)
            case 5:
                fleet.access[host].refused_until = now + rng.uniform(0.5, 4.0)
            case 6 | 7 | 8:
                fleet.start(host)
            case 9 if step % 3 == 0:
                for name in fleet.hosts:
                    fleet.start(name)
            case 10:
                fleet.put(f"targets//{version}-9")
                fleet.timers.advance(rng.choice((0.1, 0.3)))
                for n in range(5):
                    fleet.begin(f"b{step}-{n}", rng.choice(fleet.hosts))
                fleet.timers.advance(rng.choice((0.02, 0.3)))
                fleet.delete(f"targets//{version}-9")
        fleet.begin(f"c{step}", rng.choice(fleet.hosts))
        now = fleet.timers.now()
        for call, (_, begun_at) in list(fleet.begun.items()):
            if now - begun_at > TIMEOUT:
                del fleet.begun[call]
            elif rng.random() < 0.1:
                fleet.take_up(call, rng.choice(fleet.hosts))
    assert fleet.outcomes["joined"] == 0
    assert fleet.outcomes["kept"] > 0
