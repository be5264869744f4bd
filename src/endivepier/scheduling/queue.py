"""The queue of requests in front of a target."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import math

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.scheduling import policies
from endivepier.scheduling import queue_order
from endivepier.scheduling import work as work_lib

MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0
# Weight of a new measurement in the moving average of the service time.
SERVICE_TIME_SMOOTHING = 0.1
# Waits are not estimated until this many requests have ended.
MIN_SERVICE_TIME_SAMPLES = 8


class Queue:
    """Grants a target's slots to waiting requests in the order of a policy."""

    def __init__(
        self,
        timers: timers_lib.Timers,
        *,
        slots: int,
        limit: int,
        policy: policies.QueuePolicy | None = None,
    ) -> None:
        """Makes an empty queue.

        Args:
            timers: the timer service.
            slots: how many requests may run at the target at a time.
            limit: how many requests may wait.
            policy: the order; `FairShare` if None.
        """
        self._timers = timers
        self._slots = slots
        self._max_waiting = limit
        self._order = queue_order.QueueOrder(policy or policies.FairShare())
        self._service_seconds = 0.0
        self._sample_count = 0
        self.running = 0

    @property
    def queued(self) -> int:
        """How many requests are waiting."""
        return len(self._order)

    @property
    def slots(self) -> int:
        """How many requests may run at the target at a time."""
        return self._slots

    @property
    def service_seconds(self) -> float:
        """Mean time that a request holds a slot; 0 if not measured yet."""
        if self._sample_count < MIN_SERVICE_TIME_SAMPLES:
            return 0.0
        return self._service_seconds

    def estimate_wait(self, work: work_lib.Work) -> float:
        """Estimates how long `work` would wait for a slot, in seconds.

        Of the requests that wait now, those that should run earlier are
        counted. Later arrivals that may overtake `work` are not, so that a
        request is not refused for load that may never come.
        """
        if self.running < self._slots:
            return 0.0
        entry = queue_order.Entry(work, self._timers.now())
        ahead = self._order.count_ahead(entry, self._timers.now())
        return (ahead + 1) * self.service_seconds / self._slots

    def refuse_all(self) -> None:
        """Refuses all waiting requests, so that they can run elsewhere."""
        while len(self._order):
            entry = self._order.pop(self._timers.now())
            entry.refusal = errors.Refused(
                errors.Code.NOT_READY,
                503,
                "the target is too slow now; retry at another one",
                retry_after=MIN_RETRY_AFTER_SECONDS,
            )
            entry.settled.set()

    @contextlib.contextmanager
    def slot(self, work: work_lib.Work) -> Iterator[None]:
        """Waits for a slot and holds it for the block.

        Raises:
            errors.Refused: the request has not run. The code is `OVERLOADED`
                if the queue is full or the estimated wait exceeds the deadline,
                `DEADLINE_EXCEEDED` if the deadline passed, and `NOT_READY` if
                all waiting requests were refused.
        """
        self._check_deadline(work)
        entry = queue_order.Entry(work, self._timers.now())
        self._admit(entry)
        self._grant()
        self._wait(entry)
        started = self._timers.now()
        try:
            yield
        finally:
            self._record_service_time(self._timers.now() - started)
            self._release()

    def _wait(self, entry: queue_order.Entry) -> None:
        """Waits until the entry holds a slot; if it raises, it holds none."""
        try:
            remaining = entry.deadline - self._timers.now()
            in_time = self._timers.wait(entry.settled, remaining)
        except BaseException:
            self._withdraw(entry)
            raise
        if entry.refusal is not None:
            raise entry.refusal
        # After a pause of the process, the deadline may pass before the slot
        # is used.
        if not in_time or self._timers.now() >= entry.deadline:
            self._withdraw(entry)
            raise _deadline_exceeded()

    def _check_deadline(self, work: work_lib.Work) -> None:
        """Refuses a request that can't get a slot before its deadline."""
        estimated_wait = self.estimate_wait(work)
        if work.seconds > 0 and estimated_wait <= work.seconds:
            return
        if work.seconds <= 0:
            raise _deadline_exceeded()
        raise errors.Refused(
            errors.Code.OVERLOADED,
            503,
            f"the wait is about {estimated_wait:.0f} s, the deadline is in "
            f"{work.seconds:.0f} s; retry later",
            retry_after=_retry_after(estimated_wait - work.seconds),
        )

    def _admit(self, entry: queue_order.Entry) -> None:
        """Queues the entry.

        If the queue is over its limit and no slot is free, the newest entry of
        the account with the largest backlog is refused, maybe this one.
        """
        self._order.add(entry)
        if len(self._order) <= self._max_waiting:
            return
        if self.running < self._slots:
            return
        evicted = self._order.last_of_largest_backlog()
        self._order.remove(evicted)
        backlog = self._order.backlog(evicted.work.account)
        refusal = errors.Refused(
            errors.Code.OVERLOADED,
            503,
            f"{backlog} requests of this account wait here already; retry "
            "later",
            retry_after=_retry_after(self._drain_seconds(evicted.work.account)),
        )
        if evicted is entry:
            raise refusal
        evicted.refusal = refusal
        evicted.settled.set()

    def _drain_seconds(self, account: str) -> float:
        """Returns how long the account's backlog takes at its fair share."""
        share = self._order.share(account)
        rate = self._slots * share / max(self.service_seconds, 1e-9)
        if self.service_seconds == 0:
            return MIN_RETRY_AFTER_SECONDS
        return self._order.backlog(account) / rate

    def _grant(self) -> None:
        """Gives the free slots to waiting entries that are still in time."""
        while len(self._order) and self.running < self._slots:
            entry = self._order.pop(self._timers.now())
            if entry.deadline <= self._timers.now():
                entry.refusal = _deadline_exceeded()
            else:
                self.running += 1
            entry.settled.set()

    def _withdraw(self, entry: queue_order.Entry) -> None:
        """Removes an entry from the queue, or releases its slot."""
        if entry in self._order:
            self._order.remove(entry)
        elif entry.settled.is_set() and entry.refusal is None:
            self._release()

    def _release(self) -> None:
        self.running -= 1
        self._grant()

    def _record_service_time(self, seconds: float) -> None:
        self._sample_count += 1
        weight = max(SERVICE_TIME_SMOOTHING, 1.0 / self._sample_count)
        self._service_seconds += weight * (seconds - self._service_seconds)


def _retry_after(seconds: float) -> float:
    return float(
        min(
            max(math.ceil(seconds), MIN_RETRY_AFTER_SECONDS),
            MAX_RETRY_AFTER_SECONDS,
        )
    )


def _deadline_exceeded() -> errors.Refused:
    return errors.Refused(
        errors.Code.DEADLINE_EXCEEDED,
        504,
        "the deadline passed while the request waited",
    )
