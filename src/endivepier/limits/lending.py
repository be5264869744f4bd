"""Loans of rate, burst and tokens between the limiters of several processes.

There are two kinds of loans. A process whose own share is too small for its
load borrows a fraction of the account's rate for `MAX_LOAN_SECONDS`, and a
lender grants the part that its own load doesn't need. A process whose share is
large enough, but whose requests wait for tokens, borrows tokens for
`TOKEN_LOAN_SECONDS`, and a lender grants as many as it has. A process grants
no loan of either kind while requests wait for tokens there.
"""

from __future__ import annotations

from collections.abc import Callable
import math
import random
from typing import Any
from typing import TypeVar

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import numbering
from endivepier.internal import peers as peers_lib
from endivepier.limits import bucket as bucket_lib
from endivepier.limits import leases
from endivepier.limits import messages
from endivepier.limits import rights as rights_lib

MAX_LOAN_SECONDS = 3.0
TOKEN_LOAN_SECONDS = 0.5
RENEW_AFTER_RATIO = 0.6  # of a loan's duration
CALL_TIMEOUT_SECONDS = 0.1
UNREACHABLE_PAUSE_SECONDS = 2.0
FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
SWEEP_PAUSE_SECONDS = 0.02
# Reserve for the process's own load, as a multiple of its average demand.
DEMAND_HEADROOM_RATIO = 1.2
MIN_LOAN_FRACTION = 0.02
MIN_LOAN_TOKENS = 0.05

T = TypeVar("T")
BucketLookup = Callable[[str], "bucket_lib.Bucket | None"]


class Lender:
    """Grants loans to peers, renews them and accepts their return."""

    def __init__(
        self,
        updated_bucket: BucketLookup,
        rights: rights_lib.Rights,
        timers: timers_lib.Timers,
    ) -> None:
        """Creates a lender.

        Args:
            updated_bucket: updates an account's bucket and returns it; None
                if there is no such account.
            rights: the fractions of the accounts that this process may use.
            timers: the timer service.
        """
        self._updated_bucket = updated_bucket
        self._rights = rights
        self._timers = timers
        # Borrowers refer to a loan by this host's address and the number.
        self._loan_numbers = numbering.numbers(
            random.Random(rights.me.incarnation)
        )
        self._loans_end_at = -math.inf

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Registers the handlers of borrowers' messages."""
        inbox.register(messages.Borrow, messages.Lent, self.lend)
        inbox.register(messages.Renew, messages.Renewed, self.renew)
        inbox.register(messages.Return, messages.Returned, self.accept_return)

    def loan_seconds_left(self) -> float:
        """Returns the seconds until all loans have ended at the borrowers."""
        return max(0.0, self._loans_end_at - self._timers.now())

    def lend(self, req: messages.Borrow) -> messages.Lent:
        """Grants as much of the requested loan as this process can spare."""
        bucket = self._updated_bucket(req.account)
        seconds = min(
            req.seconds, MAX_LOAN_SECONDS, self._rights.seconds_left()
        )
        if bucket is None or bucket.waiters or not seconds > 0:
            return messages.Lent(0)
        now = self._timers.now()
        kept = bucket.fraction_kept
        spare = max(0.0, min(kept, kept - _needed_fraction(bucket, now)))
        fraction = min(spare, max(0.0, req.fraction))
        tokens = 0.0
        if fraction >= MIN_LOAN_FRACTION:
            tokens = self._proportional_tokens(bucket, fraction, kept, spare)
        else:
            fraction = 0.0
        wanted = max(0.0, req.tokens) - tokens
        if wanted > 0 and bucket.burst > 0:
            extra = min(wanted, max(0.0, bucket.level - tokens))
            # A loan's tokens must fit into its fraction of the burst.
            fraction = min(kept, max(fraction, (tokens + extra) / bucket.burst))
            tokens += extra
        tokens = min(tokens, fraction * bucket.burst)
        if tokens < MIN_LOAN_TOKENS and fraction < MIN_LOAN_FRACTION:
            return messages.Lent(0)
        return self._grant(bucket, fraction, tokens, seconds)

    def renew(self, req: messages.Renew) -> messages.Renewed:
        """Extends a loan, unless this process needs the fraction itself."""
        bucket = self._updated_bucket(req.account)
        loan = None if bucket is None else bucket.lent.get(req.loan)
        if bucket is None or loan is None:
            return messages.Renewed(0.0)
        now = self._timers.now()
        is_short = _needed_fraction(bucket, now) > bucket.fraction_kept
        seconds = min(
            req.seconds, MAX_LOAN_SECONDS, self._rights.seconds_left()
        )
        if bucket.waiters or is_short or not seconds > 0:
            return messages.Renewed(0.0)
        if bucket.is_overlent():
            # The share has shrunk since the loan was granted. Loans beyond it
            # must end before the shares of other processes grow.
            return messages.Renewed(0.0)
        ends_at = now + leases.expired_after(seconds)
        loan.until = max(loan.until, ends_at)
        self._loans_end_at = max(self._loans_end_at, ends_at)
        return messages.Renewed(seconds)

    def accept_return(self, req: messages.Return) -> messages.Returned:
        """Ends a loan and adds its unused tokens to the bucket."""
        bucket = self._updated_bucket(req.account)
        if bucket is None:
            return messages.Returned()
        loan = bucket.lent.pop(req.loan, None)
        if loan is not None and req.tokens > 0:
            max_tokens = loan.fraction * bucket.burst
            bucket.level += min(req.tokens, max_tokens)
            bucket.refuse_until = -math.inf
            if bucket.wake is not None:
                bucket.wake.set()
        return messages.Returned()

    def _proportional_tokens(
        self,
        bucket: bucket_lib.Bucket,
        fraction: float,
        kept: float,
        spare: float,
    ) -> float:
        """Returns the tokens to lend together with a fraction.

        If this process needs part of its fraction itself, it keeps tokens in
        the same proportion.
        """
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
        number = next(self._loan_numbers)
        bucket.lent[number] = bucket_lib.Lent(fraction, until)
        bucket.level -= tokens
        bucket.counts.lent += tokens
        self._loans_end_at = max(self._loans_end_at, until)
        return messages.Lent(number, fraction, tokens, seconds)


