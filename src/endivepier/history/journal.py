"""The durable record of programs and turns, fenced by the shard's lease."""

from __future__ import annotations

import dataclasses

from endivepier import errors
from endivepier.history import records
from endivepier.internal import codec
from endivepier.internal import ids as ids_lib
from endivepier.ownership import shards
from endivepier.platform import commit
from endivepier.platform import ports

COMMIT_SECONDS = 10.0
SCAN_ROWS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """A program as the journal has it.

    Attributes:
        row: the program's row.
        version: the row's version.
        turns: all turns, in order.
    """

    row: records.ProgramRow
    version: int
    turns: tuple[records.TurnRow, ...]


class Journal:
    """Reads and appends; an append is durable when it returns."""

    def __init__(
        self,
        table: ports.Table,
        committer: commit.Committer,
        ids: ids_lib.Ids,
    ) -> None:
        self._table = table
        self._committer = committer
        self._ids = ids

    def load(self, program_id: str) -> Stored | None:
        """Returns a program with its turns, or None.

        Raises:
            errors.Unavailable: the table did not answer.
        """
        row = self._table.get(records.program_key(program_id))
        if row is None:
            return None
        program = codec.decode(records.ProgramRow, row.value)
        return Stored(program, row.version, self._turns(program))

    def append(
        self,
        lease: shards.Lease,
        stored: Stored | None,
        row: records.ProgramRow,
        turn: records.TurnRow | None = None,
    ) -> Stored:
        """Writes a program's row and, if given, its next turn.

        Args:
            lease: the ownership that the write depends on.
            stored: what the journal has of the program; None if it is new.
            row: the program's row as it shall be.
            turn: the turn to add, or None.

        Returns:
            What the journal has now.

        Raises:
            errors.Fenced: somebody else owns the shard; nothing was written.
            errors.Unavailable: nothing was written.
            errors.OutcomeUnknown: it may have been written.
        """
        row = dataclasses.replace(row, write_id=self._ids.unique())
        txn = self._transaction(lease, stored, row, turn)
        key = records.program_key(row.program_id)
        proof = commit.Proof(key, lambda value: value == codec.encode(row))
        try:
            version = self._committer.commit(txn, proof, seconds=COMMIT_SECONDS)
        except errors.ConditionFailed as exc:
            raise errors.Fenced(f"{exc}; give up {lease.shard}") from exc
        turns = stored.turns if stored is not None else ()
        if turn is not None:
            turns = (*turns, turn)
        return Stored(row, version, turns)

    def _transaction(
        self,
        lease: shards.Lease,
        stored: Stored | None,
        row: records.ProgramRow,
        turn: records.TurnRow | None,
    ) -> ports.Transaction:
        key = records.program_key(row.program_id)
        before: ports.Condition = ports.Absent(key)
        if stored is not None:
            before = ports.VersionIs(key, stored.version)
        writes: list[ports.Write] = [ports.Put(key, codec.encode(row))]
        if turn is not None:
            turn_key = records.turn_key(row.program_id, turn.turn)
            writes.append(ports.Put(turn_key, codec.encode(turn)))
        return ports.Transaction((lease.condition(), before), tuple(writes))

    def _turns(self, row: records.ProgramRow) -> tuple[records.TurnRow, ...]:
        prefix = f"{records.TURN_PREFIX}{row.program_id}/"
        turns: list[records.TurnRow] = []
        after = ""
        while len(turns) < row.turn:
            found = self._table.scan(prefix, after=after, limit=SCAN_ROWS)
            if not found:
                break
            turns.extend(codec.decode(records.TurnRow, r.value) for r in found)
            after = found[-1].key
        return tuple(turns[: row.turn])
