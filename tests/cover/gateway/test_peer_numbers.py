"""Numbers in messages of peers that a host can't compute with."""

import json
import random

import pytest

from endivepier import errors
from endivepier.gateway.choice import load_reports
from endivepier.gateway.choice import placement as placement_lib
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.store import access as store_access
from endivepier.gateway.suspects import suspects as suspects_lib
from endivepier.gateway.targets import limit_reports
from endivepier.gateway.targets import rates as target_rates
from endivepier.standins import clock
from endivepier.standins import table as table_lib
from endivepier.storage import ports
from endivepier.telemetry import metrics as metrics_lib
from tests.common import gateway_fleet
from tests.common import gateway_parts
from tests.common import gateway_peers

NO_NUMBERS = ["nan", "inf", "-inf", "1e999", "-1"]


@pytest.fixture
def timers():
    return clock.VirtualTimers()


# The sum with a count that no float holds raised OverflowError in the choice of
# a target, so that each call of the service failed while reports came.
@pytest.mark.parametrize("count", [10**400, -1, 10**15, True, 1.5])
def test_a_load_report_with_an_impossible_count_is_refused(timers, count):
    reports = load_reports.LoadReports(timers)
    placement = placement_lib.Placement("a", timers, random.Random(0), reports)
    reports.receive("h1", b'{"t1@1": 2}')
    with pytest.raises(ValueError, match="load report"):
        reports.receive("h2", json.dumps({"t1@1": count}).encode())
    target = gateway_parts.target("t1")
    assert placement.choose(gateway_parts.call(), [target], None, set())
    assert reports.calls_from_others("t1@1") == 2


@pytest.mark.parametrize("seconds", NO_NUMBERS)
def test_a_limit_report_without_a_duration_is_refused(timers, seconds):
    reports = limit_reports.LimitReports(timers)
    avoided = []
    reports.set_sink(lambda *args: avoided.append(args))
    with pytest.raises(ValueError, match="not a number"):
        reports.receive("h1", f"t1@1={seconds}".encode())
    assert avoided == []


@pytest.mark.parametrize("number", NO_NUMBERS)
@pytest.mark.parametrize("place", ["rate", "age"])
def test_a_rate_that_is_no_number_is_refused(timers, place, number):
    rates = target_rates.TargetRates(timers, metrics_lib.Metrics())
    fields = {"rate": "5", "age": "0.1", place: number}
    encoded = "t1@1={rate}={age}".format(**fields).encode()
    with pytest.raises(ValueError, match="not a number"):
        rates.receive("h1", encoded)
    assert rates.rate("t1@1") is None


@pytest.mark.parametrize("number", NO_NUMBERS)
@pytest.mark.parametrize("place", ["rate", "seconds"])
def test_a_cold_target_without_numbers_is_refused(timers, place, number):
    rates = target_rates.TargetRates(timers, metrics_lib.Metrics())
    fields = {"rate": "5", "seconds": "1", place: number}
    with pytest.raises(ValueError, match="not a number"):
        rates.receive_cold("t1@1={rate}={seconds}".format(**fields).encode())
    assert rates.cold("t1@1") is None


# A refusal without an end could not have been lifted.
@pytest.mark.parametrize("number", NO_NUMBERS)
@pytest.mark.parametrize("kind", ["refused", "completed", "t1@1"])
def test_a_suspect_without_a_time_is_refused(timers, kind, number):
    suspects = suspects_lib.Suspects(timers, metrics_lib.Metrics())
    with pytest.raises(ValueError, match="not a number"):
        suspects.receive("h1", f"content={kind}=0.1={number}".encode())
    assert not suspects.is_refused("content")


# One malformed header hid what the others said.
def test_a_malformed_report_of_a_peer_hides_no_other():
    fleet = gateway_fleet.Fleet([gateway_parts.route()], hosts=2)
    try:
        peers = fleet.gateway.peers
        target = fleet.gateway.catalog.targets("s")[0]
        peers._receive_news(
            "h1",
            [
                (peers_lib.SUSPECTS_HEADER, b"nonsense"),
                (peers_lib.RATES_HEADER, b"nonsense"),
                (peers_lib.COLD_HEADER, b"nonsense"),
                (
                    peers_lib.LIMITS_HEADER,
                    f"{target.incarnation}=3.0".encode(),
                ),
                (peers_lib.LOAD_HEADER, b"\xff" + b"[" * 100_000),
            ],
        )
        assert fleet.gateway.placement.is_avoided(target)
    finally:
        fleet.stop()


# An unreadable reply ended the task that follows a table, or a client's call.
@pytest.mark.parametrize("reply", [b"", b"{", b"[]", b'{"kind": "other"}'])
def test_an_unreadable_reply_of_a_relay_is_a_failed_relay(timers, reply):
    hosts = {}
    peers = gateway_peers.SimulatedPeers("h0", hosts, timers, 0.001)
    other = gateway_peers.SimulatedPeers("h1", hosts, timers, 0.001)
    table = table_lib.MemoryTable(timers)
    store = store_access.Store(table, table, timers, random.Random(0))
    store.use_peers(peers)
    for operation in (store_access.GET, store_access.TRANSACT):
        other.register(operation, lambda body: reply)
    store._direct_suspect_until = timers.now() + 10.0

    def main():
        with pytest.raises(errors.Unavailable):
            store.get("turns/00/x")
        store._cut_off.clear()
        put = ports.Transaction((), ())
        with pytest.raises(errors.OutcomeUnknown):
            store.transact(put)

    timers.run(main)
