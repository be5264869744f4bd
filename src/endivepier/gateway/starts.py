"""How many programs of an account may begin while it is at its rate.

A program that can't end is worth nothing, and one that has begun goes on to
ask. So while an account lacks tokens for its programs under way, new ones
begin only as fast as the rate can carry them to their ends: the rate over the
requests that a program makes, as counted lately.
"""

from __future__ import annotations

# How long an account counts as pressed after a request of a program under
# way found no token; programs last one to five seconds.
PRESSED_SECONDS = 3.0
COUNT_HALF_SECONDS = 10.0
# Before anything was counted: a program of four turns with two calls each.
FIRST_PROGRAMS = 2.0
FIRST_REQUESTS = 24.0
MOST_STARTS = 1.5  # starts saved up while an account is pressed


class Starts:
    """The starts of one account at one host."""

    def __init__(self, now: float) -> None:
        self._programs = FIRST_PROGRAMS
        self._requests = FIRST_REQUESTS
        self._counted = now
        self._pressed_until = 0.0
        self._tokens = 1.0
        self._refilled = now

    def press(self, now: float) -> None:
        """Notes that a program under way found no token."""
        if now >= self._pressed_until:
            self._refilled = now
        self._pressed_until = now + PRESSED_SECONDS

    def count(self, now: float, *, fresh: bool) -> None:
        """Counts an admitted request."""
        kept = 0.5 ** ((now - self._counted) / COUNT_HALF_SECONDS)
        self._counted = now
        self._programs = self._programs * kept + float(fresh)
        self._requests = self._requests * kept + 1.0

    @property
    def requests_each(self) -> float:
        """Requests that a program makes here, as counted lately."""
        return self._requests / max(self._programs, 0.5)

    def missing(self, now: float, rate: float) -> float:
        """Returns the seconds until a program may begin; 0 for now.

        Args:
            now: the time.
            rate: requests a second that this host may admit.
        """
        if now >= self._pressed_until:
            return 0.0
        per_second = rate / self.requests_each
        gained = (now - self._refilled) * per_second
        self._tokens = min(self._tokens + gained, MOST_STARTS)
        self._refilled = now
        if self._tokens >= 1.0:
            return 0.0
        return (1.0 - self._tokens) / max(per_second, 1e-3)

    def begin(self, now: float) -> None:
        """Notes that a program begins."""
        if now < self._pressed_until:
            self._tokens -= 1.0
