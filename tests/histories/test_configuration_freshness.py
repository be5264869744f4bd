"""Who may serve when the table, the peers or both can't be reached."""

import pytest

from endivepier.configuration import freshness as freshness_lib
from tests.common import config_fleet

FRESH = freshness_lib.FRESH_SECONDS
IN_FORCE_SECONDS = 5.0
NOTE = config_fleet.account_note("one")


@pytest.fixture
def fleet():
    made = config_fleet.ConfigFleet()
    made.timers.advance(2.0)
    assert made.serving() == set(made.addresses)
    return made


def _apply(fleet, entry, change_id="c", note=NOTE):
    return fleet.timers.run(
        lambda: fleet.apply(fleet.entries[entry], note, change_id)
    )


def _ask(fleet, entry, method, path, **more):
    return fleet.timers.run(
        lambda: fleet.ask(fleet.entries[entry], method, path, **more)
    )


def _split(fleet, part):
    for one in part:
        for other in set(fleet.addresses) - set(part):
            fleet.net.cut(one, other)


def test_a_host_cut_off_alone_stops_serving_and_the_others_go_on(fleet):
    alone = fleet.entries[0]
    fleet.sim.isolate(alone)
    assert _apply(fleet, 1).status_code == 201
    fleet.timers.advance(FRESH - 2.0)
    assert alone in fleet.serving()
    fleet.timers.advance(3.0)
    assert fleet.serving() == set(fleet.addresses) - {alone}
    refused = _ask(fleet, 0, "GET", "/v1/programs/p.1." + "0" * 24)
    assert (refused.status_code, refused.json["ran"]) == (503, "no")
    assert refused.json["code"] == "not_ready"
    assert int(refused.headers["Retry-After"]) >= 1
    fleet.net.heal_all()
    fleet.timers.advance(2.0)
    assert fleet.serving() == set(fleet.addresses)
    assert set(fleet.revisions().values()) == {1}


def test_half_without_the_table_learns_from_the_other_half(fleet):
    for address in (fleet.entries[0], *fleet.sidecars[:2]):
        fleet.net.cut(address, config_fleet.PLATFORM)
    fleet.timers.advance(3 * FRESH)
    assert _apply(fleet, 1).status_code == 201
    fleet.timers.advance(IN_FORCE_SECONDS)
    assert set(fleet.revisions().values()) == {1}
    assert fleet.serving() == set(fleet.addresses)


@pytest.mark.parametrize("entries", [(0,), (0, 1)])
def test_a_half_that_others_may_accept_notes_without_stops(fleet, entries):
    part = [*(fleet.entries[i] for i in entries), fleet.sidecars[0]]
    _split(fleet, part)
    for address in part:
        fleet.net.cut(address, config_fleet.PLATFORM)
    assert _apply(fleet, 2).status_code == 201
    fleet.timers.advance(FRESH + 0.6)
    assert fleet.serving() == set(fleet.addresses) - set(part)


def test_an_outage_for_all_stops_nobody_and_accepts_nothing(fleet):
    assert _apply(fleet, 0, "first").status_code == 201
    fleet.table.faults.outage = True
    refused = _apply(fleet, 1, "second", config_fleet.account_note("two"))
    assert (refused.status_code, refused.json["ran"]) == (503, "no")
    fleet.timers.advance(100.0)
    assert fleet.serving() == set(fleet.addresses)


def test_a_note_accepted_just_before_an_outage_holds_everywhere(fleet):
    assert _apply(fleet, 0).status_code == 201
    fleet.table.faults.outage = True
    fleet.sim.kill(fleet.entries[0])
    fleet.sim.hosts.remove(fleet.entries[0])
    fleet.timers.advance(2 * FRESH)
    assert set(fleet.revisions().values()) == {1}
    assert len(fleet.serving()) == len(fleet.addresses) - 1


def test_a_process_that_starts_in_an_outage_learns_from_peers(fleet):
    assert _apply(fleet, 0).status_code == 201
    fleet.table.faults.outage = True
    fleet.timers.advance(2 * FRESH)
    for address in (fleet.entries[1], fleet.sidecars[0]):
        fleet.sim.kill(address)
        fleet.boot(address)
    fleet.timers.advance(IN_FORCE_SECONDS)
    assert fleet.serving() == set(fleet.addresses)
    assert set(fleet.revisions().values()) == {1}


def test_nobody_serves_before_the_head_was_read():
    fleet = config_fleet.ConfigFleet()
    fleet.table.faults.outage = True
    fleet.timers.advance(30.0)
    assert fleet.serving() == set()
    for path in ("/v1/operators/status", "/v1/operators/releases/head"):
        assert _ask(fleet, 0, "GET", path).status_code == 503
    fleet.table.faults.outage = False
    fleet.timers.advance(2.0)
    assert _ask(fleet, 0, "GET", "/v1/operators/status").status_code == 200


def test_a_frozen_host_does_not_serve_when_it_goes_on(fleet):
    host = fleet.entries[0]
    fleet.net.hosts[host].freeze()
    fleet.timers.advance(FRESH + 1.0)
    fleet.net.hosts[host].thaw()
    assert host not in fleet.serving()
    fleet.timers.advance(2.0)
    assert host in fleet.serving()
