"""This process's view of the others: host list, heartbeats, failed calls.

The platform's list says who may be there, with a lag. Each process's own
answers to heartbeats say what state it is in now. A call that failed makes
the peer a suspect until it answers a heartbeat again.

A process does not send a heartbeat to everybody in each round, since that
would cost messages in the square of the fleet's size. A round asks the
suspects, the members that calls wait for, and some of the others in turn; a
fleet of a few dozen processes is still covered every few seconds. Nothing
that must hold depends on this view being right: a draining sidecar refuses
new work itself, and a shard's former owner is fenced by the table.
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
ROUND_ROBIN_HEARTBEATS = 2
SUSPECT_HEARTBEATS = 2
WATCHED_HEARTBEATS = 8
FIRST_HEARTBEATS = 64


@dataclasses.dataclass(slots=True)
class _Known:
    """What is known of one member.

    Attributes:
        member: what it last said of itself.
        first_ready: monotonic time when it first said that it is ready.
        misses: heartbeats in a row that it did not answer.
        suspect: whether it is to be left alone until it answers one.
    """

    member: members.Member
    first_ready: float | None
    misses: int = 0
    suspect: bool = False


class View:
    """The processes that this process knows, and which of them to use."""

    def __init__(
        self,
        host_list: ports.HostList,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
        describe: Callable[[], members.Member],
    ) -> None:
        """Makes a view that is empty until `start`.

        Args:
            host_list: the platform's list.
            peers: the way to other processes.
            timers: the timer service.
            describe: returns what this process says of itself.
        """
        self._host_list = host_list
        self._peers = peers
        self._timers = timers
        self._describe = describe
        self._hosts: dict[str, ports.Host] = {}
        self._known: dict[str, _Known] = {}
        self._turn: collections.deque[str] = collections.deque()
        self._watched: dict[str, list[gevent.event.Event]] = {}
        self._subscription: timers_lib.Subscription | None = None
        self._revision_listeners: list[Callable[[str, int], object]] = []

    def start(self) -> None:
        """Reads the list, asks many at once, then goes on in rounds."""
        self._read_list()
        self._ask_all(list(self._turn)[:FIRST_HEARTBEATS])
        self._subscription = self._timers.every(ROUND_SECONDS, self.refresh)

    def stop(self) -> None:
        """Ends the heartbeats."""
        if self._subscription is not None:
            self._subscription.cancel()

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Answers the heartbeats of others."""
        inbox.register(members.Heartbeat, members.Member, self._answer)

    def subscribe_revisions(
        self, listener: Callable[[str, int], object]
    ) -> None:
        """Calls `listener(address, revision)` for each heartbeat."""
        self._revision_listeners.append(listener)

    def me(self) -> members.Member:
        """Returns what this process says of itself."""
        return self._describe()

    def hosts(self) -> Sequence[ports.Host]:
        """Returns the platform's list as it was last read."""
        return list(self._hosts.values())

    def ready(self, role: str, pool: str = "") -> Sequence[members.Member]:
        """Returns the members that take new work, in order of address.

        Args:
            role: "entry" or "sidecar".
            pool: only sidecars of this pool; empty for all.
        """
        found = [
            member
            for member in self.reachable_members()
            if member.role == role
            and member.state is members.MemberState.READY
            and (not pool or member.pool == pool)
            and not self.is_leaving(member.address)
        ]
        return sorted(found, key=lambda member: member.address)

    def reachable_members(self) -> Sequence[members.Member]:
        """Returns all members that answer, this process included."""
        me = self._describe()
        found = {me.address: me}
        for address, known in self._known.items():
            if not known.suspect and address != me.address:
                found[address] = known.member
        return list(found.values())

    def find(self, address: str) -> members.Member | None:
        """Returns the member at `address` if it answers, else None."""
        me = self._describe()
        if address == me.address:
            return me
        known = self._known.get(address)
        if known is None or known.suspect:
            return None
        return known.member

    def last_reported(self, address: str) -> members.Member | None:
        """Returns what a member said last, whether it answers now or not."""
        known = self._known.get(address)
        return None if known is None else known.member

    def ready_seconds(self, address: str) -> float:
        """Returns for how long a member has been ready, in seconds."""
        known = self._known.get(address)
        if known is None or known.first_ready is None:
            return 0.0
        return self._timers.now() - known.first_ready

    def is_leaving(self, address: str) -> bool:
        """Returns whether the platform's list says that a host leaves."""
        host = self._hosts.get(address)
        return host is not None and host.state is ports.HostState.LEAVING

    def suspects(self) -> Sequence[str]:
        """Returns the addresses on the list that do not answer."""
        return sorted(a for a, known in self._known.items() if known.suspect)

    def suspect(self, address: str) -> None:
        """Notes that a call to `address` failed; the next round asks it."""
        known = self._known.get(address)
        if known is not None:
            known.suspect = True
        for lost in self._watched.get(address, ()):
            lost.set()

    def probe(self, address: str) -> members.Member | None:
        """Asks a member now; returns what it says, or None."""
        self._ask(address, self._describe())
        return self.find(address)

    @contextlib.contextmanager
    def watch(self, address: str) -> Iterator[gevent.event.Event]:
        """Has each round ask `address` for as long as the block runs.

        Yields:
            An event that is set once the member has become a suspect, so
            that a call need not wait out its time for a frozen process.
        """
        lost = gevent.event.Event()
        watchers = self._watched.setdefault(address, [])
        watchers.append(lost)
        try:
            yield lost
        finally:
            watchers.remove(lost)
            if not watchers:
                self._watched.pop(address, None)

    def refresh(self) -> None:
        """Does a round: reads the host list and sends the heartbeats due."""
        self._read_list()
        due = dict.fromkeys(self._next_watched())
        suspects = [a for a, known in self._known.items() if known.suspect]
        due.update(dict.fromkeys(suspects[:SUSPECT_HEARTBEATS]))
        for _ in range(min(ROUND_ROBIN_HEARTBEATS, len(self._turn))):
            due[self._turn[0]] = None
            self._turn.rotate(-1)
        self._ask_all(list(due))

    def _next_watched(self) -> Sequence[str]:
        """Returns the watched members whose turn it is."""
        found = list(self._watched)[:WATCHED_HEARTBEATS]
        for address in found:
            # What was asked goes to the end of the order.
            self._watched[address] = self._watched.pop(address)
        return found

    def _read_list(self) -> None:
        """Takes the platform's list over; keeps the last one in an outage."""
        try:
            listed = self._host_list.hosts()
        except errors.Unavailable:
            return
        mine = self._describe().address
        self._hosts = {host.address: host for host in listed}
        for address in list(self._known):
            if address not in self._hosts:
                self._known.pop(address)
                self.suspect(address)
        for address in self._turn.copy():
            if address not in self._hosts:
                self._turn.remove(address)
        present = set(self._turn)
        self._turn.extendleft(
            address
            for address in self._hosts
            if address != mine and address not in present
        )

    def _ask_all(self, addresses: Sequence[str]) -> None:
        me = self._describe()
        pool = gevent.pool.Pool(FIRST_HEARTBEATS)
        for address in addresses:
            if address != me.address:
                pool.spawn(self._ask, address, me)
        pool.join()

    def _ask(self, address: str, me: members.Member) -> None:
        beat = members.Heartbeat(me.address, me.revision)
        try:
            member = self._peers.call(
                address,
                beat,
                members.Member,
                seconds=HEARTBEAT_TIMEOUT_SECONDS,
            )
        except errors.PeerUnreachable as exc:
            self._missed(address, refused=not exc.sent)
            return
        except errors.Refused:
            self._missed(address, refused=True)
            return
        self._heard(member)

    def _missed(self, address: str, *, refused: bool) -> None:
        """Counts a heartbeat without an answer.

        A refused connection tells that the process is gone. A timeout may
        come from a pause, so it takes several in a row.
        """
        known = self._known.get(address)
        if known is None:
            return
        known.misses += 1
        if refused or known.misses >= MISSES_UNTIL_SUSPECT:
            self.suspect(address)

    def _heard(self, member: members.Member) -> None:
        """Takes over what a member says of itself."""
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
        self._hear(member.address, member.revision)

    def _answer(self, beat: members.Heartbeat) -> members.Member:
        self._hear(beat.sender, beat.revision)
        return self._describe()

    def _hear(self, address: str, revision: int) -> None:
        for listener in self._revision_listeners:
            listener(address, revision)
