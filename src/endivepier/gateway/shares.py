"""Rates of client accounts, split over a few owners.

The owners of an account (`share_renewals`) hold its rate and burst in parts
that never add up to more than one. They stand in one row an account, which a
host changes only under the condition that nobody else has. All other hosts
ask an owner for each token; what one gives, the other uses at once, so that
the sum stays.

A program has one of the owners as its home, which decides whether it may
begin. Later requests take what they find: here, at the home, then at the
other owners. Beyond that, a request waits a short time for the next token.

A part is a lease: a host that can't renew it stops using it before any
other host may count it as free. Others measure that by their own clocks, from
when they first saw the last renewal. A host that starts again takes over
what its former process held, since that process is gone.
"""

from __future__ import annotations

import dataclasses

import eliot

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import catalog as catalog_lib
from endivepier.gateway import model
from endivepier.gateway import peers as peers_lib
from endivepier.gateway import share_renewals
from endivepier.gateway import share_rows
from endivepier.internal import codec
from endivepier.internal import rendezvous

MAX_RETRY_SECONDS = 2.0  # clients wait a third of their 4 s at most
QUESTION = "borrow"
# A token that comes so soon is waited for: less than a client would lose by
# coming back.
WAIT_SECONDS = 0.25
MIN_WAIT_SECONDS = 0.005  # rounding must not make a wait of nothing
BORROWED_TOKENS = 3  # a program's turn and its two calls
BORROW_RETRY_SECONDS = 0.1  # between two questions to the owner
IDLE_DEMAND = 0.5  # requests a second below which a host lends all it has
BORROW_PAUSE_SECONDS = 0.1  # a peer that had nothing to give is not asked


@dataclasses.dataclass(frozen=True, slots=True)
class Borrow:
    """Asks a peer for tokens of an account.

    Attributes:
        account: its name.
        tokens: how many are wanted.
        program: the program that asks, or empty.
        left: seconds until the program should have ended.
        fresh: whether the request is the first turn of the program.
    """

    account: str
    tokens: int
    program: str = ""
    left: float = 0.0
    fresh: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Lent:
    """How many tokens a peer gives; it does without them."""

    tokens: int


