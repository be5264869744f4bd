import argparse
import collections
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from endivepier import errors
from endivepier.cli import release
from endivepier.configuration import current as current_lib
from endivepier.configuration import keys
from endivepier.configuration import relays
from endivepier.configuration import snapshots
from endivepier.configuration import state as state_lib
from endivepier.configuration import store as store_lib
from endivepier.standins import clock
from endivepier.standins import demo
from endivepier.standins import fleet as fleet_lib
from endivepier.standins import objects
from endivepier.standins import table
from endivepier.storage import commit
from endivepier.storage import ports
from tests.common import config_fleet

CHANGE_NOTE = "[[changed.accounts]]\nname = 'one'\nrate = {}.0\n"


class Operator:
    """An operator that uses one entry host, in simulated time."""

    def __init__(self, seed=0):
        self.timers = clock.VirtualTimers()
        self.table = table.MemoryTable(self.timers)
        self.objects = objects.MemoryObjects(self.timers)
        committer = commit.Committer(
            self.table, self.timers, random.Random(seed)
        )
        self.store = store_lib.Store(
            self.table, self.objects, committer, self.timers
        )
        self.current = current_lib.CurrentConfiguration()
        self.apply(config_fleet.account_note("one"), "first")

    def apply(self, note, change_id, check_permission=lambda: None):
        return self.timers.run(
            self.store.apply, note, change_id, self.current, check_permission
        )

    def read(self, revision=None, start=None):
        return self.timers.run(self.store.read, revision, start)

    def refused(self, *args, **kwargs):
        with pytest.raises(errors.Refused) as caught:
            self.apply(*args, **kwargs)
        return caught.value


def test_recognizes_a_retry_of_a_change_that_is_no_longer_the_head():
    operator = Operator()
    first = operator.apply(CHANGE_NOTE.format(1), "a")
    operator.apply(CHANGE_NOTE.format(2), "b")
    assert operator.apply(CHANGE_NOTE.format(1), "a") == first
    assert operator.read().accounts["one"].rate == 2.0
    exc = operator.refused(CHANGE_NOTE.format(3), "a")
    assert exc.code is errors.Code.KEY_REUSED
    assert operator.refused(CHANGE_NOTE.format(3), "").status == 400


def test_a_note_based_on_another_revision_is_a_conflict():
    operator = Operator()
    operator.apply(CHANGE_NOTE.format(1), "a")
    exc = operator.refused("based_on = 1\n" + CHANGE_NOTE.format(2), "b")
    assert exc.code is errors.Code.CONFLICT
    assert "revision 1" in exc.detail
    assert "head is 2" in exc.detail
    assert (
        operator.apply("based_on = 2\n" + CHANGE_NOTE.format(2), "b").revision
        == 3
    )


def test_a_retry_after_a_lost_reply_and_an_outage_is_recognized():
    operator = Operator()
    operator.table.faults.lost_replies = 1.0
    operator.timers.after(
        0.003, lambda: setattr(operator.table.faults, "outage", True)
    )
    with pytest.raises((errors.OutcomeUnknown, errors.Unavailable)):
        operator.apply(CHANGE_NOTE.format(5), "a")
    operator.table.faults.lost_replies = 0.0
    operator.table.faults.outage = False
    assert operator.apply(CHANGE_NOTE.format(5), "a").revision == 2
    assert operator.read().revision == 2


def test_the_operator_s_key_is_checked_at_the_revision_to_be_changed():
    operator = Operator()
    checked_revisions = []

    def check_permission():
        checked_revisions.append(operator.current.state.revision)
        raise errors.Refused(errors.Code.UNAUTHENTICATED, 401, "withdrawn")

    other_configuration = current_lib.CurrentConfiguration()
    operator.timers.run(
        operator.store.apply,
        CHANGE_NOTE.format(4),
        "x",
        other_configuration,
        lambda: None,
    )
    assert (
        operator.refused(CHANGE_NOTE.format(5), "y", check_permission).status
        == 401
    )
    assert checked_revisions == [2]


def test_reads_every_retained_revision_and_deletes_the_oldest(monkeypatch):
    monkeypatch.setattr(snapshots, "REVISIONS_PER_SNAPSHOT", 10)
    monkeypatch.setattr(store_lib, "MAX_REVISIONS_BEHIND", 10)
    monkeypatch.setattr(store_lib, "RETAINED_REVISIONS", 25)
    operator = Operator()
    states = {1: operator.current.state}
    for revision in range(2, 61):
        operator.apply(CHANGE_NOTE.format(revision), f"c{revision}")
        states[revision] = operator.current.state
        # At revisions 10, 30 and 50 no snapshot is written, as if the process
        # had crashed after the acceptance.
        if revision % 10 != 0 or revision % 20 == 0:
            operator.timers.run(
                operator.store.write_due_snapshot, operator.current.state
            )
    for revision in range(36, 61):
        assert operator.read(revision) == states[revision]
        assert operator.read(revision, operator.current.state).chain
    with pytest.raises(errors.Refused, match="no revision 15"):
        operator.read(15)
    with pytest.raises(errors.Refused, match="no revision 61"):
        operator.read(61)
    retained_keys = [row.key for row in operator.table.peek("config/delta/")]
    assert 25 <= len(retained_keys) <= 45
    assert len(operator.table.peek("config/change/")) == len(retained_keys)
    reads_before = operator.table.reads
    assert operator.read() == states[60]
    assert operator.table.reads - reads_before <= 4


