"""The order in which requests leave the queue.

Across client accounts it is start-time fair queueing: each account has a
virtual time that advances by what its requests are charged, divided by its
weight; the account with the least goes first. An account that was idle starts
at the virtual time of the last dispatch, so idleness earns no credit, and a
flood advances only its own account's time.

Inside an account the program with the least attained service goes first. The
shape of a program is unknown in advance, and what it has attained is the best
sign of how much is left: most programs are short. Waiting offsets attained
service, so that long programs are not starved, and what nears its deadline
goes before all others, earliest first.
"""

from __future__ import annotations

import itertools

import gevent.event

from endivepier import errors
from endivepier.scheduling import policies
from endivepier.scheduling import work as work_lib

LEAST_WEIGHT = 1e-6


class Entry:
    """One request that waits.

    Attributes:
        work: what is scheduled.
        arrived: when it came, on the timer service's clock, in seconds.
        deadline: when its caller gives up, on the same clock.
        settled: set once the entry has a slot or is refused.
        refusal: why it will not run, or None.
    """

    def __init__(self, work: work_lib.Work, arrived: float) -> None:
        self.work = work
        self.arrived = arrived
        self.deadline = arrived + work.seconds
        self.settled = gevent.event.Event()
        self.refusal: errors.Refused | None = None
        self.sequence = 0


class _Account:
    """What waits of one account, and its virtual time."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.virtual = 0.0
        self.turn = 0
        self.entries: list[Entry] = []


class Order:
    """All that waits in one queue."""

    def __init__(self, policy: policies.QueuePolicy) -> None:
        self._policy = policy
        self._accounts: dict[str, _Account] = {}
        self._sequence = itertools.count()
        self._turns = itertools.count(1)
        self._virtual = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __contains__(self, entry: Entry) -> bool:
        account = self._accounts.get(entry.work.account)
        return account is not None and entry in account.entries

    def add(self, entry: Entry) -> None:
        """Lets an entry wait."""
        entry.sequence = next(self._sequence)
        account = self._accounts.get(entry.work.account)
        if account is None:
            account = _Account(entry.work.weight)
            self._accounts[entry.work.account] = account
        account.weight = max(entry.work.weight, LEAST_WEIGHT)
        if not account.entries:
            account.virtual = max(account.virtual, self._virtual)
        account.entries.append(entry)
        self._size += 1

    def remove(self, entry: Entry) -> None:
        """Takes an entry out that will not run."""
        self._accounts[entry.work.account].entries.remove(entry)
        self._size -= 1

    def take(self, now: float) -> Entry:
        """Takes out the entry that goes next.

        Raises:
            LookupError: nothing waits.
        """
        busy = [a for a in self._accounts.values() if a.entries]
        if not busy:
            raise LookupError("nothing waits")
        match self._policy:
            case policies.FirstCome():
                account = min(busy, key=lambda a: a.entries[0].sequence)
                entry = account.entries[0]
            case policies.RoundRobin():
                account = min(
                    busy, key=lambda a: (a.turn, a.entries[0].sequence)
                )
                account.turn = next(self._turns)
                entry = account.entries[0]
            case policies.FairShare() as fair:
                account = min(
                    busy, key=lambda a: (a.virtual, a.entries[0].sequence)
                )
                entry = min(account.entries, key=lambda e: _rank(fair, e, now))
                self._virtual = account.virtual
                account.virtual += _charge(fair, entry.work) / account.weight
        self.remove(entry)
        self._forget_idle()
        return entry

    def ahead_of(self, entry: Entry, now: float) -> int:
        """Returns how many entries are certain to go before `entry`."""
        match self._policy:
            case policies.FirstCome():
                return self._size
            case policies.RoundRobin():
                backlog = self.backlog(entry.work.account)
                return sum(
                    min(len(a.entries), backlog + 1)
                    for a in self._accounts.values()
                )
            case policies.FairShare() as fair:
                return self._fairly_ahead(fair, entry, now)

    def backlog(self, account: str) -> int:
        """Returns how many entries of an account wait."""
        found = self._accounts.get(account)
        return 0 if found is None else len(found.entries)

    def share(self, account: str) -> float:
        """Returns the account's share among those that wait, over 0."""
        found = self._accounts.get(account)
        own = 1.0 if found is None else found.weight
        others = sum(
            a.weight
            for name, a in self._accounts.items()
            if a.entries and name != account
        )
        return own / (own + others)

    def largest_backlog(self) -> Entry:
        """Returns the last entry of the account that waits with most.

        Most is meant in relation to the account's weight.
        """
        busy = [a for a in self._accounts.values() if a.entries]
        account = max(busy, key=lambda a: len(a.entries) / a.weight)
        return max(account.entries, key=lambda e: e.sequence)

    def _fairly_ahead(
        self, fair: policies.FairShare, entry: Entry, now: float
    ) -> int:
        """Counts the own entries of lower rank, and the others' in between."""
        account = self._accounts.get(entry.work.account)
        if account is None:
            return 0
        rank = _rank(fair, entry, now)
        own = [e for e in account.entries if _rank(fair, e, now) < rank]
        charged = sum(_charge(fair, e.work) for e in own)
        start = max(account.virtual, self._virtual) + charged / account.weight
        total = len(own)
        for other in self._accounts.values():
            if other is account or not other.entries:
                continue
            mean = sum(_charge(fair, e.work) for e in other.entries) / len(
                other.entries
            )
            room = (start - other.virtual) * other.weight / max(mean, 1e-9)
            total += max(0, min(len(other.entries), int(room)))
        return total

    def _forget_idle(self) -> None:
        """Drops accounts that are idle and have no service to make up for."""
        for name, account in list(self._accounts.items()):
            if not account.entries and account.virtual <= self._virtual:
                self._accounts.pop(name)


def _charge(fair: policies.FairShare, work: work_lib.Work) -> float:
    match fair.charge:
        case policies.Charge.WORTH:
            return work.worth
        case policies.Charge.TOKENS:
            return work.cost / max(work.worth, LEAST_WEIGHT)


def _rank(
    fair: policies.FairShare, entry: Entry, now: float
) -> tuple[int, float, int]:
    """Returns what orders entries of one account; the least goes first."""
    if entry.deadline - now < fair.urgent_seconds:
        return 0, entry.deadline, entry.sequence
    waited = now - entry.arrived
    return 1, entry.work.attained - fair.ageing * waited, entry.sequence
