"""The tokens of one account at one process: own, lent and borrowed.

Rate and burst are fractions of the account's, so that one invariant carries
everything: the fractions that are in use anywhere never add up to more than
one. A loan moves a fraction together with tokens. The lender does without it
until the loan is certainly over; the borrower counts from before it asked. A
token on the way is covered by the fraction that moves with it, so that it can
be lost but never counted twice.

Times between two calls of `touch` are accounted for at the smaller of the
fractions at both ends.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import Protocol

import gevent.event

from endivepier.limits import leases

# Sums of fractions of tokens may come out a little short of a whole one.
ROUNDING_TOLERANCE = 1e-9
DEMAND_REQUESTS = 8.0
MIN_DEMAND_SECONDS = 0.5
MAX_DEMAND_SECONDS = 5.0


@dataclasses.dataclass(slots=True, eq=False)
class Lent:
    """A loan to a peer: `fraction` is missing here until `until`."""

    fraction: float
    until: float


@dataclasses.dataclass(slots=True, eq=False)
class Borrowed:
    """A loan from a peer.

    Attributes:
        lender: its address.
        loan: number of the loan there.
        fraction: what was lent of rate and burst.
        tokens: what is left of it.
        updated: time of the last refill.
        until: when it ends.
        renew_at: when to renew or return it.
    """

    lender: str
    loan: int
    fraction: float
    tokens: float
    updated: float
    until: float
    renew_at: float


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a token.

    Attributes:
        deadline: when it is refused at the latest.
        decided: set when it is admitted or refused.
        decided_at: when that was.
        admitted: which of the two.
        retry_after: for a refusal, in seconds.
    """

    deadline: float
    decided: gevent.event.Event
    decided_at: float = -math.inf
    admitted: bool = False
    retry_after: float = 0.0

    def decide(self, now: float) -> None:
        """Ends the wait."""
        self.decided_at = now
        self.decided.set()


@dataclasses.dataclass(slots=True, eq=False)
class Counts:
    """What happened since the counters were last published."""

    admitted: int = 0
    refused: int = 0
    waited: int = 0
    lent: float = 0.0
    borrowed: float = 0.0
    destroyed: float = 0.0


class Declared(Protocol):
    """What is declared of an account's limit."""

    @property
    def rate(self) -> float:
        """Requests a second of the whole account."""

    @property
    def burst(self) -> float:
        """Requests beyond the rate."""


