"""The queue in front of a target: what waits, in an order that can change."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib

import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.scheduling import work as work_lib

RETRY_SECONDS = 1.0


class _Entry:
    """One request that waits."""

    def __init__(self, work: work_lib.Work) -> None:
        self.work = work
        self.granted = gevent.event.Event()


class Queue:
    """Grants a bounded number of slots, first come, first served."""

    def __init__(
        self, timers: timers_lib.Timers, *, slots: int, limit: int
    ) -> None:
        """Makes an empty queue.

        Args:
            timers: the timer service.
            slots: how many requests may run at the target at a time.
            limit: how many may wait.
        """
        self._timers = timers
        self._slots = slots
        self._limit = limit
        self._waiting: list[_Entry] = []
        self.running = 0

    @property
    def queued(self) -> int:
        """How many requests wait."""
        return len(self._waiting)

    @contextlib.contextmanager
    def slot(self, work: work_lib.Work) -> Iterator[None]:
        """Waits for a slot and holds it for the block.

        Raises:
            errors.Refused: `OVERLOADED` if too many wait,
                `DEADLINE_EXCEEDED` if the slot would come too late; the
                request has not run in both cases.
        """
        if len(self._waiting) >= self._limit:
            raise errors.Refused(
                errors.Code.OVERLOADED,
                503,
                f"{self._limit} requests wait here already; retry later",
                retry_after=RETRY_SECONDS,
            )
        entry = _Entry(work)
        self._waiting.append(entry)
        self._grant()
        try:
            in_time = self._timers.wait(entry.granted, work.seconds)
        except BaseException:
            self._withdraw(entry)
            raise
        if not in_time:
            self._withdraw(entry)
            raise errors.Refused(
                errors.Code.DEADLINE_EXCEEDED,
                504,
                "the deadline passed while the request waited",
            )
        try:
            yield
        finally:
            self._release()

    def _grant(self) -> None:
        while self._waiting and self.running < self._slots:
            entry = self._waiting.pop(0)
            self.running += 1
            entry.granted.set()

    def _withdraw(self, entry: _Entry) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
        else:
            self._release()

    def _release(self) -> None:
        self.running -= 1
        self._grant()
