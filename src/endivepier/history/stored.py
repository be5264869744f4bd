"""A program in the journal's memory, and the limits of its group commits."""

from __future__ import annotations

import dataclasses

import gevent.event

from endivepier import errors
from endivepier.history import records


@dataclasses.dataclass(frozen=True, slots=True)
class GroupLimits:
    """Limits on when a group commit starts and how large it gets.

    Attributes:
        min_interval_seconds: least time between the end of a commit and the
            start of the next, in which changes collect. A change that arrives
            later than that is committed at once, since waiting would not
            group it with any other.
        max_programs: most programs in one transaction.
        max_text_length: most characters of turn text in one transaction; a
            single program may exceed it.
        max_unflushed_length: most characters of turn text that may be kept in
            memory during an outage of the table.
    """

    min_interval_seconds: float = 0.02
    max_programs: int = 100
    max_text_length: int = 512 * 1024
    max_unflushed_length: int = 16 * 1024 * 1024


@dataclasses.dataclass(slots=True, eq=False)
class StoredProgram:
    """The journal's copy of a program, with changes that are not yet written.

    Attributes:
        row: the program's row with all changes made so far.
        version: the row's version in the table; 0 if it is not there yet.
        turns: all turns, in order.
        epoch: the shard's epoch under which the program was loaded.
        text_length: characters of text in all turns.
        committed_serial: the row's serial in the table.
        durable_serial: the latest serial of the row that is in the table or
            on a replica in another data centre.
        uncommitted_turns: turns that the table does not have yet.
        waiters: events to set once at the next change of a serial or of
            `failure`.
        failure: the error after which the program can't be written any more.
        granted_draw: for a child program, the last draw that its parent's
            owner granted.
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
        """Wakes the tasks that wait for a change."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter.set()
