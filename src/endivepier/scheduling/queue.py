"""The queue in front of a target: what waits, in an order that can change."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import math

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.scheduling import policies
from endivepier.scheduling import queue_order
from endivepier.scheduling import work as work_lib

RETRY_SECONDS = 1.0
RETRY_LIMIT_SECONDS = 60.0
# A new measurement counts for this share of the mean time of service.
SMOOTHING = 0.1
# So many requests must have ended before a wait is estimated at all.
LEAST_MEASURED = 8


class Queue:
    """Grants a bounded number of slots in the order of a policy."""

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
            limit: how many may wait.
            policy: the order; fair shares if None.
        """
        self._timers = timers
        self._slots = slots
        self._limit = limit
        self._order = queue_order.QueueOrder(policy or policies.FairShare())
        self._service_seconds = 0.0
        self._measured = 0
        self.running = 0

    @property
    def queued(self) -> int:
        """How many requests wait."""
        return len(self._order)

    @property
    def slots(self) -> int:
        """How many requests may run at the target at a time."""
        return self._slots

    @property
    def service_seconds(self) -> float:
        """Mean time that a request holds a slot; 0 if not yet known."""
        if self._measured < LEAST_MEASURED:
            return 0.0
        return self._service_seconds

    def estimate(self, work: work_lib.Work) -> float:
        """Returns about how long `work` would wait for a slot, in seconds.

        It counts only what is certain to go first, so that a refusal which
        rests on it is never hasty.
        """
        if self.running < self._slots:
            return 0.0
        entry = queue_order.Entry(work, self._timers.now())
        ahead = self._order.count_ahead(entry, self._timers.now())
        return (ahead + 1) * self.service_seconds / self._slots

    def expel(self) -> None:
        """Refuses all that waits, so that it goes to another target."""
        while len(self._order):
            entry = self._order.pop(self._timers.now())
            entry.refusal = errors.Refused(
                errors.Code.NOT_READY,
                503,
                "the target is too slow now; retry at another one",
                retry_after=RETRY_SECONDS,
            )
            entry.settled.set()

    @contextlib.contextmanager
    def slot(self, work: work_lib.Work) -> Iterator[None]:
        """Waits for a slot and holds it for the block.

        Raises:
            errors.Refused: `OVERLOADED` if too much of this account waits
                already, `DEADLINE_EXCEEDED` if the slot would come too late;
                the request has not run in both cases.
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
            self._measure(self._timers.now() - started)
            self._release()

    def _wait(self, entry: queue_order.Entry) -> None:
        """Returns once the entry holds a slot; else raises and leaves none."""
        try:
            left = entry.deadline - self._timers.now()
            in_time = self._timers.wait(entry.settled, left)
        except BaseException:
            self._withdraw(entry)
            raise
        if entry.refusal is not None:
            raise entry.refusal
        # A process that was paused may hold a slot that came too late.
        if not in_time or self._timers.now() >= entry.deadline:
            self._withdraw(entry)
            raise _expired()

    def _check_deadline(self, work: work_lib.Work) -> None:
        estimate = self.estimate(work)
        if work.seconds > 0 and estimate <= work.seconds:
            return
        if work.seconds <= 0:
            raise _expired()
        raise errors.Refused(
            errors.Code.OVERLOADED,
            503,
            f"the wait is about {estimate:.0f} s, the deadline is in "
            f"{work.seconds:.0f} s; retry later",
            retry_after=_bounded(estimate - work.seconds),
        )

    def _admit(self, entry: queue_order.Entry) -> None:
        """Lets the entry wait; over the limit, the largest backlog yields."""
        self._order.add(entry)
        if len(self._order) <= self._limit:
            return
        if self.running < self._slots:
            return
        victim = self._order.last_of_largest_backlog()
        self._order.remove(victim)
        backlog = self._order.backlog(victim.work.account)
        refusal = errors.Refused(
            errors.Code.OVERLOADED,
            503,
            f"{backlog} requests of this account wait here already; retry "
            "later",
            retry_after=_bounded(self._drain_seconds(victim.work.account)),
        )
        if victim is entry:
            raise refusal
        victim.refusal = refusal
        victim.settled.set()

    def _drain_seconds(self, account: str) -> float:
        """Returns how long the account's backlog takes at its share."""
        share = self._order.share(account)
        rate = self._slots * share / max(self.service_seconds, 1e-9)
        if self.service_seconds == 0:
            return RETRY_SECONDS
        return self._order.backlog(account) / rate

    def _grant(self) -> None:
        while len(self._order) and self.running < self._slots:
            entry = self._order.pop(self._timers.now())
            if entry.deadline <= self._timers.now():
                entry.refusal = _expired()
            else:
                self.running += 1
            entry.settled.set()

    def _withdraw(self, entry: queue_order.Entry) -> None:
        if entry in self._order:
            self._order.remove(entry)
        elif entry.settled.is_set() and entry.refusal is None:
            self._release()

    def _release(self) -> None:
        self.running -= 1
        self._grant()

    def _measure(self, seconds: float) -> None:
        self._measured += 1
        weight = max(SMOOTHING, 1.0 / self._measured)
        self._service_seconds += weight * (seconds - self._service_seconds)


def _bounded(seconds: float) -> float:
    return float(
        min(max(math.ceil(seconds), RETRY_SECONDS), RETRY_LIMIT_SECONDS)
    )


def _expired() -> errors.Refused:
    return errors.Refused(
        errors.Code.DEADLINE_EXCEEDED,
        504,
        "the deadline passed while the request waited",
    )
