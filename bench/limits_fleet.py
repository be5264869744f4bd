"""Simulated entry hosts that only apply rate limits to requests."""

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

NETWORK_LATENCY_SECONDS = 0.0015
# Time from a host's death until its removal from the platform's host list,
# which takes effect after the list's own lag.
UNLIST_DELAY_SECONDS = 1.0
MAX_CLOCK_OFFSET_SECONDS = 1e6
# Names of the request classes of endivepier.limits.messages.
LIMITER_MESSAGES = frozenset(
    ("Borrow", "Renew", "Return", "Take", "Vouch", "Consent")
)


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The admission or refusal of one request.

    Attributes:
        requested_at: simulated time, in seconds, at which the request arrived.
        decided_at: simulated time at which it was admitted or refused.
        host: the entry host's address.
        account: the client account.
        admitted: whether it was admitted.
        retry_after: seconds to wait as stated by the refusal; 0 if none.
    """

    requested_at: float
    decided_at: float
    host: str
    account: str
    admitted: bool
    retry_after: float = 0.0


class _CountingPeers:
    """Counts the messages of limiters and drops some at random."""

    def __init__(self, fleet: Fleet, inner: peers_lib.Peers) -> None:
        self._fleet = fleet
        self._inner = inner

    def call(
        self, address: str, req: Any, reply: type[Any], *, seconds: float
    ) -> Any:
        """Sends `req`; see `peers.Peers.call`."""
        name = peers_lib.name_of(type(req))
        if name in LIMITER_MESSAGES:
            self._fleet.messages[name] += 2
            if self._fleet.should_drop_message():
                raise errors.PeerUnreachable(
                    address, "request dropped", sent=True
                )
        response = self._inner.call(address, req, reply, seconds=seconds)
        if name in LIMITER_MESSAGES and self._fleet.should_drop_message():
            raise errors.PeerUnreachable(address, "reply dropped", sent=True)
        return response

    def stream(
        self, address: str, req: Any, event: Any, *, seconds: float
    ) -> Any:
        """Sends `req`; see `peers.Peers.stream`."""
        return self._inner.stream(address, req, event, seconds=seconds)


class _DriftingTimers(timers_lib.Timers):
    """A host's own clock, with an offset and a constant drift."""

    def __init__(
        self, inner: timers_lib.Timers, offset_seconds: float, drift: float
    ) -> None:
        self._inner = inner
        self._offset_seconds = offset_seconds
        self._rate = 1.0 + drift

    def now(self) -> float:
        """Returns monotonic seconds by this clock."""
        return self._offset_seconds + self._inner.now() * self._rate

    def wall(self) -> float:
        """Returns Unix time in seconds."""
        return self._inner.wall()

    def after(
        self, seconds: float, callback: Callable[[], object]
    ) -> timers_lib.Handle:
        """Calls `callback` after `seconds` by this clock."""
        return self._inner.after(seconds / self._rate, callback)


class Fleet:
    """Entry hosts on a simulated network and platform.

    Attributes:
        timers: the simulated clock.
        rng: the source of all random numbers.
        network: the simulated network, with its faults.
        table: the platform's table.
        host_list: the platform's list of hosts.
        entries: the running entry processes by address.
        hosts: their hosts on the network by address.
        decisions: all decisions, in the order in which they were made.
        messages: number of messages that limiters sent, by the name of the
            request's class. Each request adds two, one for its reply, even if
            either is dropped.
        message_loss: probability with which a message of a limiter is dropped.
        state: the configuration in force.
    """

    def __init__(
        self,
        accounts: Mapping[str, state_lib.Account],
        seed: int,
        policy: policies.Policy | None = None,
        *,
        drift: float = 0.0,
    ) -> None:
        """Creates a fleet without entry hosts.

        Args:
            accounts: the client accounts by name.
            seed: the seed of all random numbers.
            policy: divides rates and bursts among the hosts; None for lending.
            drift: largest fraction by which a host's clock is fast or slow.
        """
        self.timers = clock.VirtualTimers()
        self.network = network_lib.Network(
            self.timers, latency_seconds=NETWORK_LATENCY_SECONDS
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

    def should_drop_message(self) -> bool:
        """Decides at random whether the next message is dropped."""
        return self.message_loss > 0 and self.rng.random() < self.message_loss

    def start(self, address: str) -> parts.Entry:
        """Starts an entry host; one that was killed starts without state."""
        host = self.network.add(address)
        self.host_list.put(
            ports.Host(address, "dc", "entry", "", ports.HostState.LIVE),
            at_once=True,
        )
        env = process.Environment(
            address=address,
            data_centre="dc",
            timers=_DriftingTimers(
                host.timers,
                self.rng.uniform(0.0, MAX_CLOCK_OFFSET_SECONDS),
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
        """Kills an entry host; the platform's list drops it after a delay."""
        self.entries.pop(address)
        self.hosts.pop(address).kill()
        self.timers.after(UNLIST_DELAY_SECONDS, lambda: self._unlist(address))

    def _unlist(self, address: str) -> None:
        # A host that was started again within the delay is not removed.
        if address not in self.hosts:
            self.host_list.remove(address)

    def stop(self, address: str) -> None:
        """Stops an entry host gracefully."""
        self.entries[address].drain()
        self.entries[address].stop()
        self.kill(address)

    def change_limits(self, account: state_lib.Account) -> None:
        """Applies an account's new rate and burst on all hosts at once."""
        accounts = {**self.state.accounts, account.name: account}
        self.state = state_lib.State(
            revision=self.state.revision + 1, accounts=accounts
        )
        for entry in self.entries.values():
            entry.current.advance(self.state)

    def request(self, address: str, account: str) -> Decision | None:
        """Makes one request; returns None if the host is down or frozen."""
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
        # An admission counts even if the host was killed before its return.
        if host.alive or admitted:
            self.decisions.append(decision)
        return decision
