"""Cancels tasks whose result is no longer needed.

A task that waits for a target, a queue or a rate limit does not notice that
its client has disconnected, because it neither reads nor writes meanwhile. A
periodic sweep checks all such tasks, so that a waiting request needs neither a
task nor a timer for this.
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
    """Raised inside a task that is cancelled.

    It does not derive from `Exception`, so that no code between the sweep and
    the end of the task handles it as a failure that can be retried.

    Attributes:
        reason: the error to send to the client; None if the client has
            disconnected.
    """

    def __init__(self, reason: Exception | None = None) -> None:
        super().__init__()
        self.reason = reason


Check = Callable[[], Cancelled | None]


@dataclasses.dataclass(slots=True, eq=False)
class _Scope:
    """A block of a task that can be cancelled.

    Attributes:
        task: the task.
        check: returns the exception to raise in the task, or None.
        closed: whether the block has ended or was cancelled.
    """

    task: Any
    check: Check
    closed: bool = False


class Sweeper:
    """Checks all cancel scopes periodically."""

    def __init__(
        self,
        timers: timers_lib.Timers,
        *,
        sweep_seconds: float = SWEEP_SECONDS,
    ) -> None:
        self._timers = timers
        self._sweep_seconds = sweep_seconds
        self._scopes: set[_Scope] = set()
        self._timer_set = False

    @contextlib.contextmanager
    def cancel_scope(self, check: Check) -> Iterator[None]:
        """Cancels the block once `check` says that it must end.

        Args:
            check: called at each sweep; returns the exception to raise, or
                None to let the block continue. It must not block.

        Raises:
            Cancelled: returned by `check`. It is raised inside the block.
        """
        scope = _Scope(gevent.getcurrent(), check)
        self._scopes.add(scope)
        self._set_timer()
        try:
            yield
        finally:
            scope.closed = True
            self._scopes.discard(scope)

    def sweep(self) -> None:
        """Checks all scopes now, ahead of the next periodic sweep."""
        for scope in list(self._scopes):
            cancelled = scope.check()
            if cancelled is not None:
                # A throw from a task other than the hub would suspend that
                # task forever.
                gevent.get_hub().loop.run_callback(_throw, scope, cancelled)

    def _set_timer(self) -> None:
        if not self._timer_set:
            self._timer_set = True
            self._timers.after(self._sweep_seconds, self._on_timer)

    def _on_timer(self) -> None:
        self._timer_set = False
        self.sweep()
        if self._scopes:
            self._set_timer()


def _throw(scope: _Scope, cancelled: Cancelled) -> None:
    if scope.closed:
        return
    scope.closed = True
    scope.task.throw(cancelled)
