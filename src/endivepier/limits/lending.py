"""Loans between limiters: what lenders give, what borrowers ask for.

There are two reasons to borrow. A process whose own share is too small for
its load borrows a fraction for seconds, and lenders give what their own load
leaves. A process that is short of tokens just now borrows tokens for a moment,
and lenders give whatever they have unless requests wait there.
"""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import Any
from typing import TypeVar

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import peers as peers_lib
from endivepier.limits import bucket as bucket_lib
from endivepier.limits import leases
from endivepier.limits import messages
from endivepier.limits import rights as rights_lib

LONG_SECONDS = 3.0
SHORT_SECONDS = 0.5
RENEW_AT = 0.6
ASK_SECONDS = 0.1
SILENT_SECONDS = 2.0
FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
SWEEP_PAUSE_SECONDS = 0.02
# Own load keeps this much more than it needs on average.
HEADROOM = 1.2
SMALLEST_FRACTION = 0.02
SMALLEST_TOKENS = 0.05

T = TypeVar("T")
Touched = Callable[[str], "bucket_lib.Bucket | None"]


class Lender:
    """Answers peers that ask for loans."""

    def __init__(
        self,
        touched: Touched,
        rights: rights_lib.Rights,
        timers: timers_lib.Timers,
    ) -> None:
        """Makes a lender.

        Args:
            touched: returns an account's bucket, brought up to date; None if
                there is no such account.
            rights: what this process may use.
            timers: the timer service.
        """
        self._touched = touched
        self._rights = rights
        self._timers = timers
        self._loans = 0
        self._over_at = -math.inf

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Answers peers' messages."""
        inbox.register(messages.Borrow, messages.Lent, self.lend)
        inbox.register(messages.Renew, messages.Renewed, self.renew)
        inbox.register(messages.Return, messages.Returned, self.take_back)

    def loan_seconds_left(self) -> float:
        """Returns after how long all loans are certainly over."""
        return max(0.0, self._over_at - self._timers.now())

    def lend(self, req: messages.Borrow) -> messages.Lent:
        """Lends what can be spared."""
        bucket = self._touched(req.account)
        seconds = min(req.seconds, LONG_SECONDS, self._rights.seconds_left())
        if bucket is None or bucket.waiters or not seconds > 0:
            return messages.Lent(0)
        now = self._timers.now()
        kept = bucket.fraction_kept
        spare = max(0.0, min(kept, kept - _needed(bucket, now)))
        fraction = min(spare, max(0.0, req.fraction))
        tokens = 0.0
        if fraction >= SMALLEST_FRACTION:
            tokens = self._tokens_with(bucket, fraction, kept, spare)
        else:
            fraction = 0.0
        wanted = max(0.0, req.tokens) - tokens
        if wanted > 0 and bucket.burst > 0:
            more = min(wanted, max(0.0, bucket.level - tokens))
            fraction = min(kept, max(fraction, (tokens + more) / bucket.burst))
            tokens += more
        tokens = min(tokens, fraction * bucket.burst)
        if tokens < SMALLEST_TOKENS and fraction < SMALLEST_FRACTION:
            return messages.Lent(0)
        return self._grant(bucket, fraction, tokens, seconds)

    def renew(self, req: messages.Renew) -> messages.Renewed:
        """Extends a loan unless the fraction is needed here."""
        bucket = self._touched(req.account)
        loan = None if bucket is None else bucket.lent.get(req.loan)
        if bucket is None or loan is None:
            return messages.Renewed(0.0)
        now = self._timers.now()
        short = _needed(bucket, now) > bucket.fraction_kept
        seconds = min(req.seconds, LONG_SECONDS, self._rights.seconds_left())
        if bucket.waiters or short or not seconds > 0:
            return messages.Renewed(0.0)
        if bucket.is_overlent():
            # The share has become smaller since the loan was granted. What
            # is too much must be over when the others' shares become larger.
            return messages.Renewed(0.0)
        over = now + leases.expired_after(seconds)
        loan.until = max(loan.until, over)
        self._over_at = max(self._over_at, over)
        return messages.Renewed(seconds)

    def take_back(self, req: messages.Return) -> messages.Returned:
        """Ends a loan and takes back what was left of it."""
        bucket = self._touched(req.account)
        if bucket is None:
            return messages.Returned()
        loan = bucket.lent.pop(req.loan, None)
        if loan is not None and req.tokens > 0:
            most = loan.fraction * bucket.burst
            bucket.level += min(req.tokens, most)
            bucket.refuse_until = -math.inf
            if bucket.wake is not None:
                bucket.wake.set()
        return messages.Returned()

    def _tokens_with(
        self,
        bucket: bucket_lib.Bucket,
        fraction: float,
        kept: float,
        spare: float,
    ) -> float:
        """Returns the tokens that go with a fraction."""
        level = max(0.0, bucket.level)
        if spare < kept:
            level *= fraction / kept
        return min(level, fraction * bucket.burst)

    def _grant(
        self,
        bucket: bucket_lib.Bucket,
        fraction: float,
        tokens: float,
        seconds: float,
    ) -> messages.Lent:
        until = self._timers.now() + leases.expired_after(seconds)
        self._loans += 1
        bucket.lent[self._loans] = bucket_lib.Lent(fraction, until)
        bucket.level -= tokens
        bucket.counts.lent += tokens
        self._over_at = max(self._over_at, until)
        return messages.Lent(self._loans, fraction, tokens, seconds)


