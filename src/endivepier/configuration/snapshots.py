"""Whole states, kept as objects now and then, so that a start is short.

The table's rows say which snapshots there are; the bodies are objects. A
snapshot is written after its revision was accepted, by the process that
accepted it. If that fails, the next few acceptances make up for it.
"""

from __future__ import annotations

import dataclasses

from endivepier import errors
from endivepier.configuration import state as state_lib
from endivepier.internal import codec
from endivepier.storage import ports

SNAPSHOT_PREFIX = "config/snapshot/"
OBJECT_PREFIX = "config-snapshot-"
SNAPSHOT_EVERY = 500
PAGE_ROWS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The table's row about one snapshot.

    Attributes:
        revision: the revision whose state it is.
        body: name of the object that holds the state.
    """

    revision: int
    body: str


def snapshot_key(revision: int) -> str:
    """Returns the key of a snapshot's row."""
    return f"{SNAPSHOT_PREFIX}{revision:09d}"


class Snapshots:
    """Writes and finds snapshots."""

    def __init__(self, table: ports.Table, objects: ports.Objects) -> None:
        self._table = table
        self._objects = objects

    def newest(self, upto: int) -> state_lib.State:
        """Returns the newest snapshot not after `upto`, else the empty state.

        Raises:
            errors.Unavailable: the platform did not answer.
        """
        best = self._find(upto)
        if best is None:
            return state_lib.State()
        body = self._objects.get(best.body)
        if body is None:
            raise errors.Unavailable(f"the object {best.body!r} is not there")
        state: state_lib.State = codec.decode(state_lib.State, body)
        return state

    def newest_revision(self, upto: int) -> int:
        """Returns the revision of the newest snapshot not after `upto`, or 0.

        Raises:
            errors.Unavailable: the table did not answer.
        """
        best = self._find(upto)
        return 0 if best is None else best.revision

    def has_any(self, since: int) -> bool:
        """Returns whether there is a snapshot of `since` or later.

        Raises:
            errors.Unavailable: the table did not answer.
        """
        before = snapshot_key(since - 1)
        return bool(self._table.scan(SNAPSHOT_PREFIX, after=before, limit=1))

    def write(self, state: state_lib.State) -> None:
        """Keeps a state; does nothing if its snapshot is there.

        Raises:
            errors.Unavailable: the platform did not answer.
            errors.OutcomeUnknown: it may be kept or not; both are fine.
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

    def _find(self, upto: int) -> Snapshot | None:
        """Returns the row of the newest snapshot not after `upto`."""
        best: Snapshot | None = None
        # Most likely the last few intervals hold one; else all are read.
        near = snapshot_key(max(0, upto - 4 * SNAPSHOT_EVERY))
        for after in (near, ""):
            while True:
                rows = self._table.scan(
                    SNAPSHOT_PREFIX, after=after, limit=PAGE_ROWS
                )
                for row in rows:
                    found = codec.decode(Snapshot, row.value)
                    if found.revision > upto:
                        return best
                    best = found
                if len(rows) < PAGE_ROWS:
                    break
                after = rows[-1].key
            if best is not None:
                return best
        return best
