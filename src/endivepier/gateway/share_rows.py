"""What hosts hold of an account, in its row and at this host."""

from __future__ import annotations

import dataclasses

from endivepier.gateway import model
from endivepier.gateway import starts as starts_lib
from endivepier.limits import bucket as bucket_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """What one host holds of an account.

    Attributes:
        fraction: of rate and burst.
        renewals: rises with each write of the entry.
        write: name of the write, to recognize it.
    """

    fraction: float
    renewals: int
    write: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """All that is held of one account, by name of the holder."""

    holders: dict[str, Entry]


@dataclasses.dataclass(slots=True)
class Share:
    """This host's part of an account.

    Attributes:
        bucket: its tokens.
        fraction: what may be used now.
        until: when the lease ends, monotonic seconds.
        written: when the entry was last written.
        starts: how many programs may begin.
        empty_until: until when a peer is taken to have nothing to give.
    """

    bucket: bucket_lib.Bucket
    starts: starts_lib.Starts
    fraction: float = 0.0
    until: float = 0.0
    written: float = 0.0
    empty_until: dict[str, float] = dataclasses.field(default_factory=dict)

    def touch(self, now: float) -> None:
        """Brings the bucket up to date."""
        self.bucket.update(now, self.fraction if now < self.until else 0.0)


class LocalShares:
    """This host's parts of all accounts."""

    def __init__(self, tolerance: float) -> None:
        """Makes an empty set.

        Args:
            tolerance: requests that each account may make beyond its burst.
        """
        self.tolerance = tolerance
        self._shares: dict[str, Share] = {}

    def find(self, name: str) -> Share | None:
        """Returns the part of an account, if it was asked for before."""
        return self._shares.get(name)

    def lapsed(self, now: float) -> list[tuple[str, Share]]:
        """Returns the parts whose leases have ended, with their accounts."""
        return [
            (name, share)
            for name, share in self._shares.items()
            if share.fraction and now >= share.until
        ]

    def of(self, account: model.Account, now: float) -> Share:
        """Returns the part of an account, as it is declared now."""
        share = self._shares.get(account.name)
        if share is None:
            bucket = bucket_lib.Bucket(account, 0.0, now, now, full=False)
            share = Share(bucket, starts_lib.Starts())
            self._shares[account.name] = share
        bucket = share.bucket
        burst = account.burst + self.tolerance
        if bucket.rate != account.rate or bucket.burst != burst:
            share.touch(now)
            bucket.rate = account.rate
            bucket.burst = burst
            share.touch(now)
        return share
