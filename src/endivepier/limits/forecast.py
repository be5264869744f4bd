"""Expected wait of a request for a token, and the refusal of a request."""

from __future__ import annotations

import math

from endivepier import errors
from endivepier.limits import bucket as bucket_lib
from endivepier.limits import policies
from endivepier.limits import rights as rights_lib

MAX_RETRY_AFTER_SECONDS = 60.0
NO_SHARE_RETRY_SECONDS = 1.0


class Forecast:
    """Estimates from a bucket and the rights when tokens are available.

    Attributes:
        can_borrow: whether the policy allows loans from peers.
    """

    def __init__(
        self, rights: rights_lib.Rights, policy: policies.Policy
    ) -> None:
        self.can_borrow = isinstance(policy, policies.Lending)
        self._rights = rights

    def wait_seconds(
        self, bucket: bucket_lib.Bucket, position: int, now: float
    ) -> float:
        """Returns the seconds until the request at `position` gets a token.

        While peers may still grant loans, the estimate assumes the rate of
        the whole account; after a sweep without a loan, only the refill of
        this bucket. A process that still waits for a share is expected to get
        an equal one. Positions in the queue begin at 1.
        """
        needed = position - bucket.available()
        if needed <= 0:
            return 0.0
        if self.can_borrow and self._may_find_loans(bucket, now):
            return needed / bucket.rate if bucket.rate > 0 else math.inf
        share_delay = self.share_delay(bucket)
        fraction = bucket.fraction
        if share_delay > 0:
            fraction = 1.0 / max(1, len(self._rights.epoch.holders))
        refill_rate = fraction * bucket.rate
        return (
            share_delay + needed / refill_rate if refill_rate > 0 else math.inf
        )

    def share_delay(self, bucket: bucket_lib.Bucket) -> float:
        """Returns the seconds until this process has a share; 0 if it has one.

        After a restart of all entry hosts none of them has tokens until the
        rights of their earlier incarnations are over. Requests wait for that
        rather than being refused.
        """
        if bucket.fraction > 0:
            return 0.0
        return self._rights.seconds_until_start()

    def _may_find_loans(self, bucket: bucket_lib.Bucket, now: float) -> bool:
        return (
            bucket.sweeping or now >= bucket.sweep_at or bucket.backoff == 0.0
        )


def retry_after(wait_seconds: float) -> float:
    """Returns the seconds until a refused request should be retried.

    Args:
        wait_seconds: expected wait for a token; infinite if none is expected.
    """
    if math.isinf(wait_seconds):
        return NO_SHARE_RETRY_SECONDS
    return min(wait_seconds, MAX_RETRY_AFTER_SECONDS)


def refusal(account: str, retry_seconds: float) -> errors.Refused:
    """Returns the error for a request that gets no token in time."""
    return errors.Refused(
        errors.Code.RATE_LIMITED,
        429,
        f"client account {account!r} is over its rate; retry later",
        retry_after=retry_seconds,
    )