class Shares:
    """The limits of all accounts at this host."""

    def __init__(
        self,
        renewals: share_renewals.Renewals,
        catalog: catalog_lib.Catalog,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
    ) -> None:
        """Makes limits on what `renewals` hold.

        Args:
            renewals: keeps this host's leases.
            catalog: declares the accounts.
            peers: the other hosts.
            timers: the timer service.
        """
        self._renewals = renewals
        self._local = renewals.local
        self._catalog = catalog
        self._peers = peers
        self._timers = timers
        peers.register(QUESTION, self._lend)

    def wait(
        self,
        account: model.Account,
        program: str,
        left: float = 0.0,
        *,
        fresh: bool,
    ) -> float | None:
        """Takes a token of the account, from peers or after a short wait.

        A request that begins a program does neither: what can be had is for
        the programs under way.

        Args and result are those of `admit`.
        """
        end = self._timers.now() + WAIT_SECONDS
        again = False
        while True:
            missing = self._try(account, program, left, fresh, again)
            if missing is None:
                return None
            share = self._local.of(account, self._timers.now())
            if fresh and not share.starts.knows(program):
                return missing
            if self._timers.now() + missing > end:
                return missing
            self._timers.sleep(max(missing, MIN_WAIT_SECONDS))
            again = True

    def _try(
        self,
        account: model.Account,
        program: str,
        left: float,
        fresh: bool,
        again: bool,
    ) -> float | None:
        """Takes a token here or from an owner; see `admit`."""
        if account.rate <= 0:
            return None
        owners = self._renewals.owners(account)
        home = rendezvous.choose(program or self._renewals.holder, owners)
        if home == self._renewals.holder:
            owners.remove(home)
            missing = self.admit(
                account, program, left, fresh=fresh, again=again
            )
            if missing is None:
                return missing
        else:
            owners.sort(key=lambda host: host != home)
            missing = BORROW_RETRY_SECONDS
        if self._borrow(account, owners, program, left, fresh=fresh):
            return None
        if home != self._renewals.holder:
            return self.admit(account, program, left, fresh=fresh, again=again)
        return missing

    def admit(
        self,
        account: model.Account,
        program: str,
        left: float = 0.0,
        *,
        fresh: bool,
        again: bool = False,
    ) -> float | None:
        """Takes a token of the account.

        Args:
            account: who asks.
            program: the program that the request belongs to, or empty.
            left: seconds until that program should have ended.
            fresh: whether it is the first turn of its program; one that was
                admitted before does not begin it again.
            again: whether the request has been counted as demand before.

        Returns:
            None if the request is admitted, else the seconds after which
            there is a token.
        """
        if account.rate <= 0:
            return None
        now = self._timers.now()
        share = self._local.of(account, now)
        share.touch(now)
        if not again:
            share.bucket.arrive(now)
        if not share.fraction:
            return BORROW_RETRY_SECONDS
        refill = share.fraction * account.rate
        share.starts.see(program, now)
        if fresh and not share.starts.knows(program):
            missing = share.starts.missing(program, left, now, share.bucket)
            if missing > 0:
                return min(missing, MAX_RETRY_SECONDS)
        if share.bucket.take():
            self._count(share, program, now)
            return None
        if refill <= 0:
            return MAX_RETRY_SECONDS
        missing = 1.0 - share.bucket.level
        return min(missing / refill, MAX_RETRY_SECONDS)

    def _count(self, share: share_rows.Share, program: str, now: float) -> None:
        if program:
            share.starts.admit(program, now)

    def log_refusal(self, account: model.Account, request: str) -> None:
        """Logs what a refusal of a request was decided on."""
        now = self._timers.now()
        share = self._local.of(account, now)
        eliot.log_message(
            "account.refused",
            request=request,
            account=account.name,
            rate=account.rate,
            burst=account.burst,
            fraction=round(share.fraction, 4),
            tokens=round(share.bucket.level, 2),
            demand=round(share.bucket.demand(now), 1),
            holders=self._renewals.holders,
            lease_left=round(share.until - now, 2),
            fraction_age=round(now - share.written, 2),
        )

    def _borrow(
        self,
        account: model.Account,
        owners: list[str],
        program: str,
        left: float,
        *,
        fresh: bool,
    ) -> bool:
        """Asks owners for a token; returns whether one was given."""
        share = self._local.of(account, self._timers.now())
        # A host without a share can't keep what it does not use at once.
        single = fresh or not share.fraction
        tokens = 1 if single else BORROWED_TOKENS
        body = codec.encode(Borrow(account.name, tokens, program, left, fresh))
        for host in owners:
            if not self._may_ask(share, host):
                continue
            try:
                answer = self._peers.ask(host, QUESTION, body)
            except errors.PeerUnreachable:
                continue
            given = codec.decode(Lent, answer).tokens
            if given > 0:
                share.bucket.level += given - 1
                self._count(share, program, self._timers.now())
                return True
            until = self._timers.now() + BORROW_PAUSE_SECONDS
            if not fresh:
                share.empty_until[host] = until
        return False

    def _may_ask(self, share: share_rows.Share, host: str) -> bool:
        if share.empty_until.get(host, 0.0) > self._timers.now():
            return False
        return self._peers.can_ask(host)

    def _lend(self, body: bytes) -> bytes:
        """Answers a peer that asks for tokens."""
        asked: Borrow = codec.decode(Borrow, body)
        share = self._local.find(asked.account)
        if share is None:
            return codec.encode(Lent(0))
        if asked.fresh:
            declaration = self._catalog.declaration
            account = declaration and declaration.accounts.get(asked.account)
            if (
                not account
                or self.admit(account, asked.program, asked.left, fresh=True)
                is not None
            ):
                return codec.encode(Lent(0))
            return codec.encode(Lent(1))
        share.starts.see(asked.program, self._timers.now())
        share.touch(self._timers.now())
        # A token stays for the next call here, if one is likely to come.
        demand = share.bucket.demand(self._timers.now())
        kept = 1.0 if demand > IDLE_DEMAND else 0.0
        given = max(0, min(asked.tokens, int(share.bucket.level - kept)))
        share.bucket.level -= given
        share.bucket.arrive(self._timers.now())
        if given:
            self._count(share, asked.program, self._timers.now())
        return codec.encode(Lent(given))
