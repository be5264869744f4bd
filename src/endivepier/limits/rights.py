"""The fraction of each account that this process may use, and until when.

The fractions of all processes must never add up to more than one, even if
some of them do not know the newest epoch yet. Three rules ensure this:

* A process follows an epoch only for a lease time, which begins when it
  started the read that returned the epoch, or the requests to the witnesses
  that replace such a read.
* A process that learns of a new epoch uses at most the smaller of its old and
  its new fraction until the lapse time in the epoch's row has passed. By then
  no process follows the old epoch any more.
* An epoch's row names its recent predecessors. A process that missed an epoch
  and does not find it there uses nothing until the same time, since the missed
  epoch may have given it a smaller fraction.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
import math

from endivepier import timers as timers_lib
from endivepier.limits import leases
from endivepier.limits import rows

MAX_JOIN_SECONDS = 3.0


class Change(enum.Enum):
    """The events that listeners are notified of.

    Attributes:
        FRACTIONS: the fractions are about to change.
        LAPSED: the rights had ended, and begin again; all tokens are void.
    """

    FRACTIONS = enum.auto()
    LAPSED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class _Bound:
    """A limit on the fractions of this process until `until`.

    Attributes:
        epoch: the epoch whose fractions are the limit; None for no fraction.
        until: when the limit ends.
    """

    epoch: rows.Predecessor | None
    until: float


class Rights:
    """The rights of this process to use the accounts, by its own clock.

    Attributes:
        me: this process.
        epoch: the newest epoch that this process knows.
        held_since: since when the current fractions are held.
        starts_full: whether new buckets are full at `held_since`, as they are
            for the holders of the very first epoch.
    """

    def __init__(
        self,
        me: rows.Process,
        timers: timers_lib.Timers,
        max_holders: int | None,
    ) -> None:
        """Creates the object without any rights.

        Args:
            me: this process.
            timers: the timer service.
            max_holders: the most holders of one account; None for no limit.
        """
        self.me = me
        self.epoch = rows.Epoch()
        self.held_since = timers.now()
        self._created_at = timers.now()
        self.starts_full = False
        self._timers = timers
        self._max_holders = max_holders
        self._valid_until = -math.inf
        self._bounds: list[_Bound] = []
        self._recent_bounds: dict[int, _Bound] = {}
        self._given_up = False
        self._fraction_cache: dict[tuple[int, str], float] = {}
        self._listeners: list[Callable[[Change], object]] = []

    def subscribe(self, listener: Callable[[Change], object]) -> None:
        """Calls `listener` before the fractions change and after a lapse."""
        self._listeners.append(listener)

    def follow(self, epoch: rows.Epoch, read_started: float) -> None:
        """Follows the epoch that a read of the table returned.

        Args:
            epoch: the current epoch, as the table had it.
            read_started: when the read started.
        """
        if epoch.number > self.epoch.number:
            self._advance(epoch)
        if epoch.number == self.epoch.number:
            self.renew(read_started + leases.usable(leases.LEASE_SECONDS))

    def renew(self, until: float) -> None:
        """Extends the rights of the current epoch until `until`."""
        now = self._timers.now()
        if until <= now:
            return
        if now >= self._valid_until:
            self._resume(now)
        self._valid_until = max(self._valid_until, until)

    def give_up(self) -> None:
        """Gives up all rights for good; granted loans stay valid."""
        self._notify(Change.FRACTIONS)
        self._given_up = True

    def seconds_left(self) -> float:
        """Returns the seconds until the rights end; 0 if they have ended."""
        return max(0.0, self._valid_until - self._timers.now())

    def seconds_until_unbounded(self) -> float:
        """Returns the seconds until no earlier epoch limits this process."""
        now = self._timers.now()
        return max([0.0, *(bound.until - now for bound in self._bounds)])

    def predecessors(self) -> tuple[rows.Predecessor, ...]:
        """Returns the epochs whose rights some process may still use.

        They are sorted by number, and the current one is the last.
        """
        now = self._timers.now()
        self._recent_bounds = {
            number: bound
            for number, bound in self._recent_bounds.items()
            if now < bound.until
        }
        known = {
            number: bound.epoch
            for number, bound in self._recent_bounds.items()
            if bound.epoch is not None
        }
        number = self.epoch.number
        known[number] = rows.Predecessor(number, self.epoch.holders)
        return tuple(known[item] for item in sorted(known))

    def is_holder(self) -> bool:
        """Returns whether this process holds shares in the current epoch."""
        return self.me in self.epoch.holders and not self._given_up

    def seconds_until_start(self) -> float:
        """Returns the seconds until a new holder's rights begin.

        Returns 0 if they have begun or none are expected. A process that has
        just started is expected to join the holders.
        """
        now = self._timers.now()
        if self.is_holder():
            shareless_seconds = [
                bound.until - now
                for bound in self._bounds
                if bound.epoch is None or self.me not in bound.epoch.holders
            ]
            return max([0.0, *shareless_seconds])
        joining = now < self._created_at + MAX_JOIN_SECONDS
        if joining and not self._given_up:
            return leases.LEASE_SECONDS
        return 0.0

    def fraction(self, account: str) -> float:
        """Returns the fraction of an account that may be used now, 0 to 1."""
        now = self._timers.now()
        if now >= self._valid_until or self._given_up:
            return 0.0
        fraction = self._epoch_fraction(self.epoch, account)
        if self._bounds:
            self._bounds = [item for item in self._bounds if now < item.until]
        for bound in self._bounds:
            if bound.epoch is None:
                return 0.0
            fraction = min(fraction, self._epoch_fraction(bound.epoch, account))
        return fraction

    def holders(self, account: str) -> Sequence[rows.Process]:
        """Returns the holders of an account's shares in the current epoch."""
        holders = self.epoch.holders
        if self._max_holders is None or len(holders) <= self._max_holders:
            return holders
        return rows.holders_of(account, holders, self._max_holders)

    def _advance(self, epoch: rows.Epoch) -> None:
        self._notify(Change.FRACTIONS)
        now = self._timers.now()
        # The first epoch has no predecessor that a process could still use.
        if epoch.number > 1:
            until = now + leases.expired_after(epoch.lapse_seconds)
            for earlier in self._limiting_epochs(epoch, now):
                self._bounds.append(_Bound(earlier, until))
            for item in (
                *epoch.earlier,
                rows.Predecessor(self.epoch.number, self.epoch.holders),
            ):
                self._recent_bounds[item.number] = _Bound(item, until)
        self.epoch = epoch
        self.held_since = max([now, *(bound.until for bound in self._bounds)])
        self.starts_full = False
        self._fraction_cache.clear()

    def _limiting_epochs(
        self, epoch: rows.Epoch, now: float
    ) -> Sequence[rows.Predecessor | None]:
        """Returns the epochs that limit this process after a change.

        Returns [None] if this process must not use any fraction.
        """
        old = self.epoch
        known = {item.number: item for item in epoch.earlier}
        known[old.number] = rows.Predecessor(old.number, old.holders)
        missed = range(old.number, epoch.number)
        if now >= self._valid_until or any(
            item not in known for item in missed
        ):
            return [None]
        return [known[item] for item in missed]

    def _resume(self, now: float) -> None:
        """Starts the rights again after a time without any."""
        first = self._valid_until == -math.inf and self.epoch.number == 1
        self.starts_full = first and self.me in self.epoch.holders
        self.held_since = max([now, *(bound.until for bound in self._bounds)])
        self._notify(Change.LAPSED)

    def _epoch_fraction(
        self, epoch: rows.Epoch | rows.Predecessor, account: str
    ) -> float:
        """Returns the fraction that an epoch gives to this process."""
        if self.me not in epoch.holders:
            return 0.0
        count = self._max_holders
        if count is None or len(epoch.holders) <= count:
            return 1.0 / len(epoch.holders)
        key = (epoch.number, account)
        fraction = self._fraction_cache.get(key)
        if fraction is None:
            mine = self.me in rows.holders_of(account, epoch.holders, count)
            fraction = 1.0 / count if mine else 0.0
            self._fraction_cache[key] = fraction
        return fraction

    def _notify(self, change: Change) -> None:
        for listener in self._listeners:
            listener(change)
