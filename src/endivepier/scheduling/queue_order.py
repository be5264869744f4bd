"""The order in which requests leave a queue.

The default policy, `FairShare`, uses start-time fair queueing between client
accounts: each account has a virtual time that advances by the charge of each
request that is dispatched, divided by the account's weight. The account with
the smallest virtual time goes first. An account that was idle resumes at the
virtual time of the last dispatch, so it gains no credit by being idle, and a
flood of requests advances the virtual time of its own account only.

Within an account, the program with the least attained service goes first. The
length of a program is not known in advance. Most programs are short, so the
service attained so far is the best predictor of the service still needed.
Waiting time offsets attained service so that long programs do not starve, and
requests close to their deadline go before all others, earliest deadline first.
"""

from __future__ import annotations

import itertools

import gevent.event

from endivepier import errors
from endivepier.scheduling import policies
from endivepier.scheduling import work as work_lib

# Lower bound of weights, since charges are divided by them.
MIN_WEIGHT = 1e-6


class Entry:
    """One request in the queue.

    Attributes:
        work: the request.
        arrived: when it arrived, on the timer service's clock, in seconds.
        deadline: when the caller's deadline expires, on the same clock.
        settled: set once the entry has a slot or is refused.
        refusal: the error to raise if it is refused, else None.
        sequence: order of arrival in the queue.
    """

    def __init__(self, work: work_lib.Work, arrived: float) -> None:
        self.work = work
        self.arrived = arrived
        self.deadline = arrived + work.seconds
        self.settled = gevent.event.Event()
        self.refusal: errors.Refused | None = None
        self.sequence = 0


class _AccountBacklog:
    """The waiting requests of one account, and its place in the order.

    Attributes:
        weight: the account's weight in fair queueing.
        virtual_time: the charges so far, divided by the weight; used by
            `FairShare` only.
        last_turn: number of the account's last turn; used by `RoundRobin`
            only.
        entries: the waiting entries, in order of arrival.
    """

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.virtual_time = 0.0
        self.last_turn = 0
        self.entries: list[Entry] = []


class QueueOrder:
    """The waiting requests of one queue, in the order of a policy."""

    def __init__(self, policy: policies.QueuePolicy) -> None:
        self._policy = policy
        self._accounts: dict[str, _AccountBacklog] = {}
        self._sequence = itertools.count()
        self._turns = itertools.count(1)
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __contains__(self, entry: Entry) -> bool:
        account = self._accounts.get(entry.work.account)
        return account is not None and entry in account.entries

    def add(self, entry: Entry) -> None:
        """Adds an entry to its account's backlog."""
        entry.sequence = next(self._sequence)
        account = self._accounts.get(entry.work.account)
        if account is None:
            account = _AccountBacklog(entry.work.weight)
            self._accounts[entry.work.account] = account
        account.weight = max(entry.work.weight, MIN_WEIGHT)
        if not account.entries:
            account.virtual_time = max(account.virtual_time, self._virtual_time)
        account.entries.append(entry)
        self._size += 1

    def remove(self, entry: Entry) -> None:
        """Removes a waiting entry."""
        self._accounts[entry.work.account].entries.remove(entry)
        self._size -= 1

    def pop(self, now: float) -> Entry:
        """Removes and returns the entry that runs next.

        Raises:
            LookupError: the queue is empty.
        """
        busy = [a for a in self._accounts.values() if a.entries]
        if not busy:
            raise LookupError("the queue is empty")
        match self._policy:
            case policies.FirstCome():
                account = min(busy, key=lambda a: a.entries[0].sequence)
                entry = account.entries[0]
            case policies.RoundRobin():
                account = min(
                    busy, key=lambda a: (a.last_turn, a.entries[0].sequence)
                )
                account.last_turn = next(self._turns)
                entry = account.entries[0]
            case policies.FairShare() as fair:
                account = min(
                    busy, key=lambda a: (a.virtual_time, a.entries[0].sequence)
                )
                entry = min(account.entries, key=lambda e: _rank(fair, e, now))
                self._virtual_time = account.virtual_time
                account.virtual_time += (
                    _charge(fair, entry.work) / account.weight
                )
        self.remove(entry)
        self._drop_idle_accounts()
        return entry

    def count_ahead(self, entry: Entry, now: float) -> int:
        """Returns how many waiting entries should run before `entry`.

        Under `FairShare` this is an estimate.
        """
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
                return self._count_ahead_fair(fair, entry, now)

    def backlog(self, account: str) -> int:
        """Returns how many entries of an account are waiting."""
        backlog = self._accounts.get(account)
        return 0 if backlog is None else len(backlog.entries)

    def share(self, account: str) -> float:
        """Returns the account's fraction of the weights of waiting accounts.

        The account counts as waiting, so the result is always above 0.
        """
        backlog = self._accounts.get(account)
        own_weight = 1.0 if backlog is None else backlog.weight
        other_weights = sum(
            a.weight
            for name, a in self._accounts.items()
            if a.entries and name != account
        )
        return own_weight / (own_weight + other_weights)

    def last_of_largest_backlog(self) -> Entry:
        """Returns the newest entry of the account with the largest backlog.

        The size of a backlog is divided by the account's weight.
        """
        busy = [a for a in self._accounts.values() if a.entries]
        account = max(busy, key=lambda a: len(a.entries) / a.weight)
        return max(account.entries, key=lambda e: e.sequence)

    def _count_ahead_fair(
        self, fair: policies.FairShare, entry: Entry, now: float
    ) -> int:
        """Counts the entries that go before `entry` under fair queueing.

        These are the entries of the same account with a lower rank, and those
        of other accounts that fit in before the entry's virtual start time, at
        the mean charge of their account.
        """
        account = self._accounts.get(entry.work.account)
        if account is None:
            return 0
        rank = _rank(fair, entry, now)
        own_ahead = [e for e in account.entries if _rank(fair, e, now) < rank]
        charge = sum(_charge(fair, e.work) for e in own_ahead)
        virtual_start = (
            max(account.virtual_time, self._virtual_time)
            + charge / account.weight
        )
        total = len(own_ahead)
        for other in self._accounts.values():
            if other is account or not other.entries:
                continue
            mean_charge = sum(
                _charge(fair, e.work) for e in other.entries
            ) / len(other.entries)
            ahead = (
                (virtual_start - other.virtual_time)
                * other.weight
                / max(mean_charge, 1e-9)
            )
            total += max(0, min(len(other.entries), int(ahead)))
        return total

    def _drop_idle_accounts(self) -> None:
        """Drops idle accounts whose virtual time is not ahead of the queue's.

        An idle account that is ahead keeps its virtual time, so that it can't
        lose its charges by emptying its queue.
        """
        for name, account in list(self._accounts.items()):
            if (
                not account.entries
                and account.virtual_time <= self._virtual_time
            ):
                self._accounts.pop(name)


def _charge(fair: policies.FairShare, work: work_lib.Work) -> float:
    """Returns by how much a request advances virtual time at weight 1."""
    match fair.charge:
        case policies.Charge.WORTH:
            return work.worth
        case policies.Charge.TOKENS:
            return work.cost / max(work.worth, MIN_WEIGHT)


def _rank(
    fair: policies.FairShare, entry: Entry, now: float
) -> tuple[int, float, int]:
    """Returns the sort key of an account's entries; the smallest runs first."""
    if entry.deadline - now < fair.urgent_seconds:
        return 0, entry.deadline, entry.sequence
    waited = now - entry.arrived
    return (
        1,
        entry.work.attained - fair.ageing_tokens_per_second * waited,
        entry.sequence,
    )
