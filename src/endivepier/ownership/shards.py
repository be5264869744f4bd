"""The shards that this process owns, and how it takes them.

A shard has one row in the table: its owner and an epoch, which each change of
owner raises. Every write about the shard's programs is conditional on the
row's version, so a former owner that was paused and goes on can't write.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import gevent.lock

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import codec
from endivepier.internal import ids as ids_lib
from endivepier.membership import members
from endivepier.membership import view as view_lib
from endivepier.ownership import leases
from endivepier.ownership import placement
from endivepier.storage import commit
from endivepier.storage import ports
from endivepier.telemetry import metrics as metrics_lib

TAKEOVER_SECONDS = 5.0
RETRY_SECONDS = 0.2
REPLICAS = 2
WATCH_SECONDS = 0.1
GAP_SECONDS = 0.3
CONFIRMED_SECONDS = 1.0
CONFIRM_READS_PER_SECOND = 1000.0
SHARDS_PER_MEMBER = 10.0

T = TypeVar("T")
Recover = Callable[[leases.Lease, tuple[str, ...]], None]
Lost = Callable[[str], None]


class Shards:
    """Takes shards for this process and knows the leases that it has."""

    def __init__(
        self,
        table: ports.Table,
        committer: commit.Committer,
        view: view_lib.View,
        ids: ids_lib.Ids,
        me: members.Member,
        timers: timers_lib.Timers,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._table = table
        self._committer = committer
        self._view = view
        self._ids = ids
        self._me = me
        self._timers = timers
        self._metrics = metrics
        self._leases: dict[str, leases.Lease] = {}
        self._unready: dict[str, tuple[leases.Lease, tuple[str, ...]]] = {}
        self._passed_on: dict[str, tuple[leases.Lease, str]] = {}
        self._locks: dict[str, gevent.lock.RLock] = {}
        self._confirmed: dict[str, tuple[int, float]] = {}
        self._awake = timers.now()
        self._gap = timers.now()
        self._watch: timers_lib.Subscription | None = None
        self._recover: Recover = lambda lease, replicas: None
        self._lost: Lost = lambda shard: None

    def subscribe(self, recover: Recover, lost: Lost) -> None:
        """Has others take part in changes of ownership.

        Args:
            recover: called with a new lease and the former owner's replicas,
                before any call is served under the lease.
            lost: called with the name of a shard that is no longer ours.
        """
        self._recover = recover
        self._lost = lost

    def start(self) -> None:
        """Starts to watch for pauses of this process."""
        self._awake = self._timers.now()
        self._watch = self._timers.every(WATCH_SECONDS, self._note_awake)

    def stop(self) -> None:
        """Ends the watch."""
        if self._watch is not None:
            self._watch.cancel()

    def confirm(self, lease: leases.Lease) -> None:
        """Makes sure that a lease still held a moment ago.

        A commit that went through proves it for the shard. Without one the
        shard's row is read, as often as the whole fleet can afford; and in
        any case after a pause of this process, which others may have taken
        for its death.

        Raises:
            errors.Refused: `WRONG_OWNER` if the lease was lost.
        """
        self._note_awake()
        epoch, since = self._confirmed.get(lease.shard, (0, 0.0))
        age = self._timers.now() - since
        awake = epoch == lease.epoch and since > self._gap
        if awake and age < CONFIRMED_SECONDS:
            return
        if awake and age < self._affordable() and not self._view.suspects():
            return
        started = self._timers.now()
        try:
            row = self._table.get(leases.ROW_PREFIX + lease.shard)
        except errors.Unavailable:
            # Without the table nobody else can have taken the shard by now;
            # if only this process is cut off, its replicas refuse its turns.
            return
        if row is None or row.version != lease.version:
            current = self._leases.get(lease.shard)
            if current is not None and current != lease:
                return
            self.drop(lease.shard, lease.epoch)
            raise wrong_owner("", "another process took it")
        self.record_confirmed(lease, started)

    def record_confirmed(self, lease: leases.Lease, moment: float) -> None:
        """Notes that a lease held at a moment of monotonic time."""
        self._confirmed[lease.shard] = (lease.epoch, moment)

    def acquire(self, program: ids_lib.ProgramId) -> leases.Lease:
        """Returns the lease of a program's shard; takes the shard if due.

        Raises:
            errors.Refused: `WRONG_OWNER` with the owner's location, or
                `STORE_UNAVAILABLE` if the table can't be asked.
        """
        shard = program.shard_name
        lease = self._leases.get(shard)
        if lease is not None:
            return lease
        to = self.handed_over_to(shard)
        if to and self._view.find(to) is not None:
            raise wrong_owner(to, "it was handed over")
        lock = self._locks.setdefault(shard, gevent.lock.RLock())
        with lock:
            lease = self._leases.get(shard)
            if lease is not None:
                return lease
            if shard not in self._unready:
                self._unready[shard] = self._take(shard)
            lease, replicas = self._unready[shard]
            self._recover(lease, replicas)
            self._unready.pop(shard, None)
            self._leases[shard] = lease
            self._passed_on.pop(shard, None)
            self._metrics.set("shards_owned", len(self._leases))
            return lease

    def current(self, shard: str) -> leases.Lease | None:
        """Returns the lease that this process believes it has, or None."""
        return self._leases.get(shard)

    def write_lease(self, shard: str, epoch: int) -> leases.Lease | None:
        """Returns the lease to write under for work begun in `epoch`.

        After a graceful handover that is the successor's, until the calls
        that were under way have ended.
        """
        lease = self._leases.get(shard)
        if lease is not None and lease.epoch == epoch:
            return lease
        unready = self._unready.get(shard)
        if unready is not None and unready[0].epoch == epoch:
            return unready[0]
        passed_on = self._passed_on.get(shard)
        if passed_on is not None and passed_on[0].epoch == epoch + 1:
            return passed_on[0]
        return None

    def handed_over_to(self, shard: str) -> str:
        """Returns to whom the shard was handed over; empty if to nobody."""
        passed_on = self._passed_on.get(shard)
        return "" if passed_on is None else passed_on[1]

    def drop(self, shard: str, epoch: int) -> None:
        """Forgets a lease that was found to be lost."""
        lease = self._leases.get(shard)
        if lease is not None and lease.epoch == epoch:
            self._leases.pop(shard)
            self._metrics.count("shards_lost")
            self._lost(shard)

    def held(self) -> list[leases.Lease]:
        """Returns the leases that this process believes it has."""
        return list(self._leases.values())

    def preferred_owner(self, shard: str) -> members.Member | None:
        """Returns the member that should own the shard, or None."""
        pool = leases.pool_of(shard)
        order = placement.ranked(shard, self._view.ready("sidecar", pool))
        return order[0] if order else None

    def record_handover(
        self, lease: leases.Lease, new: leases.Lease, to: str
    ) -> None:
        """Notes that `to` has the shard now, under the lease `new`."""
        self._passed_on[lease.shard] = (new, to)
        self._leases.pop(lease.shard, None)
        self._metrics.count("shards_handed_over")

    def adopt(
        self, shard: str, epoch: int, version: int, inherited: int
    ) -> leases.Lease:
        """Takes a shard that its owner hands over.

        Raises:
            errors.Refused: `WRONG_OWNER` if the row has changed since,
                `STORE_UNAVAILABLE` if that can't be told.
        """
        condition = ports.VersionIs(leases.ROW_PREFIX + shard, version)
        lock = self._locks.setdefault(shard, gevent.lock.RLock())
        with lock:
            lease = self._guarded(
                lambda: self._write(shard, epoch + 1, condition, inherited)
            )
            self._leases[shard] = lease
            self._passed_on.pop(shard, None)
            return lease

    def refresh_replicas(self) -> None:
        """Names new replicas where one of them is gone."""
        for lease in self.held():
            names = self._replicas(lease.shard)
            alive = all(self._view.find(name) for name in lease.replicas)
            if (alive and lease.replicas) or not names:
                continue
            lock = self._locks.setdefault(lease.shard, gevent.lock.RLock())
            with lock:
                if self._leases.get(lease.shard) != lease:
                    continue
                condition = lease.condition()
                try:
                    renewed = self._write(
                        lease.shard, lease.epoch, condition, lease.inherited
                    )
                except errors.ConditionFailed:
                    self.drop(lease.shard, lease.epoch)
                except (errors.Unavailable, errors.OutcomeUnknown):
                    return
                else:
                    self._leases[lease.shard] = renewed

    def _take(self, shard: str) -> tuple[leases.Lease, tuple[str, ...]]:
        """Takes the shard from nobody or from an owner that is gone."""
        return self._guarded(lambda: self._take_now(shard))

    def _take_now(self, shard: str) -> tuple[leases.Lease, tuple[str, ...]]:
        row = self._table.get(leases.ROW_PREFIX + shard)
        if row is None:
            self._check_preferred(shard)
            absent = ports.Absent(leases.ROW_PREFIX + shard)
            return self._write(shard, 1, absent, 1), ()
        known = codec.decode(leases.ShardRow, row.value)
        self._check_may_take(shard, known)
        epoch = known.epoch + 1
        condition = ports.VersionIs(row.key, row.version)
        lease = self._write(shard, epoch, condition, epoch)
        self._metrics.count("shards_taken_over")
        return lease, known.replicas

    def _check_may_take(self, shard: str, row: leases.ShardRow) -> None:
        """Refuses to take the shard from an owner that is alive."""
        if row.owner == self._me.address:
            return
        owner = self._probe(row.owner)
        if owner is not None and owner.incarnation == row.incarnation:
            raise wrong_owner(row.owner, "it has another owner")
        self._check_preferred(shard)

    def _probe(self, address: str) -> members.Member | None:
        """Returns the member at `address` if it answers now, else None.

        Whoever asks here for a shard of another owner may have found that
        owner dead, so what this process last heard of it is not enough.
        """
        started = self._timers.now()
        member = self._view.probe(address)
        timeout = view_lib.HEARTBEAT_TIMEOUT_SECONDS
        if member is not None and self._timers.now() - started >= timeout:
            member = self._view.probe(address)
        return member

    def _check_preferred(self, shard: str) -> None:
        """Leaves the shard to the first candidate, if that is another."""
        first = self.preferred_owner(shard)
        if first is not None and first.address != self._me.address:
            raise wrong_owner(first.address, "another should own it")

    def _replicas(self, shard: str) -> tuple[str, ...]:
        """Returns who shall hold unflushed turns: in other data centres."""
        ready = self._view.ready("sidecar", leases.pool_of(shard))
        others = [
            member
            for member in ready
            if member.data_centre != self._me.data_centre
        ]
        order = placement.ranked(f"replica|{shard}", others)
        return tuple(member.address for member in order[:REPLICAS])

    def _write(
        self, shard: str, epoch: int, condition: ports.Condition, inherited: int
    ) -> leases.Lease:
        row = leases.ShardRow(
            owner=self._me.address,
            incarnation=self._me.incarnation,
            epoch=epoch,
            write_id=self._ids.unique(),
            inherited=inherited,
            replicas=self._replicas(shard),
        )
        key = leases.ROW_PREFIX + shard
        value = codec.encode(row)
        txn = ports.Transaction((condition,), (ports.Put(key, value),))
        proof = commit.Proof(key, lambda found: found == value)
        version = self._committer.commit(txn, proof, seconds=TAKEOVER_SECONDS)
        now = self._timers.now()
        lease = leases.Lease(
            shard, epoch, version, inherited, row.replicas, now
        )
        self.record_confirmed(lease, now)
        return lease

    def _affordable(self) -> float:
        """Returns how long to trust a lease, so that reads stay bounded."""
        shards = SHARDS_PER_MEMBER * len(self._view.reachable_members())
        return shards / CONFIRM_READS_PER_SECOND

    def _note_awake(self) -> None:
        """Notes whether this process has paused since the last time."""
        now = self._timers.now()
        if now - self._awake > GAP_SECONDS:
            self._gap = now
            self._metrics.count("pauses")
        self._awake = now

    def _guarded(self, work: Callable[[], T]) -> T:
        """Does `work` and turns failures of the table into refusals."""
        try:
            return work()
        except errors.ConditionFailed:
            raise wrong_owner("", "another process took the shard") from None
        except (errors.Unavailable, errors.OutcomeUnknown):
            raise errors.Refused(
                errors.Code.STORE_UNAVAILABLE,
                503,
                "the shard's owner can't be read now; retry later",
                retry_after=1.0,
            ) from None


def wrong_owner(location: str, why: str) -> errors.Refused:
    """Returns the redirect to `location`, or the advice to ask again."""
    return errors.Refused(
        errors.Code.WRONG_OWNER,
        421,
        f"this process does not own the shard: {why}",
        retry_after=RETRY_SECONDS,
        location=location,
    )
