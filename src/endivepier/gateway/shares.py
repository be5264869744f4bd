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

import eliot
import gevent

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import catalog as catalog_lib
from endivepier.gateway import first_seen
from endivepier.gateway import model
from endivepier.gateway import peers as peers_lib
from endivepier.gateway import share_messages
from endivepier.gateway import share_renewals
from endivepier.gateway import share_rows
from endivepier.internal import codec
from endivepier.internal import rendezvous

MAX_RETRY_SECONDS = 2.0  # clients wait a third of their 4 s at most
QUESTION = "borrow"
GIVE_BACK = "give-back"
# A token that comes so soon is waited for: less than a client would lose by
# coming back.
WAIT_SECONDS = 0.25
MIN_WAIT_SECONDS = 0.005  # rounding must not make a wait of nothing
BORROWED_TOKENS = 3  # a program's turn and its two calls
BORROW_RETRY_SECONDS = 0.1  # between two questions to the owner
IDLE_DEMAND = 0.5  # requests a second below which a host lends all it has
BORROW_PAUSE_SECONDS = 0.1  # a peer that had nothing to give is not asked


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
        self._first_seen = first_seen.FirstSeen()
        peers.register(QUESTION, self._lend)
        peers.register(GIVE_BACK, self._take_back)

    def wait(
        self, account: model.Account, ask: share_messages.Ask
    ) -> share_messages.Admission:
        """Takes a token of the account, from owners or after a short wait.

        A request that begins a program does not wait: what can be had is for
        the programs under way.
        """
        end = self._timers.now() + WAIT_SECONDS
        again = False
        while True:
            found = self._try(account, ask, again=again)
            missing = found.retry_after
            if missing is None or found.begins:
                return found
            if self._timers.now() + missing > end:
                return found
            self._timers.sleep(max(missing, MIN_WAIT_SECONDS))
            again = True

    def _try(
        self, account: model.Account, ask: share_messages.Ask, *, again: bool
    ) -> share_messages.Admission:
        """Takes a token here or from an owner."""
        owners = self._renewals.owners(account)
        home = self._home(owners, ask.program)
        if account.rate <= 0 or home == self._renewals.holder:
            owners.remove(home)
            found = self.admit(account, ask, again=again)
            if found.retry_after is None:
                return found
            return self._borrow(account, owners, ask) or found
        owners.sort(key=lambda host: host != home)
        lent = self._borrow(account, owners, ask)
        return lent or self.admit(account, ask, again=again)

    def _home(self, owners: list[str], program: str) -> str:
        """Returns the owner that decides about a program."""
        return rendezvous.choose(program or self._renewals.holder, owners)

    def admit(
        self,
        account: model.Account,
        ask: share_messages.Ask,
        *,
        again: bool = False,
    ) -> share_messages.Admission:
        """Takes a token of what this host holds.

        Args:
            account: who asks.
            ask: for what.
            again: whether the request has been counted as demand before.
        """
        now = self._timers.now()
        share = self._local.of(account, now)
        begins, delayed = self._look_up(ask)
        if account.rate <= 0:
            self._count(share, ask.program, now)
            return share_messages.Admission(None, begins, delayed)
        share.touch(now)
        if not again:
            share.bucket.record_request(now)
        if not share.fraction:
            return share_messages.Admission(
                BORROW_RETRY_SECONDS, begins, delayed
            )
        share.starts.see(ask.program, now)
        missing = 0.0
        if begins:
            missing = share.starts.missing(now, share.bucket, delayed=delayed)
        if not missing and share.bucket.take_token():
            self._count(share, ask.program, now)
            return share_messages.Admission(None, begins, delayed)
        if not missing:
            refill = share.fraction * account.rate
            missing = (1.0 - share.bucket.level) / max(refill, 1e-3)
        missing = min(missing, MAX_RETRY_SECONDS)
        return share_messages.Admission(missing, begins, delayed)

    def _look_up(self, ask: share_messages.Ask) -> tuple[bool, bool]:
        """Returns whether a request begins its program, and if too late."""
        if not ask.may_begin:
            return False, False
        self._first_seen.note(ask.program, ask.left)
        if self._first_seen.get(ask.program).begun:
            return False, False
        return True, self._first_seen.is_delayed(ask.program, ask.left)

    def _count(self, share: share_rows.Share, program: str, now: float) -> None:
        if program:
            share.starts.admit(program, now)
            self._first_seen.mark(program, begun=True)

    def log_refusal(
        self,
        account: model.Account,
        request: str,
        admission: share_messages.Admission,
    ) -> None:
        """Logs what a refusal of a request was decided on."""
        now = self._timers.now()
        share = self._local.of(account, now)
        eliot.log_message(
            "account.refused",
            request=request,
            account=account.name,
            begins=admission.begins,
            delayed=admission.delayed,
            owners=self._renewals.owners(account),
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
        ask: share_messages.Ask,
    ) -> share_messages.Admission | None:
        """Asks owners for a token; returns None if none was given."""
        share = self._local.of(account, self._timers.now())
        # A host without a share can't keep what it does not use at once.
        single = ask.may_begin or not share.fraction
        tokens = 1 if single else BORROWED_TOKENS
        body = codec.encode(share_messages.Borrow(account.name, tokens, ask))
        for host in owners:
            if not self._may_ask(share, host):
                continue
            try:
                answer = self._peers.ask(host, QUESTION, body)
            except errors.PeerUnreachable:
                continue
            lent: share_messages.Lent = codec.decode(
                share_messages.Lent, answer
            )
            self._first_seen.note(ask.program, lent.had)
            if lent.begun:
                self._first_seen.mark(ask.program, begun=True)
            begins, delayed = self._look_up(ask)
            if lent.tokens > 0:
                share.bucket.level += lent.tokens - 1
                self._count(share, ask.program, self._timers.now())
                return share_messages.Admission(None, begins, delayed)
            if not begins:
                until = self._timers.now() + BORROW_PAUSE_SECONDS
                share.empty_until[host] = until
        return None

    def give_back(
        self, account: model.Account, program: str, *, began: bool
    ) -> None:
        """Returns the token of a request that was not sent anywhere."""
        now = self._timers.now()
        share = self._local.of(account, now)
        self._withdraw(share, program, began=began)
        home = self._home(self._renewals.owners(account), program)
        if home != self._renewals.holder:
            given = share_messages.GivenBack(account.name, program, began)
            gevent.spawn(self._send_back, home, codec.encode(given))
        elif share.fraction:
            # What is above the burst is dropped with the next refill.
            share.bucket.level += 1.0

    def _send_back(self, home: str, body: bytes) -> None:
        try:
            self._peers.ask(home, GIVE_BACK, body)
        except errors.PeerUnreachable as exc:
            eliot.log_message("token.lost", peer=home, reason=str(exc))

    def _take_back(self, body: bytes) -> bytes:
        """Answers a peer that returns a token."""
        given: share_messages.GivenBack = codec.decode(
            share_messages.GivenBack, body
        )
        share = self._local.find(given.account)
        if share is not None:
            self._withdraw(share, given.program, began=given.began)
            if share.fraction:
                share.touch(self._timers.now())
                share.bucket.level += 1.0
        return codec.encode(share_messages.TakenBack())

    def _withdraw(
        self, share: share_rows.Share, program: str, *, began: bool
    ) -> None:
        if program:
            share.starts.withdraw(program)
            if began:
                self._first_seen.mark(program, begun=False)

    def _may_ask(self, share: share_rows.Share, host: str) -> bool:
        if share.empty_until.get(host, 0.0) > self._timers.now():
            return False
        return self._peers.can_ask(host)

    def _lend(self, body: bytes) -> bytes:
        """Answers a peer that asks for tokens."""
        asked: share_messages.Borrow = codec.decode(share_messages.Borrow, body)
        share = self._local.find(asked.account)
        declaration = self._catalog.declaration
        account = None
        if declaration is not None:
            account = declaration.accounts.get(asked.account)
        if share is None or account is None:
            return codec.encode(share_messages.Lent(0))
        ask = asked.ask
        begins, _ = self._look_up(ask)
        known = self._first_seen.get(ask.program)
        if begins:
            granted = self.admit(account, ask).retry_after is None
            return codec.encode(
                share_messages.Lent(int(granted), begun=False, had=known.had)
            )
        now = self._timers.now()
        share.starts.see(ask.program, now)
        share.touch(now)
        # A token stays for the next call here, if one is likely to come.
        demand = share.bucket.demand(now)
        kept = 1.0 if demand > IDLE_DEMAND else 0.0
        given = max(0, min(asked.tokens, int(share.bucket.level - kept)))
        share.bucket.level -= given
        share.bucket.record_request(now)
        begun = known.begun
        if given:
            self._count(share, ask.program, now)
        return codec.encode(
            share_messages.Lent(given, begun=begun, had=known.had)
        )
