"""Claims expire: a sweep in bounded steps deletes those that are settled.

An open claim ("dispatched") stays until it is resolved, however old it is.
The sweep is done by the first sidecar of each pool of services; several at
a time do no harm. Answers in the object store expire by the store's
own lifecycle rule, which has to be longer than the retention.
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
STEP_SECONDS = 1.0
STEP_ROWS = 500


class Sweeper:
    """Deletes expired claims, one page at a time."""

    def __init__(
        self,
        table: ports.Table,
        timers: timers_lib.Timers,
        metrics: metrics_lib.Metrics,
        is_mine: Callable[[], bool],
    ) -> None:
        """Makes a sweeper that rests until `start`.

        Args:
            table: the table service.
            timers: the timer service.
            metrics: shows how many claims are open.
            is_mine: whether the sweep is this process's now.
        """
        self._table = table
        self._timers = timers
        self._metrics = metrics
        self._is_mine = is_mine
        self._after = ""
        self._open = 0
        self._subscription: timers_lib.Subscription | None = None

    def start(self) -> None:
        """Begins to sweep."""
        self._subscription = self._timers.every(STEP_SECONDS, self.step)

    def stop(self) -> None:
        """Ends the sweep."""
        if self._subscription is not None:
            self._subscription.cancel()

    def step(self) -> None:
        """Looks at one page of claims and deletes what has expired."""
        if not self._is_mine():
            return
        try:
            rows = self._table.scan(
                claims_lib.PREFIX, after=self._after, limit=STEP_ROWS
            )
            claims = [
                codec.decode(claims_lib.ClaimRow, row.value) for row in rows
            ]
            self._delete(
                [
                    row
                    for row, claim in zip(rows, claims, strict=True)
                    if self._expired(claim)
                ]
            )
        except (errors.Unavailable, errors.OutcomeUnknown):
            return
        except errors.ConditionFailed:
            # A row has changed since; the next round sees it again.
            pass
        self._open += sum(
            claim.state is claims_lib.ClaimState.DISPATCHED for claim in claims
        )
        self._turn_page(rows)

    def _expired(self, claim: claims_lib.ClaimRow) -> bool:
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

    def _turn_page(self, rows: Sequence[ports.Row]) -> None:
        if len(rows) == STEP_ROWS:
            self._after = rows[-1].key
            return
        self._metrics.set("open_claims", self._open)
        self._after = ""
        self._open = 0
