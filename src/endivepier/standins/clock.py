"""Simulated time: runs gevent tasks as fast as they go, deterministically.

The driver lets every task run until nothing is left to do, then jumps to the
next timer. No real time passes, so an hour of traffic takes seconds and a
seed gives the same order of events each time, as long as no task touches a
socket, a thread or the machine's clocks.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools
from typing import Any

import gevent

from endivepier import timers


class _VirtualHandle(timers.Handle):
    """An entry of the heap of timers that are due."""

    def __init__(self, callback: Callable[[], object]) -> None:
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        """Keeps the timer from firing."""
        self.callback = None


class VirtualTimers(timers.Timers):
    """Timers whose time is simulated; `run` drives them."""

    def __init__(self, *, start: float = 0.0, epoch: float = 1.7e9) -> None:
        """Makes the clock.

        Args:
            start: the first value of `now`, in seconds.
            epoch: Unix time that corresponds to `now() == 0`, in seconds.
        """
        self._now = start
        self._epoch = epoch
        self._heap: list[tuple[float, int, _VirtualHandle]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Returns simulated monotonic seconds."""
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
        """Runs `function` in a task and time with it, until it returns.

        Returns:
            What `function` returned.

        Raises:
            RuntimeError: if the task waits while no timer is set.
            Exception: what `function` raised.
        """
        task = gevent.spawn(function, *args)
        gevent.idle()
        while not task.ready():
            if not self._step():
                task.kill()
                raise RuntimeError("the task waits, but no timer is set")
        return task.get()

    def advance(self, seconds: float) -> None:
        """Lets `seconds` of simulated time pass for all tasks."""
        self.run(self.sleep, seconds)

    def _step(self) -> bool:
        """Jumps to the next timer and lets the tasks it wakes run."""
        while self._heap:
            due, _, handle = heapq.heappop(self._heap)
            if handle.callback is None:
                continue
            self._now = max(self._now, due)
            gevent.spawn(handle.callback)
            gevent.idle()
            return True
        return False
