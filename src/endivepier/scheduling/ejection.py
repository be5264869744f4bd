"""Ejects the targets of a pool that are much slower than the others.

A target with a grey failure answers heartbeats and fails no request, but is
slow. If callers wait for an answer before they send the next request, most of
the pool's requests soon wait at that target. Each sidecar publishes its
target's seconds per token, and every process applies the same rule to them.
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

CHECK_INTERVAL_SECONDS = 0.5
# A target this many times slower than the median gets fewer calls, so it is
# probed to keep its measurement up to date.
PROBE_SLOW_FACTOR = 1.2


def ejected_addresses(
    pool: Sequence[members.Member], policy: policies.OwnerFirst
) -> frozenset[str]:
    """Returns the sidecar addresses of the targets that get no calls.

    These are the slowest targets, and at most the policy's share of the pool,
    so that enough targets stay in use when many of them are slow.
    """
    token_seconds = [m.token_seconds for m in pool if m.token_seconds > 0]
    if not token_seconds:
        return frozenset()
    threshold = policy.slow_factor * statistics.median_low(token_seconds)
    slow = [m for m in pool if m.token_seconds > threshold]
    slow.sort(key=lambda m: m.token_seconds, reverse=True)
    limit = int(len(pool) * policy.max_ejected_share)
    return frozenset(m.address for m in slow[:limit])


def looks_slow(pool: Sequence[members.Member], address: str) -> bool:
    """Returns whether a target is slow enough to be probed when idle."""
    token_seconds = {
        m.address: m.token_seconds for m in pool if m.token_seconds > 0
    }
    if address not in token_seconds:
        return False
    return token_seconds[address] > PROBE_SLOW_FACTOR * statistics.median_low(
        token_seconds.values()
    )


class SlowTargetMonitor:
    """Expels the calls of an ejected target and probes slow targets.

    A probe is a short request that this process makes up, so that no caller
    waits for a slow target.
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
        """Makes a monitor that does nothing until `start`.

        Args:
            queue: the queue in front of the target.
            timers: the timer service.
            is_ejected: returns whether the target is ejected now.
            looks_slow: returns whether it is slow enough to be probed.
            last_activity_at: returns when the target last showed activity, on
                the timer service's clock.
            expel: ends the calls that are queued or have no token yet.
            probe: sends a short request and yields its events.
            probe_seconds: the shortest time from activity to a probe.
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
        """Starts periodic checks."""
        self._subscription = self._timers.every(
            CHECK_INTERVAL_SECONDS, self.check
        )

    def stop(self) -> None:
        """Stops the checks."""
        if self._subscription is not None:
            self._subscription.cancel()

    def check(self) -> None:
        """Expels calls and sends a probe, if the target is slow.

        A slightly slow target gets no calls while faster ones are free, so
        without probes its measurement would never improve.
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
