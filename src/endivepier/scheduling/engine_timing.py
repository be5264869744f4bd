"""Measures how fast an engine is, in the sidecar beside it.

All times are taken from the event streams that pass through the sidecar: an
engine's own load reports are late, and a failing engine sends none.
"""

from __future__ import annotations

from collections.abc import Iterator
import contextlib

from endivepier import timers as timers_lib

# Weight of a new measurement in a moving average.
SMOOTHING = 0.2
PROBE_SMOOTHING = 0.5
# With fewer uncached tokens, other delays dominate the time to the first token
# and it says little about the prefill rate.
MIN_UNCACHED_TOKENS = 256
DEFAULT_PREFILL_SECONDS_PER_TOKEN = 1e-4
DEFAULT_MOVE_SECONDS_PER_TOKEN = 2e-5
# A move takes at least two round trips: an export and an import.
MIN_MOVE_SECONDS = 0.02


class MovingAverage:
    """An exponential moving average with an initial estimate."""

    def __init__(self, initial: float) -> None:
        self.value = initial
        self.count = 0

    def add(self, value: float, smoothing: float = SMOOTHING) -> None:
        """Adds a measurement with the weight `smoothing`.

        The first measurements weigh more, and the first of all replaces the
        initial estimate.
        """
        self.count += 1
        weight = max(smoothing, 1.0 / self.count)
        self.value += weight * (value - self.value)


class EngineTiming:
    """The time that one engine takes for each token.

    Attributes:
        prefill: seconds for each uncached prompt token, including the time in
            the engine's own queue.
        move: seconds for each token of a prefix that is imported; measured as
            if the prefix were the whole prompt.
    """

    def __init__(self, timers: timers_lib.Timers) -> None:
        self.prefill = MovingAverage(DEFAULT_PREFILL_SECONDS_PER_TOKEN)
        self.move = MovingAverage(DEFAULT_MOVE_SECONDS_PER_TOKEN)
        self._timers = timers
        self._token_seconds = MovingAverage(0.0)
        self._tokens_per_event = MovingAverage(1.0)
        self._running = 0
        self._last_activity_at = timers.now()

    @property
    def token_seconds(self) -> float:
        """Seconds for each generated token; 0 if not measured yet.

        While requests run, the time since the last activity is a lower bound,
        so that an engine which hangs is found slow before its next event.
        """
        if not self._token_seconds.count or not self._running:
            return self._token_seconds.value
        silence = self._timers.now() - self._last_activity_at
        return max(
            self._token_seconds.value, silence / self._tokens_per_event.value
        )

    @property
    def last_activity_at(self) -> float:
        """When the last event came, on the timer service's clock.

        The start of a request on an idle engine counts as an event.
        """
        return self._last_activity_at

    @contextlib.contextmanager
    def track_request(self) -> Iterator[None]:
        """Counts a request as running during the block."""
        if not self._running:
            self._last_activity_at = self._timers.now()
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1

    def record_tokens(self, seconds: float, count: int) -> None:
        """Records `count` tokens that came `seconds` after the last event.

        A count of 0 records the activity without a measurement.
        """
        self._last_activity_at = self._timers.now()
        if count:
            self._token_seconds.add(seconds / count)
            self._tokens_per_event.add(count)

    def record_probe(self, seconds: float) -> None:
        """Records a probe's mean time for each token.

        Probes are rare and are the only measurements of a target that gets no
        calls, so each has more weight than other measurements.
        """
        self._last_activity_at = self._timers.now()
        self._token_seconds.add(seconds, PROBE_SMOOTHING)

    def record_prefill(self, seconds: float, uncached_tokens: int) -> None:
        """Records the seconds that the uncached part of a prompt took."""
        if uncached_tokens >= MIN_UNCACHED_TOKENS:
            self.prefill.add(max(0.0, seconds) / uncached_tokens)
