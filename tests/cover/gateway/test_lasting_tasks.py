"""Tasks that run as long as their process, and outlive any exception."""

import io
import json

import gevent
import pytest

from endivepier.gateway.hosts import rows as host_rows
from endivepier.gateway.store import follower as follower_lib
from endivepier.gateway.store import rows
from endivepier.gateway.targets import catalog as catalog_lib
from endivepier.gateway.targets import decoding
from endivepier.gateway.targets import departures as departures_lib
from endivepier.internal import codec
from endivepier.standins import clock
from endivepier.standins import table as table_lib
from endivepier.storage import ports
from endivepier.telemetry import logs
from endivepier.telemetry import metrics as metrics_lib
from tests.common import gateway_parts
from tests.cover.gateway import test_shares


class Decoder:
    """Decodes targets by their names, and fails on rows called "x"."""

    declaration_table = "declared"
    target_table = "targets"

    def decode_declaration(self, row):
        if row.value == b"bad":
            raise OverflowError("int too large to convert to float")
        routes = [gateway_parts.route(prefix=row.value.decode())]
        return gateway_parts.declaration(row.version, routes)

    def decode_evacuated(self, key):
        return None

    def decode_target(self, row):
        name = row.key.rpartition("/")[2]
        if name == "x":
            raise OverflowError("int too large to convert to float")
        return gateway_parts.target(name)


@pytest.fixture
def timers():
    return clock.VirtualTimers()


@pytest.fixture
def table(timers):
    return table_lib.MemoryTable(timers)


def make_catalog(timers, table):
    departures = departures_lib.Departures(timers, metrics_lib.Metrics())
    decoder = decoding.CheckedDecoder(Decoder())
    return catalog_lib.Catalog(table, decoder, timers, departures)


def put(timers, table, *keys, value=b""):
    puts = tuple(ports.Put(key, value) for key in keys)
    timers.run(table.transact, ports.Transaction((), puts))
    timers.advance(0.5)


def target_names(catalog):
    return sorted(target.name for target in catalog.targets("s"))


# One row ended the task that follows the table, so that no host read further
# and none that started got ready (RECOVER).
@pytest.mark.parametrize("starts_after", [False, True])
def test_a_row_that_can_not_be_decoded_hides_no_other(
    timers, table, starts_after
):
    catalog = make_catalog(timers, table)
    if not starts_after:
        catalog.start()
    put(timers, table, "targets//a", "targets//x", "targets//z")
    if starts_after:
        catalog.start()
        timers.advance(0.5)
    put(timers, table, "targets//later")
    assert target_names(catalog) == ["a", "later", "z"]


def test_a_declaration_that_can_not_be_decoded_leaves_the_one_before(
    timers, table
):
    catalog = make_catalog(timers, table)
    catalog.start()
    put(timers, table, "declared//config", value=b"/a/")
    put(timers, table, "declared//config", value=b"bad")
    assert catalog.route("a.example", b"/a/1") is not None
    put(timers, table, "declared//config", value=b"/b/")
    assert catalog.route("a.example", b"/b/1") is not None


# A part of the process that fails on a target may not know it at all.
@pytest.mark.parametrize("starts_after", [False, True])
def test_a_target_that_a_listener_fails_on_gets_no_calls(
    timers, table, starts_after
):
    catalog = make_catalog(timers, table)

    def fail_on_b(target, has_appeared):
        if target.name == "b":
            raise OverflowError("int too large to convert to float")

    catalog.subscribe_rows(fail_on_b)
    if not starts_after:
        catalog.start()
    put(timers, table, "targets//a", "targets//b", "targets//c")
    if starts_after:
        catalog.start()
        timers.advance(0.5)
    put(timers, table, "targets//later")
    assert target_names(catalog) == ["a", "c", "later"]


def test_a_listener_that_fails_on_a_removal_does_not_stop_the_others(
    timers, table
):
    catalog = make_catalog(timers, table)
    removed = []

    def fail(target):
        raise OverflowError("int too large to convert to float")

    catalog.subscribe_removed(fail)
    catalog.subscribe_removed(lambda target: removed.append(target.name))
    catalog.start()
    put(timers, table, "targets//a")
    delete = ports.Transaction((), (ports.Delete("targets//a"),))
    timers.run(table.transact, delete)
    put(timers, table, "targets//later")
    assert target_names(catalog) == ["later"]
    assert removed == ["a"]


