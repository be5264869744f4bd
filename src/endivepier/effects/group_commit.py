"""Group commit of independent rows.

Rows that are written within a few milliseconds share a transaction. Each row
has its own condition and its own result: if a condition fails, its row is
removed from the batch and the transaction is tried again with the others.
The value must be unique to each write. After a lost reply, a read of the row
then tells whether the write took effect.
"""

from __future__ import annotations

import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.storage import ports

BATCH_DELAY_SECONDS = 0.002
MAX_ROWS = 64
FIRST_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.5


class _PendingRow:
    """A row that is to be written.

    Attributes:
        condition: a condition on the row's own key.
        value: the new value, unique to this write.
        deadline: time after which the write fails, by `Timers.now`.
        maybe_written: whether an earlier transaction may have written it.
        result: the new version, or the error.
    """

    def __init__(
        self, condition: ports.Condition, value: bytes, deadline: float
    ) -> None:
        self.condition = condition
        self.value = value
        self.deadline = deadline
        self.maybe_written = False
        self.result: gevent.event.AsyncResult = gevent.event.AsyncResult()

    @property
    def key(self) -> str:
        """The key of the row."""
        return self.condition.key


class GroupCommitter:
    """Writes rows under conditions, many rows in one transaction.

    Attributes:
        max_rows: the most rows of one transaction.
    """

    def __init__(
        self,
        table: ports.Table,
        timers: timers_lib.Timers,
        *,
        batch_delay_seconds: float = BATCH_DELAY_SECONDS,
        max_rows: int = MAX_ROWS,
    ) -> None:
        """Creates a committer without pending rows.

        Args:
            table: the table service.
            timers: the timer service.
            batch_delay_seconds: delay before the first transaction, in
                which further rows join it.
            max_rows: the most rows of one transaction.
        """
        self._table = table
        self._timers = timers
        self._batch_delay = batch_delay_seconds
        self.max_rows = max_rows
        self._pending: list[_PendingRow] = []
        self._task: gevent.Greenlet | None = None
        self._backoff = 0.0

    def put(
        self, condition: ports.Condition, value: bytes, *, seconds: float
    ) -> int:
        """Writes the condition's row and returns its new version.

        Raises:
            errors.ConditionFailed: the condition does not hold, and the row
                does not hold this value either.
            errors.Unavailable: the row was not written before the timeout.
            errors.OutcomeUnknown: the row may have been written, or may be
                written later.
        """
        item = _PendingRow(condition, value, self._timers.now() + seconds)
        self._pending.append(item)
        if self._task is None or self._task.dead:
            self._task = gevent.spawn(self._write_pending)
        version: int = item.result.get()
        return version

    def _write_pending(self) -> None:
        """Writes batches until no row is pending."""
        self._timers.sleep(self._batch_delay)
        while self._pending:
            batch = self._next_batch()
            try:
                retries = self._commit(batch)
            except BaseException:
                for item in batch:
                    if not item.result.ready():
                        item.result.set_exception(_outcome_unknown(item))
                raise
            self._pending = retries + self._pending
            if self._backoff:
                self._timers.sleep(self._backoff)

    def _next_batch(self) -> list[_PendingRow]:
        """Removes the oldest pending rows, at most one per key."""
        batch: dict[str, _PendingRow] = {}
        postponed: list[_PendingRow] = []
        for item in self._pending:
            if item.key in batch or len(batch) >= self.max_rows:
                postponed.append(item)
            else:
                batch[item.key] = item
        self._pending = postponed
        return list(batch.values())

    def _commit(self, batch: list[_PendingRow]) -> list[_PendingRow]:
        """Commits one transaction and returns the rows to retry."""
        txn = ports.Transaction(
            tuple(item.condition for item in batch),
            tuple(ports.Put(item.key, item.value) for item in batch),
        )
        try:
            version = self._table.transact(txn)
        except errors.ConditionFailed as exc:
            return self._settle_failed(batch, exc)
        except errors.OutcomeUnknown:
            for item in batch:
                item.maybe_written = True
            return self._keep_unexpired(batch)
        except errors.Unavailable:
            return self._keep_unexpired(batch)
        self._backoff = 0.0
        for item in batch:
            item.result.set(version)
        return []

    def _settle_failed(
        self, batch: list[_PendingRow], exc: errors.ConditionFailed
    ) -> list[_PendingRow]:
        """Settles the row whose condition failed and returns the others."""
        self._backoff = 0.0
        failed = next((item for item in batch if item.key == exc.key), None)
        if failed is None:
            raise exc
        try:
            row = self._table.get(failed.key)
        except errors.Unavailable:
            return self._keep_unexpired(batch)
        if row is not None and row.value == failed.value:
            failed.result.set(row.version)
        else:
            failed.result.set_exception(errors.ConditionFailed(failed.key))
        return [item for item in batch if item is not failed]

    def _keep_unexpired(self, batch: list[_PendingRow]) -> list[_PendingRow]:
        """Fails the rows that time out before the retry; returns the others."""
        retries: list[_PendingRow] = []
        for item in batch:
            if self._timers.now() + self._backoff < item.deadline:
                retries.append(item)
            elif item.maybe_written:
                item.result.set_exception(_outcome_unknown(item))
            else:
                item.result.set_exception(_unavailable(item))
        next_backoff = max(FIRST_BACKOFF_SECONDS, self._backoff * 2)
        self._backoff = min(next_backoff, MAX_BACKOFF_SECONDS)
        return retries


def _outcome_unknown(item: _PendingRow) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        f"row {item.key!r} may have been written; read it later"
    )


def _unavailable(item: _PendingRow) -> errors.Unavailable:
    return errors.Unavailable(
        f"row {item.key!r} was not written before the timeout; retry later"
    )
