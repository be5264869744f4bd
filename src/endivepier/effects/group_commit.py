"""Group commit of rows that have nothing to do with each other.

Rows that are written within a few milliseconds share a transaction. Each row
keeps its own condition and its own result: a condition that fails takes its
row out of the transaction and leaves the others in. Every value must be
unique for the write, so that a row read back tells whether a write whose
reply was lost has taken effect.
"""

from __future__ import annotations

import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.storage import ports

LINGER_SECONDS = 0.002
MAX_ROWS = 64
FIRST_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.5


class _Item:
    """A row that waits to be written.

    Attributes:
        condition: on the row's own key.
        value: unique for this write.
        deadline: on the timer service's clock, in seconds.
        unsure: whether an earlier transaction may have written it.
        result: the version, or the error.
    """

    def __init__(
        self, condition: ports.Condition, value: bytes, deadline: float
    ) -> None:
        self.condition = condition
        self.value = value
        self.deadline = deadline
        self.unsure = False
        self.result: gevent.event.AsyncResult = gevent.event.AsyncResult()

    @property
    def key(self) -> str:
        """The key of the row."""
        return self.condition.key


class GroupCommitter:
    """Writes conditional rows, many in one transaction.

    Attributes:
        max_rows: the most rows of one transaction.
    """

    def __init__(
        self,
        table: ports.Table,
        timers: timers_lib.Timers,
        *,
        linger_seconds: float = LINGER_SECONDS,
        max_rows: int = MAX_ROWS,
    ) -> None:
        """Makes a group without rows.

        Args:
            table: the table service.
            timers: the timer service.
            linger_seconds: how long the first row waits for others.
            max_rows: the most rows of one transaction.
        """
        self._table = table
        self._timers = timers
        self._linger = linger_seconds
        self.max_rows = max_rows
        self._waiting: list[_Item] = []
        self._task: gevent.Greenlet | None = None
        self._backoff = 0.0

    def put(
        self, condition: ports.Condition, value: bytes, *, seconds: float
    ) -> int:
        """Writes the condition's row and returns its version.

        Raises:
            errors.ConditionFailed: the row is not as required, and this
                write is not what it holds.
            errors.Unavailable: it certainly was not written in time.
            errors.OutcomeUnknown: it may have been written, or may yet be.
        """
        item = _Item(condition, value, self._timers.now() + seconds)
        self._waiting.append(item)
        if self._task is None or self._task.dead:
            self._task = gevent.spawn(self._work)
        version: int = item.result.get()
        return version

    def _work(self) -> None:
        """Writes until nothing waits."""
        self._timers.sleep(self._linger)
        while self._waiting:
            batch = self._take()
            try:
                again = self._write(batch)
            except BaseException:
                for item in batch:
                    if not item.result.ready():
                        item.result.set_exception(_unknown(item))
                raise
            self._waiting = again + self._waiting
            if self._backoff:
                self._timers.sleep(self._backoff)

    def _take(self) -> list[_Item]:
        """Takes the oldest rows, one of each key."""
        batch: dict[str, _Item] = {}
        left: list[_Item] = []
        for item in self._waiting:
            if item.key in batch or len(batch) >= self.max_rows:
                left.append(item)
            else:
                batch[item.key] = item
        self._waiting = left
        return list(batch.values())

    def _write(self, batch: list[_Item]) -> list[_Item]:
        """Submits one transaction and returns the rows to try again."""
        txn = ports.Transaction(
            tuple(item.condition for item in batch),
            tuple(ports.Put(item.key, item.value) for item in batch),
        )
        try:
            version = self._table.transact(txn)
        except errors.ConditionFailed as exc:
            return self._without(batch, exc)
        except errors.OutcomeUnknown:
            for item in batch:
                item.unsure = True
            return self._later(batch)
        except errors.Unavailable:
            return self._later(batch)
        self._backoff = 0.0
        for item in batch:
            item.result.set(version)
        return []

    def _without(
        self, batch: list[_Item], exc: errors.ConditionFailed
    ) -> list[_Item]:
        """Settles the row whose condition failed; returns the others."""
        self._backoff = 0.0
        failed = next((item for item in batch if item.key == exc.key), None)
        if failed is None:
            raise exc
        try:
            row = self._table.get(failed.key)
        except errors.Unavailable:
            return self._later(batch)
        if row is not None and row.value == failed.value:
            failed.result.set(row.version)
        else:
            failed.result.set_exception(errors.ConditionFailed(failed.key))
        return [item for item in batch if item is not failed]

    def _later(self, batch: list[_Item]) -> list[_Item]:
        """Gives up the rows whose time is over; returns the others."""
        again: list[_Item] = []
        for item in batch:
            if self._timers.now() + self._backoff < item.deadline:
                again.append(item)
            elif item.unsure:
                item.result.set_exception(_unknown(item))
            else:
                item.result.set_exception(_unavailable(item))
        doubled = max(FIRST_BACKOFF_SECONDS, self._backoff * 2)
        self._backoff = min(doubled, MAX_BACKOFF_SECONDS)
        return again


def _unknown(item: _Item) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        f"no answer about row {item.key!r}; read it later"
    )


def _unavailable(item: _Item) -> errors.Unavailable:
    return errors.Unavailable(
        f"the table did not take row {item.key!r} in time; retry later"
    )
