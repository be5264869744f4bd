"""Bounds the staleness of the configuration on this process.

A freshness proof is a time on this process's monotonic clock. It says that
every release note whose acceptance was reported to an operator before that
time is in force here. A process whose newest proof is too old must not serve
callers: it might accept a key that was withdrawn.
"""

from __future__ import annotations

from endivepier import errors
from endivepier import timers as timers_lib

MAX_PROOF_AGE_SECONDS = 10.0
RETRY_AFTER_SECONDS = 1.0


class Freshness:
    """Holds the newest freshness proof of this process."""

    def __init__(
        self,
        timers: timers_lib.Timers,
        *,
        max_age_seconds: float = MAX_PROOF_AGE_SECONDS,
    ) -> None:
        """Starts without a proof.

        Args:
            timers: the timer service.
            max_age_seconds: age up to which a proof permits serving.
        """
        self._timers = timers
        self._max_age_seconds = max_age_seconds
        self._proven_at: float | None = None

    def record_proof(self, proven_at: float) -> None:
        """Records a proof, unless a newer one is known.

        Args:
            proven_at: time of the proof on this process's monotonic clock.
        """
        if self._proven_at is None or proven_at > self._proven_at:
            self._proven_at = proven_at

    def age(self) -> float | None:
        """Returns the age of the newest proof in seconds; None without one."""
        if self._proven_at is None:
            return None
        return self._timers.now() - self._proven_at

    def is_fresh(self) -> bool:
        """Returns whether this process may serve callers now."""
        age = self.age()
        return age is not None and age <= self._max_age_seconds

    def check(self, ran: errors.Ran = errors.Ran.NO) -> None:
        """Raises unless this process may serve callers now.

        Args:
            ran: whether the request may have run already; the refusal
                reports it.

        Raises:
            errors.Refused: `NOT_READY`, if there is no recent proof.
        """
        if not self.is_fresh():
            raise errors.Refused(
                errors.Code.NOT_READY,
                503,
                "this entry host can't tell whether its configuration is "
                "up to date; send the request to another one",
                ran=ran,
                retry_after=RETRY_AFTER_SECONDS,
            )
