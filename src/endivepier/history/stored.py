"""A program as the journal has it, and when its changes are written."""

from __future__ import annotations

import dataclasses

import gevent.event

from endivepier import errors
from endivepier.history import records


@dataclasses.dataclass(frozen=True, slots=True)
class GroupLimits:
    """When a group commit is due, and how large it gets.

    Attributes:
        seconds: least time from one transaction's end to the next one's
            start, in which changes gather. A change that comes after a quiet
            time does not wait, since nothing would be grouped with it.
        programs: most programs in one transaction.
        size: most bytes of turns in one transaction, unless it is one turn.
        unflushed: most bytes that may wait for the table in an outage.
    """

    min_interval_seconds: float = 0.02
    max_programs: int = 100
    max_text_length: int = 512 * 1024
    max_unflushed_length: int = 16 * 1024 * 1024


@dataclasses.dataclass(slots=True, eq=False)
class StoredProgram:
    """A program as the journal has it.

    Attributes:
        row: the program's row.
        version: the row's version in the table; 0 if it is not there yet.
        turns: all turns, in order.
        epoch: the epoch under which it was loaded.
        size: bytes of the turns' text.
        durable: the serial that the table has.
        safe: the serial that can't get lost.
        waiting: turns that the table does not have.
        waiters: set when one of the above has changed.
        failure: why nothing more can be written.
        drawn: what a child is known to have drawn from its parent.
    """

    row: records.ProgramRow
    version: int
    turns: tuple[records.TurnRow, ...]
    epoch: int
    text_length: int = 0
    committed_serial: int = 0
    durable_serial: int = 0
    uncommitted_turns: tuple[records.TurnRow, ...] = ()
    waiters: list[gevent.event.Event] = dataclasses.field(default_factory=list)
    failure: errors.EndivepierError | None = None
    granted_draw: records.Draw | None = None

    def notify(self) -> None:
        """Wakes who waits for a change."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter.set()
