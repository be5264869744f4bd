"""Reads the turns of a program and checks that they are its history."""

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
    """Reads turns from rows and objects."""

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

        Lets other tasks run after each page and each object, since a long
        history takes a while to decode.

        Raises:
            errors.Unavailable: a row or object can't be had, or what is there
                does not add up to the digest in the program's row.
        """
        prefix = f"{records.TURN_PREFIX}{row.program_id}/"
        found: list[records.TurnRow] = []
        after = ""
        while len(found) < row.turn:
            page = self._table.scan(prefix, after=after, limit=SCAN_ROWS)
            if not page:
                break
            for item in page:
                turn = codec.decode(records.TurnRow, item.value)
                found.append(self._whole(item.key, turn))
            after = page[-1].key
            self._timers.sleep(0.0)
        turns = tuple(found[: row.turn])
        if not digests_match(records.FIRST_DIGEST, turns, row.digest):
            raise errors.Unavailable(
                f"the turns of program {row.program_id} don't add up to its "
                "digest; read them again"
            )
        return turns

    def _whole(self, key: str, turn: records.TurnRow) -> records.TurnRow:
        """Returns the turn with its body, from the object if it is there."""
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
    """Returns whether `turns` lead from digest `before` to `digest`."""
    for turn in turns:
        before = records.next_digest(before, turn.added, turn.answer)
        if before != turn.digest:
            return False
    return before == digest


def text_length(turn: records.TurnRow) -> int:
    """Returns the size of a turn's text, in characters."""
    return len(turn.answer) + sum(len(item.content) for item in turn.added)


def conversation(
    turns: Sequence[records.TurnRow],
) -> tuple[target_ports.ChatMessage, ...]:
    """Returns the messages of all turns, answers included."""
    found: list[target_ports.ChatMessage] = []
    for turn in turns:
        found.extend(turn.added)
        found.append(target_ports.ChatMessage("assistant", turn.answer))
    return tuple(found)
