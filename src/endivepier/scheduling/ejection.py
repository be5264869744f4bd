"""Which targets of a pool are too slow to use.

A grey failure answers heartbeats and fails no request, it is only slow; with
closed-loop callers it soon holds most of the work of a pool. Each sidecar
publishes its target's pace, and every process draws the same conclusion.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import statistics

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.membership import members
from endivepier.scheduling import policies
from endivepier.scheduling import queue as queue_lib

CHECK_SECONDS = 0.5
# A target that is slower than the median by this factor gets less work.
PROBE_FACTOR = 1.2


def ejected(
    pool: Sequence[members.Member], policy: policies.OwnerFirst
) -> frozenset[str]:
    """Returns the addresses whose targets get no work, the slowest ones.

    Never more than the policy's share of the pool: when everything is slow,
    nothing is.
    """
    paces = [m.token_seconds for m in pool if m.token_seconds > 0]
    if not paces:
        return frozenset()
    bound = policy.slow_factor * statistics.median_low(paces)
    slow = [m for m in pool if m.token_seconds > bound]
    slow.sort(key=lambda m: m.token_seconds, reverse=True)
    most = int(len(pool) * policy.ejected_share)
    return frozenset(m.address for m in slow[:most])


def looks_slow(pool: Sequence[members.Member], address: str) -> bool:
    """Returns whether a target's last known pace keeps work away from it."""
    paces = {m.address: m.token_seconds for m in pool if m.token_seconds > 0}
    if address not in paces:
        return False
    return paces[address] > PROBE_FACTOR * statistics.median_low(paces.values())


class SlowTargetMonitor:
    """Empties the queue of a target that was ejected, and probes the target.

    A probe is a small request of our own, so no caller waits for it.
    """

    def __init__(
        self,
        queue: queue_lib.Queue,
        timers: timers_lib.Timers,
        *,
        is_ejected: Callable[[], bool],
        looks_slow: Callable[[], bool],
        last_activity_at: Callable[[], float],
        expel: Callable[[], None],
        probe: Callable[[], Iterator[object]],
        probe_seconds: float,
    ) -> None:
        """Makes a guard that does nothing until `start`.

        Args:
            queue: the queue in front of the target.
            timers: the timer service.
            is_ejected: whether the target is ejected now.
            looks_slow: whether it seems slower than most of its pool.
            last_activity_at: returns when the target last showed activity, on
                the timer service's clock.
            expel: ends what waits or has no token yet.
            probe: sends a small request; its events are awaited.
            probe_seconds: the pause between two probes.
        """
        self._queue = queue
        self._timers = timers
        self._is_ejected = is_ejected
        self._looks_slow = looks_slow
        self._last_activity_at = last_activity_at
        self._expel = expel
        self._probe = probe
        self._probe_seconds = probe_seconds
        self._subscription: timers_lib.Subscription | None = None

    def start(self) -> None:
        """Looks at the target from now on."""
        self._subscription = self._timers.every(CHECK_SECONDS, self.check)

    def stop(self) -> None:
        """Looks no more."""
        if self._subscription is not None:
            self._subscription.cancel()

    def check(self) -> None:
        """Acts if the target is ejected or looks slow.

        A target that looks a little slow gets no work while others are free,
        so without probes it would look slow for ever.
        """
        if self._is_ejected():
            self._expel()
        elif self._queue.running or not self._looks_slow():
            return
        if self._timers.now() - self._last_activity_at() < self._probe_seconds:
            return
        try:
            for _ in self._probe():
                pass
        except (errors.TargetFailed, errors.Refused):
            return
