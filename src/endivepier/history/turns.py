"""Reads a program's turns and verifies them against its digest."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.history import records
from endivepier.internal import codec
from endivepier.storage import ports
from endivepier.targets import ports as target_ports

SCAN_ROWS = 32


class Reader:
    """Reads turns from the table and large bodies from the object store."""

    def __init__(
        self,
        table: ports.Table,
        objects: ports.Objects,
        timers: timers_lib.Timers,
    ) -> None:
        self._table = table
        self._objects = objects
        self._timers = timers

    def turns(self, row: records.ProgramRow) -> tuple[records.TurnRow, ...]:
        """Returns the turns of a program, in order.

        Yields to other tasks after each page and each object, since a long
        history takes a while to decode.

        Raises:
            errors.Unavailable: a row or an object can't be read, or the turns
                don't match the digest in the program's row.
        """
        prefix = f"{records.TURN_PREFIX}{row.program_id}/"
        rows: list[records.TurnRow] = []
        after = ""
        while len(rows) < row.turn:
            page = self._table.scan(prefix, after=after, limit=SCAN_ROWS)
            for item in page.rows:
                turn = codec.decode(records.TurnRow, item.value)
                rows.append(self._with_body(item.key, turn))
            if not page.more:
                break
            after = page.rows[-1].key
            self._timers.sleep(0.0)
        turns = tuple(rows[: row.turn])
        if not digests_match(records.FIRST_DIGEST, turns, row.digest):
            raise errors.Unavailable(
                f"the turns of program {row.program_id} don't match its "
                "digest; read them again"
            )
        return turns

    def _with_body(self, key: str, turn: records.TurnRow) -> records.TurnRow:
        """Returns the turn with its body, read from an object if need be."""
        if not turn.body:
            return turn
        data = self._objects.get(turn.body)
        self._timers.sleep(0.0)
        if data is not None:
            batch = codec.decode(records.BatchObject, data)
            for body in batch.bodies:
                if body.key == key:
                    return dataclasses.replace(
                        turn, added=body.added, answer=body.answer, body=""
                    )
        raise errors.Unavailable(
            f"object {turn.body!r} has no body for row {key!r}; read it again"
        )


def digests_match(
    before: str, turns: Sequence[records.TurnRow], digest: str
) -> bool:
    """Returns whether adding `turns` to history `before` gives `digest`.

    Each turn's own digest is checked too.

    Args:
        before: digest of the history before the first turn.
        turns: the turns to add, in order.
        digest: expected digest after the last turn.
    """
    for turn in turns:
        before = records.next_digest(before, turn.added, turn.answer)
        if before != turn.digest:
            return False
    return before == digest


def text_length(turn: records.TurnRow) -> int:
    """Returns the number of characters of a turn's text."""
    return len(turn.answer) + sum(len(item.content) for item in turn.added)


def conversation(
    turns: Sequence[records.TurnRow],
) -> tuple[target_ports.ChatMessage, ...]:
    """Returns the messages of all turns, answers included."""
    chat: list[target_ports.ChatMessage] = []
    for turn in turns:
        chat.extend(turn.added)
        chat.append(target_ports.ChatMessage("assistant", turn.answer))
    return tuple(chat)
