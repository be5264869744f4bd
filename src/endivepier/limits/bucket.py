"""Token bucket of one client account at one process.

A process refills its bucket with a fraction of the account's rate, up to the
same fraction of the burst. The invariant is that the fractions in use at all
processes never add up to more than one. A loan moves a fraction together with
tokens: the lender stops using the fraction until the loan has ended even by a
slow clock, and the borrower counts the loan's time from before it sent the
request. The tokens of a loan fit into its fraction of the burst, and the
lender takes them off its bucket before it replies. So a token can be lost on
the network but never be counted twice.

Between two calls of `Bucket.update` the bucket refills by the smaller of the
fractions that the process held at the two calls.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import Protocol

import gevent.event

from endivepier.limits import leases

# Sums of parts of tokens may fall short of a whole token by rounding.
ROUNDING_TOLERANCE = 1e-9
DEMAND_WINDOW_REQUESTS = 8.0
MIN_DEMAND_WINDOW_SECONDS = 0.5
MAX_DEMAND_WINDOW_SECONDS = 5.0


@dataclasses.dataclass(slots=True, eq=False)
class Lent:
    """A loan to a peer.

    Attributes:
        fraction: the fraction of rate and burst that is lent, and that this
            process doesn't use.
        until: when the loan has ended at the borrower, even if the
            borrower's clock is slow; see `leases`.
    """

    fraction: float
    until: float


@dataclasses.dataclass(slots=True, eq=False)
class Borrowed:
    """A loan from a peer.

    Attributes:
        lender: address of the peer.
        number: number of the loan at the peer.
        fraction: the fraction of rate and burst that is borrowed.
        tokens: the loan's tokens that are not spent yet.
        refilled_at: time of the last refill.
        until: when the loan ends.
        renew_at: when to renew or return the loan.
    """

    lender: str
    number: int
    fraction: float
    tokens: float
    refilled_at: float
    until: float
    renew_at: float


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a token.

    Attributes:
        deadline: when the request is refused at the latest.
        decided: set when the request is admitted or refused.
        decided_at: the time when `decided` was set.
        admitted: whether the request was admitted.
        retry_after: seconds until a retry may succeed, for a refusal.
    """

    deadline: float
    decided: gevent.event.Event
    decided_at: float = -math.inf
    admitted: bool = False
    retry_after: float = 0.0

    def decide(self, now: float) -> None:
        """Ends the wait of the request."""
        self.decided_at = now
        self.decided.set()


@dataclasses.dataclass(slots=True, eq=False)
class Counts:
    """Requests and tokens counted since the metrics were last published.

    Attributes:
        admitted: requests that were admitted, after a wait or without.
        refused: requests that were refused.
        waited: requests that were admitted after a wait.
        lent: tokens that were lent to peers.
        borrowed: tokens that were borrowed from peers.
        destroyed: tokens that nobody can use any more, since a loan or the
            rights ended, or the return of a loan failed.
    """

    admitted: int = 0
    refused: int = 0
    waited: int = 0
    lent: float = 0.0
    borrowed: float = 0.0
    destroyed: float = 0.0


class DeclaredLimit(Protocol):
    """Rate and burst of an account, as the configuration declares them."""

    @property
    def rate(self) -> float:
        """Requests a second of the whole account."""

    @property
    def burst(self) -> float:
        """Requests that the whole account may make at once."""


