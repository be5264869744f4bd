"""The shards that this process owns, and how it takes them.

A shard has one row in the table: its owner and an epoch, which each takeover
raises. Every write about the shard's programs is conditional on the row's
version, so a former owner that was paused and goes on can't write any more.
"""

from __future__ import annotations

import dataclasses

import gevent.lock

from endivepier import errors
from endivepier.internal import codec
from endivepier.internal import ids as ids_lib
from endivepier.membership import members
from endivepier.membership import view as view_lib
from endivepier.ownership import placement
from endivepier.platform import commit
from endivepier.platform import ports

ROW_PREFIX = "shard/"
TAKEOVER_SECONDS = 5.0
RETRY_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class ShardRow:
    """The table's row of a shard.

    Attributes:
        owner: address of the owning process.
        incarnation: which start of that process.
        epoch: how often the shard was taken over.
        write_id: unique for each write of the row.
    """

    owner: str
    incarnation: str
    epoch: int
    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Proof of ownership, to make writes conditional on.

    Attributes:
        shard: name of the shard.
        epoch: the epoch of this ownership.
        version: version of the shard's row.
    """

    shard: str
    epoch: int
    version: int

    def condition(self) -> ports.Condition:
        """Returns the condition that fails once somebody else has taken it."""
        return ports.VersionIs(ROW_PREFIX + self.shard, self.version)


class Shards:
    """Takes shards for this process and knows the leases that it has."""

    def __init__(
        self,
        table: ports.Table,
        committer: commit.Committer,
        view: view_lib.View,
        ids: ids_lib.Ids,
        me: members.Member,
    ) -> None:
        self._table = table
        self._committer = committer
        self._view = view
        self._ids = ids
        self._me = me
        self._leases: dict[str, Lease] = {}
        self._locks: dict[str, gevent.lock.RLock] = {}

    def lease(self, program: ids_lib.ProgramId) -> Lease:
        """Returns the lease of a program's shard; takes the shard if due.

        Raises:
            errors.Refused: `WRONG_OWNER` with the owner's location, or
                `STORE_UNAVAILABLE` if the table can't be asked.
        """
        shard = program.shard_name
        lock = self._locks.setdefault(shard, gevent.lock.RLock())
        with lock:
            lease = self._leases.get(shard)
            if lease is not None:
                return lease
            lease = self._take(program)
            self._leases[shard] = lease
            return lease

    def drop(self, lease: Lease) -> None:
        """Forgets a lease that was found to be lost."""
        if self._leases.get(lease.shard) == lease:
            self._leases.pop(lease.shard)

    def held(self) -> list[Lease]:
        """Returns the leases that this process believes it has."""
        return list(self._leases.values())

    def _take(self, program: ids_lib.ProgramId) -> Lease:
        """Takes the shard from nobody or from an owner that is gone."""
        shard = program.shard_name
        try:
            row = self._table.get(ROW_PREFIX + shard)
            epoch = 0
            condition: ports.Condition = ports.Absent(ROW_PREFIX + shard)
            if row is not None:
                known = codec.decode(ShardRow, row.value)
                self._check_may_take(program, known)
                epoch = known.epoch
                condition = ports.VersionIs(row.key, row.version)
            else:
                self._check_preferred(program)
            return self._write(shard, epoch + 1, condition)
        except errors.ConditionFailed:
            raise _wrong_owner("", "another process took the shard") from None
        except (errors.Unavailable, errors.OutcomeUnknown):
            raise errors.Refused(
                errors.Code.STORE_UNAVAILABLE,
                503,
                "the shard's owner can't be read now; retry later",
                retry_after=1.0,
            ) from None

    def _check_may_take(
        self, program: ids_lib.ProgramId, row: ShardRow
    ) -> None:
        """Refuses to take the shard from an owner that is alive."""
        owner = self._view.find(row.owner)
        if row.owner == self._me.address:
            return
        if owner is not None and owner.incarnation == row.incarnation:
            raise _wrong_owner(row.owner, "it has another owner")
        self._check_preferred(program)

    def _check_preferred(self, program: ids_lib.ProgramId) -> None:
        """Leaves the shard to the first candidate, if that is another."""
        candidates = self._view.ready("sidecar", program.pool)
        order = placement.ranked(program.shard_name, candidates)
        if order and order[0].address != self._me.address:
            raise _wrong_owner(order[0].address, "another should own it")

    def _write(
        self, shard: str, epoch: int, condition: ports.Condition
    ) -> Lease:
        row = ShardRow(
            self._me.address, self._me.incarnation, epoch, self._ids.unique()
        )
        txn = ports.Transaction(
            (condition,), (ports.Put(ROW_PREFIX + shard, codec.encode(row)),)
        )
        proof = commit.Proof(
            ROW_PREFIX + shard,
            lambda value: codec.decode(ShardRow, value) == row,
        )
        version = self._committer.commit(txn, proof, seconds=TAKEOVER_SECONDS)
        return Lease(shard, epoch, version)


def _wrong_owner(location: str, why: str) -> errors.Refused:
    return errors.Refused(
        errors.Code.WRONG_OWNER,
        421,
        f"this process does not own the shard: {why}",
        retry_after=RETRY_SECONDS,
        location=location,
    )
