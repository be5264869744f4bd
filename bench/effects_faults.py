"""Injects faults into a fleet of `bench.effects_fleet`.

It also has an operator who resolves the claims that the faults leave open.
"""

from __future__ import annotations

import dataclasses
import enum

import gevent

from bench import effects_fleet
from endivepier import errors
from endivepier.effects import resolution
from endivepier.standins import network as network_lib

OPERATOR_INTERVAL_SECONDS = 5.0


class Kind(enum.Enum):
    """Kind of a fault; see `_inject` for what each does."""

    KILL = "kill"
    FREEZE = "freeze"
    REPLACE = "replace"
    DRAIN = "drain"
    FREEZE_ENTRY = "freeze entry"
    FREEZE_OWNER = "freeze owner"
    CUT_TABLE = "cut table"
    CUT_PEER = "cut peer"
    CUT_OWNER = "cut entry from owner"
    TABLE_OUTAGE = "table outage"
    OBJECT_OUTAGE = "object outage"
    SERVICE_DOWN = "service down"
    SERVICE_HANGS = "service hangs"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        at: seconds from the call of `inject` until the fault starts.
        kind: what fails.
        index: number of the affected sidecar or entry host, modulo how many
            there are.
        seconds: duration of the fault; unused for `Kind.DRAIN`.
    """

    at: float
    kind: Kind
    index: int
    seconds: float


def inject(fleet: effects_fleet.Fleet, fault: Fault) -> None:
    """Waits until a fault starts, injects it and ends it.

    An exception is also added to `fleet.crashes`.
    """
    try:
        _inject(fleet, fault)
    except Exception as exc:
        fleet.crashes.append(exc)
        raise


def _inject(fleet: effects_fleet.Fleet, fault: Fault) -> None:
    address = sorted(fleet.targets)[fault.index % len(fleet.targets)]
    entry = fleet.entries[fault.index % len(fleet.entries)]
    service = fleet.services[fleet.targets[address]].inner
    network = fleet.network
    fleet.timers.sleep(fault.at)
    host = network.hosts.get(address)
    if host is None:
        # An earlier fault killed the sidecar, which has not restarted yet.
        return
    match fault.kind:
        case Kind.KILL:
            host.kill()
            fleet.timers.sleep(fault.seconds)
            fleet.start_sidecar(address)
        case Kind.FREEZE:
            fleet.freeze(host, fault.seconds)
        case Kind.REPLACE:
            # The old process resumes later, while the new one runs.
            fleet.freeze(host, fault.seconds)
            fleet.start_sidecar(address)
        case Kind.DRAIN:
            fleet.sidecars[address].drain()
            fleet.sidecars[address].stop()
            host.kill()
            fleet.start_sidecar(address)
        case Kind.FREEZE_ENTRY:
            fleet.freeze(entry.host, fault.seconds)
        case Kind.FREEZE_OWNER:
            fleet.freeze(
                network.hosts[effects_fleet.OWNER_ADDRESS], fault.seconds
            )
        case Kind.CUT_TABLE:
            _cut(fleet, address, network_lib.PLATFORM, fault.seconds)
        case Kind.CUT_PEER:
            _cut(fleet, address, entry.host.address, fault.seconds)
        case Kind.CUT_OWNER:
            owner = effects_fleet.OWNER_ADDRESS
            _cut(fleet, owner, entry.host.address, fault.seconds)
        case Kind.TABLE_OUTAGE:
            fleet.table.faults.outage = True
            fleet.timers.sleep(fault.seconds)
            fleet.table.faults.outage = False
        case Kind.OBJECT_OUTAGE:
            fleet.objects.faults.outage = True
            fleet.timers.sleep(fault.seconds)
            fleet.objects.faults.outage = False
        case Kind.SERVICE_DOWN:
            service.faults.down = True
            fleet.timers.sleep(fault.seconds)
            service.faults.down = False
        case Kind.SERVICE_HANGS:
            service.faults.seconds = fault.seconds
            fleet.timers.sleep(fault.seconds)
            # Restores the default of `ServiceFaults.seconds`.
            service.faults.seconds = 0.01


def _cut(
    fleet: effects_fleet.Fleet, first: str, second: str, seconds: float
) -> None:
    """Partitions two addresses from each other for some seconds."""
    fleet.network.cut(first, second)
    fleet.timers.sleep(seconds)
    fleet.network.heal(first, second)


def run_operator(fleet: effects_fleet.Fleet) -> None:
    """Plays an operator who resolves open claims after checking the service."""
    entry = fleet.entries[0]
    resolver = resolution.Resolver(fleet.table, entry.claims, fleet.timers)
    while True:
        fleet.timers.sleep(OPERATOR_INTERVAL_SECONDS)
        try:
            page = resolver.open_claims()
        except errors.Refused:
            continue
        for claim in page.claims:
            gevent.spawn(_resolve, fleet, resolver, claim)


def _resolve(
    fleet: effects_fleet.Fleet,
    resolver: resolution.Resolver,
    claim: resolution.ClaimDocument,
) -> None:
    name = f"{claim.account}/{claim.idempotency_key}"
    ran = any(effect.name == name for effect in fleet.effects())
    try:
        resolver.resolve(
            claim.account,
            claim.idempotency_key,
            version=claim.version,
            ran=errors.Ran.YES if ran else errors.Ran.NO,
            note="seen at the service",
        )
    except errors.Refused:
        return
