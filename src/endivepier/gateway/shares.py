"""Rates of client accounts, split over entry hosts by demand.

Each entry host holds a fraction of each account's rate and burst, and the
fractions of one account never add up to more than one. They stand in one row
an account, which a host changes only under the condition that nobody else
has. A host asks for the fraction that its demand is of all demand; it gives
up what is above that at once and gets what is missing once others have.

Demand moves faster than fractions do. A host that runs out of tokens asks the
account's owner, then peers that have some to spare, for a few; what one gives
the other gets, so that the sum stays. Beyond that, a call waits a short time
for the next token. The owner, found by hashing, holds what no other host asks
for, so that an account whose tokens are too few to be split is not split.

A fraction is a lease: a host that can't renew it stops using it before any
other host may count it as free. Others measure that by their own clocks, from
when they first saw the last renewal. A host that starts again takes over
what its former process held, since that process is gone.
"""

from __future__ import annotations

import dataclasses
import random

import eliot
import gevent
import xxhash

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import catalog as catalog_lib
from endivepier.gateway import model
from endivepier.gateway import peers as peers_lib
from endivepier.gateway import rows
from endivepier.gateway import starts as starts_lib
from endivepier.internal import codec
from endivepier.limits import bucket as bucket_lib
from endivepier.limits import leases
from endivepier.storage import commit
from endivepier.storage import ports

# Longer than the store outages that the deployments' pages tell of (9 s), so
# that accounts keep their rates through one.
LEASE_SECONDS = 15.0
RENEW_SECONDS = 1.0  # how soon fractions follow a shift of demand
SHORT_RENEW_SECONDS = 0.3  # while this host lacks tokens
KEEP_ALIVE_SECONDS = 4.0  # a lease survives three lost renewals
COMMIT_SECONDS = 2.0
MIN_CHANGE = 0.1  # relative change of a fraction that is worth a write
# Part of an account's rate that stays with its owner, whatever the demand,
# to be lent to hosts that demand comes to.
EVEN_SHARE = 0.15
LEAST_TOKENS = 4.0  # what a bucket must be able to hold to be worth a share
BATCH_ROWS = 45  # a transaction holds 100 entries: a condition and a put each
# Part of a host's burst that is kept for programs under way: one that can't
# end is worth nothing, so new ones wait first.
RESERVE_SHARE = 0.4
MAX_RETRY_SECONDS = 2.0
QUESTION = "borrow"
# A host that has just started has admitted nothing for longer than this:
# its former process had ended, and this one had to start.
START_SECONDS = 0.3
# A token that comes so soon is waited for: less than a client would lose by
# coming back.
WAIT_SECONDS = 0.25
MIN_WAIT_SECONDS = 0.005
BORROWED_TOKENS = 3
BORROW_RETRY_SECONDS = 0.1  # between two questions to the owner
START_RETRY_SECONDS = 0.5  # for a new program that the owner had no room for
IDLE_DEMAND = 0.5  # requests a second below which a host lends all it has
LENDERS_ASKED = 6
BORROW_PAUSE_SECONDS = 0.1  # a peer that had nothing to give is not asked
# Part of the operators' tolerance that is used: each host's bucket holds
# whole tokens only, so that small accounts would lose most of their burst.
TOLERANCE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """What one host holds of an account.

    Attributes:
        fraction: of rate and burst.
        renewals: rises with each write of the entry.
        demand: requests a second that reach the host.
        write: name of the write, to recognize it.
    """

    fraction: float
    renewals: int
    demand: float
    write: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """All that is held of one account, by name of the holder."""

    holders: dict[str, Entry]


@dataclasses.dataclass(frozen=True, slots=True)
class Borrow:
    """Asks a peer for tokens of an account."""

    account: str
    tokens: int
    fresh: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Lent:
    """How many tokens a peer gives; it does without them."""

    tokens: int


