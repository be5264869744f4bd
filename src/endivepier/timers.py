"""The timer service: the only source of time for every other part.

Parts subscribe to it (`every`, `after`), wait on it (`sleep`, `wait`) and
bound their work by it (`limit`). `SystemTimers` uses the machine's clocks;
`endivepier.standins.clock` has one whose time is simulated, so that a policy
gives the same figures for the same seed.

All durations are in seconds. `now` is monotonic and has no meaning outside
the process; `wall` is Unix time and is used only for what people or other
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


class Handle(abc.ABC):
    """A timer that has been set and can be cancelled."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Keeps the timer from firing; does nothing once it has fired."""


class Subscription(Handle):
    """A periodic callback; it never runs twice at the same time."""

    def __init__(
        self, timers: Timers, seconds: float, callback: Callable[[], object]
    ) -> None:
        self._timers = timers
        self._seconds = seconds
        self._callback = callback
        self._cancelled = False
        self._handle = timers.after(seconds, self._fire)

    def cancel(self) -> None:
        """Ends the subscription; a callback that runs now goes on."""
        self._cancelled = True
        self._handle.cancel()

    def _fire(self) -> None:
        if self._cancelled:
            return
        try:
            self._callback()
        finally:
            if not self._cancelled:
                self._handle = self._timers.after(self._seconds, self._fire)


class Timers(abc.ABC):
    """What a part may ask of time."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns monotonic seconds."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns Unix time in seconds."""

    @abc.abstractmethod
    def after(self, seconds: float, callback: Callable[[], object]) -> Handle:
        """Calls `callback` in a task of its own once `seconds` have passed."""

    def every(
        self, seconds: float, callback: Callable[[], object]
    ) -> Subscription:
        """Calls `callback` again and again, `seconds` after it last ended."""
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
        """Waits until `event` is set, for at most `seconds`.

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
        """Bounds the time of the block.

        Raises:
            errors.DeadlineExceeded: when `seconds` have passed before the
                block ended. It is raised inside the block.
        """
        if seconds is None:
            yield
            return
        task = gevent.getcurrent()
        expired = errors.DeadlineExceeded(f"{seconds:.3f} s have passed")
        done = False

        def expire() -> None:
            if not done:
                gevent.get_hub().loop.run_callback(_throw)

        def _throw() -> None:
            if not done:
                task.throw(expired)

        handle = self.after(max(seconds, 0.0), expire)
        try:
            yield
        finally:
            done = True
            handle.cancel()


class _SystemHandle(Handle):
    """A timer of the event loop."""

    def __init__(self, seconds: float, callback: Callable[[], object]) -> None:
        # Most timers are cancelled before they fire, so the task for the
        # callback is made only then.
        self._timer = gevent.get_hub().loop.timer(seconds)
        self._timer.start(self._fire, callback)

    def cancel(self) -> None:
        """Keeps the timer from firing, but never kills a running callback."""
        if self._timer is not None:
            self._timer.close()
            self._timer = None

    def _fire(self, callback: Callable[[], object]) -> None:
        self.cancel()
        gevent.spawn(callback)


class SystemTimers(Timers):
    """Timers on the machine's own clocks.

    `now` counts the time for which the machine was suspended, so that a
    lease or a deadline that passed meanwhile is seen to be over.
    """

    def now(self) -> float:
        """Returns the monotonic clock, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns Unix time in seconds."""
        return time.time()

    def after(self, seconds: float, callback: Callable[[], object]) -> Handle:
        """Calls `callback` in a task of its own once `seconds` have passed."""
        return _SystemHandle(max(seconds, 0.0), callback)
