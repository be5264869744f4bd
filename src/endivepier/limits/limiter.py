"""Admission by client account: rate and burst, strict over the whole fleet.

A request is admitted with a token of this process's bucket. If there is none,
it waits a short time, first come first served within its account, while the
bucket refills and peers are asked for loans; or it is refused at once if no
token can be there in time.
"""

from __future__ import annotations

from collections.abc import Callable
import math

import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.configuration import current as current_lib
from endivepier.configuration import state as state_lib
from endivepier.internal import peers as peers_lib
from endivepier.limits import bucket as bucket_lib
from endivepier.limits import forecast as forecast_lib
from endivepier.limits import lending
from endivepier.limits import messages
from endivepier.limits import policies
from endivepier.limits import rights as rights_lib
from endivepier.telemetry import metrics as metrics_lib

MAX_WAIT_SECONDS = 1.0
# A little less, since the wait that is expected may come out longer.
EXPECTED_WAIT_SECONDS = 0.95
SHORTEST_PAUSE_SECONDS = 0.0005
MAX_STALE_SECONDS = 0.1
UPKEEP_SECONDS = 0.1
PUBLISH_SECONDS = 1.0
MAX_LABELLED_ACCOUNTS = 64
OTHER_ACCOUNTS = "(other)"


class Limiter:
    """Admits requests of client accounts."""

    def __init__(
        self,
        current: current_lib.Current,
        timers: timers_lib.Timers,
        rights: rights_lib.Rights,
        peers: peers_lib.Peers,
        metrics: metrics_lib.Metrics,
        fallback: Callable[[], list[str]],
        policy: policies.Policy | None = None,
    ) -> None:
        """Makes a limiter without tokens.

        Args:
            current: the configuration in force.
            timers: the timer service.
            rights: what this process may use of each account.
            peers: the way to other limiters.
            metrics: where to count.
            fallback: returns whom to ask for loans while no epoch is known.
            policy: how rate and burst are spread; lending, if not given.
        """
        self._current = current
        self._timers = timers
        self._rights = rights
        self._peers = peers
        self._metrics = metrics
        self._fallback = fallback
        self._policy = policy or policies.Lending()
        self._forecast = forecast_lib.Forecast(rights, self._policy)
        self._buckets: dict[str, bucket_lib.Bucket] = {}
        self._active: set[str] = set()
        self._labelled: set[str] = set()
        self._lender = lending.Lender(self._touched_by_peer, rights, timers)
        self._borrower = lending.Borrower(
            self._touched, rights, timers, peers, self._lenders
        )
        self._subscriptions: list[timers_lib.Subscription] = []
        rights.subscribe(self._on_rights)
        current.subscribe(self._on_configuration)

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Answers other limiters."""
        self._lender.register(inbox)
        inbox.register(messages.Take, messages.Taken, self._take_for_peer)

    def start(self) -> None:
        """Starts the upkeep of loans and the publishing of counters."""
        self._subscriptions = [
            self._timers.every(UPKEEP_SECONDS, self._upkeep),
            self._timers.every(PUBLISH_SECONDS, self.publish),
        ]

    def stop(self) -> None:
        """Ends the upkeep; requests may still be admitted with loans."""
        for subscription in self._subscriptions:
            subscription.cancel()

    def loan_seconds_left(self) -> float:
        """Returns after how long all loans to peers are certainly over."""
        return self._lender.loan_seconds_left()

    def admit(self, account: str) -> None:
        """Admits one request, after a short wait if need be.

        Raises:
            errors.Refused: `RATE_LIMITED`, with the time of the next token.
        """
        match self._policy:
            case policies.HomeBucket():
                self._admit_at_home(account)
            case _:
                self._admit_here(account)

    def publish(self) -> None:
        """Adds what happened since the last call to the metrics."""
        for account in list(self._active):
            bucket = self._buckets.get(account)
            if bucket is not None:
                self._publish(account, bucket.counts)
                bucket.counts = bucket_lib.Counts()
            if bucket is None or not (bucket.waiters or bucket.borrowed):
                self._active.discard(account)

    def _admit_here(self, account: str) -> None:
        now = self._timers.now()
        bucket = self._buckets.get(account)
        if bucket is not None and now < bucket.refuse_until:
            # Nothing has come since that could change the answer.
            bucket.record_request(now)
            raise self._refusal(account, bucket, now)
        bucket = self._touched(account)
        if bucket is None:
            raise forecast_lib.refused(
                account, forecast_lib.NO_SHARE_RETRY_SECONDS
            )
        self._active.add(account)
        bucket.record_request(now)
        if not bucket.waiters and bucket.take_token():
            bucket.counts.admitted += 1
            self._borrow_ahead(account, bucket, now)
            return
        wait = self._forecast.wait(bucket, len(bucket.waiters) + 1, now)
        if wait > EXPECTED_WAIT_SECONDS + self._forecast.starts_in(bucket):
            bucket.free_at = now + wait
            bucket.refuse_until = bucket.free_at - EXPECTED_WAIT_SECONDS
            if self._forecast.lends:
                bucket.refuse_until = min(bucket.refuse_until, bucket.sweep_at)
            raise self._refusal(account, bucket, now)
        self._wait(account, bucket, now)

    def _admit_at_home(self, account: str) -> None:
        homes = self._rights.holders(account)
        if not homes or homes[0] == self._rights.me:
            self._admit_here(account)
            return
        try:
            self._peers.call(
                homes[0].address,
                messages.Take(account),
                messages.Taken,
                seconds=2 * MAX_WAIT_SECONDS,
            )
        except errors.PeerUnreachable:
            raise forecast_lib.refused(
                account, forecast_lib.NO_SHARE_RETRY_SECONDS
            ) from None

    def _take_for_peer(self, req: messages.Take) -> messages.Taken:
        self._admit_here(req.account)
        return messages.Taken()

    def _wait(
        self, account: str, bucket: bucket_lib.Bucket, now: float
    ) -> None:
        longest = MAX_WAIT_SECONDS + self._forecast.starts_in(bucket)
        waiter = bucket_lib.Waiter(now + longest, gevent.event.Event())
        bucket.waiters.append(waiter)
        if not bucket.pumping:
            bucket.pumping = True
            bucket.wake = gevent.event.Event()
            gevent.spawn(self._pump, account, bucket)
        try:
            waiter.decided.wait()
        finally:
            if waiter in bucket.waiters:
                bucket.waiters.remove(waiter)
        stale = self._timers.now() - waiter.decided_at > MAX_STALE_SECONDS
        if waiter.admitted and stale:
            # The process was paused after the token was taken, so its right
            # to it may be over.
            bucket.counts.destroyed += 1.0
        if not waiter.admitted or stale:
            bucket.counts.refused += 1
            raise forecast_lib.refused(account, waiter.retry_after)
        bucket.counts.admitted += 1
        bucket.counts.waited += 1

    def _pump(self, account: str, bucket: bucket_lib.Bucket) -> None:
        """Serves the waiters of an account until there are none."""
        try:
            while bucket.waiters:
                self._serve(account, bucket)
        finally:
            bucket.pumping = False
            bucket.wake = None

    def _serve(self, account: str, bucket: bucket_lib.Bucket) -> None:
        """Admits and refuses whom it can, then waits for the next token."""
        # A new event each time, since waiting leaves a link on it.
        wake = gevent.event.Event()
        bucket.wake = wake
        self._touched(account)
        while bucket.waiters and bucket.take_token():
            waiter = bucket.waiters.popleft()
            waiter.admitted = True
            waiter.decide(self._timers.now())
        now = self._timers.now()
        self._refuse_hopeless(bucket, now)
        if not bucket.waiters:
            return
        self._start_sweep(account, bucket, now)
        pause = bucket.waiters[0].deadline - now
        starts_in = self._forecast.starts_in(bucket)
        if starts_in > 0:
            pause = min(pause, starts_in)
        speed = bucket.fraction * bucket.rate
        if speed > 0:
            missing = 1.0 - bucket.available()
            pause = min(pause, max(missing / speed, 0.0) * 1.002 + 1e-6)
        if self._forecast.lends and not bucket.sweeping:
            pause = min(pause, bucket.sweep_at - now)
        self._timers.wait(wake, max(pause, SHORTEST_PAUSE_SECONDS))

    def _refuse_hopeless(self, bucket: bucket_lib.Bucket, now: float) -> None:
        """Refuses those for whom no token can come in time, the last first."""
        while bucket.waiters and now >= bucket.waiters[0].deadline:
            first = bucket.waiters.popleft()
            first.retry_after = forecast_lib.retry_after(
                self._forecast.wait(bucket, len(bucket.waiters) + 1, now)
            )
            first.decide(now)
        while bucket.waiters:
            last = bucket.waiters[-1]
            wait = self._forecast.wait(bucket, len(bucket.waiters), now)
            if now + wait <= last.deadline:
                break
            bucket.waiters.pop()
            last.retry_after = forecast_lib.retry_after(wait)
            last.decide(now)

    def _borrow_ahead(
        self, account: str, bucket: bucket_lib.Bucket, now: float
    ) -> None:
        """Borrows a fraction before the own one is too small for the load."""
        if bucket.level < 1.0 and not bucket.sweeping:
            self._start_sweep(account, bucket, now)

    def _start_sweep(
        self, account: str, bucket: bucket_lib.Bucket, now: float
    ) -> None:
        if not self._forecast.lends or bucket.sweeping or now < bucket.sweep_at:
            return
        if self._borrower.wanted(account, bucket) is None:
            return
        bucket.sweeping = True
        # However the sweep ends, the next one is not at the same moment.
        bucket.sweep_at = now + lending.SWEEP_PAUSE_SECONDS
        gevent.spawn(self._sweep, account, bucket)

    def _sweep(self, account: str, bucket: bucket_lib.Bucket) -> None:
        try:
            self._borrower.sweep(account, bucket)
        finally:
            bucket.sweeping = False
            if bucket.wake is not None:
                bucket.wake.set()

    def _lenders(self, account: str) -> list[str]:
        me = self._rights.me.address
        holders = [item.address for item in self._rights.holders(account)]
        return [item for item in holders or self._fallback() if item != me]

    def _upkeep(self) -> None:
        now = self._timers.now()
        for account in list(self._active):
            bucket = self._buckets.get(account)
            if bucket is not None and bucket.has_loan_due(now):
                gevent.spawn(self._borrower.upkeep, account, bucket)

    def _touched(self, account: str) -> bucket_lib.Bucket | None:
        """Returns an account's bucket, brought up to date; None if none."""
        declared = self._current.state.accounts.get(account)
        if declared is None:
            return None
        own = self._rights.fraction(account)
        now = self._timers.now()
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._make(declared, own, now)
        bucket.update(now, own)
        return bucket

    def _touched_by_peer(self, account: str) -> bucket_lib.Bucket | None:
        self._active.add(account)
        return self._touched(account)

    def _on_rights(self, change: rights_lib.Change) -> None:
        now = self._timers.now()
        match change:
            case rights_lib.Change.FRACTIONS:
                # Buckets that are not there yet would take the new fraction
                # for one that they have had all the time.
                for account in self._current.state.accounts:
                    if self._rights.fraction(account) > 0:
                        self._touched(account)
            case rights_lib.Change.LAPSED:
                for bucket in self._buckets.values():
                    bucket.drop_tokens(now)

    def _on_configuration(
        self, old: state_lib.State, new: state_lib.State
    ) -> None:
        """Goes on with the tokens that are there when a rate changes."""
        now = self._timers.now()
        for name, before in old.accounts.items():
            after = new.accounts.get(name)
            if after == before:
                continue
            own = self._rights.fraction(name)
            bucket = self._buckets.get(name) or self._make(before, own, now)
            bucket.update(now, own)
            if after is not None:
                bucket.rate = after.rate
                bucket.burst = after.burst
                bucket.refuse_until = -math.inf
        for name in list(self._buckets):
            if name not in new.accounts and self._buckets[name].is_idle():
                del self._buckets[name]

    def _make(
        self, declared: state_lib.Account, own: float, now: float
    ) -> bucket_lib.Bucket:
        bucket = bucket_lib.Bucket(
            declared,
            own,
            now,
            self._rights.began,
            full=self._rights.starts_full,
        )
        self._buckets[declared.name] = bucket
        return bucket

    def _refusal(
        self,
        account: str,
        bucket: bucket_lib.Bucket,
        now: float,
    ) -> errors.Refused:
        bucket.counts.refused += 1
        return forecast_lib.refused(
            account, forecast_lib.retry_after(bucket.free_at - now)
        )

    def _publish(self, account: str, counts: bucket_lib.Counts) -> None:
        if len(self._labelled) < MAX_LABELLED_ACCOUNTS:
            self._labelled.add(account)
        label = account if account in self._labelled else OTHER_ACCOUNTS
        for name, amount in (
            ("limits_admitted", counts.admitted),
            ("limits_refused", counts.refused),
            ("limits_waited", counts.waited),
            ("limits_tokens_lent", counts.lent),
            ("limits_tokens_borrowed", counts.borrowed),
            ("limits_tokens_destroyed", counts.destroyed),
        ):
            if amount:
                self._metrics.count(name, amount, account=label)
