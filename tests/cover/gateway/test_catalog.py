import pytest

from endivepier.gateway import model
from endivepier.gateway.store import follower
from endivepier.gateway.targets import catalog as catalog_lib
from endivepier.gateway.targets import departures as departures_lib
from endivepier.standins import clock
from endivepier.standins import table as table_lib
from endivepier.storage import ports
from endivepier.telemetry import metrics as metrics_lib
from tests.common import gateway_parts


class Decoder:
    """Decodes declarations written as "REVISION PREFIX", and targets.

    A target is named by its key. Its value may be "ready", "draining" or
    "garbage", else it is the target's software version.
    """

    declaration_table = "declared"
    target_table = "targets"

    def decode_declaration(self, row):
        revision, prefix = row.value.decode().split()
        routes = [gateway_parts.route(prefix=prefix)]
        accounts = [gateway_parts.account(keys=(f"key-{revision}",))]
        return gateway_parts.declaration(int(revision), routes, accounts)

    def decode_evacuated(self, key):
        prefix = "declared//evacuated/"
        return key.removeprefix(prefix) if key.startswith(prefix) else None

    def decode_target(self, row):
        if row.value == b"garbage":
            return None
        return gateway_parts.target(
            row.key.rpartition("/")[2],
            draining=row.value == b"draining",
            software_version=row.value.decode()
            if row.value.startswith(b"v")
            else "v1",
        )


@pytest.fixture
def timers():
    return clock.VirtualTimers()


@pytest.fixture
def table(timers):
    return table_lib.MemoryTable(timers)


@pytest.fixture
def catalog(timers, table):
    departures = departures_lib.Departures(timers, metrics_lib.Metrics())
    catalog = catalog_lib.Catalog(table, Decoder(), timers, departures)
    catalog.start()
    return catalog


def put(timers, table, key, value):
    txn = ports.Transaction((), (ports.Put(key, value),))
    timers.run(table.transact, txn)


def target_names(catalog):
    return sorted(target.name for target in catalog.targets("s"))


def test_the_catalog_is_complete_once_both_tables_were_read(
    timers, table, catalog
):
    timers.advance(1.0)
    assert not catalog.is_complete()
    put(timers, table, "declared//config", b"1 /a/")
    timers.advance(1.0)
    assert catalog.is_complete()


def test_an_older_declaration_never_replaces_a_newer_one(
    timers, table, catalog
):
    for value in (b"7 /b/", b"3 /a/"):
        put(timers, table, "declared//config", value)
        timers.advance(0.5)
    assert catalog.declaration.revision == 7
    assert catalog.route("a.example", b"/b/1").prefix == "/b/"
    assert catalog.route("a.example", b"/a/1") is None


def test_a_withdrawn_key_is_no_longer_valid(timers, table, catalog):
    put(timers, table, "declared//config", b"1 /a/")
    timers.advance(0.5)
    assert catalog.account("key-1").name == "acme"
    put(timers, table, "declared//config", b"2 /a/")
    timers.advance(0.5)
    assert catalog.account("key-1") is None


def test_the_longest_prefix_wins_and_the_query_is_ignored(catalog):
    routes = [gateway_parts.route(prefix=p) for p in ("/a/", "/a/b/", "/")]
    declaration = gateway_parts.declaration(1, routes)
    catalog._apply(declaration, 1)
    assert catalog.route("a.example", b"/a/b/c").prefix == "/a/b/"
    assert catalog.route("a.example", b"/x?/a/b/").prefix == "/"
    assert catalog.route("b.example", b"/a/") is None


def test_a_draining_target_gets_no_new_calls(timers, table, catalog):
    put(timers, table, "targets//t1", b"ready")
    put(timers, table, "targets//t2", b"ready")
    timers.advance(0.5)
    assert target_names(catalog) == ["t1", "t2"]
    put(timers, table, "targets//t1", b"draining")
    timers.advance(0.1)
    assert target_names(catalog) == ["t2"]