class Borrower:
    """Asks peers for loans, renews them and gives them back."""

    def __init__(
        self,
        touched: Touched,
        rights: rights_lib.Rights,
        timers: timers_lib.Timers,
        peers: peers_lib.Peers,
        lenders: Callable[[str], list[str]],
    ) -> None:
        """Makes a borrower.

        Args:
            touched: returns an account's bucket, brought up to date.
            rights: what this process may use.
            timers: the timer service.
            peers: the way to lenders.
            lenders: returns whom to ask for an account.
        """
        self._touched = touched
        self._rights = rights
        self._timers = timers
        self._peers = peers
        self._lenders = lenders
        self._silent_until: dict[str, float] = {}

    def wanted(
        self, account: str, bucket: bucket_lib.Bucket
    ) -> messages.Borrow | None:
        """Returns what to ask for now; None if there is enough."""
        now = self._timers.now()
        tokens = max(0.0, len(bucket.waiters) - bucket.available())
        have = bucket.fraction
        need = _needed(bucket, now)
        if have < 1.0 and need - have >= SMALLEST_FRACTION:
            return messages.Borrow(account, need - have, tokens, LONG_SECONDS)
        if tokens < bucket_lib.ROUNDING_TOLERANCE:
            return None
        return messages.Borrow(account, 0.0, tokens, SHORT_SECONDS)

    def sweep(self, account: str, bucket: bucket_lib.Bucket) -> None:
        """Asks lenders one after the other until there is enough."""
        gained = False
        for lender in self._lenders(account):
            touched = self._touched(account)
            if touched is not bucket:
                break
            req = self.wanted(account, bucket)
            if req is None:
                break
            if self._borrow(lender, bucket, req):
                gained = True
                if bucket.wake is not None:
                    bucket.wake.set()
        now = self._timers.now()
        if gained:
            bucket.backoff = 0.0
            bucket.refuse_until = -math.inf
            bucket.sweep_at = now + SWEEP_PAUSE_SECONDS
            return
        bucket.backoff = min(
            MAX_BACKOFF_SECONDS, max(FIRST_BACKOFF_SECONDS, bucket.backoff * 2)
        )
        bucket.sweep_at = now + bucket.backoff

    def upkeep(self, account: str, bucket: bucket_lib.Bucket) -> None:
        """Renews the loans that are due and needed, returns the others."""
        now = self._timers.now()
        for loan in list(bucket.borrowed):
            if now >= loan.renew_at and loan in bucket.borrowed:
                loan.renew_at = math.inf
                self._settle(account, bucket, loan)

    def _borrow(
        self, lender: str, bucket: bucket_lib.Bucket, req: messages.Borrow
    ) -> bool:
        """Returns whether the lender gave anything."""
        asked = self._timers.now()
        if asked < self._silent_until.get(lender, -math.inf):
            return False
        lent = self._call(lender, req, messages.Lent)
        if lent is None or not lent.loan:
            return False
        usable = leases.usable(lent.seconds)
        if self._timers.now() >= asked + usable:
            return False
        bucket.borrowed.append(
            bucket_lib.Borrowed(
                lender=lender,
                loan=lent.loan,
                fraction=lent.fraction,
                tokens=lent.tokens,
                updated=self._timers.now(),
                until=asked + usable,
                renew_at=asked + usable * RENEW_AT,
            )
        )
        bucket.counts.borrowed += lent.tokens
        return True

    def _settle(
        self,
        account: str,
        bucket: bucket_lib.Bucket,
        loan: bucket_lib.Borrowed,
    ) -> None:
        if self._still_needed(bucket, loan):
            req = messages.Renew(account, loan.loan, LONG_SECONDS)
            asked = self._timers.now()
            renewed = self._call(loan.lender, req, messages.Renewed)
            if renewed is not None and renewed.seconds > 0:
                usable = leases.usable(renewed.seconds)
                self._extend(bucket, loan, asked, usable)
                return
        self._give_back(account, bucket, loan)

    def _extend(
        self,
        bucket: bucket_lib.Bucket,
        loan: bucket_lib.Borrowed,
        asked: float,
        usable: float,
    ) -> None:
        """Extends a loan, unless it has ended while the lender was asked."""
        if self._timers.now() >= loan.until:
            return
        loan.until = max(loan.until, asked + usable)
        loan.renew_at = asked + usable * RENEW_AT

    def _give_back(
        self,
        account: str,
        bucket: bucket_lib.Bucket,
        loan: bucket_lib.Borrowed,
    ) -> None:
        """Drops a loan first and only then tells the lender."""
        self._touched(account)
        if loan not in bucket.borrowed:
            return
        bucket.borrowed.remove(loan)
        req = messages.Return(account, loan.loan, loan.tokens)
        if self._call(loan.lender, req, messages.Returned) is None:
            bucket.counts.destroyed += loan.tokens

    def _still_needed(
        self, bucket: bucket_lib.Bucket, loan: bucket_lib.Borrowed
    ) -> bool:
        if bucket.waiters:
            return True
        now = self._timers.now()
        rest = bucket.fraction - loan.fraction
        return _needed(bucket, now) - rest >= SMALLEST_FRACTION

    def _call(self, lender: str, req: Any, reply: type[T]) -> T | None:
        """Returns the lender's answer; None if there is none."""
        try:
            answer: T = self._peers.call(
                lender, req, reply, seconds=ASK_SECONDS
            )
        except errors.PeerUnreachable:
            now = self._timers.now()
            self._silent_until[lender] = now + SILENT_SECONDS
            return None
        except errors.Refused:
            return None
        return answer


def _needed(bucket: bucket_lib.Bucket, now: float) -> float:
    """Returns the fraction of the rate that the load here needs."""
    if bucket.rate <= 0:
        return 0.0
    return min(1.0, HEADROOM * bucket.demand(now) / bucket.rate)
