"""Rate limits per client account, enforced strictly over the whole fleet.

A request is admitted if it gets a token from this process's bucket. If there
is none, the request waits for a short time, in order of arrival within its
account, while the bucket refills and peers are asked for loans. It is refused
at once if no token is expected in time.
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
# Below MAX_WAIT_SECONDS, since the real wait may exceed the forecast.
MAX_FORECAST_SECONDS = 0.95
MIN_PAUSE_SECONDS = 0.0005
MAX_DECISION_AGE_SECONDS = 0.1
LOAN_CHECK_INTERVAL_SECONDS = 0.1
METRICS_INTERVAL_SECONDS = 1.0
MAX_LABELLED_ACCOUNTS = 64
OTHER_ACCOUNTS = "(other)"


class Limiter:
    """Admits requests of client accounts."""

    def __init__(
        self,
        current: current_lib.CurrentConfiguration,
        timers: timers_lib.Timers,
        rights: rights_lib.Rights,
        peers: peers_lib.Peers,
        metrics: metrics_lib.Metrics,
        fallback: Callable[[], list[str]],
        policy: policies.Policy | None = None,
    ) -> None:
        """Creates a limiter without tokens.

        Args:
            current: the configuration in force.
            timers: the timer service.
            rights: the fractions of the accounts that this process may use.
            peers: sends requests to other limiters.
            metrics: receives the counters.
            fallback: returns the addresses of lenders while no epoch is known.
            policy: how rate and burst are divided; by default, `Lending`.
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
        # Accounts with counts to publish, waiters or borrowed loans.
        self._active: set[str] = set()
        # Accounts that are published under their own names.
        self._labelled: set[str] = set()
        self._lender = lending.Lender(self._bucket_for_peer, rights, timers)
        self._borrower = lending.Borrower(
            self._updated_bucket, rights, timers, peers, self._lender_addresses
        )
        self._subscriptions: list[timers_lib.Subscription] = []
        rights.subscribe(self._on_rights_change)
        current.subscribe(self._on_configuration_change)

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Registers the handlers of other limiters' messages."""
        self._lender.register(inbox)
        inbox.register(messages.Take, messages.Taken, self._admit_for_peer)

    def start(self) -> None:
        """Starts to renew loans and to publish counters periodically."""
        self._subscriptions = [
            self._timers.every(LOAN_CHECK_INTERVAL_SECONDS, self._renew_loans),
            self._timers.every(METRICS_INTERVAL_SECONDS, self.publish),
        ]

    def stop(self) -> None:
        """Stops renewing and publishing; existing loans can still be used."""
        for subscription in self._subscriptions:
            subscription.cancel()

    def loan_seconds_left(self) -> float:
        """Returns the seconds until all loans to peers have ended."""
        return self._lender.loan_seconds_left()

    def admit(self, account: str) -> None:
        """Admits one request, after a short wait if there is no token yet.

        Raises:
            errors.Refused: `RATE_LIMITED`, with the seconds until a retry.
        """
        match self._policy:
            case policies.HomeBucket():
                self._admit_at_home(account)
            case _:
                self._admit_locally(account)

    def publish(self) -> None:
        """Adds the counts since the last call to the metrics."""
        for account in list(self._active):
            bucket = self._buckets.get(account)
            if bucket is not None:
                self._publish(account, bucket.counts)
                bucket.counts = bucket_lib.Counts()
            if bucket is None or not (bucket.waiters or bucket.borrowed):
                self._active.discard(account)

    def _admit_locally(self, account: str) -> None:
        now = self._timers.now()
        bucket = self._buckets.get(account)
        if bucket is not None and now < bucket.refuse_until:
            # Loans, returned tokens and a new rate reset `refuse_until`, so
            # none of them came since the last refusal.
            bucket.record_request(now)
            raise self._refusal(account, bucket, now)
        bucket = self._updated_bucket(account)
        if bucket is None:
            raise forecast_lib.refusal(
                account, forecast_lib.NO_SHARE_RETRY_SECONDS
            )
        self._active.add(account)
        bucket.record_request(now)
        if not bucket.waiters and bucket.take_token():
            bucket.counts.admitted += 1
            self._borrow_ahead(account, bucket, now)
            return
        wait = self._forecast.wait_seconds(bucket, len(bucket.waiters) + 1, now)
        if wait > MAX_FORECAST_SECONDS + self._forecast.share_delay(bucket):
            bucket.next_token_at = now + wait
            bucket.refuse_until = bucket.next_token_at - MAX_FORECAST_SECONDS
            if self._forecast.can_borrow:
                bucket.refuse_until = min(bucket.refuse_until, bucket.sweep_at)
            raise self._refusal(account, bucket, now)
        self._wait(account, bucket, now)

    def _admit_at_home(self, account: str) -> None:
        """Admits a request at the account's only holder, its home."""
        homes = self._rights.holders(account)
        if not homes or homes[0] == self._rights.me:
            self._admit_locally(account)
            return
        try:
            self._peers.call(
                homes[0].address,
                messages.Take(account),
                messages.Taken,
                seconds=2 * MAX_WAIT_SECONDS,
            )
        except errors.PeerUnreachable:
            raise forecast_lib.refusal(
                account, forecast_lib.NO_SHARE_RETRY_SECONDS
            ) from None

    def _admit_for_peer(self, req: messages.Take) -> messages.Taken:
        self._admit_locally(req.account)
        return messages.Taken()

    def _wait(
        self, account: str, bucket: bucket_lib.Bucket, now: float
    ) -> None:
        max_wait = MAX_WAIT_SECONDS + self._forecast.share_delay(bucket)
        waiter = bucket_lib.Waiter(now + max_wait, gevent.event.Event())
        bucket.waiters.append(waiter)
        if not bucket.serving:
            bucket.serving = True
            bucket.wake = gevent.event.Event()
            gevent.spawn(self._serve_waiters, account, bucket)
        try:
            waiter.decided.wait()
        finally:
            if waiter in bucket.waiters:
                bucket.waiters.remove(waiter)
        stale = (
            self._timers.now() - waiter.decided_at > MAX_DECISION_AGE_SECONDS
        )
        if waiter.admitted and stale:
            # The process was paused after it took the token, so its right to
            # use the token may have ended.
            bucket.counts.destroyed += 1.0
        if not waiter.admitted or stale:
            bucket.counts.refused += 1
            raise forecast_lib.refusal(account, waiter.retry_after)
        bucket.counts.admitted += 1
        bucket.counts.waited += 1

    def _serve_waiters(self, account: str, bucket: bucket_lib.Bucket) -> None:
        """Serves an account's waiters until none is left."""
        try:
            while bucket.waiters:
                self._serve_once(account, bucket)
        finally:
            bucket.serving = False
            bucket.wake = None

    def _serve_once(self, account: str, bucket: bucket_lib.Bucket) -> None:
        """Decides the waiters that it can, then waits for the next token."""
        # A new event each time, since each wait leaves a link on the event.
        wake = gevent.event.Event()
        bucket.wake = wake
        self._updated_bucket(account)
        while bucket.waiters and bucket.take_token():
            waiter = bucket.waiters.popleft()
            waiter.admitted = True
            waiter.decide(self._timers.now())
        now = self._timers.now()
        self._refuse_too_late(bucket, now)
        if not bucket.waiters:
            return
        self._start_sweep(account, bucket, now)
        pause = bucket.waiters[0].deadline - now
        share_delay = self._forecast.share_delay(bucket)
        if share_delay > 0:
            pause = min(pause, share_delay)
        refill_rate = bucket.fraction * bucket.rate
        if refill_rate > 0:
            needed = 1.0 - bucket.available()
            # Slightly longer, as the refill runs slow by MAX_CLOCK_DRIFT.
            pause = min(pause, max(needed / refill_rate, 0.0) * 1.002 + 1e-6)
        if self._forecast.can_borrow and not bucket.sweeping:
            pause = min(pause, bucket.sweep_at - now)
        self._timers.wait(wake, max(pause, MIN_PAUSE_SECONDS))

    def _refuse_too_late(self, bucket: bucket_lib.Bucket, now: float) -> None:
        """Refuses waiters past their deadline, and those expected to miss it.

        The latter are refused from the end of the queue.
        """
        while bucket.waiters and now >= bucket.waiters[0].deadline:
            first = bucket.waiters.popleft()
            first.retry_after = forecast_lib.retry_after(
                self._forecast.wait_seconds(
                    bucket, len(bucket.waiters) + 1, now
                )
            )
            first.decide(now)
        while bucket.waiters:
            last = bucket.waiters[-1]
            wait = self._forecast.wait_seconds(bucket, len(bucket.waiters), now)
            if now + wait <= last.deadline:
                break
            bucket.waiters.pop()
            last.retry_after = forecast_lib.retry_after(wait)
            last.decide(now)

    def _borrow_ahead(
        self, account: str, bucket: bucket_lib.Bucket, now: float
    ) -> None:
        """Starts a sweep once the own tokens run out, before requests wait."""
        if bucket.level < 1.0 and not bucket.sweeping:
            self._start_sweep(account, bucket, now)

    def _start_sweep(
        self, account: str, bucket: bucket_lib.Bucket, now: float
    ) -> None:
        if (
            not self._forecast.can_borrow
            or bucket.sweeping
            or now < bucket.sweep_at
        ):
            return
        if self._borrower.loan_request(account, bucket) is None:
            return
        bucket.sweeping = True
        # Keeps the sweeps apart even if this one fails.
        bucket.sweep_at = now + lending.SWEEP_PAUSE_SECONDS
        gevent.spawn(self._sweep, account, bucket)

    def _sweep(self, account: str, bucket: bucket_lib.Bucket) -> None:
        try:
            self._borrower.sweep(account, bucket)
        finally:
            bucket.sweeping = False
            if bucket.wake is not None:
                bucket.wake.set()

    def _lender_addresses(self, account: str) -> list[str]:
        me = self._rights.me.address
        holders = [item.address for item in self._rights.holders(account)]
        return [item for item in holders or self._fallback() if item != me]

    def _renew_loans(self) -> None:
        now = self._timers.now()
        for account in list(self._active):
            bucket = self._buckets.get(account)
            if bucket is not None and bucket.has_loan_due(now):
                gevent.spawn(self._borrower.renew_due_loans, account, bucket)

    def _updated_bucket(self, account: str) -> bucket_lib.Bucket | None:
        """Updates and returns an account's bucket; None if not declared."""
        declared = self._current.state.accounts.get(account)
        if declared is None:
            return None
        fraction = self._rights.fraction(account)
        now = self._timers.now()
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._create(declared, fraction, now)
        bucket.update(now, fraction)
        return bucket

    def _bucket_for_peer(self, account: str) -> bucket_lib.Bucket | None:
        self._active.add(account)
        return self._updated_bucket(account)

    def _on_rights_change(self, change: rights_lib.Change) -> None:
        now = self._timers.now()
        match change:
            case rights_lib.Change.FRACTIONS:
                # A bucket that was created only after the change would be
                # refilled as if it had held the new fraction all the time.
                for account in self._current.state.accounts:
                    if self._rights.fraction(account) > 0:
                        self._updated_bucket(account)
            case rights_lib.Change.LAPSED:
                for bucket in self._buckets.values():
                    bucket.drop_tokens(now)

    def _on_configuration_change(
        self, old: state_lib.State, new: state_lib.State
    ) -> None:
        """Applies changed rates and bursts; the buckets keep their tokens."""
        now = self._timers.now()
        for name, before in old.accounts.items():
            after = new.accounts.get(name)
            if after == before:
                continue
            fraction = self._rights.fraction(name)
            bucket = self._buckets.get(name) or self._create(
                before, fraction, now
            )
            bucket.update(now, fraction)
            if after is not None:
                bucket.rate = after.rate
                bucket.burst = after.burst
                bucket.refuse_until = -math.inf
        for name in list(self._buckets):
            if name not in new.accounts and self._buckets[name].is_idle():
                del self._buckets[name]

    def _create(
        self, declared: state_lib.Account, fraction: float, now: float
    ) -> bucket_lib.Bucket:
        bucket = bucket_lib.Bucket(
            declared,
            fraction,
            now,
            self._rights.held_since,
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
        return forecast_lib.refusal(
            account, forecast_lib.retry_after(bucket.next_token_at - now)
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
