"""Limits retries to a fraction of the calls, to prevent retry storms."""

from __future__ import annotations

RETRIES_PER_CALL = 0.2
MAX_RETRIES_AVAILABLE = 20.0


class RetryBudget:
    """A token bucket that first attempts fill and retries drain."""

    def __init__(self) -> None:
        self._available = MAX_RETRIES_AVAILABLE

    def deposit(self) -> None:
        """Adds a fraction of a retry for a call's first attempt."""
        self._available = min(
            MAX_RETRIES_AVAILABLE, self._available + RETRIES_PER_CALL
        )

    def withdraw(self) -> bool:
        """Returns whether a retry is allowed; if so, deducts it."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
