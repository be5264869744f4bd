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


class Cancelled(gevent.GreenletExit):
    """Raised inside a task that is to end.

    It is no `Exception`, so that no part on the way takes it for a failure of
    its own that might be retried.

    Attributes:
        reason: what to tell the client; None if nobody listens.
    """

    def __init__(self, reason: Exception | None = None) -> None:
        super().__init__()
        self.reason = reason


Check = Callable[[], Cancelled | None]


@dataclasses.dataclass(slots=True, eq=False)
class _Scope:
    """One task that is watched.

    Attributes:
        task: the task.
        check: returns what to raise in it, or None.
        over: whether it is watched no more.
    """

    task: Any
    check: Check
    closed: bool = False


class Sweeper:
    """The watched tasks of one process."""

    def __init__(
        self,
        timers: timers_lib.Timers,
        *,
        sweep_seconds: float = SWEEP_SECONDS,
    ) -> None:
        self._timers = timers
        self._seconds = sweep_seconds
        self._scopes: set[_Scope] = set()
        self._armed = False

    @contextlib.contextmanager
    def cancel_scope(self, check: Check) -> Iterator[None]:
        """Watches the calling task while the block runs.

        Args:
            check: called at each sweep; must not wait.

        Raises:
            Ended: what `check` returned. It is raised inside the block.
        """
        scope = _Scope(gevent.getcurrent(), check)
        self._scopes.add(scope)
        self._arm()
        try:
            yield
        finally:
            scope.closed = True
            self._scopes.discard(scope)

    def sweep(self) -> None:
        """Checks all tasks now."""
        for scope in list(self._scopes):
            ended = scope.check()
            if ended is not None:
                gevent.get_hub().loop.run_callback(_throw, scope, ended)

    def _arm(self) -> None:
        if not self._armed:
            self._armed = True
            self._timers.after(self._seconds, self._fire)

    def _fire(self) -> None:
        self._armed = False
        self.sweep()
        if self._scopes:
            self._arm()


def _throw(scope: _Scope, ended: Cancelled) -> None:
    if scope.closed:
        return
    scope.closed = True
    scope.task.throw(ended)