def test_the_first_operator_s_key_invalidates_the_bootstrap_key():
    fleet = config_fleet.ConfigFleet(entries=1, sidecars=0)
    fleet.timers.advance(1.0)
    first_key, second_key = keys.new_key(), keys.new_key()
    grant = "[[added.keys]]\ndigest = '{}'\nrole = 'operator'\n"
    withdraw = "[withdrawn]\nkeys = ['{}']\n"

    def apply(note, change_id, key):
        return fleet.timers.run(
            lambda: fleet.request(
                fleet.entries[0],
                "POST",
                "/v1/operators/releases",
                note,
                key,
                X_Endivepier_Change_Id=change_id,
            )
        )

    digests = [keys.digest_of(key) for key in (first_key, second_key)]
    assert (
        apply(grant.format(digests[0]), "a", "ek_bootstrap").status_code == 201
    )
    assert (
        apply(grant.format(digests[1]), "b", "ek_bootstrap").status_code == 401
    )
    refused = apply(withdraw.format(digests[0]), "c", first_key)
    assert refused.status_code == 400
    assert "last operator's key" in refused.json["detail"]
    replacement = grant.format(digests[1]) + withdraw.format(digests[0])
    assert apply(replacement, "d", first_key).status_code == 201
    assert apply(replacement, "d", first_key).status_code == 401
    fleet.sim.kill(fleet.entries[0])
    fleet.boot(fleet.entries[0])
    fleet.timers.advance(1.0)
    response = apply(config_fleet.account_note("x"), "e", "ek_bootstrap")
    assert response.status_code == 401
    assert (
        apply(config_fleet.account_note("x"), "e", second_key).status_code
        == 201
    )


@hypothesis.given(
    sizes=st.lists(st.integers(1, 120), min_size=1, max_size=3),
    failed=st.sets(st.integers(0, 200), max_size=20),
)
def test_every_process_reaches_the_table_through_few_relays(sizes, failed):
    hosts = [
        ports.Host(f"10.{dc}.0.{n}:1", f"dc-{dc}", "sidecar", "", state)
        for dc, size in enumerate(sizes)
        for n in range(size)
        for state in [ports.HostState.LIVE]
    ]
    failed_addresses = frozenset(
        h.address for n, h in enumerate(hosts) if n in failed
    )
    parents = {
        host.address: relays.parent_of(
            host.address, host.data_centre, hosts, failed_addresses
        )
        for host in hosts
    }
    children = collections.Counter(parents.values())
    direct_readers = children.pop(None, 0)
    if len(hosts) > relays.MAX_DIRECT_HOSTS:
        assert direct_readers <= relays.ROOTS * len(sizes) + len(
            failed_addresses
        )
    else:
        assert direct_readers == len(hosts)
    assert not failed_addresses & set(children)
    assert all(
        n <= relays.FAN_OUT + len(failed_addresses) for n in children.values()
    )
    for address in parents:
        steps = 0
        while parents[address] is not None:
            address, steps = parents[address], steps + 1
        assert steps <= 3


def test_the_command_applies_shows_compares_and_reports_lagging_hosts(
    tmp_path, capsys
):
    fleet = fleet_lib.Fleet()
    fleet.start_platform()
    fleet.start_entry("plateau")
    fleet.start_entry("almadies")
    file = tmp_path / "note.toml"
    file.write_text(demo.NOTE)
    parser = argparse.ArgumentParser()
    release.add_to(parser.add_subparsers())

    def run(*argv):
        url = ["--url", fleet.caller_urls[0], "--key", fleet.operator_key]
        args = parser.parse_args(["release", *argv, *url])
        status = args.run(args)
        return status, capsys.readouterr()

    fleet_lib.wait_until_ready(fleet, fleet.timers, 10.0)
    try:
        assert run("check", str(file))[0] == 0
        assert run("apply", str(file), "--change-id", "c")[0] == 0
        assert run("apply", str(file), "--change-id", "c")[0] == 0
        assert run("check", str(file))[0] == 1
        assert run("diff", str(file)) == (0, ("", ""))
        status, printed = run("show", "--toml")
        assert status == 0
        file.write_text(printed.out.replace('pool = "luzon"', 'pool = "dakar"'))
        status, printed = run("diff", str(file))
        assert status == 1
        assert printed.out == (
            'based_on = 1\n\n[[changed.models]]\nname = "grant-writer"\n'
            'pool = "dakar"\n'
        )
        assert run("show", "1")[0] == 0
        assert run("show", "2")[0] == 1
        assert run("status")[0] == 0
        fleet.entries[1].base.current._state = state_lib.State()
        fleet.entries[1].base.follower.stop()
        # Heartbeats of the other host would make this one catch up.
        fleet.entries[1].base.view._revision_listeners.clear()
        status, printed = run("status")
        assert status == 1
        assert "LAGS" in printed.out
    finally:
        fleet.stop()
