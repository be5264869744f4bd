import pytest

from endivepier.gateway import catalog
from endivepier.gateway import follower
from endivepier.gateway import model
from endivepier.standins import clock
from endivepier.standins import table as table_lib
from endivepier.storage import ports
from tests.common import gateway_parts


class Decoder:
    """Reads declarations and targets written as Python literals."""

    declaration_table = "declared"
    target_table = "targets"

    def decode_declaration(self, row):
        revision, prefix = row.value.decode().split()
        routes = [gateway_parts.route(prefix=prefix)]
        accounts = [gateway_parts.account(keys=(f"key-{revision}",))]
        return gateway_parts.declaration(int(revision), routes, accounts)

    def decode_target(self, row):
        if row.value == b"garbage":
            return None
        return gateway_parts.target(
            row.key.rpartition("/")[2], draining=row.value == b"draining"
        )


@pytest.fixture
def timers():
    return clock.VirtualTimers()


@pytest.fixture
def table(timers):
    return table_lib.MemoryTable(timers)


@pytest.fixture
def found(timers, table):
    kept = catalog.Catalog(table, Decoder(), timers)
    kept.start()
    return kept


def put(timers, table, key, value):
    txn = ports.Transaction((), (ports.Put(key, value),))
    timers.run(table.transact, txn)


def names(found):
    return sorted(target.name for target in found.targets("s"))


def test_it_is_complete_once_both_tables_were_read(timers, table, found):
    timers.advance(1.0)
    assert not found.is_complete()
    put(timers, table, "declared//config", b"1 /a/")
    timers.advance(1.0)
    assert found.is_complete()


def test_an_older_declaration_never_replaces_a_newer_one(timers, table, found):
    for value in (b"7 /b/", b"3 /a/"):
        put(timers, table, "declared//config", value)
        timers.advance(0.5)
    assert found.declaration.revision == 7
    assert found.route("a.example", b"/b/1").prefix == "/b/"
    assert found.route("a.example", b"/a/1") is None


def test_a_withdrawn_key_is_forgotten(timers, table, found):
    put(timers, table, "declared//config", b"1 /a/")
    timers.advance(0.5)
    assert found.account("key-1").name == "acme"
    put(timers, table, "declared//config", b"2 /a/")
    timers.advance(0.5)
    assert found.account("key-1") is None


def test_the_longest_prefix_wins_and_the_query_does_not_count(found):
    routes = [gateway_parts.route(prefix=p) for p in ("/a/", "/a/b/", "/")]
    declared = gateway_parts.declaration(1, routes)
    found._apply(declared, 1)
    assert found.route("a.example", b"/a/b/c").prefix == "/a/b/"
    assert found.route("a.example", b"/x?/a/b/").prefix == "/"
    assert found.route("b.example", b"/a/") is None


def test_a_leaving_target_takes_no_new_work(timers, table, found):
    put(timers, table, "targets//t1", b"ready")
    put(timers, table, "targets//t2", b"ready")
    timers.advance(0.5)
    assert names(found) == ["t1", "t2"]
    put(timers, table, "targets//t1", b"draining")
    timers.advance(0.1)
    assert names(found) == ["t2"]


def test_a_row_of_another_writer_leaves_the_others_alone(timers, table, found):
    put(timers, table, "targets//t1", b"ready")
    put(timers, table, "targets//t2", b"garbage")
    timers.advance(0.5)
    assert names(found) == ["t1"]


def test_lost_history_is_made_up_for_by_reading_afresh(timers, table, found):
    put(timers, table, "targets//t1", b"ready")
    timers.advance(0.5)
    table.faults.outage = True
    timers.advance(1.5)
    table.faults.outage = False
    put(timers, table, "targets//t2", b"ready")
    table.lose_history()
    timers.advance(1.5)
    assert names(found) == ["t1", "t2"]


def test_targets_that_lapse_in_an_outage_are_used_a_little_longer(
    timers, table, found
):
    put(timers, table, "targets//t1", b"ready")
    timers.advance(0.5)
    table.faults.outage = True
    timers.advance(4.0)
    table.faults.outage = False
    delete = ports.Transaction((), (ports.Delete("targets//t1"),))
    timers.run(table.transact, delete)
    timers.advance(1.0)
    assert names(found) == ["t1"]
    timers.advance(catalog.LAPSE_GRACE_SECONDS)
    assert names(found) == []


def test_a_target_that_is_removed_in_calm_is_gone_at_once(timers, table, found):
    put(timers, table, "targets//t1", b"ready")
    timers.advance(follower.POLL_SECONDS * 3)
    delete = ports.Transaction((), (ports.Delete("targets//t1"),))
    timers.run(table.transact, delete)
    timers.advance(0.1)
    assert names(found) == []


def test_a_target_that_starts_again_under_its_name_is_another_one():
    first = gateway_parts.target("t1", started=1)
    again = gateway_parts.target("t1", started=2)
    assert first.incarnation != again.incarnation
    assert isinstance(first, model.Target)
