"""The platform's table service in memory, with injected faults."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import random

import gevent.event
import sortedcontainers

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.storage import ports

PAGE_BYTES = 1_000_000


@dataclasses.dataclass(slots=True)
class TableFaults:
    """Faults that are injected now; the fields may change at any time.

    The caller of a lost or late transaction gets `errors.OutcomeUnknown`.

    Attributes:
        outage: every call fails with `errors.Unavailable`.
        read_seconds: duration of a read.
        write_seconds: duration of a transaction.
        lost_replies: fraction of transactions that take effect although their
            reply is lost.
        lost_requests: fraction of transactions that are lost before they take
            effect.
        late: fraction of transactions that are applied after the caller got
            the error, if their conditions still hold then.
        late_seconds: maximum delay of a late transaction.
    """

    outage: bool = False
    read_seconds: float = 0.001
    write_seconds: float = 0.004
    lost_replies: float = 0.0
    lost_requests: float = 0.0
    late: float = 0.0
    late_seconds: float = 6.0


class MemoryTable:
    """A `storage.ports.Table` and `storage.ports.Feed` in memory.

    Attributes:
        faults: the faults to inject.
        reads: number of reads.
        transactions: number of committed transactions.
        rows_written: number of rows that they wrote or deleted.
        page_bytes: the most bytes of values in one page of a scan.
    """

    def __init__(
        self, timers: timers_lib.Timers, rng: random.Random | None = None
    ) -> None:
        self.faults = TableFaults()
        self.reads = 0
        self.transactions = 0
        self.rows_written = 0
        self.page_bytes = PAGE_BYTES
        self._timers = timers
        self._rng = rng or random.Random(0)
        self._rows: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self._version = 0
        self._history: list[tuple[int, str]] = []
        self._oldest_version = 0
        self._changed = gevent.event.Event()

    def get(self, key: str) -> ports.Row | None:
        """Returns a row; see `storage.ports.Table.get`."""
        self._read()
        row: ports.Row | None = self._rows.get(key)
        return row

    def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> ports.Page:
        """Returns rows in order; see `storage.ports.Table.scan`."""
        self._read()
        rows: list[ports.Row] = []
        size = 0
        start = max(prefix, after)
        for key in self._rows.irange(start, inclusive=(True, True)):
            if not key.startswith(prefix):
                break
            if key <= after:
                continue
            row = self._rows[key]
            size += len(row.value)
            if len(rows) >= limit or (rows and size > self.page_bytes):
                return ports.Page(tuple(rows), more=True)
            rows.append(row)
        return ports.Page(tuple(rows), more=False)

    def transact(self, txn: ports.Transaction) -> int:
        """Commits a transaction; see `storage.ports.Table.transact`."""
        self._check_outage()
        self._timers.sleep(self.faults.write_seconds / 2)
        self._check_outage()
        if self._rng.random() < self.faults.lost_requests:
            raise errors.OutcomeUnknown("the request was lost")
        # Draws a random number only if the fault is enabled, so that histories
        # without it stay the same for each seed.
        if self.faults.late and self._rng.random() < self.faults.late:
            seconds = self._rng.uniform(0.0, self.faults.late_seconds)
            self._timers.after(seconds, lambda: self._apply_late(txn))
            raise errors.OutcomeUnknown("the request was delayed")
        self._check_conditions(txn.conditions)
        version = self._apply(txn.writes)
        self._timers.sleep(self.faults.write_seconds / 2)
        if self.faults.outage or (
            self._rng.random() < self.faults.lost_replies
        ):
            raise errors.OutcomeUnknown("the reply was lost")
        return version

    def _apply_late(self, txn: ports.Transaction) -> None:
        """Applies a late transaction if its conditions still hold."""
        try:
            self._check_conditions(txn.conditions)
        except errors.ConditionFailed:
            return
        self._apply(txn.writes)

    def snapshot(self, table: str) -> ports.Changes:
        """Returns all rows of a table; see `storage.ports.Feed.snapshot`."""
        self._read()
        rows = tuple(self.peek(f"{table}/"))
        return ports.Changes(rows, (), self._version)

    def changes(self, table: str, after: int, wait: float) -> ports.Changes:
        """Returns changes after a version; see `storage.ports.Feed.changes`."""
        deadline = self._timers.now() + wait
        while True:
            self._read()
            if after < self._oldest_version:
                raise errors.HistoryLost(f"{table!r} after {after}")
            keys = {
                key: None
                for version, key in self._history
                if version > after and key.startswith(f"{table}/")
            }
            remaining_seconds = deadline - self._timers.now()
            if keys or remaining_seconds <= 0:
                break
            self._changed.clear()
            self._timers.wait(self._changed, remaining_seconds)
        rows = [self._rows[key] for key in keys if key in self._rows]
        removed = tuple(key for key in keys if key not in self._rows)
        return ports.Changes(tuple(rows), removed, self._version)

    def lose_history(self) -> None:
        """Discards the change history, so that followers need a snapshot."""
        self._history.clear()
        self._oldest_version = self._version

    def peek(self, prefix: str = "") -> list[ports.Row]:
        """Returns rows without delay or faults, for checkers and tests."""
        return [
            row for key, row in self._rows.items() if key.startswith(prefix)
        ]

    def _read(self) -> None:
        self._check_outage()
        self.reads += 1
        self._timers.sleep(self.faults.read_seconds)
        self._check_outage()

    def _check_outage(self) -> None:
        if self.faults.outage:
            self._timers.sleep(self.faults.read_seconds)
            raise errors.Unavailable("the table service is down")

    def _check_conditions(self, conditions: Sequence[ports.Condition]) -> None:
        for condition in conditions:
            row = self._rows.get(condition.key)
            match condition:
                case ports.Absent():
                    holds = row is None
                case ports.VersionIs(version=version):
                    holds = row is not None and row.version == version
            if not holds:
                raise errors.ConditionFailed(condition.key)

    def _apply(self, writes: Sequence[ports.Write]) -> int:
        self._version += 1
        self.transactions += 1
        self.rows_written += len(writes)
        for write in writes:
            match write:
                case ports.Put(key=key, value=value):
                    self._rows[key] = ports.Row(key, value, self._version)
                case ports.Delete(key=key):
                    self._rows.pop(key, None)
            self._history.append((self._version, write.key))
        self._changed.set()
        return self._version
