"""Which hosts may serve while the table, peers or both are unreachable."""

import pytest

from endivepier.configuration import freshness as freshness_lib
from tests.common import config_fleet

MAX_PROOF_AGE_SECONDS = freshness_lib.MAX_PROOF_AGE_SECONDS
MAX_IN_FORCE_DELAY_SECONDS = 5.0
NOTE = config_fleet.account_note("one")


@pytest.fixture
def fleet():
    fleet = config_fleet.ConfigFleet()
    fleet.timers.advance(2.0)
    assert fleet.serving() == set(fleet.addresses)
    return fleet


def _apply(fleet, entry, change_id="c", note=NOTE):
    return fleet.timers.run(
        lambda: fleet.apply(fleet.entries[entry], note, change_id)
    )


def _request(fleet, entry, method, path, **kwargs):
    return fleet.timers.run(
        lambda: fleet.request(fleet.entries[entry], method, path, **kwargs)
    )


def _split(fleet, partition):
    for inside in partition:
        for outside in set(fleet.addresses) - set(partition):
            fleet.net.cut(inside, outside)


def test_an_isolated_host_stops_serving_and_the_others_continue(fleet):
    isolated = fleet.entries[0]
    fleet.sim.isolate(isolated)
    assert _apply(fleet, 1).status_code == 201
    fleet.timers.advance(MAX_PROOF_AGE_SECONDS - 2.0)
    assert isolated in fleet.serving()
    fleet.timers.advance(3.0)
    assert fleet.serving() == set(fleet.addresses) - {isolated}
    response = _request(fleet, 0, "GET", "/v1/programs/p.1." + "0" * 24)
    assert (response.status_code, response.json["ran"]) == (503, "no")
    assert response.json["code"] == "not_ready"
    assert int(response.headers["Retry-After"]) >= 1
    fleet.net.mend_all()
    fleet.timers.advance(2.0)
    assert fleet.serving() == set(fleet.addresses)
    assert set(fleet.revisions().values()) == {1}


def test_hosts_without_the_table_learn_from_hosts_that_reach_it(fleet):
    for address in (fleet.entries[0], *fleet.sidecars[:2]):
        fleet.net.cut(address, config_fleet.PLATFORM)
    fleet.timers.advance(3 * MAX_PROOF_AGE_SECONDS)
    assert _apply(fleet, 1).status_code == 201
    fleet.timers.advance(MAX_IN_FORCE_DELAY_SECONDS)
    assert set(fleet.revisions().values()) == {1}
    assert fleet.serving() == set(fleet.addresses)


@pytest.mark.parametrize("entries", [(0,), (0, 1)])
def test_a_partition_stops_serving_if_hosts_outside_can_accept_notes(
    fleet, entries
):
    partition = [*(fleet.entries[i] for i in entries), fleet.sidecars[0]]
    _split(fleet, partition)
    for address in partition:
        fleet.net.cut(address, config_fleet.PLATFORM)
    assert _apply(fleet, 2).status_code == 201
    fleet.timers.advance(MAX_PROOF_AGE_SECONDS + 0.6)
    assert fleet.serving() == set(fleet.addresses) - set(partition)


def test_a_table_outage_stops_no_host_and_accepts_no_note(fleet):
    assert _apply(fleet, 0, "first").status_code == 201
    fleet.table.faults.outage = True
    response = _apply(fleet, 1, "second", config_fleet.account_note("two"))
    assert (response.status_code, response.json["ran"]) == (503, "no")
    fleet.timers.advance(100.0)
    assert fleet.serving() == set(fleet.addresses)


def test_a_note_accepted_just_before_an_outage_is_in_force_everywhere(fleet):
    assert _apply(fleet, 0).status_code == 201
    fleet.table.faults.outage = True
    fleet.sim.kill(fleet.entries[0])
    fleet.sim.hosts.remove(fleet.entries[0])
    fleet.timers.advance(2 * MAX_PROOF_AGE_SECONDS)
    assert set(fleet.revisions().values()) == {1}
    assert len(fleet.serving()) == len(fleet.addresses) - 1


def test_a_process_that_starts_in_an_outage_learns_from_peers(fleet):
    assert _apply(fleet, 0).status_code == 201
    fleet.table.faults.outage = True
    fleet.timers.advance(2 * MAX_PROOF_AGE_SECONDS)
    for address in (fleet.entries[1], fleet.sidecars[0]):
        fleet.sim.kill(address)
        fleet.boot(address)
    fleet.timers.advance(MAX_IN_FORCE_DELAY_SECONDS)
    assert fleet.serving() == set(fleet.addresses)
    assert set(fleet.revisions().values()) == {1}


def test_no_process_serves_before_it_has_read_the_head():
    fleet = config_fleet.ConfigFleet()
    fleet.table.faults.outage = True
    fleet.timers.advance(30.0)
    assert fleet.serving() == set()
    for path in ("/v1/operators/status", "/v1/operators/releases/head"):
        assert _request(fleet, 0, "GET", path).status_code == 503
    fleet.table.faults.outage = False
    fleet.timers.advance(2.0)
    assert _request(fleet, 0, "GET", "/v1/operators/status").status_code == 200


def test_a_host_does_not_serve_right_after_a_long_freeze(fleet):
    host = fleet.entries[0]
    fleet.net.hosts[host].freeze()
    fleet.timers.advance(MAX_PROOF_AGE_SECONDS + 1.0)
    fleet.net.hosts[host].thaw()
    assert host not in fleet.serving()
    fleet.timers.advance(2.0)
    assert host in fleet.serving()
