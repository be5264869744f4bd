"""Renews this host's fractions of the accounts' rates.

The rows say what each host holds and how much is asked of it. A host gives up
what is more than its part of the demand, and takes what others have given up.
"""

from __future__ import annotations

import random

import eliot
import gevent

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import catalog as catalog_lib
from endivepier.gateway import model
from endivepier.gateway import peers as peers_lib
from endivepier.gateway import rows
from endivepier.gateway import share_rows
from endivepier.internal import codec
from endivepier.internal import rendezvous
from endivepier.limits import leases
from endivepier.storage import commit
from endivepier.storage import ports

# Longer than the store outages that the deployments' pages tell of (9 s), so
# that accounts keep their rates through one.
LEASE_SECONDS = 15.0
RENEW_SECONDS = 1.0  # how soon fractions follow a shift of demand
SHORT_RENEW_SECONDS = 0.3  # while this host lacks tokens
KEEP_ALIVE_SECONDS = 4.0  # a lease survives three lost renewals
COMMIT_SECONDS = 2.0  # below the wait between two renewals of a calm host
MIN_CHANGE = 0.1  # relative change of a fraction that is worth a write
# Part of an account's rate that stays with its owner, whatever the demand,
# to be lent to hosts that demand comes to.
EVEN_SHARE = 0.15
LEAST_TOKENS = 4.0  # what a bucket must be able to hold to be worth a share
BATCH_ROWS = 45  # a transaction holds 100 entries: a condition and a put each
# A host that has just started has admitted nothing for longer than this:
# its former process had ended, and this one had to start.
START_SECONDS = 0.3

# Part of the operators' tolerance that is used: each host's bucket holds
# whole tokens only, so that small accounts would lose most of their burst.
TOLERANCE_SHARE = 0.5


