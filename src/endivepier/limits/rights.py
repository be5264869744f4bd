"""What this process may use of each account's rate and burst, and until when.

The sum of all processes' fractions must never exceed one, whatever each of
them knows of the newest epoch. Three rules see to that:

* An epoch is followed only for a lease time after the start of a read that
  showed it (or of the vouches that stand for a read).
* Whoever learns of a new epoch uses at most the smaller of its old and new
  fraction until a lease time has passed. Then nobody follows the old epoch
  any more, so the larger fraction may start.
* An epoch's row names its recent predecessors. Whoever missed one of them and
  does not find it there uses nothing until then, since it may have given less.
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

JOINING_SECONDS = 3.0


class Change(enum.Enum):
    """What listeners are told.

    Attributes:
        FRACTIONS: the fractions are about to change.
        LAPSED: there were no rights for a while; all tokens are void.
    """

    FRACTIONS = enum.auto()
    LAPSED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class _Bound:
    """Until `until`, not more than `epoch` gives; None gives nothing."""

    epoch: rows.Predecessor | None
    until: float


class Rights:
    """The rights of this process, by its own clock."""

    def __init__(
        self,
        me: rows.Process,
        timers: timers_lib.Timers,
        per_account: int | None,
    ) -> None:
        """Makes rights to nothing.

        Args:
            me: this process.
            timers: the timer service.
            per_account: the most holders of one account; None for all.
        """
        self.me = me
        self.epoch = rows.Epoch()
        self.began = timers.now()
        self._made = timers.now()
        self.starts_full = False
        self._timers = timers
        self._per_account = per_account
        self._until = -math.inf
        self._bounds: list[_Bound] = []
        self._recent: dict[int, _Bound] = {}
        self._given_up = False
        self._cache: dict[tuple[int, str], float] = {}
        self._listeners: list[Callable[[Change], object]] = []

    def subscribe(self, listener: Callable[[Change], object]) -> None:
        """Calls `listener` before fractions change and after a lapse."""
        self._listeners.append(listener)

    def follow(self, epoch: rows.Epoch, read_started: float) -> None:
        """Notes that the table showed `epoch` in a read that began then."""
        if epoch.number > self.epoch.number:
            self._advance(epoch)
        if epoch.number == self.epoch.number:
            self.renew(read_started + leases.usable(leases.LEASE_SECONDS))

    def renew(self, until: float) -> None:
        """Lets the rights of the epoch that is followed last until then."""
        now = self._timers.now()
        if until <= now:
            return
        if now >= self._until:
            self._restart(now)
        self._until = max(self._until, until)

    def give_up(self) -> None:
        """Gives up all rights for good; loans that were granted go on."""
        self._tell(Change.FRACTIONS)
        self._given_up = True

    def seconds_left(self) -> float:
        """Returns for how long the rights last at least; 0 if over."""
        return max(0.0, self._until - self._timers.now())

    def settled_in(self) -> float:
        """Returns after how long no earlier epoch limits this process."""
        now = self._timers.now()
        return max([0.0, *(bound.until - now for bound in self._bounds)])

    def predecessors(self) -> tuple[rows.Predecessor, ...]:
        """Returns the epochs whose rights may be in use, this one included."""
        now = self._timers.now()
        self._recent = {
            number: bound
            for number, bound in self._recent.items()
            if now < bound.until
        }
        known = {
            number: bound.epoch
            for number, bound in self._recent.items()
            if bound.epoch is not None
        }
        number = self.epoch.number
        known[number] = rows.Predecessor(number, self.epoch.holders)
        return tuple(known[item] for item in sorted(known))

    def is_holder(self) -> bool:
        """Returns whether this process is a holder in this epoch."""
        return self.me in self.epoch.holders and not self._given_up

    def starts_in(self) -> float:
        """Returns when the rights of a new holder begin; 0 if unknown."""
        now = self._timers.now()
        if self.is_holder():
            nothing = [
                bound.until - now
                for bound in self._bounds
                if bound.epoch is None or self.me not in bound.epoch.holders
            ]
            return max([0.0, *nothing])
        joining = now < self._made + JOINING_SECONDS
        if joining and not self._given_up:
            return leases.LEASE_SECONDS
        return 0.0

    def fraction(self, account: str) -> float:
        """Returns what may be used now of an account, from 0 to 1."""
        now = self._timers.now()
        if now >= self._until or self._given_up:
            return 0.0
        fraction = self._share(self.epoch, account)
        if self._bounds:
            self._bounds = [item for item in self._bounds if now < item.until]
        for bound in self._bounds:
            if bound.epoch is None:
                return 0.0
            fraction = min(fraction, self._share(bound.epoch, account))
        return fraction

    def holders(self, account: str) -> Sequence[rows.Process]:
        """Returns the holders of an account's shares in this epoch."""
        holders = self.epoch.holders
        if self._per_account is None or len(holders) <= self._per_account:
            return holders
        return rows.holders_of(account, holders, self._per_account)

    def _advance(self, epoch: rows.Epoch) -> None:
        self._tell(Change.FRACTIONS)
        now = self._timers.now()
        # The first epoch has no predecessor whose rights could be in use.
        if epoch.number > 1:
            until = now + leases.expired_after(epoch.lapse_seconds)
            for earlier in self._limits_of(epoch, now):
                self._bounds.append(_Bound(earlier, until))
            for item in (
                *epoch.earlier,
                rows.Predecessor(self.epoch.number, self.epoch.holders),
            ):
                self._recent[item.number] = _Bound(item, until)
        self.epoch = epoch
        self.began = max([now, *(bound.until for bound in self._bounds)])
        self.starts_full = False
        self._cache.clear()

    def _limits_of(
        self, epoch: rows.Epoch, now: float
    ) -> Sequence[rows.Predecessor | None]:
        """Returns the epochs that limit this process for a lease time."""
        old = self.epoch
        known = {item.number: item for item in epoch.earlier}
        known[old.number] = rows.Predecessor(old.number, old.holders)
        missed = range(old.number, epoch.number)
        if now >= self._until or any(item not in known for item in missed):
            return [None]
        return [known[item] for item in missed]

    def _restart(self, now: float) -> None:
        """Begins anew after a time without rights."""
        first = self._until == -math.inf and self.epoch.number == 1
        self.starts_full = first and self.me in self.epoch.holders
        self.began = max([now, *(bound.until for bound in self._bounds)])
        self._tell(Change.LAPSED)

    def _share(
        self, epoch: rows.Epoch | rows.Predecessor, account: str
    ) -> float:
        if self.me not in epoch.holders:
            return 0.0
        count = self._per_account
        if count is None or len(epoch.holders) <= count:
            return 1.0 / len(epoch.holders)
        key = (epoch.number, account)
        share = self._cache.get(key)
        if share is None:
            mine = self.me in rows.holders_of(account, epoch.holders, count)
            share = 1.0 / count if mine else 0.0
            self._cache[key] = share
        return share

    def _tell(self, change: Change) -> None:
        for listener in self._listeners:
            listener(change)
