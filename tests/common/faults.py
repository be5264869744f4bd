"""Faults that Hypothesis draws, and their injection into a local fleet."""

import dataclasses

import gevent
from hypothesis import strategies as st

from endivepier.standins import network


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault.

    Attributes:
        kind: one of `FAULT_KINDS`.
        host: number of the host that it affects, modulo the fleet's size;
            unused for "outage" and "lost_replies", which affect the table.
        other: number of the host at the other end of a "cut"; like `host`.
        at: when it begins, in seconds after the start.
        seconds: how long it lasts.
    """

    kind: str
    host: int
    other: int
    at: float
    seconds: float


FAULT_KINDS = (
    "kill",
    "freeze",
    "outage",
    "lost_replies",
    "cut",
    "cut_platform",
)


def faults(kinds=FAULT_KINDS, max_faults=2):
    """Returns a strategy for 1 to `max_faults` faults, which may overlap."""
    fault = st.builds(
        Fault,
        kind=st.sampled_from(kinds),
        host=st.integers(0, 9),
        other=st.integers(0, 9),
        at=st.floats(0.0, 4.0),
        seconds=st.floats(0.2, 6.0),
    )
    return st.lists(fault, min_size=1, max_size=max_faults)


class Injector:
    """Injects faults into a fleet and clears them."""

    def __init__(self, fleet, faults):
        self.fleet = fleet
        self.faults = faults

    def run(self):
        tasks = [gevent.spawn(self._inject, fault) for fault in self.faults]
        gevent.joinall(tasks, raise_error=True)

    def restore(self):
        """Restores the network, the table and the object store."""
        self.fleet.network.heal_all()
        self.fleet.table.faults.outage = False
        self.fleet.objects.faults.outage = False
        self.fleet.table.faults.lost_replies = 0.0

    def _inject(self, fault):
        fleet = self.fleet
        fleet.timers.sleep(fault.at)
        addresses = self._addresses()
        address = addresses[fault.host % len(addresses)]
        other = addresses[fault.other % len(addresses)]
        match fault.kind:
            case "kill":
                fleet.kill(address)
                fleet.timers.sleep(fault.seconds)
                if address not in fleet.network.hosts:
                    fleet.restart(address)
            case "freeze":
                host = fleet.network.hosts.get(address)
                if host is not None:
                    host.freeze()
                    fleet.timers.sleep(fault.seconds)
                    host.thaw()
            case "outage":
                fleet.table.faults.outage = True
                fleet.timers.sleep(fault.seconds)
                fleet.table.faults.outage = False
            case "lost_replies":
                fleet.table.faults.lost_replies = 0.3
                fleet.timers.sleep(fault.seconds)
                fleet.table.faults.lost_replies = 0.0
            case "cut":
                fleet.network.cut(address, other)
                fleet.timers.sleep(fault.seconds)
                fleet.network.heal(address, other)
            case "cut_platform":
                fleet.network.cut(address, network.PLATFORM)
                fleet.timers.sleep(fault.seconds)
                fleet.network.heal(address, network.PLATFORM)

    def _addresses(self):
        plan = self.fleet.spec
        return [f"10.0.1.{n + 1}:8080" for n in range(plan.engines)] + [
            f"10.0.0.{n + 1}:8080" for n in range(plan.entries)
        ]
