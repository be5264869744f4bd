"""Faults that strike a fleet of `bench.effects_fleet`."""

from __future__ import annotations

import dataclasses
import enum

import gevent

from bench import effects_fleet
from endivepier import errors
from endivepier.effects import resolution
from endivepier.standins import network as network_lib

OPERATOR_STEP_SECONDS = 5.0


class Kind(enum.Enum):
    """What may strike."""

    KILL = "kill"
    FREEZE = "freeze"
    REPLACE = "replace"
    DRAIN = "drain"
    FREEZE_ENTRY = "freeze entry"
    FREEZE_OWNER = "freeze owner"
    CUT_TABLE = "cut table"
    CUT_PEER = "cut peer"
    CUT_REPLY = "cut entry from owner"
    TABLE_OUTAGE = "table outage"
    OBJECT_OUTAGE = "object outage"
    SERVICE_DOWN = "service down"
    SERVICE_HANGS = "service hangs"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        at: when it begins, in seconds.
        kind: what it is.
        index: which sidecar or entry host it strikes.
        seconds: how long it lasts.
    """

    at: float
    kind: Kind
    index: int
    seconds: float


def inject(fleet: effects_fleet.Fleet, fault: Fault) -> None:
    """Lets a fault begin and end; notes if it could not."""
    try:
        _strike(fleet, fault)
    except Exception as exc:
        fleet.crashes.append(exc)
        raise


def _strike(fleet: effects_fleet.Fleet, fault: Fault) -> None:
    address = sorted(fleet.sites)[fault.index % len(fleet.sites)]
    entry = fleet.entries[fault.index % len(fleet.entries)]
    service = fleet.services[fleet.sites[address]].inner
    network = fleet.network
    fleet.timers.sleep(fault.at)
    host = network.hosts.get(address)
    if host is None:
        # An earlier fault has it down.
        return
    match fault.kind:
        case Kind.KILL:
            host.kill()
            fleet.timers.sleep(fault.seconds)
            fleet.start_sidecar(address)
        case Kind.FREEZE:
            fleet.freeze(host, fault.seconds)
        case Kind.REPLACE:
            # The old process goes on later, beside the new one.
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
            fleet.freeze(network.hosts[effects_fleet.OWNER], fault.seconds)
        case Kind.CUT_TABLE:
            _cut(fleet, address, network_lib.PLATFORM, fault.seconds)
        case Kind.CUT_PEER:
            _cut(fleet, address, entry.host.address, fault.seconds)
        case Kind.CUT_REPLY:
            owner = effects_fleet.OWNER
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
            service.faults.seconds = 0.01


def _cut(
    fleet: effects_fleet.Fleet, one: str, other: str, seconds: float
) -> None:
    fleet.network.cut(one, other)
    fleet.timers.sleep(seconds)
    fleet.network.mend(one, other)


def run_operator(fleet: effects_fleet.Fleet) -> None:
    """Resolves open claims as an operator who looks at the service does."""
    entry = fleet.entries[0]
    resolver = resolution.Resolver(fleet.table, entry.claims, fleet.timers)
    while True:
        fleet.timers.sleep(OPERATOR_STEP_SECONDS)
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
