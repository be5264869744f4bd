"""When a request that waits will find a token, and what a refusal says."""

from __future__ import annotations

import math

from endivepier import errors
from endivepier.limits import bucket as bucket_lib
from endivepier.limits import policies
from endivepier.limits import rights as rights_lib

MAX_RETRY_AFTER_SECONDS = 60.0
NO_SHARE_RETRY_SECONDS = 1.0


class Forecast:
    """Tells from a bucket and the rights when tokens will be there.

    Attributes:
        lends: whether tokens may come from peers.
    """

    def __init__(
        self, rights: rights_lib.Rights, policy: policies.Policy
    ) -> None:
        self.lends = isinstance(policy, policies.Lending)
        self._rights = rights

    def wait(
        self, bucket: bucket_lib.Bucket, position: int, now: float
    ) -> float:
        """Returns when the token for a place in the queue will be there.

        As long as peers may have tokens, the whole account's rate is hoped
        for; after asking in vain, only what refills here.
        """
        missing = position - bucket.available()
        if missing <= 0:
            return 0.0
        if self.lends and self._may_find_loans(bucket, now):
            return missing / bucket.rate if bucket.rate > 0 else math.inf
        starts_in = self.starts_in(bucket)
        fraction = bucket.fraction
        if starts_in > 0:
            fraction = 1.0 / max(1, len(self._rights.epoch.holders))
        speed = fraction * bucket.rate
        return starts_in + missing / speed if speed > 0 else math.inf

    def starts_in(self, bucket: bucket_lib.Bucket) -> float:
        """Returns when this process's share begins; 0 if it has any.

        After a restart of all entry hosts nobody has tokens until the rights
        of their earlier incarnations are over. Requests wait for that, rather
        than being refused.
        """
        if bucket.fraction > 0:
            return 0.0
        return self._rights.starts_in()

    def _may_find_loans(self, bucket: bucket_lib.Bucket, now: float) -> bool:
        return (
            bucket.sweeping or now >= bucket.sweep_at or bucket.backoff == 0.0
        )


def retry_after(wait: float) -> float:
    """Returns what a refusal says of a wait."""
    if math.isinf(wait):
        return NO_SHARE_RETRY_SECONDS
    return min(wait, MAX_RETRY_AFTER_SECONDS)


def refused(account: str, wait: float) -> errors.Refused:
    """Returns the refusal of a request over its account's rate."""
    return errors.Refused(
        errors.Code.RATE_LIMITED,
        429,
        f"client account {account!r} is over its rate; retry later",
        retry_after=wait,
    )