def test_an_undecodable_row_does_not_affect_other_targets(
    timers, table, catalog
):
    put(timers, table, "targets//t1", b"ready")
    put(timers, table, "targets//t2", b"garbage")
    timers.advance(0.5)
    assert target_names(catalog) == ["t1"]


def test_a_new_snapshot_is_read_after_the_store_lost_its_history(
    timers, table, catalog
):
    put(timers, table, "targets//t1", b"ready")
    timers.advance(0.5)
    table.faults.outage = True
    timers.advance(1.5)
    table.faults.outage = False
    put(timers, table, "targets//t2", b"ready")
    table.lose_history()
    timers.advance(1.5)
    assert target_names(catalog) == ["t1", "t2"]


def test_targets_whose_rows_lapse_in_an_outage_are_kept_for_a_grace_period(
    timers, table, catalog
):
    put(timers, table, "targets//t1", b"ready")
    timers.advance(0.5)
    table.faults.outage = True
    timers.advance(4.0)
    table.faults.outage = False
    delete = ports.Transaction((), (ports.Delete("targets//t1"),))
    timers.run(table.transact, delete)
    timers.advance(1.0)
    assert target_names(catalog) == ["t1"]
    timers.advance(catalog_lib.LAPSE_GRACE_SECONDS)
    assert target_names(catalog) == []


def test_a_target_removed_without_an_outage_is_dropped_at_once(
    timers, table, catalog
):
    put(timers, table, "targets//t1", b"ready")
    timers.advance(follower.POLL_SECONDS * 3)
    delete = ports.Transaction((), (ports.Delete("targets//t1"),))
    timers.run(table.transact, delete)
    timers.advance(0.1)
    assert target_names(catalog) == []


def test_a_target_restarted_under_its_name_has_another_incarnation():
    first = gateway_parts.target("t1", started=1)
    restarted = gateway_parts.target("t1", started=2)
    assert first.incarnation != restarted.incarnation
    assert isinstance(first, model.Target)


def test_targets_are_listed_by_software_version(timers, table, catalog):
    for name, version in [("t1", b"v1"), ("t2", b"v2"), ("t3", b"v2")]:
        put(timers, table, f"targets//{name}", version)
    timers.advance(0.1)
    assert [t.name for t in catalog.targets("s", "v1")] == ["t1"]
    assert [t.name for t in catalog.targets("s", "v2")] == ["t2", "t3"]
    assert catalog.targets("s", "v3") == []
    assert catalog.versions("s") == {"v1", "v2"}


def test_the_only_version_is_known_after_the_period(timers, table, catalog):
    put(timers, table, "targets//t1", b"v1")
    timers.advance(4.0)
    assert catalog.only_version("s", 5.0) is None
    timers.advance(2.0)
    assert catalog.only_version("s", 5.0) == "v1"


def test_a_version_counts_until_the_period_after_its_last_target(
    timers, table, catalog
):
    put(timers, table, "targets//t1", b"v1")
    timers.advance(6.0)
    put(timers, table, "targets//t2", b"v2")
    timers.advance(0.1)
    assert catalog.only_version("s", 5.0) is None
    delete = ports.Transaction((), (ports.Delete("targets//t1"),))
    timers.run(table.transact, delete)
    timers.advance(4.0)
    assert catalog.only_version("s", 5.0) is None
    timers.advance(2.0)
    assert catalog.only_version("s", 5.0) == "v2"


def test_a_target_that_restarts_with_another_version_had_both(
    timers, table, catalog
):
    put(timers, table, "targets//t1", b"v1")
    timers.advance(6.0)
    put(timers, table, "targets//t1", b"v2")
    timers.advance(0.1)
    assert catalog.versions("s") == {"v2"}
    assert catalog.only_version("s", 5.0) is None


def test_the_only_version_is_unknown_while_the_store_is_silent(
    timers, table, catalog
):
    put(timers, table, "targets//t1", b"v1")
    timers.advance(6.0)
    table.faults.outage = True
    timers.advance(4.0)
    assert catalog.only_version("s", 5.0) is None
