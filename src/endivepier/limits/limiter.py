"""Admission by client account: rate and burst.

This version splits each account's rate and burst evenly over the entry hosts
that are ready, which is strict only while that number does not change.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.configuration import current as current_lib
from endivepier.configuration import state as state_lib

MAX_WAIT_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Tokens of one account at this process.

    Attributes:
        tokens: how many are there; below 0 if some are promised.
        updated: monotonic time of the last refill, in seconds.
    """

    tokens: float
    updated: float


class Limiter:
    """Admits requests of client accounts."""

    def __init__(
        self,
        current: current_lib.Current,
        timers: timers_lib.Timers,
        holders: Callable[[], int],
    ) -> None:
        """Makes a limiter whose buckets are full.

        Args:
            current: the configuration in force.
            timers: the timer service.
            holders: returns over how many processes the rate is split.
        """
        self._current = current
        self._timers = timers
        self._holders = holders
        self._buckets: dict[str, _Bucket] = {}

    def admit(self, account: str) -> None:
        """Admits one request, after a short wait if need be.

        Raises:
            errors.Refused: `RATE_LIMITED`, with the time of the next token.
        """
        declared = self._current.state.accounts.get(account)
        if declared is None:
            raise _limited(account, MAX_WAIT_SECONDS)
        share = max(1, self._holders())
        bucket = self._refilled(declared, share)
        rate = declared.rate / share
        wait = (1.0 - bucket.tokens) / rate if rate > 0 else float("inf")
        if wait > MAX_WAIT_SECONDS:
            raise _limited(account, min(wait, 60.0))
        bucket.tokens -= 1.0
        if wait > 0:
            self._timers.sleep(wait)

    def _refilled(self, declared: state_lib.Account, share: int) -> _Bucket:
        now = self._timers.now()
        burst = max(1.0, declared.burst / share)
        bucket = self._buckets.get(declared.name)
        if bucket is None:
            bucket = _Bucket(burst, now)
            self._buckets[declared.name] = bucket
        gained = (now - bucket.updated) * declared.rate / share
        bucket.tokens = min(burst, bucket.tokens + gained)
        bucket.updated = now
        return bucket


def _limited(account: str, wait: float) -> errors.Refused:
    return errors.Refused(
        errors.Code.RATE_LIMITED,
        429,
        f"client account {account!r} is over its rate; retry later",
        retry_after=wait,
    )
