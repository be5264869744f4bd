"""The programs that have a row in the store, as read once after a start."""

from __future__ import annotations

import eliot
import gevent

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.store import rows
from endivepier.storage import ports

# Before that, a host that has just started serves the programs that come back.
READ_DELAY_SECONDS = 1.0
PAGE_ROWS = 500
MAX_PROGRAMS = 20_000  # an entry takes some 100 bytes
FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0


class RecordedPrograms:
    """Reads the names of all programs whose budgets have a row."""

    def __init__(self, table: ports.Table, timers: timers_lib.Timers) -> None:
        self._table = table
        self._timers = timers
        self._names: frozenset[str] | None = None
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts to read the rows, unless it was started before."""
        if self._task is None:
            self._task = gevent.spawn(self._read_all)

    def rules_out(self, program: str) -> bool:
        """Returns whether a program is known to have had no row."""
        return self._names is not None and program not in self._names

    def _read_all(self) -> None:
        """Reads all parts of the table."""
        self._timers.sleep(READ_DELAY_SECONDS)
        names: set[str] = set()
        for part in range(rows.PARTS):
            names.update(self._read_part(rows.part_prefix(rows.BUDGETS, part)))
            if len(names) > MAX_PROGRAMS:
                eliot.log_message(
                    "programs.too_many", rows=len(names), most=MAX_PROGRAMS
                )
                return
        self._names = frozenset(names)
        eliot.log_message("programs.read", rows=len(names))

    def _read_part(self, prefix: str) -> list[str]:
        names: list[str] = []
        after = ""
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                page = self._table.scan(prefix, after=after, limit=PAGE_ROWS)
            except errors.Unavailable:
                # Logged where the store is called.
                self._timers.sleep(backoff)
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
                continue
            names.extend(row.key.removeprefix(prefix) for row in page.rows)
            if not page.more:
                return names
            after = page.rows[-1].key
