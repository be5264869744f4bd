"""Entry hosts in simulated time that admit requests, for limits only."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import random
from typing import Any

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.configuration import state as state_lib
from endivepier.entry import parts
from endivepier.internal import peers as peers_lib
from endivepier.internal import process
from endivepier.limits import policies
from endivepier.standins import clock
from endivepier.standins import hosts as hosts_lib
from endivepier.standins import network as network_lib
from endivepier.standins import objects as objects_lib
from endivepier.standins import table as table_lib
from endivepier.storage import clients as storage_clients
from endivepier.storage import ports

LATENCY_SECONDS = 0.0015
UNLIST_SECONDS = 1.0
MAX_CLOCK_START_SECONDS = 1e6
LIMIT_MESSAGES = frozenset(
    ("Borrow", "Renew", "Return", "Take", "Vouch", "Consent")
)


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What became of a request.

    Attributes:
        requested_at: when it came.
        decided_at: when it was admitted or refused.
        host: the entry host's address.
        account: the client account.
        admitted: which of the two.
        retry_after: of a refusal, in seconds.
    """

    requested_at: float
    decided_at: float
    host: str
    account: str
    admitted: bool
    retry_after: float = 0.0


class _CountingPeers:
    """Counts the messages of limiters; loses those that it is told to."""

    def __init__(self, world: Fleet, inner: peers_lib.Peers) -> None:
        self._world = world
        self._inner = inner

    def call(
        self, address: str, req: Any, reply: type[Any], *, seconds: float
    ) -> Any:
        """Sends `req`; see `peers.Peers.call`."""
        name = peers_lib.name_of(type(req))
        if name in LIMIT_MESSAGES:
            self._world.messages[name] += 2
            if self._world.loses():
                raise errors.PeerUnreachable(address, "lost", sent=True)
        answer = self._inner.call(address, req, reply, seconds=seconds)
        if name in LIMIT_MESSAGES and self._world.loses():
            raise errors.PeerUnreachable(address, "reply lost", sent=True)
        return answer

    def stream(
        self, address: str, req: Any, event: Any, *, seconds: float
    ) -> Any:
        """Sends `req`; see `peers.Peers.stream`."""
        return self._inner.stream(address, req, event, seconds=seconds)


class _OwnClock(timers_lib.Timers):
    """Time by a host's own clock: any start, and a little fast or slow."""

    def __init__(
        self, inner: timers_lib.Timers, start: float, drift: float
    ) -> None:
        self._inner = inner
        self._start = start
        self._speed = 1.0 + drift

    def now(self) -> float:
        """Returns monotonic seconds by this clock."""
        return self._start + self._inner.now() * self._speed

    def wall(self) -> float:
        """Returns Unix time in seconds."""
        return self._inner.wall()

    def after(
        self, seconds: float, callback: Callable[[], object]
    ) -> timers_lib.Handle:
        """Calls `callback` after `seconds` by this clock."""
        return self._inner.after(seconds / self._speed, callback)


class Fleet:
    """Entry hosts, the platform and what was decided.

    Attributes:
        timers: simulated time.
        network: the hosts and their faults.
        table: the platform's table.
        entries: the running entry hosts by address.
        decisions: all decisions in order of time.
        messages: how many of each kind limiters sent, answers included.
        message_loss: share of the limiters' messages that get lost.
    """

    def __init__(
        self,
        accounts: Mapping[str, state_lib.Account],
        seed: int,
        policy: policies.Policy | None = None,
        *,
        drift: float = 0.0,
    ) -> None:
        """Makes a world without entry hosts.

        Args:
            accounts: the client accounts by name.
            seed: for everything that is random.
            policy: how rate and burst are spread; lending, if not given.
            drift: by how much a host's clock may be fast or slow.
        """
        self.timers = clock.VirtualTimers()
        self.network = network_lib.Network(
            self.timers, latency_seconds=LATENCY_SECONDS
        )
        self.rng = random.Random(seed)
        self.table = table_lib.MemoryTable(self.timers, self.rng)
        self.host_list = hosts_lib.MemoryHostList(self.timers)
        self.entries: dict[str, parts.Entry] = {}
        self.hosts: dict[str, network_lib.Host] = {}
        self.decisions: list[Decision] = []
        self.messages: collections.Counter[str] = collections.Counter()
        self.message_loss = 0.0
        self.state = state_lib.State(revision=1, accounts=accounts)
        self._objects = objects_lib.MemoryObjects(self.timers)
        self._policy = policy
        self._drift = drift

    def loses(self) -> bool:
        """Returns whether the next message is lost."""
        return self.message_loss > 0 and self.rng.random() < self.message_loss

    def start(self, address: str) -> parts.Entry:
        """Starts an entry host, or starts it anew."""
        host = self.network.add(address)
        self.host_list.put(
            ports.Host(address, "dc", "entry", "", ports.HostState.LIVE),
            at_once=True,
        )
        env = process.Environment(
            address=address,
            data_centre="dc",
            timers=_OwnClock(
                host.timers,
                self.rng.uniform(0.0, MAX_CLOCK_START_SECONDS),
                self.rng.uniform(-self._drift, self._drift),
            ),
            peers=_CountingPeers(self, host.peers),
            inbox=host.inbox,
            platform=storage_clients.Platform(
                table=host.table(self.table),
                objects=host.objects(self._objects),
                hosts=self.host_list,
            ),
            rng=random.Random(self.rng.getrandbits(64)),
            fleet_secret="secret",
        )
        entry = parts.Entry(env, policy=self._policy)
        entry.current.advance(self.state)
        self.hosts[address] = host
        self.entries[address] = entry
        entry.start()
        return entry

    def kill(self, address: str) -> None:
        """Ends an entry host at once."""
        self.entries.pop(address)
        self.hosts.pop(address).kill()
        self.timers.after(UNLIST_SECONDS, lambda: self._unlist(address))

    def _unlist(self, address: str) -> None:
        if address not in self.hosts:
            self.host_list.remove(address)

    def stop(self, address: str) -> None:
        """Stops an entry host gracefully."""
        self.entries[address].drain()
        self.entries[address].stop()
        self.kill(address)

    def change_limits(self, account: state_lib.Account) -> None:
        """Puts another rate or burst in force on all hosts at once."""
        accounts = {**self.state.accounts, account.name: account}
        self.state = state_lib.State(
            revision=self.state.revision + 1, accounts=accounts
        )
        for entry in self.entries.values():
            entry.current.advance(self.state)

    def request(self, address: str, account: str) -> Decision | None:
        """Makes one request; returns None if the host is not there."""
        entry = self.entries.get(address)
        host = self.hosts.get(address)
        if entry is None or host is None or host.frozen:
            return None
        requested_at = self.timers.now()
        try:
            entry.limiter.admit(account)
            admitted, retry_after = True, 0.0
        except errors.Refused as exc:
            admitted, retry_after = False, exc.retry_after or 0.0
        decision = Decision(
            requested_at,
            self.timers.now(),
            address,
            account,
            admitted,
            retry_after,
        )
        if host.alive or admitted:
            self.decisions.append(decision)
        return decision