class Bucket:
    """Tokens of one account, and the requests that wait for them.

    Attributes:
        rate: requests a second of the whole account.
        burst: burst of the whole account, in requests.
        level: own tokens, without the borrowed ones.
        lent: loans to peers, by number.
        borrowed: loans from peers.
        waiters: requests that wait, in the order of their arrival.
        counts: counters for the metrics.
        refuse_until: until then, requests are refused without an update.
        next_token_at: expected time of a token for a request refused now.
        sweep_at: earliest time of the next sweep, a round of loan requests
            to one peer after another.
        backoff: seconds between the last sweep and the next; 0 after a sweep
            that obtained a loan.
        sweeping: whether a sweep is running.
        serving: whether a task serves the waiters.
        wake: event that wakes this task.
    """

    __slots__ = (
        "_demand_at",
        "_demand_rate",
        "_own_fraction",
        "_updated_at",
        "backoff",
        "borrowed",
        "burst",
        "counts",
        "lent",
        "level",
        "next_token_at",
        "rate",
        "refuse_until",
        "serving",
        "sweep_at",
        "sweeping",
        "waiters",
        "wake",
    )

    def __init__(
        self,
        declared: DeclaredLimit,
        own_fraction: float,
        now: float,
        held_since: float,
        *,
        full: bool,
    ) -> None:
        """Creates the bucket as if it had existed since `held_since`.

        Args:
            declared: the account's rate and burst.
            own_fraction: the fraction that this process holds.
            now: the current time.
            held_since: since when the process holds that fraction.
            full: whether the bucket was full then, rather than empty.
        """
        self.rate = declared.rate
        self.burst = declared.burst
        self.level = own_fraction * declared.burst if full else 0.0
        self.lent: dict[int, Lent] = {}
        self.borrowed: list[Borrowed] = []
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.counts = Counts()
        self.refuse_until = -math.inf
        self.next_token_at = -math.inf
        self.sweep_at = -math.inf
        self.backoff = 0.0
        self.sweeping = False
        self.serving = False
        self.wake: gevent.event.Event | None = None
        self._own_fraction = own_fraction
        self._updated_at = min(held_since, now)
        self._demand_rate = 0.0
        self._demand_at = now

    def update(self, now: float, own_fraction: float) -> None:
        """Refills the bucket and the borrowed loans; drops ended loans.

        Args:
            now: the current time.
            own_fraction: the fraction that this process holds now.
        """
        elapsed = max(0.0, now - self._updated_at)
        kept = max(
            0.0, min(self._own_fraction, own_fraction) - self.fraction_lent
        )
        self.level = self._refilled(self.level, kept, elapsed)
        if self.lent:
            for number, loan in list(self.lent.items()):
                if now >= loan.until:
                    del self.lent[number]
        self._own_fraction = own_fraction
        self._updated_at = max(now, self._updated_at)
        if self.borrowed:
            self._update_borrowed(now)

    def available(self) -> float:
        """Returns the own and borrowed tokens, as of the last update."""
        if not self.borrowed:
            return self.level
        return self.level + sum(loan.tokens for loan in self.borrowed)

    def take_token(self) -> bool:
        """Takes one token if there is one.

        Borrowed tokens are used first, those of the loan that ends soonest
        before others.
        """
        if not self.borrowed:
            if self.level < 1.0 - ROUNDING_TOLERANCE:
                return False
            self.level -= 1.0
            return True
        if self.available() < 1.0 - ROUNDING_TOLERANCE:
            return False
        needed = 1.0
        for loan in sorted(self.borrowed, key=lambda item: item.until):
            used = min(loan.tokens, needed)
            loan.tokens -= used
            needed -= used
        self.level -= needed
        return True

    @property
    def fraction_lent(self) -> float:
        """The fraction that is lent to peers."""
        if not self.lent:
            return 0.0
        return sum(loan.fraction for loan in self.lent.values())

    @property
    def fraction_kept(self) -> float:
        """The own fraction that is not lent, as of the last update."""
        return max(0.0, self._own_fraction - self.fraction_lent)

    def is_overlent(self) -> bool:
        """Returns whether more is lent than this process holds now."""
        return self.fraction_lent > self._own_fraction + ROUNDING_TOLERANCE

    @property
    def fraction(self) -> float:
        """The fraction that refills here: own and not lent, or borrowed."""
        borrowed = sum(loan.fraction for loan in self.borrowed)
        return self.fraction_kept + borrowed

    def record_request(self, now: float) -> None:
        """Counts a request into the demand, whether it is admitted or not."""
        seconds = self._demand_window_seconds()
        self._demand_rate = self.demand(now) + 1.0 / seconds
        self._demand_at = now

    def demand(self, now: float) -> float:
        """Returns the recent requests a second, a decaying average."""
        elapsed = max(0.0, now - self._demand_at)
        return self._demand_rate * math.exp(
            -elapsed / self._demand_window_seconds()
        )

    def drop_tokens(self, now: float) -> None:
        """Drops own tokens and loans to peers after a time without rights."""
        self.counts.destroyed += max(0.0, self.level)
        self.level = min(self.level, 0.0)
        self.lent.clear()
        self._own_fraction = 0.0
        self._updated_at = max(now, self._updated_at)

    def has_loan_due(self, now: float) -> bool:
        """Returns whether a borrowed loan is to be renewed or returned."""
        return any(now >= loan.renew_at for loan in self.borrowed)

    def is_idle(self) -> bool:
        """Returns whether the bucket is full and has no loans or waiters.

        A new bucket would be in the same state once it is refilled.
        """
        full = (
            self.level >= self._own_fraction * self.burst - ROUNDING_TOLERANCE
        )
        return full and not (
            self.lent or self.borrowed or self.waiters or self.serving
        )

    def _refilled(
        self, tokens: float, fraction: float, seconds: float
    ) -> float:
        # Clocks may run fast by MAX_CLOCK_DRIFT, so less time is counted.
        gained = fraction * self.rate * leases.usable(seconds)
        return min(tokens + gained, fraction * self.burst)

    def _update_borrowed(self, now: float) -> None:
        active = []
        for loan in self.borrowed:
            elapsed = max(0.0, min(now, loan.until) - loan.refilled_at)
            loan.tokens = self._refilled(loan.tokens, loan.fraction, elapsed)
            loan.refilled_at = max(now, loan.refilled_at)
            if now < loan.until:
                active.append(loan)
            else:
                self.counts.destroyed += loan.tokens
        self.borrowed = active

    def _demand_window_seconds(self) -> float:
        """Returns the seconds over which the demand is averaged."""
        if self.rate <= 0:
            return MAX_DEMAND_WINDOW_SECONDS
        seconds = DEMAND_WINDOW_REQUESTS / self.rate
        return min(
            MAX_DEMAND_WINDOW_SECONDS, max(MIN_DEMAND_WINDOW_SECONDS, seconds)
        )
