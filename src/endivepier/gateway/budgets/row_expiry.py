"""Deletes the rows of budgets whose programs can't come back any more.

The process that wrote a row last deletes it, on condition that nobody has
written it since. A row that a lost process wrote last stays.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import eliot

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.store import rows
from endivepier.storage import ports

INTERVAL_SECONDS = 5.0
# A program may send its last turn at the end of its retention.
MARGIN_SECONDS = 30.0
MAX_ROWS = 50_000  # to be deleted; an entry takes some 200 bytes


class RowExpiry:
    """The rows that this process deletes once their programs have expired."""

    def __init__(
        self,
        table: ports.Table,
        timers: timers_lib.Timers,
        retention: Callable[[], float],
    ) -> None:
        """Initializes without rows.

        Args:
            table: stores the rows.
            timers: the timer service.
            retention: returns for how long a program may come back, in seconds.
        """
        self._table = table
        self._timers = timers
        self._retention = retention
        # When to delete the row of a program, with its version; oldest first.
        self._rows: collections.deque[tuple[float, str, int]] = (
            collections.deque(maxlen=MAX_ROWS)
        )

    def start(self) -> None:
        """Starts to delete rows periodically."""
        self._timers.every(INTERVAL_SECONDS, self._delete_expired)

    def add(self, program: str, version: int, used_at: float) -> None:
        """Has a row deleted when its program has expired.

        Args:
            program: the program's id.
            version: the version of its row.
            used_at: when the program was last seen, monotonic seconds.
        """
        expires = used_at + self._retention() + MARGIN_SECONDS
        self._rows.append((expires, program, version))

    def _delete_expired(self) -> None:
        now = self._timers.now()
        while self._rows and self._rows[0][0] <= now:
            _, program, version = self._rows.popleft()
            key = rows.key(rows.BUDGETS, program)
            txn = ports.Transaction(
                (ports.VersionIs(key, version),), (ports.Delete(key),)
            )
            try:
                self._table.transact(txn)
            except errors.ConditionFailed:
                continue  # the program came back elsewhere
            except (errors.Unavailable, errors.OutcomeUnknown) as exc:
                eliot.log_message(
                    "budget.not_deleted", program=program, reason=str(exc)
                )
                later = (now + INTERVAL_SECONDS, program, version)
                self._rows.append(later)
                return
