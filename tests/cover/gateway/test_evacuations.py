"""Data centres that operators have evacuated get no calls."""

import random

import gevent
import pytest

from endivepier import errors
from endivepier.gateway import model
from endivepier.gateway.store import access as store_access
from endivepier.gateway.targets import catalog as catalog_lib
from endivepier.gateway.targets import departures as departures_lib
from endivepier.standins import clock
from endivepier.standins import table as table_lib
from endivepier.storage import ports
from endivepier.telemetry import metrics as metrics_lib
from endivepier_platform import documents
from tests.common import gateway_fleet
from tests.common import gateway_parts
from tests.common import gateway_peers

IN_FORCE_SECONDS = 5.0  # of the users' sheet, with the store at hand
DATA_CENTRES = ("a", "b", "c")
IDEMPOTENT = gateway_parts.route(
    kind=model.RouteKind.IDEMPOTENT, resumable=False
)


class Decoder:
    """Decodes targets named "DATA CENTRE-NUMBER"."""

    declaration_table = "declared"
    target_table = "targets"

    def decode_declaration(self, row):
        return gateway_parts.declaration(1)

    def decode_evacuated(self, key):
        prefix = "declared//evacuated/"
        return key.removeprefix(prefix) if key.startswith(prefix) else None

    def decode_target(self, row):
        name = row.key.rpartition("/")[2]
        return gateway_parts.target(name, data_centre=name[0])


class Access:
    """One host's way to the store, which may turn it away."""

    def __init__(self, table):
        self.table = table
        self.is_turned_away = False

    def __getattr__(self, name):
        method = getattr(self.table, name)

        def call(*args, **kwargs):
            if self.is_turned_away:
                raise errors.Unavailable("busy")
            return method(*args, **kwargs)

        return call


class Fleet:
    """Hosts that follow one store, with a target in each data centre."""

    def __init__(self, hosts=3, seed=0):
        self.timers = clock.VirtualTimers()
        self.rng = random.Random(seed)
        self.table = table_lib.MemoryTable(self.timers, self.rng)
        self.peers = {}
        self.access = {}
        self.catalogs = {}
        self.put("declared//config", *(f"targets//{n}-1" for n in DATA_CENTRES))
        for number in range(hosts):
            self.start(f"h{number}")

    def start(self, name):
        """Starts a host, or replaces its process."""
        if name in self.catalogs:
            self.catalogs[name].stop()
        peers = gateway_peers.SimulatedPeers(
            name, self.peers, self.timers, 0.003
        )
        access = self.access[name] = Access(self.table)
        store = store_access.Store(access, access, self.timers, self.rng)
        store.use_peers(peers)
        departures = departures_lib.Departures(
            self.timers, metrics_lib.Metrics()
        )
        catalog = catalog_lib.Catalog(store, Decoder(), self.timers, departures)
        catalog.start()
        self.catalogs[name] = catalog

    def put(self, *keys):
        puts = tuple(ports.Put(key, b"{}") for key in keys)
        self.timers.run(self.table.transact, ports.Transaction((), puts))

    def delete(self, key):
        txn = ports.Transaction((), (ports.Delete(key),))
        self.timers.run(self.table.transact, txn)

    def evacuate(self, data_centre):
        self.put(f"declared//evacuated/{data_centre}")

    def take_back(self, data_centre):
        self.delete(f"declared//evacuated/{data_centre}")

    def used(self):
        """Returns the data centres that each complete host sends calls to."""
        return {
            name: "".join(sorted(t.data_centre for t in catalog.targets("s")))
            for name, catalog in self.catalogs.items()
            if catalog.is_complete()
        }


def test_an_evacuated_data_centre_gets_no_calls_until_it_is_taken_back():
    fleet = Fleet()
    fleet.timers.advance(0.5)
    assert set(fleet.used().values()) == {"abc"}
    fleet.evacuate("b")
    fleet.timers.advance(0.5)
    assert set(fleet.used().values()) == {"ac"}
    fleet.take_back("b")
    fleet.timers.advance(0.5)
    assert set(fleet.used().values()) == {"abc"}


def test_a_host_that_starts_knows_of_it_before_it_serves():
    fleet = Fleet()
    fleet.evacuate("b")
    fleet.start("h0")
    for _ in range(100):
        fleet.timers.advance(0.01)
        assert "b" not in fleet.used().get("h0", "")
    assert fleet.used()["h0"] == "ac"


def test_a_host_that_the_store_turns_away_learns_of_it_through_peers():
    fleet = Fleet()
    fleet.timers.advance(0.5)
    fleet.access["h0"].is_turned_away = True
    fleet.timers.advance(1.0)
    fleet.evacuate("b")
    fleet.timers.advance(IN_FORCE_SECONDS)
    assert fleet.used()["h0"] == "ac"
    fleet.take_back("b")
    fleet.timers.advance(IN_FORCE_SECONDS)
    assert fleet.used()["h0"] == "abc"


