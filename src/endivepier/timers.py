"""The timer service: the only source of time for all other modules.

It schedules callbacks (`every`, `after`), blocks tasks (`sleep`, `wait`) and
limits the time of a block of code (`limit`). `SystemTimers` uses the clocks of
the machine. `endivepier.standins.clock` simulates time, so that simulations
are reproducible for a given seed.

All durations are in seconds. `now` is monotonic and has no meaning outside
the process. `wall` is Unix time, and only for values that people or other
processes read.
"""

from __future__ import annotations

import abc
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import time

import gevent
import gevent.event

from endivepier import errors
from endivepier.internal import failures


class Handle(abc.ABC):
    """A scheduled callback, which can be cancelled."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Cancels the callback; does nothing if the timer has fired."""


class Subscription(Handle):
    """A periodic callback, which never runs concurrently with itself."""

    def __init__(
        self, timers: Timers, seconds: float, callback: Callable[[], object]
    ) -> None:
        self._timers = timers
        self._seconds = seconds
        self._callback = callback
        self._cancelled = False
        self._handle = timers.after(seconds, self._fire)

    def cancel(self) -> None:
        """Ends the subscription; a running callback continues."""
        self._cancelled = True
        self._handle.cancel()

    def _fire(self) -> None:
        if self._cancelled:
            return
        try:
            failures.contain(self._callback)
        finally:
            if not self._cancelled:
                self._handle = self._timers.after(self._seconds, self._fire)


class Timers(abc.ABC):
    """The interface of the timer service."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns monotonic seconds."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns Unix time in seconds."""

    @abc.abstractmethod
    def after(self, seconds: float, callback: Callable[[], object]) -> Handle:
        """Calls `callback` in a new task after `seconds`."""

    def every(
        self, seconds: float, callback: Callable[[], object]
    ) -> Subscription:
        """Calls `callback` repeatedly, `seconds` after its last call ended."""
        return Subscription(self, seconds, callback)

    def sleep(self, seconds: float) -> None:
        """Suspends the calling task for `seconds`."""
        fired = gevent.event.Event()
        handle = self.after(seconds, fired.set)
        try:
            fired.wait()
        finally:
            handle.cancel()

    def wait(self, event: gevent.event.Event, seconds: float | None) -> bool:
        """Waits until `event` is set, for at most `seconds`; None for no limit.

        Returns:
            Whether the event is set.
        """
        if seconds is None or event.is_set():
            return bool(event.wait())
        if seconds <= 0:
            return bool(event.is_set())
        woken = gevent.event.Event()

        def wake(_: object) -> None:
            woken.set()

        event.rawlink(wake)
        handle = self.after(seconds, woken.set)
        try:
            woken.wait()
        finally:
            handle.cancel()
            event.unlink(wake)
        return bool(event.is_set())

    @contextlib.contextmanager
    def limit(self, seconds: float | None) -> Iterator[None]:
        """Limits the time of the block.

        Args:
            seconds: the time limit; None for no limit.

        Raises:
            errors.DeadlineExceeded: raised inside the block if it has not
                ended after `seconds`.
        """
        if seconds is None:
            yield
            return
        task = gevent.getcurrent()
        expired = errors.DeadlineExceeded(
            f"the time limit of {seconds:.3f} s has passed"
        )
        done = False

        def expire() -> None:
            # A throw from a task other than the hub would suspend that task
            # forever.
            if not done:
                gevent.get_hub().loop.run_callback(throw)

        def throw() -> None:
            if not done:
                task.throw(expired)

        handle = self.after(max(seconds, 0.0), expire)
        try:
            yield
        finally:
            done = True
            handle.cancel()


class _SystemHandle(Handle):
    """A one-shot timer of the event loop."""

    def __init__(self, seconds: float, callback: Callable[[], object]) -> None:
        # Most timers are cancelled before they fire, so the task for the
        # callback is created only when the timer fires.
        self._timer = gevent.get_hub().loop.timer(seconds)
        self._timer.start(self._fire, callback)

    def cancel(self) -> None:
        """Cancels the callback; one that is already running continues."""
        if self._timer is not None:
            self._timer.close()
            self._timer = None

    def _fire(self, callback: Callable[[], object]) -> None:
        self.cancel()
        gevent.spawn(callback)


class SystemTimers(Timers):
    """Timers that use the clocks of the machine.

    `now` includes the time that the machine was suspended, so that a lease or
    a deadline also expires during a suspension.
    """

    def now(self) -> float:
        """Returns monotonic seconds, including time in suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns Unix time in seconds."""
        return time.time()

    def after(self, seconds: float, callback: Callable[[], object]) -> Handle:
        """Calls `callback` in a new task after `seconds`."""
        return _SystemHandle(max(seconds, 0.0), callback)
