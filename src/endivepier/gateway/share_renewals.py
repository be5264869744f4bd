"""Renews this host's fractions of the accounts' rates.

Each account has a few owners, found by hashing, that hold its rate in equal
parts and lend to all other hosts. Several, so that the account keeps most of
its rate when one of them is lost: what that one held is free only after its
lease. Few, so that one host has enough tokens to carry programs to their ends.
"""

from __future__ import annotations

import random

import eliot
import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import catalog as catalog_lib
from endivepier.gateway import model
from endivepier.gateway import peers as peers_lib
from endivepier.gateway import rows
from endivepier.gateway import share_rows
from endivepier.internal import codec
from endivepier.internal import rendezvous
from endivepier.limits import bucket as bucket_lib
from endivepier.limits import leases
from endivepier.storage import commit
from endivepier.storage import ports

# Longer than the store outages that the deployments' pages tell of (9 s), so
# that accounts keep their rates through one.
LEASE_SECONDS = 15.0
RENEW_SECONDS = 1.0  # how soon a lost owner's successor looks for its part
KEEP_ALIVE_SECONDS = 4.0  # a lease survives three lost renewals
COMMIT_SECONDS = 2.0  # below the wait between two renewals of a calm host
# What an owner's bucket must be able to hold: some four programs at once.
OWNER_TOKENS = 40.0
LEAST_OWNERS = 2  # one may be lost at any time
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
        holder: name of this host, the same after a restart.
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
        self.holder = holder
        self._catalog = catalog
        self._table = table
        self._timers = timers
        self._rng = rng
        self._peers = peers
        self.local = share_rows.LocalShares(tolerance * TOLERANCE_SHARE)
        self._committer = commit.Committer(table, timers, rng)
        self._seen: dict[tuple[str, str], tuple[int, float]] = {}
        self._failing = False
        self._leaving = False
        self._wake = gevent.event.Event()
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to renew."""
        self._task = gevent.spawn(self._run)

    def drain(self) -> None:
        """Gives up what this host holds, so that others take it at once."""
        self._leaving = True
        self._wake.set()

    def stop(self) -> None:
        """Renews no longer; the leases lapse."""
        if self._task is not None:
            self._task.kill()

    def owners(self, account: model.Account) -> list[str]:
        """Returns the hosts that hold an account's rate, in a fixed order."""
        hosts = self._peers.askable()
        if not (self._leaving and hosts):
            hosts.append(self.holder)
        tokens = account.burst + self.local.tolerance
        count = max(LEAST_OWNERS, int(tokens / OWNER_TOKENS))
        return rendezvous.rank(account.name, hosts, count)

    def _run(self) -> None:
        while True:
            self._wake.clear()
            try:
                self._renew_all()
                self._note(None)
            except errors.ConditionFailed:
                # Another host wrote first; its row is read next time.
                self._timers.sleep(self._rng.uniform(0.005, 0.05))
                continue
            except (errors.Unavailable, errors.OutcomeUnknown) as exc:
                self._note(exc)
            self._note_lapses()
            seconds = RENEW_SECONDS if self.ready else RENEW_SECONDS / 10
            self._timers.wait(self._wake, seconds * self._rng.uniform(0.8, 1.2))

    def _note(self, exc: Exception | None) -> None:
        if exc is not None and not self._failing:
            eliot.log_message("shares.not_renewed", reason=str(exc))
        if exc is None and self._failing:
            eliot.log_message("shares.renewed")
        self._failing = exc is not None

    def _note_lapses(self) -> None:
        now = self._timers.now()
        for account, share in self.local.lapsed(now):
            eliot.log_message(
                "shares.lapsed",
                account=account,
                fraction=round(share.fraction, 4),
                written=round(now - share.written, 2),
                lease=LEASE_SECONDS,
                action="requests of the account need another owner",
            )
            share.fraction = 0.0

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
            planned.append((share, after.holders[self.holder].fraction))
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
        free = 1.0 - sum(entry.fraction for entry in others.values())
        owners = self.owners(account)
        wanted = 1.0 / len(owners) if self.holder in owners else 0.0
        fraction = max(0.0, min(wanted, free))
        mine = before.holders.get(self.holder)
        held = share.fraction if now < share.until else 0.0
        if not (fraction or held) and (mine is None or not mine.fraction):
            return None
        calm = abs(fraction - held) <= bucket_lib.ROUNDING_TOLERANCE
        if calm and mine and now - share.written < KEEP_ALIVE_SECONDS:
            return None
        renewals = 0 if mine is None else mine.renewals + 1
        entry = share_rows.Entry(fraction, renewals, write)
        return share_rows.Row({**others, self.holder: entry})

    def _living(
        self, account: str, row: share_rows.Row, now: float
    ) -> dict[str, share_rows.Entry]:
        """Returns the other holders whose leases may still be in use."""
        living = {}
        for holder, entry in row.holders.items():
            if holder == self.holder:
                continue
            seen = self._seen.get((account, holder))
            if seen is None or seen[0] != entry.renewals:
                seen = (entry.renewals, now)
                self._seen[account, holder] = seen
            if now - seen[1] <= leases.expired_after(LEASE_SECONDS):
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
            mine = codec.decode(share_rows.Row, value).holders.get(self.holder)
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
