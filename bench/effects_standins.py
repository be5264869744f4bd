"""Stand-ins with random faults for the dependencies of simulated processes.

`bench.effects_fleet` gives them to its entry hosts and sidecars in place of
the service, the table, the peers and the membership view.
"""

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
LATE_CALL_TIMEOUT_SECONDS = 0.2


@dataclasses.dataclass(slots=True)
class Faults:
    """Probabilities of random faults, and how long the faults last.

    Attributes:
        late: probability that a message between processes is delayed, while
            its sender gets a timeout.
        late_seconds: longest delay of a late message.
        paused: probability that a sidecar is frozen right after a commit.
        pause_seconds: longest duration of such a freeze.
        lost_answers: probability that a service's response is lost after the
            effect.
    """

    late: float = 0.0
    late_seconds: float = 30.0
    paused: float = 0.0
    pause_seconds: float = 12.0
    lost_answers: float = 0.0


class Service:
    """A service that several hosts can call; records its effects."""

    def __init__(self, fleet: effects_fleet.Fleet, name: str) -> None:
        self.inner = service_lib.MemoryService(
            fleet.timers,
            name,
            tells_outcome=fleet.tells_outcome,
            checks_fence=fleet.tells_outcome,
        )
        self._fleet = fleet

    def client_for(self, host: network_lib.Host) -> ServiceClient:
        """Returns a client of the service for the process on `host`."""
        return ServiceClient(self._fleet, self.inner, host)


class ServiceClient:
    """Client of a service for the process on one host."""

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
        check: Callable[[], None] = target_ports.allow_send,
    ) -> target_ports.ServiceResponse:
        """Sends a request; may lose the response; see `ports.Service.call`."""

        def check_on_host() -> None:
            self._host.wait_until_running()
            if not self._fleet.skips_send_check:
                check()

        self._host.timers.sleep(CONNECT_SECONDS)
        response = self._inner.call(req, seconds=seconds, check=check_on_host)
        self._host.wait_until_running()
        if self._fleet.chance(self._fleet.faults.lost_answers):
            raise errors.TargetFailed(self._inner.name, "reply lost", sent=True)
        return response

    def outcome(self, key: str) -> target_ports.ServiceResponse | None:
        """Returns an outcome; see `targets.ports.Service.outcome`."""
        self._host.wait_until_running()
        return self._inner.outcome(key)


class PausingTable:
    """Table client that may freeze its host right after a commit."""

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
    """Peer client that delays some messages and lets their calls time out."""

    def __init__(
        self, fleet: effects_fleet.Fleet, host: network_lib.Host
    ) -> None:
        self._fleet = fleet
        self._host = host
        self.stream = host.peers.stream

    def call(
        self, address: str, req: Any, reply: type[Any], *, seconds: float
    ) -> Any:
        """Sends a message or delays it; see `internal.peers.Peers.call`."""
        faults = self._fleet.faults
        if not self._fleet.chance(faults.late):
            return self._host.peers.call(address, req, reply, seconds=seconds)
        delay = self._fleet.rng.uniform(0, faults.late_seconds)
        gevent.spawn(
            self._deliver, address, type(req), codec.encode(req), delay
        )
        self._host.timers.sleep(LATE_CALL_TIMEOUT_SECONDS)
        raise errors.PeerUnreachable(address, "timeout", sent=True)

    def _deliver(
        self, address: str, message_class: type[Any], body: bytes, delay: float
    ) -> None:
        self._fleet.timers.sleep(delay)
        host = self._fleet.network.hosts.get(address)
        if host is None:
            return
        host.wait_until_running()
        endpoint = host.inbox.find(peers_lib.name_of(message_class))
        try:
            endpoint.handler(codec.decode(message_class, body))
        except errors.EndivepierError:
            return


class MembershipView:
    """A membership view without heartbeats.

    All sidecars count as ready, except for `SUSPECT_SECONDS` after a failed
    call.
    """

    def __init__(self, fleet: effects_fleet.Fleet) -> None:
        self._fleet = fleet
        self._failed_at: dict[str, float] = {}

    def reachable_members(self) -> list[members.Member]:
        """Returns the sidecars without a recent failed call."""
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
            for address, target in self._fleet.targets.items()
            if self._failed_at.get(address, -SUSPECT_SECONDS) + SUSPECT_SECONDS
            <= now
        ]

    def ready(self, role: str, pool: str = "") -> list[members.Member]:
        """Returns the sidecars without a recent failed call."""
        del role, pool
        return self.reachable_members()

    def suspect(self, address: str) -> None:
        """Excludes a sidecar for `SUSPECT_SECONDS` after a failed call."""
        self._failed_at[address] = self._fleet.timers.now()
