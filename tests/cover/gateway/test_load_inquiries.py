"""Turns under an estimate of the load that rests on few of the hosts."""

import json
import random
import types

import pytest

from endivepier import errors
from endivepier.gateway import calls
from endivepier.gateway import model
from endivepier.gateway.choice import load_check
from endivepier.gateway.choice import load_inquiries
from endivepier.gateway.choice import load_reports
from endivepier.gateway.choice import placement
from endivepier.standins import clock
from tests.common import gateway_parts

SLOTS = 36
TARGET = gateway_parts.target("t0", slots=SLOTS)


class Peers:
    """Other hosts that report their calls at the target when asked."""

    def __init__(self, running, timers, reports, lost):
        self.running = running
        self.timers = timers
        self.reports = reports
        self.lost = set(lost)
        self.avoided = set()
        self.requests = 0

    def available_hosts(self):
        return [host for host in self.running if host not in self.avoided]

    def hear(self, host):
        report = {TARGET.incarnation: self.running[host]}
        self.reports.receive(
            host, json.dumps(report if self.running[host] else {}).encode()
        )

    def request(self, host, operation, body):
        self.requests += 1
        self.timers.sleep(0.08 if host in self.lost else 0.003)
        if host in self.lost:
            self.avoided.add(host)
            raise errors.PeerUnreachable(host, "silent", sent=True)
        self.hear(host)


class World:
    """A host with calls of its own, and what it knows of the others."""

    def __init__(self, running, own=0, lost=()):
        self.timers = clock.VirtualTimers(start=1000.0)
        reports = load_reports.LoadReports(self.timers)
        self.placement = placement.Placement(
            "a", self.timers, random.Random(0), reports
        )
        reports.host_count = len(running) + 1
        self.peers = Peers(running, self.timers, reports, lost)
        for _ in range(own):
            self.placement.note_sent(TARGET, gateway_parts.call())
        self.check = load_check.LoadCheck(
            types.SimpleNamespace(
                placement=self.placement,
                rate_tokens=types.SimpleNamespace(
                    may_take=lambda _: True, slots=lambda target: target.slots
                ),
            ),
            types.SimpleNamespace(targets=lambda _: [TARGET]),
            load_inquiries.LoadInquiries(
                self.peers, reports, self.timers, random.Random(0)
            ),
            self.timers,
        )

    def run(self, *, heard=(), is_first=False):
        """Checks a turn; returns whether it may be sent."""
        ctx = calls.CallContext(
            call=gateway_parts.call(),
            route=gateway_parts.route(),
            account="acme",
            service="llm",
            engine=model.Engine(16, 100_000, 10),
            responder=None,
            deadline=self.timers.now() + 4.0,
            is_first_turn=is_first,
        )

        def main():
            for host in heard:
                self.peers.hear(host)
            try:
                self.check.check(ctx)
            except errors.Refused:
                return False
            return True

        return self.timers.run(main)


def hosts(count, **running):
    return {f"h{n}": 0 for n in range(count)} | running


# An idle host had heard of one busy host only, took five others for as busy,
# and refused turns of running programs at engines that were half empty.
@pytest.mark.parametrize("count", [6, 11, 60])
@pytest.mark.parametrize("is_first", [False, True])
def test_a_turn_is_not_refused_for_the_load_of_hosts_that_are_idle(
    is_first, count
):
    world = World(hosts(count, h0=16))
    assert world.run(heard=["h0"], is_first=is_first)
    assert world.placement.running(TARGET) == 16


# Without any report, others were taken to be as busy as this host.
def test_a_busy_host_does_not_take_others_for_as_busy_without_asking():
    world = World(hosts(6), own=16)
    assert world.run()
    assert world.placement.running(TARGET) == 16


@pytest.mark.parametrize("count", [6, 60])
def test_a_turn_is_refused_if_the_engines_are_overloaded(count):
    each = 2 * SLOTS // (count + 1) + 1
    world = World({f"h{n}": each for n in range(count)}, own=each)
    assert not world.run(heard=["h0"])


# The calls that are left come from a few hosts, which count with their own.
def test_a_turn_is_refused_in_an_overload_while_most_hosts_are_lost():
    running = {f"h{n}": 2 * SLOTS for n in range(6)}
    lost = ["h1", "h2", "h3", "h4", "h5"]
    assert not World(running, lost=lost).run(heard=["h0"])


def test_lost_hosts_do_not_count_as_busy():
    running = {f"h{n}": 20 for n in range(6)}
    lost = ["h1", "h2", "h3", "h4", "h5"]
    world = World(running, lost=lost)
    assert world.run(heard=["h0"])
    assert world.placement.running(TARGET) == 20


def test_hosts_are_asked_once_for_refusals_at_a_time():
    world = World({f"h{n}": 2 * SLOTS for n in range(60)})
    for _ in range(5):
        assert not world.run(heard=["h0"])
    assert world.peers.requests == load_inquiries.MAX_ASKED
