"""This process's view of the others: host list, heartbeats, failed calls.

The platform's list says who may be there, with a lag. Each process's own
answers to heartbeats say what state it is in now. A failed call makes the
peer a suspect until it answers a heartbeat again.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

import gevent
import gevent.pool

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import peers as peers_lib
from endivepier.membership import members
from endivepier.platform import ports

HEARTBEAT_SECONDS = 0.5
HEARTBEAT_TIMEOUT_SECONDS = 0.5
CONCURRENT_HEARTBEATS = 32


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
        self._members: dict[str, members.Member] = {}
        self._suspects: set[str] = set()
        self._subscription: timers_lib.Subscription | None = None

    def start(self) -> None:
        """Reads the list, asks everybody once, then goes on periodically."""
        self.refresh()
        self._subscription = self._timers.every(HEARTBEAT_SECONDS, self.refresh)

    def stop(self) -> None:
        """Ends the heartbeats."""
        if self._subscription is not None:
            self._subscription.cancel()

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Answers the heartbeats of others."""
        inbox.register(members.Heartbeat, members.Member, self._answer)

    def ready(self, role: str, pool: str = "") -> Sequence[members.Member]:
        """Returns the members that take new work, in order of address.

        Args:
            role: "entry" or "sidecar".
            pool: only sidecars of this pool; empty for all.
        """
        found = [
            member
            for member in self.everybody()
            if member.role == role
            and member.state is members.MemberState.READY
            and (not pool or member.pool == pool)
        ]
        return sorted(found, key=lambda member: member.address)

    def everybody(self) -> Sequence[members.Member]:
        """Returns all members that answer, this process included."""
        me = self._describe()
        known = {me.address: me}
        for address, member in self._members.items():
            if address not in self._suspects and address != me.address:
                known[address] = member
        return list(known.values())

    def myself(self) -> members.Member:
        """Returns what this process says of itself."""
        return self._describe()

    def find(self, address: str) -> members.Member | None:
        """Returns the member at `address` if it answers, else None."""
        me = self._describe()
        if address == me.address:
            return me
        if address in self._suspects:
            return None
        return self._members.get(address)

    def suspect(self, address: str) -> None:
        """Notes that a call to `address` failed."""
        self._suspects.add(address)

    def refresh(self) -> None:
        """Reads the host list and sends a heartbeat to everybody on it."""
        try:
            listed = self._host_list.hosts()
        except errors.Unavailable:
            listed = list(self._hosts.values())
        self._hosts = {host.address: host for host in listed}
        for address in list(self._members):
            if address not in self._hosts:
                self._members.pop(address)
                self._suspects.discard(address)
        me = self._describe()
        pool = gevent.pool.Pool(CONCURRENT_HEARTBEATS)
        for address in self._hosts:
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
        except (errors.PeerUnreachable, errors.Refused):
            self._suspects.add(address)
            return
        host = self._hosts.get(address)
        if host is not None and host.state is ports.HostState.LEAVING:
            member = dataclasses.replace(
                member, state=members.MemberState.DRAINING
            )
        self._members[address] = member
        self._suspects.discard(address)

    def _answer(self, beat: members.Heartbeat) -> members.Member:
        self._suspects.discard(beat.sender)
        return self._describe()
