"""Short leases in the table, for orders to engines.

A lease has lapsed when its row has not changed for its time, as seen by the
one who wants it, on that one's own monotonic clock; no clocks are compared.
The row's version is the fencing number: it rises with every holder.
"""

from __future__ import annotations

import dataclasses

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import codec
from endivepier.internal import ids as ids_lib
from endivepier.storage import commit
from endivepier.storage import ports

COMMIT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """What the table has of a lease.

    Attributes:
        holder: who holds it, or empty.
        write_id: unique for each write.
    """

    holder: str
    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease that this process holds.

    Attributes:
        key: its row.
        fence: the fencing number.
        until: when it lapses, on the timer service's clock, in seconds.
    """

    key: str
    fence: int
    until: float


class Leases:
    """Takes leases and gives them back."""

    def __init__(
        self,
        table: ports.Table,
        committer: commit.Committer,
        timers: timers_lib.Timers,
        ids: ids_lib.Ids,
        holder: str,
    ) -> None:
        """Makes an empty set of leases.

        Args:
            table: where they are kept.
            committer: writes to the table.
            timers: the timer service.
            ids: makes unique names.
            holder: the name of this process's incarnation.
        """
        self._table = table
        self._committer = committer
        self._timers = timers
        self._ids = ids
        self._holder = holder
        self._seen: dict[str, tuple[int, float]] = {}

    def take(self, key: str, seconds: float) -> Lease | None:
        """Takes a lease if nobody holds it.

        Returns:
            The lease; None if another holds it or the table is not there.
        """
        # The time counts from before the write, so that this process never
        # believes in a lease for longer than others do.
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

    def give_back(self, lease: Lease) -> None:
        """Frees a lease early; if that fails it lapses by itself."""
        row = ports.Row(lease.key, b"", lease.fence)
        try:
            self._write(lease.key, row, "")
        except (
            errors.ConditionFailed,
            errors.Unavailable,
            errors.OutcomeUnknown,
        ):
            return

    def holds(self, lease: Lease) -> bool:
        """Returns whether the lease has not lapsed yet."""
        return self._timers.now() < lease.until

    def _is_free(self, row: ports.Row, seconds: float) -> bool:
        held: LeaseRow = codec.decode(LeaseRow, row.value)
        if not held.holder:
            return True
        now = self._timers.now()
        version, since = self._seen.get(row.key, (0, now))
        if version != row.version:
            self._seen[row.key] = (row.version, now)
            return False
        return now - since >= seconds

    def _write(self, key: str, row: ports.Row | None, holder: str) -> int:
        write_id = self._ids.unique()
        condition: ports.Condition = ports.Absent(key)
        if row is not None:
            condition = ports.VersionIs(key, row.version)
        value = codec.encode(LeaseRow(holder, write_id))
        txn = ports.Transaction((condition,), (ports.Put(key, value),))

        def is_ours(found: bytes) -> bool:
            written: LeaseRow = codec.decode(LeaseRow, found)
            return written.write_id == write_id

        proof = commit.Proof(key, is_ours)
        return self._committer.commit(txn, proof, seconds=COMMIT_SECONDS)
