"""A budget for retries: a share of the calls, so that they can't pile up."""

from __future__ import annotations

RETRIES_PER_CALL = 0.2
LARGEST = 20.0


class RetryBudget:
    """Grows with each first try and shrinks with each retry."""

    def __init__(self) -> None:
        self._left = LARGEST

    def deposit(self) -> None:
        """Notes a first try."""
        self._left = min(LARGEST, self._left + RETRIES_PER_CALL)

    def withdraw(self) -> bool:
        """Returns whether a retry is allowed, and takes it."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
