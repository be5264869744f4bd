"""Periodic snapshots of the whole state.

With them a starting process needs to read only the deltas since the last
snapshot. The body of a snapshot is an object in the object store; a row of
the table names it. A snapshot is written by the process that accepted its
revision, after the acceptance. If that fails, the snapshot is written at one
of the next few revisions instead.
"""

from __future__ import annotations

import dataclasses

from endivepier import errors
from endivepier.configuration import state as state_lib
from endivepier.internal import codec
from endivepier.storage import ports

SNAPSHOT_PREFIX = "config/snapshot/"
OBJECT_PREFIX = "config-snapshot-"
REVISIONS_PER_SNAPSHOT = 500
PAGE_ROWS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The table row of one snapshot.

    Attributes:
        revision: the revision of the stored state.
        body: name of the object that holds the state.
    """

    revision: int
    body: str


def snapshot_key(revision: int) -> str:
    """Returns the key of a snapshot's table row."""
    return f"{SNAPSHOT_PREFIX}{revision:09d}"


class Snapshots:
    """Writes, finds and reads snapshots."""

    def __init__(self, table: ports.Table, objects: ports.Objects) -> None:
        self._table = table
        self._objects = objects

    def newest(self, upto: int) -> state_lib.State:
        """Returns the newest snapshot up to a revision, else the empty state.

        Raises:
            errors.Unavailable: the table or the object store did not reply,
                or the object is missing.
        """
        best = self._newest_row(upto)
        if best is None:
            return state_lib.State()
        body = self._objects.get(best.body)
        if body is None:
            raise errors.Unavailable(
                f"the snapshot object {best.body!r} is missing"
            )
        state: state_lib.State = codec.decode(state_lib.State, body)
        return state

    def newest_revision(self, upto: int) -> int:
        """Returns the revision of the newest snapshot up to `upto`, or 0.

        Raises:
            errors.Unavailable: the table did not reply.
        """
        best = self._newest_row(upto)
        return 0 if best is None else best.revision

    def has_any(self, since: int) -> bool:
        """Returns whether there is a snapshot of revision `since` or later.

        Raises:
            errors.Unavailable: the table did not reply.
        """
        before = snapshot_key(since - 1)
        page = self._table.scan(SNAPSHOT_PREFIX, after=before, limit=1)
        return bool(page.rows)

    def write(self, state: state_lib.State) -> None:
        """Writes a snapshot, unless this revision has one.

        Raises:
            errors.Unavailable: the table or the object store did not reply.
            errors.OutcomeUnknown: the snapshot may have been written; the
                caller may ignore this.
        """
        name = f"{OBJECT_PREFIX}{state.revision:09d}-{state.chain}"
        self._objects.put(name, codec.encode(state))
        key = snapshot_key(state.revision)
        value = codec.encode(Snapshot(state.revision, name))
        txn = ports.Transaction((ports.Absent(key),), (ports.Put(key, value),))
        try:
            self._table.transact(txn)
        except errors.ConditionFailed:
            return

    def _newest_row(self, upto: int) -> Snapshot | None:
        """Returns the row of the newest snapshot up to revision `upto`."""
        # The last few intervals most likely have a snapshot; if they don't,
        # the second pass reads the rows of all snapshots.
        recent = snapshot_key(max(0, upto - 4 * REVISIONS_PER_SNAPSHOT))
        for after in (recent, ""):
            newest = self._newest_row_after(after, upto)
            if newest is not None:
                return newest
        return None

    def _newest_row_after(self, after: str, upto: int) -> Snapshot | None:
        """Returns the last row behind the key `after` and up to a revision."""
        newest: Snapshot | None = None
        while True:
            page = self._table.scan(
                SNAPSHOT_PREFIX, after=after, limit=PAGE_ROWS
            )
            for row in page.rows:
                snapshot = codec.decode(Snapshot, row.value)
                if snapshot.revision > upto:
                    return newest
                newest = snapshot
            if not page.more:
                return newest
            after = page.rows[-1].key
