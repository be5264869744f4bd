"""Follows the changes of a table of the store by long polling.

The task that does so lasts as long as its process. Whatever a row holds, it
must not end: the process would go on with an old configuration or old targets,
or never get ready.
"""

from __future__ import annotations

from collections.abc import Callable

import eliot
import gevent

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import failures
from endivepier.storage import ports

# How long the store may hold a poll open while nothing changes. A dead
# connection is noticed only after this time, so tables with urgent changes use
# the short poll.
POLL_SECONDS = 1.0
SLOW_POLL_SECONDS = 5.0
FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.4
# After an exception that is not expected, before the table is read as a whole.
FAILURE_PAUSE_SECONDS = 1.0


class Follower:
    """Reads a snapshot of a table, then its changes, in a background task.

    Attributes:
        version: the version of the store up to which the table was read; None
            before the first snapshot and after the store has lost its history.
        last_contact: when the store last responded, in monotonic seconds, or
            None.
    """

    def __init__(
        self,
        feed: ports.Feed,
        timers: timers_lib.Timers,
        table: str,
        on_snapshot: Callable[[ports.Changes], None],
        on_changes: Callable[[ports.Changes], None],
        *,
        poll_seconds: float = POLL_SECONDS,
    ) -> None:
        self.version: int | None = None
        self.last_contact: float | None = None
        self._feed = feed
        self._timers = timers
        self._table = table
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._poll_seconds = poll_seconds
        self._outage_started_at: float | None = None
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the background task."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops the background task."""
        if self._task is not None:
            self._task.kill()

    def _run(self) -> None:
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                self._read_next()
                self._record_contact()
                backoff = FIRST_BACKOFF_SECONDS
            except errors.HistoryLost:
                eliot.log_message(
                    "store.history_lost",
                    table=self._table,
                    version=self.version,
                    action="read a new snapshot",
                )
                self.version = None
            except errors.Unavailable as exc:
                self._record_failure(exc)
                self._timers.sleep(backoff)
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
            except Exception as exc:
                failures.log(exc)
                eliot.log_message(
                    "store.changes_not_applied",
                    table=self._table,
                    version=self.version,
                    action="read a new snapshot",
                )
                self.version = None
                self._timers.sleep(FAILURE_PAUSE_SECONDS)

    def _read_next(self) -> None:
        if self.version is None:
            snapshot = self._feed.snapshot(self._table)
            self._on_snapshot(snapshot)
            self.version = snapshot.version
            return
        changes = self._feed.changes(
            self._table, self.version, self._poll_seconds
        )
        if changes.rows or changes.removed:
            self._on_changes(changes)
        self.version = max(self.version, changes.version)

    def _record_contact(self) -> None:
        self.last_contact = self._timers.now()
        if self._outage_started_at is not None:
            eliot.log_message(
                "store.regained",
                table=self._table,
                seconds=round(self.last_contact - self._outage_started_at, 3),
                version=self.version,
            )
            self._outage_started_at = None

    def _record_failure(self, exc: errors.Unavailable) -> None:
        if self._outage_started_at is None:
            self._outage_started_at = self._timers.now()
            eliot.log_message(
                "store.lost",
                table=self._table,
                version=self.version,
                reason=str(exc),
            )
