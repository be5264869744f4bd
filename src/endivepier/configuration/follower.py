"""Keeps a process's configuration at the head, and knows how fresh it is.

There are three proofs that nothing newer was accepted before a moment:

1. The head was read from the table after that moment.
2. A peer has such a proof, and this process has the peer's revision.
3. Every entry host answered after that moment, and this process has the
   highest of their revisions. Notes are accepted only by entry hosts, and one
   puts a note in force on itself before it tells the operator; so this holds
   with the table down for all.

The second and third keep the fleet serving through an outage of the table,
and neither can prove anything to a part of the fleet that is cut off from
where notes are still accepted.
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
RELAYED_SECONDS = 0.7
JITTER = 0.1
PULL_SECONDS = 0.5
RELAY_STALE_SECONDS = 2.5
FAILED_SECONDS = 30.0
OTHER_PEERS = 2


class Follower:
    """Follows the head by the table, relays and peers."""

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
        self._hinted: set[str] = set()
        self._failed: dict[str, float] = {}

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Answers peers that ask for revisions."""
        inbox.register(messages.PullRevisions, messages.Revisions, self._answer)
        inbox.register(
            messages.AnnounceRevision, messages.Announced, self._announced
        )
        self._view.subscribe_revisions(self._hint)

    def start(self) -> None:
        """Reads the head, then follows it."""
        self._running = True
        self.poll()
        self._arm(self._rng.random())

    def stop(self) -> None:
        """Stops following."""
        self._running = False
        if self._handle is not None:
            self._handle.cancel()

    def poll(self) -> None:
        """Makes one round: parent, table, peers, until there is a proof."""
        parent = self._parent()
        if parent is not None and self._relayed(parent):
            return
        if not self._read_table():
            self._ask_around()

    def announce(self, revision: int) -> None:
        """Tells the other entry hosts of a revision accepted here.

        It returns once they have it, or after `PULL_SECONDS`; so the note
        outlives this process even if the table goes down at once.
        """
        me = self._view.me().address
        message = messages.AnnounceRevision(me, revision)
        pool = gevent.pool.Pool()
        for address in self._acceptors():
            if address != me:
                pool.spawn(self._tell, address, message)
        pool.join()

    def _arm(self, share: float = 1.0) -> None:
        """Sets the timer for the next round, `share` of an interval away."""
        seconds = (
            POLL_INTERVAL_SECONDS if self._parent() is None else RELAYED_SECONDS
        )
        seconds *= share * self._rng.uniform(1 - JITTER, 1 + JITTER)
        self._handle = self._timers.after(seconds, self._fire)

    def _fire(self) -> None:
        if not self._running:
            return
        try:
            self.poll()
        finally:
            if self._running:
                self._arm()

    def _parent(self) -> str | None:
        """Returns the peer that relays revisions to this one, if any."""
        now = self._timers.now()
        for address, failed_at in list(self._failed.items()):
            if now - failed_at > FAILED_SECONDS:
                self._failed.pop(address)
        me = self._view.me()
        return relays.parent_of(
            me.address,
            me.data_centre,
            self._view.hosts(),
            frozenset(self._failed),
        )

    def _acceptors(self) -> set[str]:
        """Returns the addresses of all hosts that may accept notes."""
        return {
            host.address for host in self._view.hosts() if host.role == "entry"
        }

    def _relayed(self, parent: str) -> bool:
        """Pulls from the parent; returns whether that was fresh enough."""
        if self._pull(parent) is None:
            self._failed[parent] = self._timers.now()
            return False
        age = self.freshness.age()
        return age is not None and age <= RELAY_STALE_SECONDS

    def _read_table(self) -> bool:
        """Reads the head and what is missing; returns whether that worked."""
        started = self._timers.now()
        try:
            self._store.catch_up(self._current)
        except (errors.Unavailable, errors.Refused, ValueError):
            self._metrics.count("configuration_reads_failed")
            return False
        self.freshness.record_proof(started)
        return True

    def _ask_around(self) -> None:
        """Looks for the second and third proof."""
        started = self._timers.now()
        me = self._view.me().address
        acceptors = self._acceptors()
        answers = self._pull_all(acceptors - {me})
        reached = len(answers) == len(acceptors - {me})
        known = self.freshness.age() is not None
        if acceptors and reached and known and self._covers(answers):
            self.freshness.record_proof(started)
            return
        others = sorted(
            member.address
            for member in self._view.everybody()
            if member.address not in acceptors | {me}
        )
        count = min(OTHER_PEERS, len(others))
        self._pull_all(self._rng.sample(others, count))

    def _covers(self, answers: Iterable[messages.Revisions]) -> bool:
        """Returns whether this process has all that the answers speak of."""
        highest = max((answer.revision for answer in answers), default=0)
        return self._current.state.revision >= highest

    def _pull_all(self, addresses: Iterable[str]) -> list[messages.Revisions]:
        pool = gevent.pool.Pool()
        tasks = [pool.spawn(self._pull, address) for address in addresses]
        pool.join()
        return [task.value for task in tasks if task.value is not None]

    def _pull(self, address: str) -> messages.Revisions | None:
        """Takes over what a peer has; returns its answer, if any."""
        started = self._timers.now()
        req = messages.PullRevisions(self._current.state.revision)
        try:
            answer: messages.Revisions = self._peers.call(
                address, req, messages.Revisions, seconds=PULL_SECONDS
            )
        except (errors.PeerUnreachable, errors.Refused):
            return None
        if answer.state is not None:
            self._current.advance(answer.state)
        elif not self._current.apply_deltas(answer.deltas):
            self._metrics.count("configuration_gaps")
        if answer.proof_age is not None and self._covers((answer,)):
            self.freshness.record_proof(started - answer.proof_age)
        return answer

    def _answer(self, req: messages.PullRevisions) -> messages.Revisions:
        state = self._current.state
        age = self.freshness.age()
        if req.after >= state.revision:
            return messages.Revisions(state.revision, age)
        deltas = self._current.deltas_since(req.after)
        if deltas is None:
            return messages.Revisions(state.revision, age, state=state)
        return messages.Revisions(state.revision, age, tuple(deltas))

    def _tell(self, address: str, message: messages.AnnounceRevision) -> None:
        try:
            self._peers.call(
                address, message, messages.Announced, seconds=PULL_SECONDS
            )
        except (errors.PeerUnreachable, errors.Refused):
            self._metrics.count("configuration_announcements_lost")

    def _announced(
        self, message: messages.AnnounceRevision
    ) -> messages.Announced:
        if message.revision > self._current.state.revision:
            self._pull(message.sender)
        return messages.Announced(self._current.state.revision)

    def _hint(self, address: str, revision: int) -> None:
        """Pulls from a peer that has shown a higher revision."""
        if revision <= self._current.state.revision or address in self._hinted:
            return
        self._hinted.add(address)

        def pull() -> None:
            try:
                self._pull(address)
            finally:
                self._hinted.discard(address)

        self._timers.after(0.0, pull)