@dataclasses.dataclass(slots=True)
class Share:
    """This host's part of an account.

    Attributes:
        bucket: its tokens.
        fraction: what may be used now.
        until: when the lease ends, monotonic seconds.
        written: when the entry was last written.
        others: what other hosts held when the row was last read.
        starts: how many programs may begin.
        empty_until: until when a peer is taken to have nothing to give.
    """

    bucket: bucket_lib.Bucket
    starts: starts_lib.Starts
    fraction: float = 0.0
    until: float = 0.0
    written: float = 0.0
    others: dict[str, Entry] = dataclasses.field(default_factory=dict)
    empty_until: dict[str, float] = dataclasses.field(default_factory=dict)

    def touch(self, now: float) -> None:
        """Brings the bucket up to date."""
        self.bucket.touch(now, self.fraction if now < self.until else 0.0)


class Shares:
    """The limits of all accounts at this host."""

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
        """Makes limits that hold nothing yet.

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
        self._tolerance = tolerance * TOLERANCE_SHARE
        peers.register(QUESTION, self._lend)
        self._committer = commit.Committer(table, timers, rng)
        self._shares: dict[str, Share] = {}
        self._seen: dict[tuple[str, str], tuple[int, float]] = {}
        self._failing = False
        self._short = False
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to renew."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Renews no longer; the leases lapse."""
        if self._task is not None:
            self._task.kill()

    def wait(self, account: model.Account, *, fresh: bool) -> float | None:
        """Takes a token of the account, from peers or after a short wait.

        A request that begins a program does neither: what can be had is for
        the programs under way.

        Args and result are those of `admit`.
        """
        end = self._timers.now() + WAIT_SECONDS
        missing = self.admit(account, fresh=fresh)
        while missing is not None:
            share = self._shares[account.name]
            if fresh and share.fraction:
                return missing
            if self._borrow(account, fresh=fresh):
                return None
            if fresh:
                return START_RETRY_SECONDS
            share.starts.press(self._timers.now())
            if self._timers.now() + missing > end:
                return missing
            self._timers.sleep(max(missing, MIN_WAIT_SECONDS))
            missing = self.admit(account, fresh=fresh, again=True)
        return None

    def admit(
        self, account: model.Account, *, fresh: bool, again: bool = False
    ) -> float | None:
        """Takes a token of the account.

        Args:
            account: who asks.
            fresh: whether the request begins a new program.
            again: whether the request has been counted as demand before.

        Returns:
            None if the request is admitted, else the seconds after which
            there is a token.
        """
        if account.rate <= 0:
            return None
        now = self._timers.now()
        share = self._share(account, now)
        share.touch(now)
        if not again:
            share.bucket.arrive(now)
        if not share.fraction:
            return BORROW_RETRY_SECONDS
        reserve = 0.0
        if fresh:
            reserve = RESERVE_SHARE * share.fraction * account.burst
            missing = share.starts.missing(now, share.fraction * account.rate)
            if missing > 0:
                return min(missing, MAX_RETRY_SECONDS)
        if share.bucket.level >= 1.0 + reserve and share.bucket.take():
            share.starts.count(now, fresh=fresh)
            if fresh:
                share.starts.begin(now)
            return None
        refill = share.fraction * account.rate
        if refill <= 0:
            return MAX_RETRY_SECONDS
        missing = 1.0 + reserve - share.bucket.level
        return min(missing / refill, MAX_RETRY_SECONDS)

    def log_refusal(self, account: model.Account, request: str) -> None:
        """Logs what a refusal of a request was decided on."""
        now = self._timers.now()
        share = self._share(account, now)
        eliot.log_message(
            "account.refused",
            request=request,
            account=account.name,
            rate=account.rate,
            burst=account.burst,
            fraction=round(share.fraction, 4),
            tokens=round(share.bucket.level, 2),
            demand=round(share.bucket.demand(now), 1),
            holders=self.holders,
            lease_left=round(share.until - now, 2),
            fraction_age=round(now - share.written, 2),
        )

    def _borrow(self, account: model.Account, *, fresh: bool) -> bool:
        """Asks peers for a token; returns whether one was given."""
        self._short = True
        share = self._shares[account.name]

        def spare(entry: Entry) -> float:
            return entry.fraction * account.rate - entry.demand

        owner = self._owner(account.name)
        lenders = sorted(
            (host for host in share.others if self._may_ask(share, host)),
            key=lambda host: -spare(share.others[host]),
        )
        if self._may_ask(share, owner):
            lenders = [owner, *(host for host in lenders if host != owner)]
        # A host without a share can't keep what it does not use at once.
        single = fresh or not share.fraction
        tokens = 1 if single else BORROWED_TOKENS
        body = codec.encode(Borrow(account.name, tokens, fresh))
        for host in lenders[:LENDERS_ASKED]:
            try:
                answer = self._peers.ask(host, QUESTION, body)
            except errors.PeerUnreachable:
                continue
            given = codec.decode(Lent, answer).tokens
            if given > 0:
                share.bucket.level += given - 1
                share.starts.count(self._timers.now(), fresh=False)
                return True
            until = self._timers.now() + BORROW_PAUSE_SECONDS
            share.empty_until[host] = until
        return False

    def _may_ask(self, share: Share, host: str) -> bool:
        if share.empty_until.get(host, 0.0) > self._timers.now():
            return False
        return self._peers.can_ask(host)

    def _lend(self, body: bytes) -> bytes:
        """Answers a peer that asks for tokens."""
        asked: Borrow = codec.decode(Borrow, body)
        share = self._shares.get(asked.account)
        if share is None:
            return codec.encode(Lent(0))
        if asked.fresh:
            declaration = self._catalog.declaration
            account = declaration and declaration.accounts.get(asked.account)
            if not account or self.admit(account, fresh=True) is not None:
                return codec.encode(Lent(0))
            return codec.encode(Lent(1))
        share.touch(self._timers.now())
        # A token stays for the next call here, if one is likely to come.
        demand = share.bucket.demand(self._timers.now())
        kept = 1.0 if demand > IDLE_DEMAND else 0.0
        given = max(0, min(asked.tokens, int(share.bucket.level - kept)))
        share.bucket.level -= given
        share.bucket.arrive(self._timers.now())
        if not given:
            share.starts.press(self._timers.now())
        return codec.encode(Lent(given))

    def _share(self, account: model.Account, now: float) -> Share:
        share = self._shares.get(account.name)
        if share is None:
            bucket = bucket_lib.Bucket(account, 0.0, now, now, full=False)
            share = self._shares[account.name] = Share(
                bucket, starts_lib.Starts(now)
            )
        bucket = share.bucket
        burst = account.burst + self._tolerance
        if bucket.rate != account.rate or bucket.burst != burst:
            share.touch(now)
            bucket.rate = account.rate
            bucket.burst = burst
            share.touch(now)
        return share

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
            if self._short:
                seconds = SHORT_RENEW_SECONDS
            self._short = False
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
        planned: list[tuple[Share, float]] = []
        for account in accounts:
            key = rows.single(rows.SHARES, account.name)
            row = found.get(key)
            before = Row({}) if row is None else codec.decode(Row, row.value)
            share = self._share(account, now)
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
        share: Share,
        before: Row,
        write: str,
        now: float,
    ) -> Row | None:
        """Returns the row with our new entry; None if nothing is to change."""
        others = self._living(account.name, before, now)
        share.others = others
        self.holders = len(self._peers.askable()) + 1
        demand = share.bucket.demand(now)
        free = 1.0 - sum(entry.fraction for entry in others.values())
        if self._owner(account.name) == self._holder:
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
        entry = Entry(fraction, renewals, demand, write)
        return Row({**others, self._holder: entry})

    def _owner(self, account: str) -> str:
        """Returns the host that holds what no other host asks for."""
        hosts = [*self._peers.askable(), self._holder]
        return max(
            hosts,
            key=lambda host: xxhash.xxh32_intdigest((host + account).encode()),
        )

    def _wanted(
        self,
        account: model.Account,
        others: dict[str, Entry],
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
        if wanted * (account.burst + self._tolerance) < LEAST_TOKENS:
            return 0.0
        return wanted

    def _rest(
        self, account: model.Account, others: dict[str, Entry], demand: float
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

    def _living(self, account: str, row: Row, now: float) -> dict[str, Entry]:
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
        planned: list[tuple[Share, float]],
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
            mine = codec.decode(Row, value).holders.get(self._holder)
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
