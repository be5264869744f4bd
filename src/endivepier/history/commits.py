"""Group commit: writes the changes of many programs in one transaction.

A transaction is conditional on the lease of each shard and on the version of
each program's row. So it takes effect at most once, and it can be submitted
again after a lost reply. If a condition does not hold, only the programs that
depend on it fail; the remaining changes are submitted again without them.
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

MAX_ROW_TEXT_LENGTH = 32 * 1024
FIRST_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.5
OBJECT_PREFIX = "history/"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The changes of one program in a group commit.

    Attributes:
        lease: the lease of the program's shard, which must still hold.
        version: expected version of the program's row; 0 if the row must not
            exist yet.
        row: the new content of the program's row.
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
    """The outcome of a group commit.

    Attributes:
        version: version of the rows that were written; 0 if none was.
        written: the changes that took effect.
        fenced: the changes whose program's row has another version than the
            change expects.
        lost: the changes whose shard's row has another version than the lease.
        started: monotonic time, in seconds, at which the last transaction was
            first submitted. If it was committed, the leases held then.
    """

    version: int
    written: tuple[Change, ...]
    fenced: tuple[Change, ...]
    lost: tuple[Change, ...]
    started: float


class GroupCommitter:
    """Commits groups of changes; retries until the outcome is known.

    Attributes:
        failing_since: monotonic time, in seconds, of the first failed call
            since the table last answered a transaction; None if there was
            no such call.
    """

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
        pending = tuple(changes)
        fenced: list[Change] = []
        lost: list[Change] = []
        object_name = OBJECT_PREFIX + self._ids.unique()
        self._put_bodies(object_name, pending)
        while pending:
            started = self._timers.now()
            try:
                version = self._submit(
                    _transaction(object_name, pending), pending
                )
                return Result(
                    version, pending, tuple(fenced), tuple(lost), started
                )
            except errors.ConditionFailed as exc:
                rest = []
                for change in pending:
                    if exc.key == change.lease.condition().key:
                        lost.append(change)
                    elif exc.key == change.key:
                        fenced.append(change)
                    else:
                        rest.append(change)
                if len(rest) == len(pending):
                    raise
                pending = tuple(rest)
        return Result(0, (), tuple(fenced), tuple(lost), self._timers.now())

    def _submit(self, txn: ports.Transaction, group: Sequence[Change]) -> int:
        """Submits until the outcome is known; returns the rows' version.

        Raises:
            errors.ConditionFailed: the transaction has not taken effect.
        """
        reply_lost = False
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                version = self._table.transact(txn)
                self.failing_since = None
                return version
            except errors.ConditionFailed:
                self.failing_since = None
                written = self._read_back(txn, group) if reply_lost else None
                if written is None:
                    raise
                return written
            except errors.OutcomeUnknown:
                reply_lost = True
            except errors.Unavailable:
                pass
            backoff = self._pause(backoff)

    def _read_back(
        self, txn: ports.Transaction, group: Sequence[Change]
    ) -> int | None:
        """Returns the version that `txn` wrote, or None if no row shows it.

        A transaction writes all of its rows or none, so one row with the value
        from `txn` proves that all were written. A row that a successor has
        since written proves nothing. If that is true of all rows, this process
        owns none of the shards any more, and whatever `txn` wrote was read by
        the successors.
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

    def _put_bodies(self, object_name: str, group: Sequence[Change]) -> None:
        """Stores all large bodies of the group in one object."""
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
                self._objects.put(object_name, data)
                return
            except errors.Unavailable:
                backoff = self._pause(backoff)

    def _pause(self, backoff: float) -> float:
        if self.failing_since is None:
            self.failing_since = self._timers.now()
        self._timers.sleep(backoff)
        return min(backoff * 2, MAX_BACKOFF_SECONDS)


def _transaction(
    object_name: str, group: Sequence[Change]
) -> ports.Transaction:
    conditions: dict[str, ports.Condition] = {}
    writes: list[ports.Write] = []
    for change in group:
        lease_condition = change.lease.condition()
        conditions[lease_condition.key] = lease_condition
        if change.version:
            unchanged = ports.VersionIs(change.key, change.version)
            conditions[change.key] = unchanged
        else:
            conditions[change.key] = ports.Absent(change.key)
        writes.append(ports.Put(change.key, codec.encode(change.row)))
        for turn in change.turns:
            key = _turn_key(change, turn)
            writes.append(
                ports.Put(key, codec.encode(_as_row(object_name, turn)))
            )
    return ports.Transaction(tuple(conditions.values()), tuple(writes))


def _as_row(object_name: str, turn: records.TurnRow) -> records.TurnRow:
    """Returns the turn's row; a large body is replaced by the object's name."""
    if not _is_large(turn):
        return turn
    return dataclasses.replace(turn, added=(), answer="", body=object_name)


def _is_large(turn: records.TurnRow) -> bool:
    size = len(turn.answer) + sum(len(item.content) for item in turn.added)
    return size > MAX_ROW_TEXT_LENGTH


def _turn_key(change: Change, turn: records.TurnRow) -> str:
    return records.turn_key(change.row.program_id, turn.turn)
