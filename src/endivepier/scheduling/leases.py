"""Short leases in the table that serialize orders to engines and model loads.

A process may take over a lease once it has seen the same row version for the
length of the lease on its own monotonic clock; the clocks of different
processes are never compared. The row's version serves as the fencing number,
since it increases with every holder.
"""

from __future__ import annotations

import dataclasses

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import codec
from endivepier.internal import ids as ids_lib
from endivepier.storage import commit
from endivepier.storage import ports

COMMIT_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """The stored row of a lease.

    Attributes:
        holder: the incarnation of the holding process; empty if it is free.
        write_id: unique for each write.
    """

    holder: str
    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease that this process holds.

    Attributes:
        key: the key of the row.
        fence: the fencing number.
        until: when it expires, on the timer service's clock, in seconds.
    """

    key: str
    fence: int
    until: float


class Leases:
    """Acquires and releases leases for one process."""

    def __init__(
        self,
        table: ports.Table,
        committer: commit.Committer,
        timers: timers_lib.Timers,
        ids: ids_lib.Ids,
        holder: str,
    ) -> None:
        """Makes a lease client that has observed no rows yet.

        Args:
            table: stores the leases.
            committer: writes to the table.
            timers: the timer service.
            ids: generates the write ids.
            holder: the incarnation of this process.
        """
        self._table = table
        self._committer = committer
        self._timers = timers
        self._ids = ids
        self._holder = holder
        # By row key: the version last seen, and when it was first seen.
        self._observed: dict[str, tuple[int, float]] = {}

    def acquire(self, key: str, seconds: float) -> Lease | None:
        """Acquires a lease if it is free or has expired.

        Returns:
            The lease; None if it is held, if another process wrote its row
            first, or if the table is unavailable.
        """
        # The lease starts before the write, so that it expires here before any
        # other process can take it over.
        started = self._timers.now()
        try:
            row = self._table.get(key)
            if row is not None and not self._is_free(row, seconds):
                return None
            version = self._write(key, row, self._holder)
        except (
            errors.ConditionFailed,
            errors.Unavailable,
            errors.OutcomeUnknown,
        ):
            return None
        return Lease(key, version, started + seconds)

    def release(self, lease: Lease) -> None:
        """Releases a lease early; if the write fails, the lease expires."""
        row = ports.Row(lease.key, b"", lease.fence)
        try:
            self._write(lease.key, row, "")
        except (
            errors.ConditionFailed,
            errors.Unavailable,
            errors.OutcomeUnknown,
        ):
            return

    def is_valid(self, lease: Lease) -> bool:
        """Returns whether the lease has not expired yet."""
        return self._timers.now() < lease.until

    def _is_free(self, row: ports.Row, seconds: float) -> bool:
        """Returns whether a lease is released, or unchanged for `seconds`."""
        lease_row: LeaseRow = codec.decode(LeaseRow, row.value)
        if not lease_row.holder:
            return True
        now = self._timers.now()
        version, since = self._observed.get(row.key, (0, now))
        if version != row.version:
            self._observed[row.key] = (row.version, now)
            return False
        return now - since >= seconds

    def _write(self, key: str, row: ports.Row | None, holder: str) -> int:
        write_id = self._ids.unique()
        condition: ports.Condition = ports.Absent(key)
        if row is not None:
            condition = ports.VersionIs(key, row.version)
        value = codec.encode(LeaseRow(holder, write_id))
        txn = ports.Transaction((condition,), (ports.Put(key, value),))

        def is_ours(stored_value: bytes) -> bool:
            stored: LeaseRow = codec.decode(LeaseRow, stored_value)
            return stored.write_id == write_id

        proof = commit.Proof(key, is_ours)
        return self._committer.commit(
            txn, proof, seconds=COMMIT_TIMEOUT_SECONDS
        )
