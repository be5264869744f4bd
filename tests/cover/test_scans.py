"""Callers of `Table.scan`, with pages that end by their bytes."""

import pytest

from endivepier.configuration import snapshots
from endivepier.configuration import state
from endivepier.effects import claims
from endivepier.effects import resolution
from endivepier.effects import retention
from endivepier.gateway.budgets import recorded_programs
from endivepier.gateway.store import rows
from endivepier.internal import codec
from endivepier.standins import clock
from endivepier.standins import objects
from endivepier.standins import table as table_lib
from endivepier.storage import ports
from endivepier.storage import scans
from endivepier.telemetry import metrics as metrics_lib
from tests.common import gateway_parts
from tests.cover.gateway import test_shares


@pytest.fixture
def timers():
    return clock.VirtualTimers()


@pytest.fixture
def table(timers):
    """A table whose pages hold one row each."""
    table = table_lib.MemoryTable(timers)
    table.page_bytes = 1
    return table


def put(timers, table, values):
    puts = tuple(ports.Put(key, value) for key, value in values.items())
    timers.run(table.transact, ports.Transaction((), puts))


def test_all_rows_are_read_page_by_page(timers, table):
    put(timers, table, {f"t//{n}": b"xx" for n in range(5)})
    found = timers.run(scans.read_all, table, "t//")
    assert [row.key for row in found] == [f"t//{n}" for n in range(5)]
    assert table.reads == 5


def test_a_prefix_without_rows_takes_one_read(timers, table):
    assert timers.run(scans.read_all, table, "t//") == []
    assert table.reads == 1


# A host that follows a lost one would have opened programs with a new budget
# although their rows were on a later page.
def test_programs_on_later_pages_have_a_row(timers, table):
    first, *others = [f"p{n}" for n in range(300)]
    part = rows.key(rows.BUDGETS, first).split("/")[1]
    same_part = [
        name
        for name in others
        if rows.key(rows.BUDGETS, name).split("/")[1] == part
    ]
    names = [first, *same_part]
    put(timers, table, {rows.key(rows.BUDGETS, n): b"{}" for n in names})
    recorded = recorded_programs.RecordedPrograms(table, timers)
    recorded.start()
    timers.advance(10.0)
    assert len(names) > 2
    assert not any(recorded.rules_out(name) for name in names)
    assert recorded.rules_out("other")


# A host whose accounts are on a later page would have taken their rows for
# missing, and could not have renewed its shares.
def test_shares_on_later_pages_are_renewed():
    accounts = [gateway_parts.account(f"a{n}") for n in range(30)]
    fleet = test_shares.Fleet(2, accounts)
    fleet.table.page_bytes = 1

    def main():
        fleet.timers.sleep(20.0)
        return [
            fleet.renewals[name].local.find(account.name).fraction
            for name in fleet.hosts
            for account in accounts
        ]

    fractions = fleet.timers.run(main)
    assert sum(fractions) == pytest.approx(len(accounts))


def put_open_claims(timers, table, count):
    for number in range(count):
        claim = claims.ClaimRow(
            claims.ClaimState.DISPATCHED, "acme", f"k{number}", "", "", "", 0, 0
        )
        key = f"{claims.PREFIX}acme/k{number}"
        put(timers, table, {key: codec.encode(claim)})


# The operators' list would have ended with the first page.
def test_open_claims_on_later_pages_are_listed(timers, table):
    put_open_claims(timers, table, 5)
    operators = resolution.Resolver(table, None, timers)
    found = []
    after = ""
    while True:
        page = timers.run(operators.open_claims, "acme", after)
        found += [claim.idempotency_key for claim in page.claims]
        after = page.after
        if not after:
            break
    assert found == [f"k{n}" for n in range(5)]


# The sweeper would have begun again after the first page for ever.
def test_open_claims_on_later_pages_are_counted(timers, table):
    put_open_claims(timers, table, 5)
    metrics = metrics_lib.Metrics()
    sweeper = retention.Sweeper(table, timers, metrics, lambda: True)
    for _ in range(5):
        timers.run(sweeper.step)
    assert "open_claims 5" in metrics.render().decode()


def test_the_newest_snapshot_is_found_on_a_later_page(timers, table):
    store = snapshots.Snapshots(table, objects.MemoryObjects(timers))
    for revision in (500, 1000, 1500):
        timers.run(store.write, state.State(revision=revision))
    assert timers.run(store.newest_revision, 1500) == 1500
    assert timers.run(store.newest_revision, 1200) == 1000