def test_what_was_known_holds_while_the_store_is_away():
    fleet = Fleet()
    fleet.evacuate("b")
    fleet.timers.advance(0.5)
    fleet.table.faults.outage = True
    fleet.timers.advance(30.0)
    assert set(fleet.used().values()) == {"ac"}


@pytest.mark.parametrize("is_evacuated", [True, False])
def test_the_state_is_read_again_after_the_store_lost_its_history(is_evacuated):
    fleet = Fleet()
    if not is_evacuated:
        fleet.evacuate("b")
    fleet.timers.advance(0.5)
    fleet.table.faults.outage = True
    fleet.timers.advance(0.5)
    fleet.table.faults.outage = False
    (fleet.evacuate if is_evacuated else fleet.take_back)("b")
    fleet.table.lose_history()
    fleet.timers.advance(IN_FORCE_SECONDS)
    expected = "ac" if is_evacuated else "abc"
    assert set(fleet.used().values()) == {expected}


def test_an_evacuation_of_an_unknown_data_centre_changes_nothing():
    fleet = Fleet()
    fleet.evacuate("nowhere")
    fleet.timers.advance(0.5)
    assert set(fleet.used().values()) == {"abc"}


def test_a_target_that_appears_in_an_evacuated_data_centre_gets_no_calls():
    fleet = Fleet()
    fleet.evacuate("b")
    fleet.timers.advance(0.5)
    fleet.put("targets//b-2")
    fleet.timers.advance(0.5)
    assert set(fleet.used().values()) == {"ac"}


@pytest.mark.parametrize("seed", range(30))
def test_evacuations_are_in_force_in_time_in_random_histories(seed):
    """Operators, restarts and faults of the store in any order.

    A host is judged if the store served it and kept its history for as long
    as an evacuation may take to be in force.
    """
    fleet = Fleet(hosts=4, seed=seed)
    rng = fleet.rng
    evacuated = {}  # by data centre, since when
    calm_since = dict.fromkeys(fleet.catalogs, 0.0)
    away_until = dict.fromkeys(fleet.catalogs, 0.0)
    for _ in range(300):
        fleet.timers.advance(rng.choice((0.05, 0.3, 1.0)))
        now = fleet.timers.now()
        host = rng.choice(list(fleet.catalogs))
        match rng.randrange(8):
            case 0:
                name = rng.choice(DATA_CENTRES)
                if name in evacuated:
                    fleet.take_back(name)
                    del evacuated[name]
                else:
                    fleet.evacuate(name)
                    evacuated[name] = fleet.timers.now()
            case 1:
                fleet.start(host)
                calm_since[host] = now
            case 2:
                fleet.access[host].is_turned_away = True
                away_until[host] = now + rng.uniform(0.5, 6.0)
            case 3:
                fleet.table.lose_history()
        for name, until in away_until.items():
            if until and now >= until:
                fleet.access[name].is_turned_away = False
                away_until[name] = 0.0
                calm_since[name] = now
        for name, used in fleet.used().items():
            for data_centre, since in evacuated.items():
                waited = now - max(since, calm_since[name])
                if not away_until[name] and waited > IN_FORCE_SECONDS:
                    assert data_centre not in used, (name, now)


def test_calls_are_refused_as_not_run_if_all_data_centres_are_evacuated():
    fleet = gateway_fleet.Fleet([IDEMPOTENT])
    try:
        fleet.evacuate("a")
        with gevent.Timeout(IN_FORCE_SECONDS):
            while fleet.gateway.catalog.targets("s"):
                gevent.sleep(0.01)
        response = fleet.request()
        assert response.status == 503
        assert b"retry-after" in response.head
        assert b"evacuated" in response.body
        assert fleet.received() == []
    finally:
        fleet.stop()


def test_a_stream_under_way_ends_at_its_target():
    fleet = gateway_fleet.Fleet([gateway_parts.route()], targets=1)
    try:
        target = fleet.targets[0]
        target.handler = lambda request, res: target.stream(
            request, res, pause=0.1
        )
        task = gevent.spawn(fleet.request)
        gevent.sleep(0.15)
        fleet.evacuate("a")
        response = task.get(timeout=5)
        assert response.complete
        assert response.body == b"".join(gateway_fleet.EVENTS)
    finally:
        fleet.stop()


@pytest.mark.parametrize(
    ("key", "data_centre"),
    [
        ("op//evacuate/dakar-plateau", "dakar-plateau"),
        ("op//evacuate/", None),
        ("op//config", None),
        ("op//evacuated", None),
    ],
)
def test_the_operators_row_names_the_data_centre(key, data_centre):
    assert documents.Decoder().decode_evacuated(key) == data_centre


def test_a_row_that_evacuates_is_no_declaration():
    row = ports.Row("op//evacuate/dakar-plateau", b"\xff", 1)
    assert documents.Decoder().decode_declaration(row) is None
