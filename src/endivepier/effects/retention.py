"""Deletes expired claims in a periodic scan of bounded steps.

Only settled claims expire. An open claim ("dispatched") is kept until it is
resolved, however old it is. The first sidecar of each pool of services runs
the scan; concurrent scans are harmless, since each deletion is conditional on
the row's version. Stored answers expire by a lifecycle rule of the object
store, whose period has to be longer than `RETENTION_SECONDS`.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.effects import claims as claims_lib
from endivepier.internal import codec
from endivepier.storage import ports
from endivepier.telemetry import metrics as metrics_lib

RETENTION_SECONDS = 7 * 86400.0
STEP_INTERVAL_SECONDS = 1.0
STEP_ROWS = 500


class Sweeper:
    """Deletes expired claims, one page of rows at a time."""

    def __init__(
        self,
        table: ports.Table,
        timers: timers_lib.Timers,
        metrics: metrics_lib.Metrics,
        is_sweeper: Callable[[], bool],
    ) -> None:
        """Creates a sweeper that runs once `start` is called.

        Args:
            table: the table service.
            timers: the timer service.
            metrics: receives the number of open claims after each scan.
            is_sweeper: whether this process should run the scan now.
        """
        self._table = table
        self._timers = timers
        self._metrics = metrics
        self._is_sweeper = is_sweeper
        self._after = ""
        self._open = 0
        self._subscription: timers_lib.Subscription | None = None

    def start(self) -> None:
        """Starts the periodic scan."""
        self._subscription = self._timers.every(
            STEP_INTERVAL_SECONDS, self.step
        )

    def stop(self) -> None:
        """Stops the periodic scan."""
        if self._subscription is not None:
            self._subscription.cancel()

    def step(self) -> None:
        """Reads one page of claims and deletes those that have expired."""
        if not self._is_sweeper():
            return
        try:
            page = self._table.scan(
                claims_lib.PREFIX, after=self._after, limit=STEP_ROWS
            )
            claims = [
                codec.decode(claims_lib.ClaimRow, row.value)
                for row in page.rows
            ]
            self._delete(
                [
                    row
                    for row, claim in zip(page.rows, claims, strict=True)
                    if self._is_expired(claim)
                ]
            )
        except (errors.Unavailable, errors.OutcomeUnknown):
            return
        except errors.ConditionFailed:
            # A row has changed since the read, so nothing was deleted; the
            # next scan reads the page again.
            pass
        self._open += sum(
            claim.state is claims_lib.ClaimState.DISPATCHED for claim in claims
        )
        self._advance(page)

    def _is_expired(self, claim: claims_lib.ClaimRow) -> bool:
        if claim.state is claims_lib.ClaimState.DISPATCHED:
            return False
        return claim.written + RETENTION_SECONDS < self._timers.wall()

    def _delete(self, rows: Sequence[ports.Row]) -> None:
        if not rows:
            return
        conditions = tuple(
            ports.VersionIs(row.key, row.version) for row in rows
        )
        writes = tuple(ports.Delete(row.key) for row in rows)
        self._table.transact(ports.Transaction(conditions, writes))

    def _advance(self, page: ports.Page) -> None:
        if page.more:
            self._after = page.rows[-1].key
            return
        self._metrics.set("open_claims", self._open)
        self._after = ""
        self._open = 0
