"""Replicates the configuration to this process and proves its freshness.

Any of three observations proves that this process has every revision whose
acceptance was reported to an operator before a time T:

1. The process read the head from the table after T and caught up with it.
2. A peer has a proof for T, and this process has the peer's revision.
3. Every other entry host replied to a request that was sent after T, and
   this process has the highest of their revisions. Only entry hosts accept
   notes, and an entry host puts a note in force on itself before it replies
   to the operator, so this proof holds even if no host reaches the table. It
   needs an earlier proof: entry hosts that have all just started agree on
   revision 0.

The second and third proof keep the fleet serving through an outage of the
table. Neither is possible in a part of the fleet that is partitioned from the
entry hosts that can still accept notes.
"""

from __future__ import annotations

from collections.abc import Iterable
import random

import gevent
import gevent.pool

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.configuration import current as current_lib
from endivepier.configuration import freshness as freshness_lib
from endivepier.configuration import messages
from endivepier.configuration import relays
from endivepier.configuration import store as store_lib
from endivepier.internal import peers as peers_lib
from endivepier.membership import view as view_lib
from endivepier.telemetry import metrics as metrics_lib

POLL_INTERVAL_SECONDS = 0.5
# The interval of a process that pulls from a parent; see the module `relays`.
RELAYED_POLL_INTERVAL_SECONDS = 0.7
JITTER_FRACTION = 0.1
PULL_TIMEOUT_SECONDS = 0.5
# With an older proof after a pull from its parent, a process reads the table.
MAX_RELAYED_PROOF_AGE_SECONDS = 2.5
AVOID_FAILED_PARENT_SECONDS = 30.0
SAMPLED_PEERS = 2


