"""What a process of `bench.effects_fleet` reaches, with faults of its own."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import typing
from typing import Any

import gevent

from endivepier import errors
from endivepier.internal import codec
from endivepier.internal import peers as peers_lib
from endivepier.membership import members
from endivepier.standins import network as network_lib
from endivepier.standins import service as service_lib
from endivepier.storage import ports
from endivepier.targets import ports as target_ports

if typing.TYPE_CHECKING:
    from bench import effects_fleet

CONNECT_SECONDS = 0.0005
SUSPECT_SECONDS = 1.0
LATE_TIMEOUT_SECONDS = 0.2


@dataclasses.dataclass(slots=True)
class Faults:
    """What goes wrong by chance, as shares of the occasions.

    Attributes:
        late: messages between processes that arrive late, after their sender
            gave up.
        late_seconds: the longest delay of these, in seconds.
        paused: sidecars that are frozen right after a commit of theirs.
        pause_seconds: the longest of these pauses.
        lost_answers: answers of a service that are lost after the effect.
    """

    late: float = 0.0
    late_seconds: float = 30.0
    paused: float = 0.0
    pause_seconds: float = 12.0
    lost_answers: float = 0.0


class Service:
    """A service as the sidecar on its host reaches it; records effects."""

    def __init__(self, fleet: effects_fleet.Fleet, name: str) -> None:
        self.inner = service_lib.MemoryService(
            fleet.timers,
            name,
            tells_outcome=fleet.tells_outcome,
            checks_fence=fleet.tells_outcome,
        )
        self._fleet = fleet

    def beside(self, host: network_lib.Host) -> ServiceOfHost:
        """Returns the service as a process on `host` reaches it."""
        return ServiceOfHost(self._fleet, self.inner, host)


class ServiceOfHost:
    """A service as the process on one host reaches it."""

    def __init__(
        self,
        fleet: effects_fleet.Fleet,
        inner: service_lib.MemoryService,
        host: network_lib.Host,
    ) -> None:
        self._fleet = fleet
        self._inner = inner
        self._host = host

    def call(
        self,
        req: target_ports.ServiceRequest,
        *,
        seconds: float,
        check: Callable[[], None] = target_ports.send_any_time,
    ) -> target_ports.ServiceResponse:
        """Sends a request; see `targets.ports.Service.call`."""

        def gated_check() -> None:
            self._host.gate()
            if not self._fleet.skips_send_check:
                check()

        self._host.timers.sleep(CONNECT_SECONDS)
        answer = self._inner.call(req, seconds=seconds, check=gated_check)
        self._host.gate()
        if self._fleet.chance(self._fleet.faults.lost_answers):
            raise errors.TargetFailed(self._inner.name, "lost", sent=True)
        return answer

    def outcome(self, key: str) -> target_ports.ServiceResponse | None:
        """Asks for an outcome; see `targets.ports.Service.outcome`."""
        self._host.gate()
        return self._inner.outcome(key)


class PausingTable:
    """The table of a sidecar whose host may stop right after a commit."""

    def __init__(
        self, fleet: effects_fleet.Fleet, host: network_lib.Host
    ) -> None:
        self._fleet = fleet
        self._host = host
        self.get = fleet.table.get
        self.scan = fleet.table.scan

    def transact(self, txn: ports.Transaction) -> int:
        """Commits a transaction; see `storage.ports.Table.transact`."""
        version = self._fleet.table.transact(txn)
        faults = self._fleet.faults
        if self._fleet.chance(faults.paused):
            self._fleet.freeze(
                self._host, self._fleet.rng.uniform(0, faults.pause_seconds)
            )
        return version


class LatePeers:
    """Peers some of whose messages arrive after their sender gave up."""

    def __init__(
        self, fleet: effects_fleet.Fleet, host: network_lib.Host
    ) -> None:
        self._fleet = fleet
        self._host = host
        self.stream = host.peers.stream

    def call(
        self, address: str, req: Any, reply: type[Any], *, seconds: float
    ) -> Any:
        """Sends a message; see `internal.peers.Peers.call`."""
        faults = self._fleet.faults
        if not self._fleet.chance(faults.late):
            return self._host.peers.call(address, req, reply, seconds=seconds)
        delay = self._fleet.rng.uniform(0, faults.late_seconds)
        gevent.spawn(
            self._deliver, address, type(req), codec.encode(req), delay
        )
        self._host.timers.sleep(LATE_TIMEOUT_SECONDS)
        raise errors.PeerUnreachable(address, "timeout", sent=True)

    def _deliver(
        self, address: str, kind: type[Any], body: bytes, delay: float
    ) -> None:
        self._fleet.timers.sleep(delay)
        host = self._fleet.network.hosts.get(address)
        if host is None:
            return
        host.gate()
        endpoint = host.inbox.find(peers_lib.name_of(kind))
        try:
            endpoint.handler(codec.decode(kind, body))
        except errors.EndivepierError:
            return


class Roster:
    """A view without heartbeats: who is up, less those that failed lately."""

    def __init__(self, fleet: effects_fleet.Fleet) -> None:
        self._fleet = fleet
        self._suspects: dict[str, float] = {}

    def reachable_members(self) -> list[members.Member]:
        """Returns the sidecars that have not failed lately."""
        now = self._fleet.timers.now()
        return [
            members.Member(
                address,
                "sidecar",
                "plateau",
                target,
                self._fleet.pool,
                members.MemberState.READY,
            )
            for address, target in self._fleet.sites.items()
            if self._suspects.get(address, -SUSPECT_SECONDS) + SUSPECT_SECONDS
            <= now
        ]

    def ready(self, role: str, pool: str = "") -> list[members.Member]:
        """Returns the sidecars that have not failed lately."""
        del role, pool
        return self.reachable_members()

    def suspect(self, address: str) -> None:
        """Notes that a call failed."""
        self._suspects[address] = self._fleet.timers.now()
