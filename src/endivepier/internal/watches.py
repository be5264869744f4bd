"""Ends tasks that wait for something nobody wants any more.

A server that waits for a target, a queue or a limiter does not notice that
its client hung up, since it neither reads nor writes meanwhile. One sweep for
all tasks looks after that, so that a waiting request costs neither a task nor
a timer of its own.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
from typing import Any

import gevent

from endivepier import timers as timers_lib

SWEEP_SECONDS = 0.25


class Ended(gevent.GreenletExit):
    """Raised inside a task that is to end.

    It is no `Exception`, so that no part on the way takes it for a failure of
    its own that might be retried.

    Attributes:
        reason: what to tell the client; None if nobody listens.
    """

    def __init__(self, reason: Exception | None = None) -> None:
        super().__init__()
        self.reason = reason


Check = Callable[[], Ended | None]


@dataclasses.dataclass(slots=True, eq=False)
class _Watch:
    """One task that is watched.

    Attributes:
        task: the task.
        check: returns what to raise in it, or None.
        over: whether it is watched no more.
    """

    task: Any
    check: Check
    over: bool = False


class Watches:
    """The watched tasks of one process."""

    def __init__(
        self,
        timers: timers_lib.Timers,
        *,
        sweep_seconds: float = SWEEP_SECONDS,
    ) -> None:
        self._timers = timers
        self._seconds = sweep_seconds
        self._watches: set[_Watch] = set()
        self._armed = False

    @contextlib.contextmanager
    def watching(self, check: Check) -> Iterator[None]:
        """Watches the calling task while the block runs.

        Args:
            check: called at each sweep; must not wait.

        Raises:
            Ended: what `check` returned. It is raised inside the block.
        """
        watch = _Watch(gevent.getcurrent(), check)
        self._watches.add(watch)
        self._arm()
        try:
            yield
        finally:
            watch.over = True
            self._watches.discard(watch)

    def sweep(self) -> None:
        """Checks all tasks now."""
        for watch in list(self._watches):
            ended = watch.check()
            if ended is not None:
                gevent.get_hub().loop.run_callback(_throw, watch, ended)

    def _arm(self) -> None:
        if not self._armed:
            self._armed = True
            self._timers.after(self._seconds, self._fire)

    def _fire(self) -> None:
        self._armed = False
        self.sweep()
        if self._watches:
            self._arm()


def _throw(watch: _Watch, ended: Ended) -> None:
    if watch.over:
        return
    watch.over = True
    watch.task.throw(ended)