class Borrower:
    """Requests loans from peers, renews them and returns them."""

    def __init__(
        self,
        updated_bucket: BucketLookup,
        rights: rights_lib.Rights,
        timers: timers_lib.Timers,
        peers: peers_lib.Peers,
        lender_addresses: Callable[[str], list[str]],
    ) -> None:
        """Creates a borrower.

        Args:
            updated_bucket: updates an account's bucket and returns it; None
                if there is no such account.
            rights: the fractions of the accounts that this process may use.
            timers: the timer service.
            peers: sends requests to lenders.
            lender_addresses: returns the addresses of an account's lenders.
        """
        self._updated_bucket = updated_bucket
        self._rights = rights
        self._timers = timers
        self._peers = peers
        self._lender_addresses = lender_addresses
        self._unreachable_until: dict[str, float] = {}

    def loan_request(
        self, account: str, bucket: bucket_lib.Bucket
    ) -> messages.Borrow | None:
        """Returns the request for a loan; None if no loan is needed now."""
        now = self._timers.now()
        tokens = max(0.0, len(bucket.waiters) - bucket.available())
        current = bucket.fraction
        needed = _needed_fraction(bucket, now)
        if current < 1.0 and needed - current >= MIN_LOAN_FRACTION:
            return messages.Borrow(
                account, needed - current, tokens, MAX_LOAN_SECONDS
            )
        if tokens < bucket_lib.ROUNDING_TOLERANCE:
            return None
        return messages.Borrow(account, 0.0, tokens, TOKEN_LOAN_SECONDS)

    def sweep(self, account: str, bucket: bucket_lib.Bucket) -> None:
        """Requests loans from one lender after another until none is needed.

        After a sweep without a loan, the pause to the next one doubles.
        """
        borrowed_any = False
        for lender in self._lender_addresses(account):
            updated_bucket = self._updated_bucket(account)
            if updated_bucket is not bucket:
                break
            req = self.loan_request(account, bucket)
            if req is None:
                break
            if self._borrow(lender, bucket, req):
                borrowed_any = True
                if bucket.wake is not None:
                    bucket.wake.set()
        now = self._timers.now()
        if borrowed_any:
            bucket.backoff = 0.0
            bucket.refuse_until = -math.inf
            bucket.sweep_at = now + SWEEP_PAUSE_SECONDS
            return
        bucket.backoff = min(
            MAX_BACKOFF_SECONDS, max(FIRST_BACKOFF_SECONDS, bucket.backoff * 2)
        )
        bucket.sweep_at = now + bucket.backoff

    def renew_due_loans(self, account: str, bucket: bucket_lib.Bucket) -> None:
        """Renews the due loans that are still needed, returns the others."""
        now = self._timers.now()
        for loan in list(bucket.borrowed):
            if now >= loan.renew_at and loan in bucket.borrowed:
                loan.renew_at = math.inf
                self._renew_or_return(account, bucket, loan)

    def _borrow(
        self, lender: str, bucket: bucket_lib.Bucket, req: messages.Borrow
    ) -> bool:
        """Requests a loan; returns whether the lender granted one in time."""
        sent_at = self._timers.now()
        if sent_at < self._unreachable_until.get(lender, -math.inf):
            return False
        lent = self._call(lender, req, messages.Lent)
        if lent is None or not lent.loan:
            return False
        usable_seconds = leases.usable(lent.seconds)
        if self._timers.now() >= sent_at + usable_seconds:
            return False
        bucket.borrowed.append(
            bucket_lib.Borrowed(
                lender=lender,
                number=lent.loan,
                fraction=lent.fraction,
                tokens=lent.tokens,
                refilled_at=self._timers.now(),
                until=sent_at + usable_seconds,
                renew_at=sent_at + usable_seconds * RENEW_AFTER_RATIO,
            )
        )
        bucket.counts.borrowed += lent.tokens
        return True

    def _renew_or_return(
        self,
        account: str,
        bucket: bucket_lib.Bucket,
        loan: bucket_lib.Borrowed,
    ) -> None:
        if self._still_needed(bucket, loan):
            req = messages.Renew(account, loan.number, MAX_LOAN_SECONDS)
            sent_at = self._timers.now()
            renewed = self._call(loan.lender, req, messages.Renewed)
            if renewed is not None and renewed.seconds > 0:
                usable_seconds = leases.usable(renewed.seconds)
                self._extend(bucket, loan, sent_at, usable_seconds)
                return
        self._return_loan(account, bucket, loan)

    def _extend(
        self,
        bucket: bucket_lib.Bucket,
        loan: bucket_lib.Borrowed,
        sent_at: float,
        usable_seconds: float,
    ) -> None:
        """Extends a loan, unless it ended while the request was under way."""
        if self._timers.now() >= loan.until:
            return
        loan.until = max(loan.until, sent_at + usable_seconds)
        loan.renew_at = sent_at + usable_seconds * RENEW_AFTER_RATIO

    def _return_loan(
        self,
        account: str,
        bucket: bucket_lib.Bucket,
        loan: bucket_lib.Borrowed,
    ) -> None:
        """Returns a loan to its lender.

        The loan is removed before the request is sent, so that borrower and
        lender never use it at the same time.
        """
        self._updated_bucket(account)
        if loan not in bucket.borrowed:
            return
        bucket.borrowed.remove(loan)
        req = messages.Return(account, loan.number, loan.tokens)
        if self._call(loan.lender, req, messages.Returned) is None:
            bucket.counts.destroyed += loan.tokens

    def _still_needed(
        self, bucket: bucket_lib.Bucket, loan: bucket_lib.Borrowed
    ) -> bool:
        if bucket.waiters:
            return True
        now = self._timers.now()
        other_fraction = bucket.fraction - loan.fraction
        return (
            _needed_fraction(bucket, now) - other_fraction >= MIN_LOAN_FRACTION
        )

    def _call(self, lender: str, req: Any, response_type: type[T]) -> T | None:
        """Returns the lender's response; None if it refused or didn't reply."""
        try:
            response: T = self._peers.call(
                lender, req, response_type, seconds=CALL_TIMEOUT_SECONDS
            )
        except errors.PeerUnreachable:
            now = self._timers.now()
            self._unreachable_until[lender] = now + UNREACHABLE_PAUSE_SECONDS
            return None
        except errors.Refused:
            return None
        return response


def _needed_fraction(bucket: bucket_lib.Bucket, now: float) -> float:
    """Returns the fraction of the account's rate that the load here needs."""
    if bucket.rate <= 0:
        return 0.0
    return min(1.0, DEMAND_HEADROOM_RATIO * bucket.demand(now) / bucket.rate)
