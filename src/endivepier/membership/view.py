"""This process's view of the others, from the host list and heartbeats.

The platform's list names the processes that may exist, with a lag. The reply
of a process to a heartbeat tells its present state. A process becomes a
suspect when a call to it fails or it does not answer heartbeats, and remains
one until it answers a heartbeat again.

A process does not send a heartbeat to every member in each round, since the
number of messages would grow with the square of the fleet's size. A round
covers some of the suspects, the members that calls wait for (watched members),
and `ROUND_ROBIN_HEARTBEATS` of all members in turn, so that each of n members
is covered at least every n / `ROUND_ROBIN_HEARTBEATS` rounds. Correctness does
not depend on this view: a draining sidecar itself refuses new work, and a
shard's former owner is fenced by the table.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses

import gevent.event
import gevent.pool

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import peers as peers_lib
from endivepier.membership import members
from endivepier.storage import ports

ROUND_SECONDS = 1.0
HEARTBEAT_TIMEOUT_SECONDS = 0.5
MISSES_UNTIL_SUSPECT = 2
# Most heartbeats in one round to each group of members.
ROUND_ROBIN_HEARTBEATS = 2
SUSPECT_HEARTBEATS = 2
WATCHED_HEARTBEATS = 8
# Most heartbeats at the start, and most that are sent at the same time.
INITIAL_HEARTBEATS = 64


@dataclasses.dataclass(slots=True)
class _Known:
    """What this process knows of one member.

    Attributes:
        member: the description from its last reply.
        first_ready: monotonic time, in seconds, of the first reply that
            reported it as ready; None if there was none.
        misses: number of consecutive heartbeats without a reply.
        suspect: whether no work is sent to it until it answers a heartbeat.
    """

    member: members.Member
    first_ready: float | None
    misses: int = 0
    suspect: bool = False


class View:
    """The members that this process knows, and which of them are reachable."""

    def __init__(
        self,
        host_list: ports.HostList,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
        describe: Callable[[], members.Member],
    ) -> None:
        """Creates a view that is empty until `start`.

        Args:
            host_list: the platform's list of hosts.
            peers: calls other processes.
            timers: the timer service.
            describe: returns the description of this process.
        """
        self._host_list = host_list
        self._peers = peers
        self._timers = timers
        self._describe = describe
        self._hosts: dict[str, ports.Host] = {}
        self._known: dict[str, _Known] = {}
        self._round_robin: collections.deque[str] = collections.deque()
        self._watched: dict[str, list[gevent.event.Event]] = {}
        self._subscription: timers_lib.Subscription | None = None
        self._revision_listeners: list[Callable[[str, int], object]] = []

    def start(self) -> None:
        """Reads the list, sends first heartbeats and starts the rounds."""
        self._read_list()
        self._send_heartbeats(list(self._round_robin)[:INITIAL_HEARTBEATS])
        self._subscription = self._timers.every(ROUND_SECONDS, self.refresh)

    def stop(self) -> None:
        """Stops the heartbeats."""
        if self._subscription is not None:
            self._subscription.cancel()

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Registers the handler for heartbeats of other processes."""
        inbox.register(
            members.Heartbeat, members.Member, self._handle_heartbeat
        )

    def subscribe_revisions(
        self, listener: Callable[[str, int], object]
    ) -> None:
        """Calls `listener(address, revision)` for each heartbeat and reply."""
        self._revision_listeners.append(listener)

    def me(self) -> members.Member:
        """Returns the description of this process."""
        return self._describe()

    def hosts(self) -> Sequence[ports.Host]:
        """Returns the hosts on the platform's list, as last read."""
        return list(self._hosts.values())

    def ready(self, role: str, pool: str = "") -> Sequence[members.Member]:
        """Returns the members that accept new work, sorted by address.

        Args:
            role: "entry" or "sidecar".
            pool: only sidecars of this pool; empty for all.
        """
        accepting = [
            member
            for member in self.reachable_members()
            if member.role == role
            and member.state is members.MemberState.READY
            and (not pool or member.pool == pool)
            and not self.is_leaving(member.address)
        ]
        return sorted(accepting, key=lambda member: member.address)

    def reachable_members(self) -> Sequence[members.Member]:
        """Returns all members that are not suspects, and this process."""
        me = self._describe()
        reachable = {me.address: me}
        for address, known in self._known.items():
            if not known.suspect and address != me.address:
                reachable[address] = known.member
        return list(reachable.values())

    def find(self, address: str) -> members.Member | None:
        """Returns the member at `address`; None if unknown or a suspect."""
        me = self._describe()
        if address == me.address:
            return me
        known = self._known.get(address)
        if known is None or known.suspect:
            return None
        return known.member

    def last_reported(self, address: str) -> members.Member | None:
        """Returns a member's last description, even if it is a suspect."""
        known = self._known.get(address)
        return None if known is None else known.member

    def ready_seconds(self, address: str) -> float:
        """Returns the seconds since a member first reported that it is ready.

        0 if it has not; a restart of the member begins anew.
        """
        known = self._known.get(address)
        if known is None or known.first_ready is None:
            return 0.0
        return self._timers.now() - known.first_ready

    def is_leaving(self, address: str) -> bool:
        """Returns whether the platform's list marks a host as leaving."""
        host = self._hosts.get(address)
        return host is not None and host.state is ports.HostState.LEAVING

    def suspects(self) -> Sequence[str]:
        """Returns the addresses of all suspects, sorted."""
        return sorted(a for a, known in self._known.items() if known.suspect)

    def suspect(self, address: str) -> None:
        """Makes the member at `address` a suspect and notifies its watchers."""
        known = self._known.get(address)
        if known is not None:
            known.suspect = True
        for suspected in self._watched.get(address, ()):
            suspected.set()

    def probe(self, address: str) -> members.Member | None:
        """Sends a heartbeat now; returns the member if it is no suspect."""
        self._send_heartbeat(address, self._describe())
        return self.find(address)

    @contextlib.contextmanager
    def watch(self, address: str) -> Iterator[gevent.event.Event]:
        """Includes `address` in the rounds for as long as the block runs.

        Yields:
            An event that is set once the member has become a suspect, so
            that a call to a frozen process need not wait until it times out.
        """
        suspected = gevent.event.Event()
        watchers = self._watched.setdefault(address, [])
        watchers.append(suspected)
        try:
            yield suspected
        finally:
            watchers.remove(suspected)
            if not watchers:
                self._watched.pop(address, None)

    def refresh(self) -> None:
        """Runs one round: reads the host list and sends heartbeats."""
        self._read_list()
        due = dict.fromkeys(self._next_watched())
        suspects = [a for a, known in self._known.items() if known.suspect]
        due.update(dict.fromkeys(suspects[:SUSPECT_HEARTBEATS]))
        for _ in range(min(ROUND_ROBIN_HEARTBEATS, len(self._round_robin))):
            due[self._round_robin[0]] = None
            self._round_robin.rotate(-1)
        self._send_heartbeats(list(due))

    def _next_watched(self) -> Sequence[str]:
        """Returns the watched addresses whose turn it is."""
        addresses = list(self._watched)[:WATCHED_HEARTBEATS]
        for address in addresses:
            # Moves the address to the end of the order.
            self._watched[address] = self._watched.pop(address)
        return addresses

    def _read_list(self) -> None:
        """Reads the platform's list; keeps the last one if that fails."""
        try:
            listed = self._host_list.hosts()
        except errors.Unavailable:
            return
        own_address = self._describe().address
        self._hosts = {host.address: host for host in listed}
        for address in list(self._known):
            if address not in self._hosts:
                self._known.pop(address)
                self.suspect(address)
        for address in self._round_robin.copy():
            if address not in self._hosts:
                self._round_robin.remove(address)
        present = set(self._round_robin)
        self._round_robin.extendleft(
            address
            for address in self._hosts
            if address != own_address and address not in present
        )

    def _send_heartbeats(self, addresses: Sequence[str]) -> None:
        me = self._describe()
        pool = gevent.pool.Pool(INITIAL_HEARTBEATS)
        for address in addresses:
            if address != me.address:
                pool.spawn(self._send_heartbeat, address, me)
        pool.join()

    def _send_heartbeat(self, address: str, me: members.Member) -> None:
        heartbeat = members.Heartbeat(me.address, me.revision)
        try:
            member = self._peers.call(
                address,
                heartbeat,
                members.Member,
                seconds=HEARTBEAT_TIMEOUT_SECONDS,
            )
        except errors.PeerUnreachable as exc:
            self._record_miss(address, refused=not exc.sent)
            return
        except errors.Refused:
            self._record_miss(address, refused=True)
            return
        self._record_reply(member)

    def _record_miss(self, address: str, *, refused: bool) -> None:
        """Counts a heartbeat without a reply; may make the member a suspect.

        A refused connection shows that the process has stopped. A timeout may
        come from a short pause, so several in a row are needed.
        """
        known = self._known.get(address)
        if known is None:
            return
        known.misses += 1
        if refused or known.misses >= MISSES_UNTIL_SUSPECT:
            self.suspect(address)

    def _record_reply(self, member: members.Member) -> None:
        """Records the description from a member's reply.

        A host that the platform lists as leaving counts as draining, since it
        may be listed before its process drains.
        """
        if self.is_leaving(member.address):
            member = dataclasses.replace(
                member, state=members.MemberState.DRAINING
            )
        known = self._known.get(member.address)
        restarted = (
            known is not None and known.member.incarnation != member.incarnation
        )
        if known is None or restarted:
            known = _Known(member, None)
            self._known[member.address] = known
        known.member = member
        known.misses = 0
        known.suspect = False
        ready = member.state is members.MemberState.READY
        if ready and known.first_ready is None:
            known.first_ready = self._timers.now()
        self._notify_revision(member.address, member.revision)

    def _handle_heartbeat(self, heartbeat: members.Heartbeat) -> members.Member:
        self._notify_revision(heartbeat.sender, heartbeat.revision)
        return self._describe()

    def _notify_revision(self, address: str, revision: int) -> None:
        for listener in self._revision_listeners:
            listener(address, revision)
