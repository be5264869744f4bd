"""What hosts know of the rates that targets name in their responses."""

import pytest

from endivepier import timers as timers_lib
from endivepier.gateway.targets import rates as target_rates
from endivepier.standins import clock
from endivepier.telemetry import metrics as metrics_lib


@pytest.fixture
def rates():
    return target_rates.TargetRates(
        timers_lib.SystemTimers(), metrics_lib.Metrics()
    )


def test_a_rate_rises_falls_and_ends_with_later_responses(rates):
    for as_of, rate in enumerate([4.0, 9.0, 2.0, None, 3.0]):
        rates.note("t@1", rate, as_of, target_rates.RESPONSE)
        assert rates.rate("t@1") == rate


# A slow response that was asked for earlier arrived last, and its rate would
# have come back after it had ended.
def test_an_earlier_request_does_not_bring_back_a_rate_that_ended(rates):
    rates.note("t@1", 4.0, 1.0, target_rates.RESPONSE)
    rates.note("t@1", None, 3.0, target_rates.RESPONSE)
    rates.note("t@1", 4.0, 2.0, target_rates.RESPONSE)
    assert rates.rate("t@1") is None


def test_an_earlier_request_does_not_end_a_rate_named_since(rates):
    rates.note("t@1", 4.0, 3.0, target_rates.RESPONSE)
    rates.note("t@1", None, 2.0, target_rates.RESPONSE)
    assert rates.rate("t@1") == 4.0


def test_a_rate_holds_for_one_run_of_a_target_only(rates):
    rates.note("t@1", 4.0, 1.0, target_rates.RESPONSE)
    assert rates.rate("t@2") is None
    rates.forget("t@1")
    assert rates.rate("t@1") is None


@pytest.fixture
def hosts():
    """Two hosts' knowledge, on a clock that stands still."""
    timers = clock.VirtualTimers(start=100.0)
    metrics = metrics_lib.Metrics()
    return [target_rates.TargetRates(timers, metrics) for _ in range(2)]


def test_hosts_pass_on_rates_and_their_ends(hosts):
    first, second = hosts
    first.note("t@1", 4.5, 90.0, target_rates.RESPONSE)
    first.note("u@1", 2.0, 90.0, target_rates.RESPONSE)
    second.note("u@1", 2.0, 80.0, target_rates.RESPONSE)
    first.note("u@1", None, 95.0, target_rates.RESPONSE)
    second.receive("h0", first.encode())
    assert second.rate("t@1") == 4.5
    assert second.rate("u@1") is None


def test_of_two_hosts_that_were_told_different_rates_the_later_counts(hosts):
    first, second = hosts
    first.note("t@1", 4.0, 90.0, target_rates.RESPONSE)
    second.note("t@1", 8.0, 92.0, target_rates.RESPONSE)
    messages = [host.encode() for host in hosts]
    second.receive("h0", messages[0])
    first.receive("h1", messages[1])
    assert [host.rate("t@1") for host in hosts] == [8.0, 8.0]


# The message was sent before the limit ended, and arrived after that.
def test_a_message_that_was_under_way_does_not_bring_back_a_rate(hosts):
    first, second = hosts
    first.note("t@1", 4.0, 99.95, target_rates.RESPONSE)
    message = first.encode()
    second.note("t@1", None, 99.9, target_rates.RESPONSE)
    second.receive("h0", message)
    assert second.rate("t@1") is None


# Hosts would have told each other for ever of a target that is gone.
def test_old_statements_are_not_passed_on(hosts):
    first, _ = hosts
    first.note("t@1", 4.0, 60.0, target_rates.RESPONSE)
    assert first.encode() == b""


def test_a_message_names_a_limited_number_of_targets(hosts):
    first, second = hosts
    for n in range(3 * target_rates.MAX_SHARED):
        name = f"i-{n:010x}@1787173836376"
        first.note(name, 4.0, 90.0, target_rates.RESPONSE)
    message = first.encode()
    assert len(message) <= target_rates.MAX_MESSAGE_BYTES
    second.receive("h0", message)
    assert second.rate(name) == 4.0
