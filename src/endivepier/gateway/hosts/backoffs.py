"""Which hosts are avoided after requests to them failed, and until when."""

from __future__ import annotations

import dataclasses

import eliot

from endivepier import timers as timers_lib

FIRST_AVOID_SECONDS = 1.0  # after the first failed request to a host
MAX_AVOID_SECONDS = 8.0  # a frozen or cut-off host recovers in some seconds


@dataclasses.dataclass(slots=True)
class _Backoff:
    """The period for which a host is avoided.

    Attributes:
        until: end of the period, monotonic seconds.
        seconds: length of the period.
    """

    until: float
    seconds: float


class Backoffs:
    """The hosts that are avoided, for longer after each failure."""

    def __init__(self, timers: timers_lib.Timers) -> None:
        self._timers = timers
        self._backoffs: dict[str, _Backoff] = {}

    def is_avoided(self, host: str) -> bool:
        """Returns whether a host is avoided now."""
        backoff = self._backoffs.get(host)
        return backoff is not None and backoff.until > self._timers.now()

    def has_failed(self, host: str) -> bool:
        """Returns whether no message of a host came since a failed request."""
        return host in self._backoffs

    def note_failure(self, host: str, reason: str) -> None:
        """Records a failed request; one while it is avoided changes nothing."""
        now = self._timers.now()
        backoff = self._backoffs.get(host)
        if backoff is None:
            backoff = _Backoff(now, FIRST_AVOID_SECONDS / 2)
            self._backoffs[host] = backoff
        if backoff.until <= now:
            backoff.seconds = min(backoff.seconds * 2, MAX_AVOID_SECONDS)
            backoff.until = now + backoff.seconds
            eliot.log_message(
                "peer.silent",
                peer=host,
                reason=reason,
                avoided=backoff.seconds,
            )

    def note_contact(self, host: str) -> None:
        """Records a message of a host, which is avoided no more."""
        if self._backoffs.pop(host, None) is not None:
            eliot.log_message("peer.answers", peer=host)

    def forget(self, host: str) -> None:
        """Forgets the failures of a host."""
        self._backoffs.pop(host, None)
