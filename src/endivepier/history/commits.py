"""Group commit: the changes of many programs in one transaction.

A transaction is conditional on the lease of each shard and on the version of
each program's row, so that it takes effect at most once and can be submitted
again after a lost reply. If one condition fails, only the programs that it
belongs to fail; the rest is submitted again without them.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.history import records
from endivepier.internal import codec
from endivepier.internal import ids as ids_lib
from endivepier.ownership import leases
from endivepier.storage import ports

ROW_BYTES = 32 * 1024
FIRST_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.5
OBJECT_PREFIX = "history/"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What one program adds to a group commit.

    Attributes:
        lease: the ownership that it depends on.
        version: version of the program's row; 0 if there is none yet.
        row: the program's row as it shall be.
        turns: the turns to add.
    """

    lease: leases.Lease
    version: int
    row: records.ProgramRow
    turns: tuple[records.TurnRow, ...]

    @property
    def key(self) -> str:
        """Key of the program's row."""
        return records.program_key(self.row.program_id)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What became of a group.

    Attributes:
        version: version of the rows that were written; 0 if none was.
        written: the changes that took effect.
        fenced: the changes of programs that somebody else has written.
        lost: the changes whose shard's row was written by somebody else.
        started: monotonic time at which the leases held or were held to, in
            seconds.
    """

    version: int
    written: tuple[Change, ...]
    fenced: tuple[Change, ...]
    lost: tuple[Change, ...]
    started: float


class GroupCommitter:
    """Commits groups of changes; gives up on none of them."""

    def __init__(
        self,
        table: ports.Table,
        objects: ports.Objects,
        timers: timers_lib.Timers,
        ids: ids_lib.Ids,
    ) -> None:
        self._table = table
        self._objects = objects
        self._timers = timers
        self._ids = ids
        self.failing_since: float | None = None

    def commit(self, changes: Sequence[Change]) -> Result:
        """Commits the changes and returns once the outcome is known."""
        left = tuple(changes)
        fenced: list[Change] = []
        lost: list[Change] = []
        name = OBJECT_PREFIX + self._ids.unique()
        self._put_bodies(name, left)
        while left:
            started = self._timers.now()
            try:
                version = self._submit(_transaction(name, left), left)
                return Result(
                    version, left, tuple(fenced), tuple(lost), started
                )
            except errors.ConditionFailed as exc:
                rest = []
                for change in left:
                    if exc.key == change.lease.condition().key:
                        lost.append(change)
                    elif exc.key == change.key:
                        fenced.append(change)
                    else:
                        rest.append(change)
                if len(rest) == len(left):
                    raise
                left = tuple(rest)
        return Result(0, (), tuple(fenced), tuple(lost), self._timers.now())

    def _submit(self, txn: ports.Transaction, group: Sequence[Change]) -> int:
        """Submits until the outcome is known; returns the rows' version.

        Raises:
            errors.ConditionFailed: it certainly has not taken effect.
        """
        unsure = False
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                version = self._table.transact(txn)
                self.failing_since = None
                return version
            except errors.ConditionFailed:
                self.failing_since = None
                found = self._read_back(txn, group) if unsure else None
                if found is None:
                    raise
                return found
            except errors.OutcomeUnknown:
                unsure = True
            except errors.Unavailable:
                pass
            backoff = self._pause(backoff)

    def _read_back(
        self, txn: ports.Transaction, group: Sequence[Change]
    ) -> int | None:
        """Returns the version of our rows, or None if they are not ours.

        All rows took effect or none, so one that is ours proves all. A row
        that a successor has written again proves nothing; if all of them
        were, the successors have what we wrote, and we own nothing any more.
        """
        written = {
            write.key: write.value
            for write in txn.writes
            if isinstance(write, ports.Put)
        }
        for change in group:
            row = self._read(change.key)
            if row is not None and row.value == written[change.key]:
                return row.version
        return None

    def _read(self, key: str) -> ports.Row | None:
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                return self._table.get(key)
            except errors.Unavailable:
                backoff = self._pause(backoff)

    def _put_bodies(self, name: str, group: Sequence[Change]) -> None:
        """Stores the large bodies of the group as one object."""
        bodies = tuple(
            records.TurnBody(_turn_key(change, turn), turn.added, turn.answer)
            for change in group
            for turn in change.turns
            if _is_large(turn)
        )
        if not bodies:
            return
        data = codec.encode(records.BatchObject(bodies))
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                self._objects.put(name, data)
                return
            except errors.Unavailable:
                backoff = self._pause(backoff)

    def _pause(self, backoff: float) -> float:
        if self.failing_since is None:
            self.failing_since = self._timers.now()
        self._timers.sleep(backoff)
        return min(backoff * 2, MAX_BACKOFF_SECONDS)


def _transaction(name: str, group: Sequence[Change]) -> ports.Transaction:
    conditions: dict[str, ports.Condition] = {}
    writes: list[ports.Write] = []
    for change in group:
        lease = change.lease.condition()
        conditions[lease.key] = lease
        if change.version:
            before = ports.VersionIs(change.key, change.version)
            conditions[change.key] = before
        else:
            conditions[change.key] = ports.Absent(change.key)
        writes.append(ports.Put(change.key, codec.encode(change.row)))
        for turn in change.turns:
            key = _turn_key(change, turn)
            writes.append(ports.Put(key, codec.encode(_as_row(name, turn))))
    return ports.Transaction(tuple(conditions.values()), tuple(writes))


def _as_row(name: str, turn: records.TurnRow) -> records.TurnRow:
    """Returns the turn's row, its body left to the object if it is large."""
    if not _is_large(turn):
        return turn
    return dataclasses.replace(turn, added=(), answer="", body=name)


def _is_large(turn: records.TurnRow) -> bool:
    size = len(turn.answer) + sum(len(item.content) for item in turn.added)
    return size > ROW_BYTES


def _turn_key(change: Change, turn: records.TurnRow) -> str:
    return records.turn_key(change.row.program_id, turn.turn)
