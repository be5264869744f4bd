"""Shares of an account's rate limit: the stored row and this host's state.

A share is the fraction of the account's rate and burst that one host may use
until its lease ends.
"""

from __future__ import annotations

import dataclasses

from endivepier.gateway import model
from endivepier.gateway.accounts import starts as starts_lib
from endivepier.gateway.accounts import term_messages
from endivepier.limits import bucket as bucket_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The share of one host, as stored.

    Attributes:
        fraction: fraction of the account's rate and burst, 0 to 1.
        renewals: number of the write, one more than that of the write before;
            former builds notice a renewal when it changes.
        write: random id of the write, by which other hosts notice a renewal,
            and its own recognizes it if the reply was lost.
        credited_at: wall-clock time, in seconds, at which a restarted process
            of the host last got tokens that its former one may have used.
        term: the term in which the host uses the share; one without witnesses
            if a former build wrote the entry.
    """

    fraction: float
    renewals: int
    write: str
    credited_at: float = 0.0
    term: term_messages.Term = dataclasses.field(
        default_factory=term_messages.Term
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """The stored row of one account.

    Attributes:
        holders: its shares, by host.
        released: tokens of a host that released its share; they belong to the
            host that takes the share next.
    """

    holders: dict[str, Entry]
    released: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A change of this host's share that is to be written.

    Attributes:
        share: the share.
        fraction: its fraction after the write.
        tokens: tokens that its bucket gets by the write.
        term: the term of its entry after the write.
    """

    share: Share
    fraction: float
    tokens: float
    term: term_messages.Term


@dataclasses.dataclass(slots=True)
class Share:
    """This host's share of an account.

    Attributes:
        bucket: tokens that this host may use.
        start_limiter: decides when programs of the account may start.
        fraction: fraction of the account's rate and burst; it may be used
            until `lease_until`.
        lease_until: end of the lease, monotonic seconds.
        written_at: time of the last write of the entry, monotonic seconds; 0
            if this process has not written it.
        owner_seen_at: when another host that holds a share last replied,
            monotonic seconds.
        elsewhere: estimate of the tokens at the account's other owners; None
            if this host has never decided alone on its programs.
        terms: the terms that its entry in the store may have, more than one
            after writes whose outcome is unknown.
        no_tokens_until: by peer that lent nothing, the time before which it
            is not asked again, monotonic seconds.
    """

    bucket: bucket_lib.Bucket
    start_limiter: starts_lib.StartLimiter
    fraction: float = 0.0
    lease_until: float = 0.0
    written_at: float = 0.0
    owner_seen_at: float = float("-inf")
    elsewhere: bucket_lib.Bucket | None = None
    terms: tuple[term_messages.Term, ...] = ()
    no_tokens_until: dict[str, float] = dataclasses.field(default_factory=dict)

    def clear(self, now: float) -> None:
        """Ends the use of the share; its tokens are gone."""
        self.fraction = 0.0
        self.lease_until = 0.0
        self.terms = ()
        self.update_bucket(now)

    def update_bucket(self, now: float) -> None:
        """Updates the bucket to `now` and the fraction; 0 without a lease."""
        self.bucket.update(
            now, self.fraction if now < self.lease_until else 0.0
        )

    def update_elsewhere(self, now: float) -> bucket_lib.Bucket:
        """Updates the estimate of the other owners' tokens and returns it."""
        fraction = 1.0 - self.fraction
        if self.elsewhere is None:
            self.elsewhere = bucket_lib.Bucket(
                self.bucket, fraction, now, now, full=True
            )
        self.elsewhere.rate = self.bucket.rate
        self.elsewhere.burst = self.bucket.burst
        self.elsewhere.update(now, fraction)
        return self.elsewhere


class LocalShares:
    """This host's shares of all accounts."""

    def __init__(self, tolerance: float) -> None:
        """Initializes without any shares.

        Args:
            tolerance: requests that each account may make beyond its burst.
        """
        self.tolerance = tolerance
        self._shares: dict[str, Share] = {}

    def terms(self) -> set[term_messages.Term]:
        """Returns the terms in which shares are held."""
        return {
            term
            for share in self._shares.values()
            if share.fraction
            for term in share.terms
        }

    def find(self, name: str) -> Share | None:
        """Returns the share of an account, or None if there is none yet."""
        return self._shares.get(name)

    def lapsed(self, now: float) -> list[tuple[str, Share]]:
        """Returns the account names and shares whose leases have ended."""
        return [
            (name, share)
            for name, share in self._shares.items()
            if share.fraction and now >= share.lease_until
        ]

    def ensure(self, account: model.Account, now: float) -> Share:
        """Returns the share of an account, updated to the declared limits.

        The bucket's burst is the declared burst plus the tolerance. Creates an
        empty share if there is none.
        """
        share = self._shares.get(account.name)
        if share is None:
            bucket = bucket_lib.Bucket(account, 0.0, now, now, full=False)
            share = Share(bucket, starts_lib.StartLimiter())
            self._shares[account.name] = share
        bucket = share.bucket
        burst = account.burst + self.tolerance
        if bucket.rate != account.rate or bucket.burst != burst:
            share.update_bucket(now)
            bucket.rate = account.rate
            bucket.burst = burst
            share.update_bucket(now)
        return share