@pytest.mark.parametrize("fails", ["snapshot", "changes"])
def test_a_follower_goes_on_after_an_exception(timers, table, fails):
    failures = ["once"]
    seen = []

    def apply(kind, changes):
        if kind == fails and failures:
            failures.pop()
            raise OverflowError("int too large to convert to float")
        seen.extend(row.key for row in changes.rows)

    follower = follower_lib.Follower(
        table,
        timers,
        "targets",
        lambda changes: apply("snapshot", changes),
        lambda changes: apply("changes", changes),
    )
    follower.start()
    put(timers, table, "targets//a")
    timers.advance(follower_lib.FAILURE_PAUSE_SECONDS + 1.0)
    put(timers, table, "targets//b")
    assert not failures
    assert set(seen) == {"targets//a", "targets//b"}


def test_an_unreadable_row_of_a_host_hides_no_other_host(timers, table):
    entry = codec.encode(host_rows.Entry("127.0.0.1:7001", "a", since=1.0))
    own = host_rows.Entry("127.0.0.1:7000", "a")
    known = host_rows.HostRows("h0", own, table, table, timers)
    put(timers, table, "hosts//h1", value=entry)
    put(timers, table, "hosts//x", value=b"{")
    known.start()
    timers.advance(1.0)
    put(timers, table, "hosts//x2", value=b'{"address": 5}')
    put(timers, table, "hosts//h2", value=entry)
    timers.advance(1.0)
    assert set(known.listed) == {"h0", "h1", "h2"}
    assert known.is_settled


def test_a_host_whose_own_row_is_unreadable_announces_itself(timers, table):
    put(timers, table, "hosts//h0", value=b"[]")
    own = host_rows.Entry("127.0.0.1:7000", "a")
    known = host_rows.HostRows("h0", own, table, table, timers)
    known.start()
    timers.advance(1.0)
    assert known.is_settled
    # The process before may have been lost.
    assert known.own.losses == 1


def test_an_unreadable_row_of_an_account_takes_no_rate_from_others():
    accounts = [gateway_parts.account(name, keys=(name,)) for name in "abc"]
    fleet = test_shares.Fleet(1, accounts)

    def main():
        bad = ports.Put(rows.single_part_key(rows.SHARES, "b"), b'{"holders"')
        fleet.table.transact(ports.Transaction((), (bad,)))
        fleet.timers.sleep(3.0)
        assert fleet.renewals["h0"].ready
        for name in "ac":
            assert fleet.request("h0", name) is None

    fleet.timers.run(main)


def test_renewals_go_on_after_an_exception(monkeypatch):
    fleet = test_shares.Fleet(1, [gateway_parts.account()])
    renewals = fleet.renewals["h0"]
    read_rows = renewals._read_rows

    def fail(accounts):
        monkeypatch.setattr(renewals, "_read_rows", read_rows)
        raise OverflowError("int too large to convert to float")

    monkeypatch.setattr(renewals, "_read_rows", fail)

    def main():
        fleet.timers.sleep(5.0)
        assert renewals.ready
        assert fleet.request("h0", "acme") is None

    fleet.timers.run(main)


# The encoder takes no integer of more than 64 bits.
@pytest.mark.parametrize(
    "value",
    [10**30, 10**5000, object()],
    ids=["30 digits", "5000 digits", "an object"],
)
def test_a_line_that_can_not_be_encoded_does_not_end_the_log(value):
    file = io.StringIO()
    destination = logs._QueuedDestination(file)
    destination({"message_type": "bad", "value": value})
    destination({"message_type": "good", "value": 1})
    gevent.sleep(0.05)
    written = [json.loads(line) for line in file.getvalue().splitlines()]
    assert written[-1] == {"message_type": "good", "value": 1}
    assert written[0]["message_type"] in ("bad", "logs.not_encoded")
