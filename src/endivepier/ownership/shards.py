"""Acquires, verifies and hands over the shards that this process owns.

A shard has one row in the table with its owner and an epoch, which is raised
by each change of owner. Every write to the shard's programs is conditional on
the version of that row, so a former owner that resumes after a pause can't
write any more.
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

COMMIT_TIMEOUT_SECONDS = 5.0
RETRY_AFTER_SECONDS = 0.2
REPLICAS_PER_SHARD = 2
PAUSE_CHECK_SECONDS = 0.1
PAUSE_THRESHOLD_SECONDS = 0.3
MIN_CONFIRM_INTERVAL_SECONDS = 1.0
# Limit on the reads that confirm leases, over the whole fleet.
MAX_CONFIRM_READS_PER_SECOND = 1000.0
ASSUMED_SHARDS_PER_MEMBER = 10.0

T = TypeVar("T")
Recover = Callable[[leases.Lease, tuple[str, ...]], None]
Lost = Callable[[str], None]


class Shards:
    """Acquires shards for this process and keeps their leases."""

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
        self._recovering: dict[str, tuple[leases.Lease, tuple[str, ...]]] = {}
        self._handed_over: dict[str, tuple[leases.Lease, str]] = {}
        self._locks: dict[str, gevent.lock.RLock] = {}
        self._confirmed: dict[str, tuple[int, float]] = {}
        self._checked_at = timers.now()
        self._resumed_at = timers.now()
        self._pause_checks: timers_lib.Subscription | None = None
        self._recover: Recover = lambda lease, replicas: None
        self._lost: Lost = lambda shard: None

    def subscribe(self, recover: Recover, lost: Lost) -> None:
        """Sets the callbacks for changes of ownership.

        Args:
            recover: called with a lease from `acquire` and the former owner's
                replicas, before any call is served under the lease.
            lost: called with the name of a shard that this process has lost.
        """
        self._recover = recover
        self._lost = lost

    def start(self) -> None:
        """Starts to check for pauses of this process."""
        self._checked_at = self._timers.now()
        self._pause_checks = self._timers.every(
            PAUSE_CHECK_SECONDS, self._detect_pause
        )

    def stop(self) -> None:
        """Stops the checks for pauses."""
        if self._pause_checks is not None:
            self._pause_checks.cancel()

    def confirm(self, lease: leases.Lease) -> None:
        """Checks that a lease has held until recently.

        A successful commit under the lease confirms it. Without a recent one,
        the shard's row is read: at once after a pause of this process, which
        others may have taken for dead; after `MIN_CONFIRM_INTERVAL_SECONDS`
        while a member is a suspect; otherwise at intervals that keep the whole
        fleet within `MAX_CONFIRM_READS_PER_SECOND`.

        Raises:
            errors.Refused: `WRONG_OWNER` if the lease was lost.
        """
        self._detect_pause()
        epoch, since = self._confirmed.get(lease.shard, (0, 0.0))
        age = self._timers.now() - since
        unpaused = epoch == lease.epoch and since > self._resumed_at
        if unpaused and age < MIN_CONFIRM_INTERVAL_SECONDS:
            return
        if (
            unpaused
            and age < self._confirm_interval()
            and not self._view.suspects()
        ):
            return
        started = self._timers.now()
        try:
            row = self._table.get(leases.ROW_PREFIX + lease.shard)
        except errors.Unavailable:
            # While the table is down, no other process can take the shard. If
            # only this process is cut off, its replicas refuse its turns after
            # a takeover.
            return
        if row is None or row.version != lease.version:
            current = self._leases.get(lease.shard)
            if current is not None and current != lease:
                return
            self.drop(lease.shard, lease.epoch)
            raise wrong_owner("", "another process has taken it over")
        self.record_confirmed(lease, started)

    def record_confirmed(self, lease: leases.Lease, moment: float) -> None:
        """Records that a lease held at monotonic time `moment`, in seconds."""
        self._confirmed[lease.shard] = (lease.epoch, moment)

    def acquire(self, program: ids_lib.ProgramId) -> leases.Lease:
        """Returns the lease of a program's shard; acquires it if allowed.

        Raises:
            errors.Refused: `WRONG_OWNER` with the owner's location, or
                `STORE_UNAVAILABLE` if the table can't be read or written.
        """
        shard = program.shard_name
        lease = self._leases.get(shard)
        if lease is not None:
            return lease
        successor = self.handed_over_to(shard)
        if successor and self._view.find(successor) is not None:
            raise wrong_owner(
                successor, "it was handed over to another process"
            )
        lock = self._locks.setdefault(shard, gevent.lock.RLock())
        with lock:
            lease = self._leases.get(shard)
            if lease is not None:
                return lease
            if shard not in self._recovering:
                self._recovering[shard] = self._take(shard)
            lease, replicas = self._recovering[shard]
            self._recover(lease, replicas)
            self._recovering.pop(shard, None)
            self._leases[shard] = lease
            self._handed_over.pop(shard, None)
            self._metrics.set("shards_owned", len(self._leases))
            return lease

    def current(self, shard: str) -> leases.Lease | None:
        """Returns this process's lease of the shard as last known, or None."""
        return self._leases.get(shard)

    def write_lease(self, shard: str, epoch: int) -> leases.Lease | None:
        """Returns the lease under which work begun in `epoch` may write.

        Returns None if there is none. Calls that were running at a graceful
        handover are written under the successor's lease.
        """
        lease = self._leases.get(shard)
        if lease is not None and lease.epoch == epoch:
            return lease
        recovering = self._recovering.get(shard)
        if recovering is not None and recovering[0].epoch == epoch:
            return recovering[0]
        handover = self._handed_over.get(shard)
        if handover is not None and handover[0].epoch == epoch + 1:
            return handover[0]
        return None

    def handed_over_to(self, shard: str) -> str:
        """Returns the address that the shard was handed over to, or empty."""
        handover = self._handed_over.get(shard)
        return "" if handover is None else handover[1]

    def drop(self, shard: str, epoch: int) -> None:
        """Removes a lease that was lost, unless it was acquired again since."""
        lease = self._leases.get(shard)
        if lease is not None and lease.epoch == epoch:
            self._leases.pop(shard)
            self._metrics.count("shards_lost")
            self._lost(shard)

    def held(self) -> list[leases.Lease]:
        """Returns all leases of this process, as last known."""
        return list(self._leases.values())

    def preferred_owner(self, shard: str) -> members.Member | None:
        """Returns the member that should own the shard, or None."""
        pool = leases.pool_of(shard)
        order = placement.ranked(shard, self._view.ready("sidecar", pool))
        return order[0] if order else None

    def record_handover(
        self, lease: leases.Lease, new: leases.Lease, to: str
    ) -> None:
        """Records that `to` now owns the shard, under the lease `new`."""
        self._handed_over[lease.shard] = (new, to)
        self._leases.pop(lease.shard, None)
        self._metrics.count("shards_handed_over")

    def adopt(
        self, shard: str, epoch: int, version: int, inherited: int
    ) -> leases.Lease:
        """Takes a shard that its owner hands over.

        Args:
            shard: name of the shard.
            epoch: the former owner's epoch.
            version: version of the shard's row under the former owner.
            inherited: see `leases.ShardRow`.

        Raises:
            errors.Refused: `WRONG_OWNER` if the row has changed since,
                `STORE_UNAVAILABLE` if the table can't be read or written.
        """
        condition = ports.VersionIs(leases.ROW_PREFIX + shard, version)
        lock = self._locks.setdefault(shard, gevent.lock.RLock())
        with lock:
            lease = self._refusing(
                lambda: self._write(shard, epoch + 1, condition, inherited)
            )
            self._leases[shard] = lease
            self._handed_over.pop(shard, None)
            return lease

    def refresh_replicas(self) -> None:
        """Names new replicas for shards with none or an unreachable one."""
        for lease in self.held():
            new_replicas = self._replicas(lease.shard)
            alive = all(self._view.find(name) for name in lease.replicas)
            if (alive and lease.replicas) or not new_replicas:
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
        """Takes a shard that has no owner, or whose owner is not alive."""
        return self._refusing(lambda: self._write_ownership(shard))

    def _write_ownership(
        self, shard: str
    ) -> tuple[leases.Lease, tuple[str, ...]]:
        row = self._table.get(leases.ROW_PREFIX + shard)
        if row is None:
            self._check_preferred(shard)
            absent = ports.Absent(leases.ROW_PREFIX + shard)
            return self._write(shard, 1, absent, 1), ()
        former = codec.decode(leases.ShardRow, row.value)
        self._check_may_take(shard, former)
        epoch = former.epoch + 1
        condition = ports.VersionIs(row.key, row.version)
        lease = self._write(shard, epoch, condition, epoch)
        self._metrics.count("shards_taken_over")
        return lease, former.replicas

    def _check_may_take(self, shard: str, row: leases.ShardRow) -> None:
        """Raises a redirect if the owner is alive or another is preferred."""
        if row.owner == self._me.address:
            return
        owner = self._probe(row.owner)
        if owner is not None and owner.incarnation == row.incarnation:
            raise wrong_owner(row.owner, "another process owns it")
        self._check_preferred(shard)

    def _probe(self, address: str) -> members.Member | None:
        """Returns the member at `address` if it answers a heartbeat now.

        A caller may have come here because it could not reach the owner, so
        the owner's last known state is not enough. A heartbeat that timed out
        is repeated, since a single miss does not make a suspect.
        """
        started = self._timers.now()
        member = self._view.probe(address)
        timeout = view_lib.HEARTBEAT_TIMEOUT_SECONDS
        if member is not None and self._timers.now() - started >= timeout:
            member = self._view.probe(address)
        return member

    def _check_preferred(self, shard: str) -> None:
        """Raises a redirect if another member is the preferred owner."""
        first = self.preferred_owner(shard)
        if first is not None and first.address != self._me.address:
            raise wrong_owner(first.address, "another process should own it")

    def _replicas(self, shard: str) -> tuple[str, ...]:
        """Returns the shard's replicas, which are in other data centres."""
        ready = self._view.ready("sidecar", leases.pool_of(shard))
        others = [
            member
            for member in ready
            if member.data_centre != self._me.data_centre
        ]
        order = placement.ranked(f"replica|{shard}", others)
        return tuple(member.address for member in order[:REPLICAS_PER_SHARD])

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
        proof = commit.Proof(key, lambda current: current == value)
        version = self._committer.commit(
            txn, proof, seconds=COMMIT_TIMEOUT_SECONDS
        )
        now = self._timers.now()
        lease = leases.Lease(
            shard, epoch, version, inherited, row.replicas, now
        )
        self.record_confirmed(lease, now)
        return lease

    def _confirm_interval(self) -> float:
        """Returns the read interval that keeps the fleet within its limit."""
        shards = ASSUMED_SHARDS_PER_MEMBER * len(self._view.reachable_members())
        return shards / MAX_CONFIRM_READS_PER_SECOND

    def _detect_pause(self) -> None:
        """Records a pause if the previous check was too long ago."""
        now = self._timers.now()
        if now - self._checked_at > PAUSE_THRESHOLD_SECONDS:
            self._resumed_at = now
            self._metrics.count("pauses")
        self._checked_at = now

    def _refusing(self, work: Callable[[], T]) -> T:
        """Calls `work` and turns failures of the table into refusals."""
        try:
            return work()
        except errors.ConditionFailed:
            raise wrong_owner("", "another process has taken it over") from None
        except (errors.Unavailable, errors.OutcomeUnknown):
            raise errors.Refused(
                errors.Code.STORE_UNAVAILABLE,
                503,
                "the table is unavailable, so the shard's owner can't be "
                "determined; retry later",
                retry_after=1.0,
            ) from None


def wrong_owner(location: str, reason: str) -> errors.Refused:
    """Returns the refusal of a process that does not own a shard.

    Args:
        location: address of the owner to redirect to; empty if the caller
            should look the owner up again.
        reason: a clause about the shard for the refusal's detail.
    """
    return errors.Refused(
        errors.Code.WRONG_OWNER,
        421,
        f"this process does not own the shard: {reason}",
        retry_after=RETRY_AFTER_SECONDS,
        location=location,
    )