class Bucket:
    """Tokens of one account, and the requests that wait for them.

    Attributes:
        rate: of the whole account, in requests a second.
        burst: of the whole account.
        level: own tokens.
        lent: loans to peers by number.
        borrowed: loans from peers.
        waiters: requests that wait, first come first.
        counts: what happened.
        refuse_until: until when a request would be refused anyway.
        free_at: when the next request may find a token.
        sweep_at: before this time, asking peers for loans is no use.
        backoff: how long not to ask after the next time in vain.
        sweeping: whether peers are being asked.
        pumping: whether a task serves the waiters.
        wake: wakes that task.
    """

    __slots__ = (
        "_arrived",
        "_demand",
        "_own",
        "_updated",
        "backoff",
        "borrowed",
        "burst",
        "counts",
        "free_at",
        "lent",
        "level",
        "pumping",
        "rate",
        "refuse_until",
        "sweep_at",
        "sweeping",
        "waiters",
        "wake",
    )

    def __init__(
        self,
        declared: Declared,
        own: float,
        now: float,
        began: float,
        *,
        full: bool,
    ) -> None:
        """Makes the bucket as if it had been there since `began`.

        Args:
            declared: the account's rate and burst.
            own: the fraction that this process holds.
            now: the time.
            began: since when it holds that fraction.
            full: whether it was full then, and not empty.
        """
        self.rate = declared.rate
        self.burst = declared.burst
        self.level = own * declared.burst if full else 0.0
        self.lent: dict[int, Lent] = {}
        self.borrowed: list[Borrowed] = []
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.counts = Counts()
        self.refuse_until = -math.inf
        self.free_at = -math.inf
        self.sweep_at = -math.inf
        self.backoff = 0.0
        self.sweeping = False
        self.pumping = False
        self.wake: gevent.event.Event | None = None
        self._own = own
        self._updated = min(began, now)
        self._demand = 0.0
        self._arrived = now

    def update(self, now: float, own: float) -> None:
        """Brings everything up to date.

        Args:
            now: the time.
            own: the fraction that this process holds now.
        """
        elapsed = max(0.0, now - self._updated)
        kept = max(0.0, min(self._own, own) - self.fraction_lent)
        self.level = self._refilled(self.level, kept, elapsed)
        if self.lent:
            for number, loan in list(self.lent.items()):
                if now >= loan.until:
                    del self.lent[number]
        self._own = own
        self._updated = max(now, self._updated)
        if self.borrowed:
            self._touch_borrowed(now)

    def available(self) -> float:
        """Returns how many tokens there are, as of the last touch."""
        if not self.borrowed:
            return self.level
        return self.level + sum(loan.tokens for loan in self.borrowed)

    def take_token(self) -> bool:
        """Takes one token if there is one; that which ends soonest first."""
        if not self.borrowed:
            if self.level < 1.0 - ROUNDING_TOLERANCE:
                return False
            self.level -= 1.0
            return True
        if self.available() < 1.0 - ROUNDING_TOLERANCE:
            return False
        missing = 1.0
        for loan in sorted(self.borrowed, key=lambda item: item.until):
            used = min(loan.tokens, missing)
            loan.tokens -= used
            missing -= used
        self.level -= missing
        return True

    @property
    def fraction_lent(self) -> float:
        """The fraction that peers have."""
        if not self.lent:
            return 0.0
        return sum(loan.fraction for loan in self.lent.values())

    @property
    def fraction_kept(self) -> float:
        """The own fraction that is not lent, as of the last touch."""
        return max(0.0, self._own - self.fraction_lent)

    def is_overlent(self) -> bool:
        """Returns whether peers have more than this process holds now."""
        return self.fraction_lent > self._own + ROUNDING_TOLERANCE

    @property
    def fraction(self) -> float:
        """What refills here: the fraction that is kept or borrowed."""
        borrowed = sum(loan.fraction for loan in self.borrowed)
        return self.fraction_kept + borrowed

    def record_request(self, now: float) -> None:
        """Notes a request, whether it is admitted or not."""
        seconds = self._demand_seconds()
        self._demand = self.demand(now) + 1.0 / seconds
        self._arrived = now

    def demand(self, now: float) -> float:
        """Returns the recent requests a second at this process."""
        elapsed = max(0.0, now - self._arrived)
        return self._demand * math.exp(-elapsed / self._demand_seconds())

    def drop_tokens(self, now: float) -> None:
        """Voids own tokens and loans after a time without rights."""
        self.counts.destroyed += max(0.0, self.level)
        self.level = min(self.level, 0.0)
        self.lent.clear()
        self._own = 0.0
        self._updated = max(now, self._updated)

    def has_loan_due(self, now: float) -> bool:
        """Returns whether a loan is to be renewed or returned."""
        return any(now >= loan.renew_at for loan in self.borrowed)

    def is_idle(self) -> bool:
        """Returns whether a new bucket would be the same, once refilled."""
        full = self.level >= self._own * self.burst - ROUNDING_TOLERANCE
        return full and not (
            self.lent or self.borrowed or self.waiters or self.pumping
        )

    def _refilled(
        self, tokens: float, fraction: float, seconds: float
    ) -> float:
        # The fleet's clocks may run fast by the drift that is allowed for.
        gained = fraction * self.rate * leases.usable(seconds)
        return min(tokens + gained, fraction * self.burst)

    def _touch_borrowed(self, now: float) -> None:
        going = []
        for loan in self.borrowed:
            elapsed = max(0.0, min(now, loan.until) - loan.updated)
            loan.tokens = self._refilled(loan.tokens, loan.fraction, elapsed)
            loan.updated = max(now, loan.updated)
            if now < loan.until:
                going.append(loan)
            else:
                self.counts.destroyed += loan.tokens
        self.borrowed = going

    def _demand_seconds(self) -> float:
        """Returns over how long demand is averaged."""
        if self.rate <= 0:
            return MAX_DEMAND_SECONDS
        seconds = DEMAND_REQUESTS / self.rate
        return min(MAX_DEMAND_SECONDS, max(MIN_DEMAND_SECONDS, seconds))
