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

CHANGE = "[[changed.accounts]]\nname = 'one'\nrate = {}.0\n"


class Operator:
    """One operator at one entry host, in simulated time."""

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
        self.current = current_lib.Current()
        self.apply(config_fleet.account_note("one"), "first")

    def apply(self, note, change_id, permit=lambda: None):
        return self.timers.run(
            self.store.apply, note, change_id, self.current, permit
        )

    def read(self, revision=None, start=None):
        return self.timers.run(self.store.read, revision, start)

    def refused(self, *args, **more):
        with pytest.raises(errors.Refused) as caught:
            self.apply(*args, **more)
        return caught.value


def test_recognizes_a_change_that_is_no_longer_the_head():
    operator = Operator()
    first = operator.apply(CHANGE.format(1), "a")
    operator.apply(CHANGE.format(2), "b")
    assert operator.apply(CHANGE.format(1), "a") == first
    assert operator.read().accounts["one"].rate == 2.0
    exc = operator.refused(CHANGE.format(3), "a")
    assert exc.code is errors.Code.KEY_REUSED
    assert operator.refused(CHANGE.format(3), "").status == 400


def test_a_note_based_on_another_revision_is_a_conflict():
    operator = Operator()
    operator.apply(CHANGE.format(1), "a")
    exc = operator.refused("based_on = 1\n" + CHANGE.format(2), "b")
    assert exc.code is errors.Code.CONFLICT
    assert "revision 1" in exc.detail
    assert "head is 2" in exc.detail
    assert (
        operator.apply("based_on = 2\n" + CHANGE.format(2), "b").revision == 3
    )


def test_a_reply_lost_in_an_outage_is_recognized_later():
    operator = Operator()
    operator.table.faults.lost_replies = 1.0
    operator.timers.after(
        0.003, lambda: setattr(operator.table.faults, "outage", True)
    )
    with pytest.raises((errors.OutcomeUnknown, errors.Unavailable)):
        operator.apply(CHANGE.format(5), "a")
    operator.table.faults.lost_replies = 0.0
    operator.table.faults.outage = False
    assert operator.apply(CHANGE.format(5), "a").revision == 2
    assert operator.read().revision == 2


def test_the_operator_s_key_must_hold_at_the_revision_that_is_changed():
    operator = Operator()
    seen = []

    def permit():
        seen.append(operator.current.state.revision)
        raise errors.Refused(errors.Code.UNAUTHENTICATED, 401, "withdrawn")

    other = current_lib.Current()
    operator.timers.run(
        operator.store.apply, CHANGE.format(4), "x", other, lambda: None
    )
    assert operator.refused(CHANGE.format(5), "y", permit).status == 401
    assert seen == [2]


def test_shows_every_kept_revision_and_forgets_the_oldest(monkeypatch):
    monkeypatch.setattr(snapshots, "SNAPSHOT_EVERY", 10)
    monkeypatch.setattr(store_lib, "MAX_BEHIND", 10)
    monkeypatch.setattr(store_lib, "RETAINED_REVISIONS", 25)
    operator = Operator()
    states = {1: operator.current.state}
    for revision in range(2, 61):
        # Now and then the process dies before it writes the snapshot.
        operator.apply(CHANGE.format(revision), f"c{revision}")
        states[revision] = operator.current.state
        if revision % 10 != 0 or revision % 20 == 0:
            operator.timers.run(
                operator.store.keep_snapshot, operator.current.state
            )
    for revision in range(36, 61):
        assert operator.read(revision) == states[revision]
        assert operator.read(revision, operator.current.state).chain
    with pytest.raises(errors.Refused, match="no revision 15"):
        operator.read(15)
    with pytest.raises(errors.Refused, match="no revision 61"):
        operator.read(61)
    kept = [row.key for row in operator.table.peek("config/delta/")]
    assert 25 <= len(kept) <= 45
    assert len(operator.table.peek("config/change/")) == len(kept)
    reads = operator.table.reads
    assert operator.read() == states[60]
    assert operator.table.reads - reads <= 4


def test_the_bootstrap_key_ends_with_the_first_operator_s_key():
    fleet = config_fleet.ConfigFleet(entries=1, sidecars=0)
    fleet.timers.advance(1.0)
    one, two = keys.new_key(), keys.new_key()
    grant = "[[added.keys]]\ndigest = '{}'\nrole = 'operator'\n"
    withdraw = "[withdrawn]\nkeys = ['{}']\n"

    def apply(note, change_id, key):
        return fleet.timers.run(
            lambda: fleet.ask(
                fleet.entries[0],
                "POST",
                "/v1/operators/releases",
                note,
                key,
                X_Endivepier_Change_Id=change_id,
            )
        )

    digests = [keys.digest_of(key) for key in (one, two)]
    assert (
        apply(grant.format(digests[0]), "a", "ek_bootstrap").status_code == 201
    )
    assert (
        apply(grant.format(digests[1]), "b", "ek_bootstrap").status_code == 401
    )
    last = apply(withdraw.format(digests[0]), "c", one)
    assert last.status_code == 400
    assert "last operator's key" in last.json["detail"]
    both = grant.format(digests[1]) + withdraw.format(digests[0])
    assert apply(both, "d", one).status_code == 201
    assert apply(both, "d", one).status_code == 401
    fleet.sim.kill(fleet.entries[0])
    fleet.boot(fleet.entries[0])
    fleet.timers.advance(1.0)
    answer = apply(config_fleet.account_note("x"), "e", "ek_bootstrap")
    assert answer.status_code == 401
    assert apply(config_fleet.account_note("x"), "e", two).status_code == 201


@hypothesis.given(
    sizes=st.lists(st.integers(1, 120), min_size=1, max_size=3),
    failed=st.sets(st.integers(0, 200), max_size=20),
)
def test_every_process_reaches_the_table_by_few_relays(sizes, failed):
    hosts = [
        ports.Host(f"10.{dc}.0.{n}:1", f"dc-{dc}", "sidecar", "", state)
        for dc, size in enumerate(sizes)
        for n in range(size)
        for state in [ports.HostState.LIVE]
    ]
    gone = frozenset(h.address for n, h in enumerate(hosts) if n in failed)
    parents = {
        host.address: relays.parent_of(
            host.address, host.data_centre, hosts, gone
        )
        for host in hosts
    }
    children = collections.Counter(parents.values())
    direct = children.pop(None, 0)
    if len(hosts) > relays.DIRECT_HOSTS:
        assert direct <= relays.ROOTS * len(sizes) + len(gone)
    else:
        assert direct == len(hosts)
    assert not gone & set(children)
    assert all(n <= relays.FAN_OUT + len(gone) for n in children.values())
    for address in parents:
        steps = 0
        while parents[address] is not None:
            address, steps = parents[address], steps + 1
        assert steps <= 3


def test_the_command_applies_shows_compares_and_finds_who_lags(
    tmp_path, capsys
):
    fleet = fleet_lib.Fleet()
    fleet.start_platform()
    fleet.start_entry("plateau")
    fleet.start_entry("almadies")
    file = tmp_path / "note.toml"
    file.write_text(demo.RELEASE_NOTE)
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
        status, shown = run("show", "--toml")
        assert status == 0
        file.write_text(shown.out.replace('pool = "luzon"', 'pool = "dakar"'))
        status, shown = run("diff", str(file))
        assert status == 1
        assert shown.out == (
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
        status, shown = run("status")
        assert status == 1
        assert "LAGS" in shown.out
    finally:
        fleet.stop()
