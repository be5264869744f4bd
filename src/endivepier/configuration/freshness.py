"""How long ago this process certainly knew every accepted release note.

A proof is a moment on this process's monotonic clock: every note whose
acceptance an operator was told before that moment is in force here. A process
whose last proof is too old must not serve callers.
"""

from __future__ import annotations

from endivepier import errors
from endivepier import timers as timers_lib

FRESH_SECONDS = 10.0
RETRY_SECONDS = 1.0


class Freshness:
    """The newest proof of one process."""

    def __init__(
        self,
        timers: timers_lib.Timers,
        *,
        fresh_seconds: float = FRESH_SECONDS,
    ) -> None:
        """Makes it without a proof.

        Args:
            timers: the timer service.
            fresh_seconds: how long a proof lets this process serve.
        """
        self._timers = timers
        self._fresh_seconds = fresh_seconds
        self._proven: float | None = None

    def record_proof(self, moment: float) -> None:
        """Notes a proof; an older one than the newest changes nothing.

        Args:
            moment: on the monotonic clock of this process.
        """
        if self._proven is None or moment > self._proven:
            self._proven = moment

    def age(self) -> float | None:
        """Returns the age of the newest proof in seconds, or None."""
        if self._proven is None:
            return None
        return self._timers.now() - self._proven

    def is_fresh(self) -> bool:
        """Returns whether this process may serve callers now."""
        age = self.age()
        return age is not None and age <= self._fresh_seconds

    def check(self, ran: errors.Ran = errors.Ran.NO) -> None:
        """Refuses a request while this process may not serve.

        Raises:
            errors.Refused: `NOT_READY`.
        """
        if not self.is_fresh():
            raise errors.Refused(
                errors.Code.NOT_READY,
                503,
                "this entry host can't tell whether its configuration is "
                "up to date; send the request to another one",
                ran=ran,
                retry_after=RETRY_SECONDS,
            )