class Renewals:
    """Keeps the leases of one host.

    Attributes:
        ready: whether the rows have been read and written once.
        holders: how many hosts are known, this one included.
        local: what this host holds.
    """

    def __init__(
        self,
        holder: str,
        catalog: catalog_lib.Catalog,
        table: ports.Table,
        timers: timers_lib.Timers,
        rng: random.Random,
        peers: peers_lib.Peers,
        tolerance: float,
    ) -> None:
        """Makes renewals that have not begun.

        Args:
            holder: name of this host, the same after a restart.
            catalog: declares the accounts.
            table: keeps the rows.
            timers: the timer service.
            rng: spreads renewals over time.
            peers: the other hosts.
            tolerance: requests of an account beyond its burst that the
                operators allow for in all.
        """
        self.ready = False
        self.holders = 1
        self._holder = holder
        self._catalog = catalog
        self._table = table
        self._timers = timers
        self._rng = rng
        self._peers = peers
        self.local = share_rows.LocalShares(tolerance * TOLERANCE_SHARE)
        self._committer = commit.Committer(table, timers, rng)
        self._seen: dict[tuple[str, str], tuple[int, float]] = {}
        self._failing = False
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to renew."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Renews no longer; the leases lapse."""
        if self._task is not None:
            self._task.kill()

    def owner(self, account: str) -> str:
        """Returns the host that holds what no other host asks for."""
        return rendezvous.choose(
            account, [*self._peers.askable(), self._holder]
        )

    def _run(self) -> None:
        while True:
            try:
                self._renew_all()
                self._note(None)
            except errors.ConditionFailed:
                # Another host wrote first; its row is read next time.
                self._timers.sleep(self._rng.uniform(0.005, 0.05))
                continue
            except (errors.Unavailable, errors.OutcomeUnknown) as exc:
                self._note(exc)
            seconds = RENEW_SECONDS if self.ready else RENEW_SECONDS / 10
            if self.local.short:
                seconds = SHORT_RENEW_SECONDS
            self.local.short = False
            self._timers.sleep(seconds * self._rng.uniform(0.8, 1.2))

    def _note(self, exc: Exception | None) -> None:
        if exc is not None and not self._failing:
            eliot.log_message("shares.not_renewed", reason=str(exc))
        if exc is None and self._failing:
            eliot.log_message("shares.renewed")
        self._failing = exc is not None

    def _renew_all(self) -> None:
        declaration = self._catalog.declaration
        if declaration is None:
            return
        self.holders = len(self._peers.askable()) + 1
        limited = [a for a in declaration.accounts.values() if a.rate > 0]
        if limited:
            found = self._read()
            for start in range(0, len(limited), BATCH_ROWS):
                self._renew(limited[start : start + BATCH_ROWS], found)
        self.ready = True

    def _read(self) -> dict[str, ports.Row]:
        prefix = rows.single(rows.SHARES, "")
        found: dict[str, ports.Row] = {}
        after = ""
        while True:
            page = self._table.scan(prefix, after=after, limit=500)
            found.update((row.key, row) for row in page)
            if len(page) < 500:
                return found
            after = page[-1].key

    def _renew(
        self, accounts: list[model.Account], found: dict[str, ports.Row]
    ) -> None:
        now = self._timers.now()
        write = f"{self._rng.getrandbits(64):016x}"
        conditions: list[ports.Condition] = []
        puts: list[ports.Write] = []
        planned: list[tuple[share_rows.Share, float]] = []
        for account in accounts:
            key = rows.single(rows.SHARES, account.name)
            row = found.get(key)
            before = (
                share_rows.Row({})
                if row is None
                else codec.decode(share_rows.Row, row.value)
            )
            share = self.local.of(account, now)
            after = self._planned(account, share, before, write, now)
            if after is None:
                continue
            conditions.append(
                ports.Absent(key)
                if row is None
                else ports.VersionIs(key, row.version)
            )
            puts.append(ports.Put(key, codec.encode(after)))
            planned.append((share, after.holders[self._holder].fraction))
        if puts:
            self._commit(conditions, puts, planned, write, now)

    def _planned(
        self,
        account: model.Account,
        share: share_rows.Share,
        before: share_rows.Row,
        write: str,
        now: float,
    ) -> share_rows.Row | None:
        """Returns the row with our new entry; None if nothing is to change."""
        others = self._living(account.name, before, now)
        share.others = others
        demand = share.bucket.demand(now)
        free = 1.0 - sum(entry.fraction for entry in others.values())
        owner = self.owner(account.name)
        if owner == self._holder:
            wanted = self._rest(account, others, demand)
        else:
            wanted = self._wanted(account, others, demand, demand)
        fraction = max(0.0, min(wanted, free))
        mine = before.holders.get(self._holder)
        held = share.fraction if now < share.until else 0.0
        if not (fraction or held) and (mine is None or not mine.fraction):
            return None
        calm = abs(fraction - held) <= MIN_CHANGE * held
        if calm and mine and now - share.written < KEEP_ALIVE_SECONDS:
            return None
        renewals = 0 if mine is None else mine.renewals + 1
        entry = share_rows.Entry(fraction, renewals, demand, write)
        return share_rows.Row({**others, self._holder: entry})

    def _wanted(
        self,
        account: model.Account,
        others: dict[str, share_rows.Entry],
        own: float,
        demand: float,
    ) -> float:
        """Returns the fraction for a demand; 0 if it would hold no tokens.

        A bucket that can't hold a few tokens is of no use: its host borrows
        from the owner instead.
        """
        floor = EVEN_SHARE * account.rate
        total = floor + own + sum(entry.demand for entry in others.values())
        wanted = demand / total
        if wanted * (account.burst + self.local.tolerance) < LEAST_TOKENS:
            return 0.0
        return wanted

    def _rest(
        self,
        account: model.Account,
        others: dict[str, share_rows.Entry],
        demand: float,
    ) -> float:
        """Returns the owner's fraction: what others neither have nor want."""
        wanted = (
            max(
                entry.fraction,
                self._wanted(account, others, demand, entry.demand),
            )
            for entry in others.values()
        )
        return 1.0 - sum(wanted)

    def _living(
        self, account: str, row: share_rows.Row, now: float
    ) -> dict[str, share_rows.Entry]:
        """Returns the other holders whose leases may still be in use."""
        living = {}
        for holder, entry in row.holders.items():
            if holder == self._holder:
                continue
            seen = self._seen.get((account, holder))
            if seen is None or seen[0] != entry.renewals:
                seen = (entry.renewals, now)
                self._seen[account, holder] = seen
            if now - seen[1] <= leases.certainly_over(LEASE_SECONDS):
                living[holder] = entry
        return living

    def _commit(
        self,
        conditions: list[ports.Condition],
        puts: list[ports.Write],
        planned: list[tuple[share_rows.Share, float]],
        write: str,
        now: float,
    ) -> None:
        # What is given up must not be used once others can see that it is.
        for share, fraction in planned:
            share.touch(now)
            share.fraction = min(share.fraction, fraction)
            share.touch(now)
        first = puts[0]
        assert isinstance(first, ports.Put)

        def is_ours(value: bytes) -> bool:
            mine = codec.decode(share_rows.Row, value).holders.get(self._holder)
            return mine is not None and mine.write == write

        self._committer.commit(
            ports.Transaction(tuple(conditions), tuple(puts)),
            commit.Proof(first.key, is_ours),
            seconds=COMMIT_SECONDS,
        )
        until = now + leases.usable(LEASE_SECONDS)
        for share, fraction in planned:
            share.touch(self._timers.now())
            if not share.written:
                share.bucket.level = fraction * min(
                    START_SECONDS * share.bucket.rate, share.bucket.burst
                )
            share.fraction = fraction
            share.until = until
            share.written = now
            share.touch(self._timers.now())
        eliot.log_message(
            "shares.renewed",
            accounts=len(planned),
            holders=self.holders,
            fractions=[round(fraction, 4) for _, fraction in planned[:16]],
            seconds=round(self._timers.now() - now, 4),
        )
