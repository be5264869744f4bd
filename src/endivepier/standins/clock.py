"""A simulated clock that runs gevent tasks deterministically.

`VirtualTimers.run` lets all tasks run until each of them is blocked, then
advances the time to the next timer without waiting. An hour of traffic is
simulated in seconds, and the same seed gives the same order of events, as long
as no task uses a socket, a thread or the system clock.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools
from typing import Any

import gevent

from endivepier import timers


class _VirtualHandle(timers.Handle):
    """A timer that was set; its callback is None once it is cancelled."""

    def __init__(self, callback: Callable[[], object]) -> None:
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        """Cancels the timer; does nothing if it has fired."""
        self.callback = None


class VirtualTimers(timers.Timers):
    """Timers on simulated time, which passes only during `run`."""

    def __init__(self, *, start: float = 0.0, epoch: float = 1.7e9) -> None:
        """Initializes the clock.

        Args:
            start: the initial value of `now`, in seconds.
            epoch: Unix time that corresponds to `now() == 0`, in seconds.
        """
        self._now = start
        self._epoch = epoch
        self._heap: list[tuple[float, int, _VirtualHandle]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Returns simulated monotonic time in seconds."""
        return self._now

    def wall(self) -> float:
        """Returns simulated Unix time in seconds."""
        return self._epoch + self._now

    def after(
        self, seconds: float, callback: Callable[[], object]
    ) -> timers.Handle:
        """Calls `callback` once `seconds` of simulated time have passed."""
        handle = _VirtualHandle(callback)
        due = self._now + max(seconds, 0.0)
        heapq.heappush(self._heap, (due, next(self._order), handle))
        return handle

    def run(self, function: Callable[..., Any], *args: Any) -> Any:
        """Runs `function` in a task and advances time until it returns.

        Returns:
            The return value of `function`.

        Raises:
            RuntimeError: the task is blocked and no timer is set.
            Exception: any exception that `function` raised.
        """
        task = gevent.spawn(function, *args)
        gevent.idle()
        while not task.ready():
            if not self._step():
                task.kill()
                raise RuntimeError(
                    "deadlock: the task is blocked and no timer is set"
                )
        return task.get()

    def advance(self, seconds: float) -> None:
        """Advances the time by `seconds` and runs all timers due by then."""
        self.run(self.sleep, seconds)

    def _step(self) -> bool:
        """Advances to the next timer and runs tasks until all are blocked.

        Returns:
            False if no timer is set.
        """
        while self._heap:
            due, _, handle = heapq.heappop(self._heap)
            if handle.callback is None:
                continue
            self._now = max(self._now, due)
            gevent.spawn(handle.callback)
            gevent.idle()
            return True
        return False