class Follower:
    """Keeps the configuration up to date from the table and from peers."""

    def __init__(
        self,
        store: store_lib.Store,
        current: current_lib.CurrentConfiguration,
        view: view_lib.View,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
        metrics: metrics_lib.Metrics,
        rng: random.Random,
    ) -> None:
        self.freshness = freshness_lib.Freshness(timers)
        self._store = store
        self._current = current
        self._view = view
        self._peers = peers
        self._timers = timers
        self._metrics = metrics
        self._rng = rng
        self._handle: timers_lib.Handle | None = None
        self._running = False
        self._pulling: set[str] = set()
        self._failed_parents: dict[str, float] = {}

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Registers the message handlers and the listener for heartbeats."""
        inbox.register(
            messages.PullRevisions, messages.Revisions, self._handle_pull
        )
        inbox.register(
            messages.AnnounceRevision,
            messages.Announced,
            self._handle_announcement,
        )
        self._view.subscribe_revisions(self._on_peer_revision)

    def start(self) -> None:
        """Polls once, then starts the poll timer."""
        self._running = True
        self.poll()
        self._schedule_poll(self._rng.random())

    def stop(self) -> None:
        """Stops the poll timer."""
        self._running = False
        if self._handle is not None:
            self._handle.cancel()

    def poll(self) -> None:
        """Polls the parent, the table and the peers until one gives a proof."""
        parent = self._parent()
        if parent is not None and self._pull_from_parent(parent):
            return
        if not self._read_table():
            self._poll_peers()

    def announce(self, revision: int) -> None:
        """Notifies the other entry hosts of a revision accepted here.

        An entry host pulls the revision before it replies. This returns after
        all of them have replied or `PULL_TIMEOUT_SECONDS` have passed. The
        revision is then in force on every host that could pull it in time,
        even if this process crashes and the table becomes unreachable.
        """
        own_address = self._view.me().address
        message = messages.AnnounceRevision(own_address, revision)
        pool = gevent.pool.Pool()
        for address in self._entry_addresses():
            if address != own_address:
                pool.spawn(self._send_announcement, address, message)
        pool.join()

    def _schedule_poll(self, fraction: float = 1.0) -> None:
        """Sets the poll timer to a fraction of the interval, with jitter."""
        seconds = (
            POLL_INTERVAL_SECONDS
            if self._parent() is None
            else RELAYED_POLL_INTERVAL_SECONDS
        )
        seconds *= fraction * self._rng.uniform(
            1 - JITTER_FRACTION, 1 + JITTER_FRACTION
        )
        self._handle = self._timers.after(seconds, self._run_poll)

    def _run_poll(self) -> None:
        if not self._running:
            return
        try:
            self.poll()
        finally:
            if self._running:
                self._schedule_poll()

    def _parent(self) -> str | None:
        """Returns the peer to pull revisions from; None to read the table."""
        now = self._timers.now()
        for address, failed_at in list(self._failed_parents.items()):
            if now - failed_at > AVOID_FAILED_PARENT_SECONDS:
                self._failed_parents.pop(address)
        me = self._view.me()
        return relays.parent_of(
            me.address,
            me.data_centre,
            self._view.hosts(),
            frozenset(self._failed_parents),
        )

    def _entry_addresses(self) -> set[str]:
        """Returns the addresses of all entry hosts, which accept notes."""
        return {
            host.address for host in self._view.hosts() if host.role == "entry"
        }

    def _pull_from_parent(self, parent: str) -> bool:
        """Pulls from the parent; returns whether the newest proof is recent."""
        if self._pull(parent) is None:
            self._failed_parents[parent] = self._timers.now()
            return False
        age = self.freshness.age()
        return age is not None and age <= MAX_RELAYED_PROOF_AGE_SECONDS

    def _read_table(self) -> bool:
        """Catches up with the table; returns whether that succeeded."""
        started = self._timers.now()
        try:
            self._store.catch_up(self._current)
        except (errors.Unavailable, errors.Refused, ValueError):
            self._metrics.count("configuration_reads_failed")
            return False
        self.freshness.record_proof(started)
        return True

    def _poll_peers(self) -> None:
        """Looks for a proof from the entry hosts, else from other peers."""
        started = self._timers.now()
        own_address = self._view.me().address
        entry_addresses = self._entry_addresses()
        replies = self._pull_all(entry_addresses - {own_address})
        all_replied = len(replies) == len(entry_addresses - {own_address})
        # Without an earlier proof the replies prove nothing: entry hosts that
        # have all just started agree on revision 0.
        has_proof = self.freshness.age() is not None
        if (
            entry_addresses
            and all_replied
            and has_proof
            and self._has_all_of(replies)
        ):
            self.freshness.record_proof(started)
            return
        others = sorted(
            member.address
            for member in self._view.reachable_members()
            if member.address not in entry_addresses | {own_address}
        )
        count = min(SAMPLED_PEERS, len(others))
        self._pull_all(self._rng.sample(others, count))

    def _has_all_of(self, replies: Iterable[messages.Revisions]) -> bool:
        """Returns whether this process has the revisions of all replies."""
        highest = max((reply.revision for reply in replies), default=0)
        return self._current.state.revision >= highest

    def _pull_all(self, addresses: Iterable[str]) -> list[messages.Revisions]:
        pool = gevent.pool.Pool()
        tasks = [pool.spawn(self._pull, address) for address in addresses]
        pool.join()
        return [task.value for task in tasks if task.value is not None]

    def _pull(self, address: str) -> messages.Revisions | None:
        """Applies a peer's newer revisions; returns None if the call fails."""
        started = self._timers.now()
        req = messages.PullRevisions(self._current.state.revision)
        try:
            reply: messages.Revisions = self._peers.call(
                address, req, messages.Revisions, seconds=PULL_TIMEOUT_SECONDS
            )
        except (errors.PeerUnreachable, errors.Refused):
            return None
        if reply.state is not None:
            self._current.advance(reply.state)
        elif not self._current.apply_deltas(reply.deltas):
            self._metrics.count("configuration_gaps")
        if reply.proof_age is not None and self._has_all_of((reply,)):
            self.freshness.record_proof(started - reply.proof_age)
        return reply

    def _handle_pull(self, req: messages.PullRevisions) -> messages.Revisions:
        state = self._current.state
        age = self.freshness.age()
        if req.after >= state.revision:
            return messages.Revisions(state.revision, age)
        deltas = self._current.deltas_since(req.after)
        if deltas is None:
            return messages.Revisions(state.revision, age, state=state)
        return messages.Revisions(state.revision, age, tuple(deltas))

    def _send_announcement(
        self, address: str, message: messages.AnnounceRevision
    ) -> None:
        try:
            self._peers.call(
                address,
                message,
                messages.Announced,
                seconds=PULL_TIMEOUT_SECONDS,
            )
        except (errors.PeerUnreachable, errors.Refused):
            self._metrics.count("configuration_announcements_lost")

    def _handle_announcement(
        self, message: messages.AnnounceRevision
    ) -> messages.Announced:
        if message.revision > self._current.state.revision:
            self._pull(message.sender)
        return messages.Announced(self._current.state.revision)

    def _on_peer_revision(self, address: str, revision: int) -> None:
        """Pulls from a peer whose heartbeat carries a newer revision."""
        if revision <= self._current.state.revision or address in self._pulling:
            return
        self._pulling.add(address)

        def pull() -> None:
            try:
                self._pull(address)
            finally:
                self._pulling.discard(address)

        self._timers.after(0.0, pull)
