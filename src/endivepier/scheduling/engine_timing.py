"""How fast an engine is, as the sidecar beside it sees it.

Everything is measured from the answers that pass through, since an engine's
own reports lag and a failing engine reports nothing.
"""

from __future__ import annotations

from collections.abc import Iterator
import contextlib

from endivepier import timers as timers_lib

SMOOTHING = 0.2
PROBE_SMOOTHING = 0.5
# Below this many fresh tokens the time to the first token says nothing about
# how fast prompts are read.
LEAST_FRESH_TOKENS = 256
DEFAULT_PREFILL_SECONDS_PER_TOKEN = 1e-4
DEFAULT_MOVE_SECONDS_PER_TOKEN = 2e-5
# A move costs at least its two exchanges.
MOVE_SECONDS = 0.02


class Mean:
    """A mean that forgets, with a first guess."""

    def __init__(self, guess: float) -> None:
        self.value = guess
        self.count = 0

    def add(self, value: float, smoothing: float = SMOOTHING) -> None:
        """Takes a measurement in, which counts for a share `smoothing`."""
        self.count += 1
        weight = max(smoothing, 1.0 / self.count)
        self.value += weight * (value - self.value)


class EngineTiming:
    """The rates of one engine.

    Attributes:
        prefill: seconds for each uncached token of a prompt, waits included.
        move: seconds for each token of a prefix that is imported.
    """

    def __init__(self, timers: timers_lib.Timers) -> None:
        self.prefill = Mean(DEFAULT_PREFILL_SECONDS_PER_TOKEN)
        self.move = Mean(DEFAULT_MOVE_SECONDS_PER_TOKEN)
        self._timers = timers
        self._token = Mean(0.0)
        self._burst = Mean(1.0)
        self._running = 0
        self._quiet_since = timers.now()

    @property
    def token_seconds(self) -> float:
        """Seconds for one token; 0 if nothing is known.

        While requests run and no event comes at all, the silence counts, so
        that an engine which hangs is slow before it has said anything.
        """
        if not self._token.count or not self._running:
            return self._token.value
        silence = self._timers.now() - self._quiet_since
        return max(self._token.value, silence / self._burst.value)

    @property
    def last_activity_at(self) -> float:
        """When the last event came, on the timer service's clock."""
        return self._quiet_since

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Notes that a request runs during the block."""
        if not self._running:
            self._quiet_since = self._timers.now()
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1

    def event(self, seconds: float, count: int) -> None:
        """Notes `count` tokens that came `seconds` after the last ones."""
        self._quiet_since = self._timers.now()
        if count:
            self._token.add(seconds / count)
            self._burst.add(count)

    def probed(self, seconds: float) -> None:
        """Notes a probe's time for one token.

        Probes are rare and the only news of a target that gets no work, so
        each one counts for more.
        """
        self._quiet_since = self._timers.now()
        self._token.add(seconds, PROBE_SMOOTHING)

    def first(self, seconds: float, fresh: int) -> None:
        """Notes the time to the first token and the uncached prompt."""
        if fresh >= LEAST_FRESH_TOKENS:
            self.prefill.add(max(0.0, seconds) / fresh)
