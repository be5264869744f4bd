"""Rate limits of client accounts, split over a few owner hosts.

A request takes one token. The owners of an account (`accounts.renewals`) hold
shares of its rate and burst, fractions that never add up to more than one.
The shares of an account are stored in one row, which is written on condition
that its version is unchanged. All other hosts borrow a token from an owner for
each request; the owner takes it off its bucket, so that no token is used
twice.

One of the owners is the home owner of a program, chosen by hashing, so that
the program's history is known at one place. A request that reaches the home
owner takes a token there, else from another owner. At another host it is
borrowed from the home owner, else from another owner, else taken from the
host's own bucket. If there is none, the request waits briefly for the next
token, unless it begins a program.

A share of a small account holds too few tokens for a program. Its first owner
is therefore the home owner of all its programs. It alone decides when programs
begin, counting the tokens of the other owners, which only lend them.

A share is a lease: a host that can't renew it stops using it before any other
host counts it as free. The other hosts time the lease by their own clocks,
from when they first read the last renewal. A restarted host uses the share of
its former process, which has ended.
"""

from __future__ import annotations

import dataclasses

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import model
from endivepier.gateway.accounts import messages as share_messages
from endivepier.gateway.accounts import recent_programs
from endivepier.gateway.accounts import renewals as share_renewals
from endivepier.gateway.accounts import returns as share_returns
from endivepier.gateway.accounts import rows as share_rows
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.targets import catalog as catalog_lib
from endivepier.internal import codec
from endivepier.limits import bucket as bucket_lib

# Longer values would have no effect: clients wait at most a third of their
# timeout of 4 s before they retry.
MAX_RETRY_SECONDS = 2.0
BORROW = "borrow"  # name of the request to peers
# A request waits for a token that is due within this time: a refused client
# would lose more by its retry.
MAX_WAIT_SECONDS = 0.25
MIN_WAIT_SECONDS = 0.005  # a wait rounded down to 0 would retry in a busy loop
TOKENS_PER_BORROW = 3  # a program's turn and its two tool calls
# Retry time at a host without a share of its own if no owner lent a token.
NO_SHARE_RETRY_SECONDS = 0.1
# How long a request waits for an owner that holds a share. After a restart of
# all hosts, some serve up to a second before others, and clients retry once.
NO_SHARE_WAIT_SECONDS = 0.8
NO_SHARE_CLIENT_RETRY_SECONDS = 0.5
ALL_STARTED_SECONDS = 5.0  # after a start, other hosts have started as well
# For this long after another host with a share replied, the account counts as
# one with an owner: a host that has just lent nothing is not asked again.
OWNER_SEEN_SECONDS = 0.5
IDLE_REQUESTS_PER_SECOND = 0.5  # below it a host lends all of its tokens
BORROW_PAUSE_SECONDS = 0.1  # before a peer that lent nothing is asked again


class Shares:
    """Applies the rate limits of all accounts at this host.

    Attributes:
        renewals: holds and renews this host's shares.
        returns: returns tokens of requests that were not sent to any target.
    """

    def __init__(
        self,
        renewals: share_renewals.Renewals,
        catalog: catalog_lib.Catalog,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
    ) -> None:
        """Initializes the limits and registers the handlers for peers.

        Args:
            renewals: holds and renews this host's shares.
            catalog: declares the accounts.
            peers: the other hosts.
            timers: the timer service.
        """
        self.renewals = renewals
        self._local = renewals.local
        self._owners = renewals.owners
        self._catalog = catalog
        self._peers = peers
        self._timers = timers
        self._recent_programs = recent_programs.RecentPrograms(timers)
        self.returns = share_returns.TokenReturns(
            renewals, self._recent_programs, peers, timers
        )
        peers.register(BORROW, self._handle_borrow)

    def acquire(
        self, account: model.Account, req: share_messages.TokenRequest
    ) -> share_messages.Admission:
        """Takes a token of the account, here or from another owner.

        Waits for the next token if it is due soon. A request that begins a
        program does not wait: the next tokens are for running programs. Every
        request waits for an owner that is expected to start.
        """
        started_at = self._timers.now()
        is_retry = False
        while True:
            admission = self._try_acquire(account, req, is_retry=is_retry)
            retry_after = admission.retry_after
            if retry_after is None:
                return admission
            no_share = admission.no_share and self._awaits_owner(account)
            if admission.begins and not no_share:
                return admission
            wait = NO_SHARE_WAIT_SECONDS if no_share else MAX_WAIT_SECONDS
            if self._timers.now() + retry_after > started_at + wait:
                if not no_share:
                    return admission
                return dataclasses.replace(
                    admission, retry_after=NO_SHARE_CLIENT_RETRY_SECONDS
                )
            self._timers.sleep(max(retry_after, MIN_WAIT_SECONDS))
            is_retry = True

    def _awaits_owner(self, account: model.Account) -> bool:
        """Returns whether an owner with a share is expected to start soon.

        That is so after a restart of all hosts, until the first owner replies.
        A host that is cut off from the others refuses at once instead.
        """
        now = self._timers.now()
        if now - self.renewals.started_at > ALL_STARTED_SECONDS:
            return False
        share = self._local.ensure(account, now)
        return now - share.owner_seen_at >= OWNER_SEEN_SECONDS

    def _try_acquire(
        self,
        account: model.Account,
        req: share_messages.TokenRequest,
        *,
        is_retry: bool,
    ) -> share_messages.Admission:
        """Tries once to take a token, here and from other owners."""
        owners = self._owners.owners(account)
        home_owner = self._owners.home_owner(account, req.program)
        # An account with a rate of 0 has no limit and needs no token.
        if account.rate <= 0 or home_owner == self.renewals.holder:
            owners.remove(home_owner)
            admission = self.admit(account, req, is_retry=is_retry)
            if admission.retry_after is None:
                return admission
            if self._owners.has_single_home(account):
                return self._borrow_at_home(account, owners, req, admission)
            borrowed = self._borrow(account, owners, req)
            if borrowed is None or borrowed.retry_after is not None:
                return admission
            return borrowed
        if (
            req.may_begin
            and self._owners.has_single_home(account)
            and self._peers.is_available(home_owner)
        ):
            owners = [home_owner]
        owners.sort(key=lambda host: host != home_owner)
        borrowed = self._borrow(account, owners, req)
        if borrowed is not None and borrowed.retry_after is None:
            return borrowed
        admission = self.admit(account, req, is_retry=is_retry)
        if admission.retry_after is None:
            return admission
        return borrowed or admission  # the owner knows when it may begin

    def _borrow_at_home(
        self,
        account: model.Account,
        owners: list[str],
        req: share_messages.TokenRequest,
        admission: share_messages.Admission,
    ) -> share_messages.Admission:
        """Takes a token of another owner, for the only home owner.

        Args:
            account: the account.
            owners: the other owners.
            req: the request.
            admission: the decision with this host's own tokens.
        """
        if admission.begins and not admission.has_room:
            return admission
        # Whether a program may begin is decided here, so it is not asked again.
        ask = dataclasses.replace(req, may_begin=False)
        borrowed = self._borrow(account, owners, ask)
        if borrowed is None or borrowed.retry_after is not None:
            return admission
        return dataclasses.replace(admission, retry_after=None, has_room=True)

    def admit(
        self,
        account: model.Account,
        req: share_messages.TokenRequest,
        *,
        is_retry: bool = False,
    ) -> share_messages.Admission:
        """Takes a token from this host's own bucket.

        Args:
            account: the account that the request belongs to.
            req: the request that needs the token.
            is_retry: whether the request is already counted as demand.
        """
        now = self._timers.now()
        share = self._local.ensure(account, now)
        begins, delayed = self._classify(req)
        if account.rate <= 0:
            self._record_admission(share, req.program, now)
            return share_messages.Admission(None, begins, delayed)
        share.update_bucket(now)
        if not is_retry:
            share.bucket.record_request(now)
        if not share.fraction or not self.renewals.is_usable(share):
            return share_messages.Admission(
                NO_SHARE_RETRY_SECONDS, begins, delayed, no_share=True
            )
        share.start_limiter.record_request(req.program, now)
        elsewhere = self._tokens_elsewhere(account, share, now)
        retry_after = 0.0
        if begins:
            retry_after = share.start_limiter.seconds_until_start(
                now, share.bucket, elsewhere=elsewhere, delayed=delayed
            )
        has_room = not retry_after
        if has_room and share.bucket.take_token():
            self._record_admission(share, req.program, now)
            return share_messages.Admission(None, begins, delayed, has_room)
        if has_room:
            refill = share.fraction * account.rate
            if elsewhere is not None:
                refill = account.rate
                elsewhere.level = max(elsewhere.level - 1.0, 0.0)
            retry_after = (1.0 - share.bucket.level) / max(refill, 1e-3)
        retry_after = min(retry_after, MAX_RETRY_SECONDS)
        return share_messages.Admission(retry_after, begins, delayed, has_room)

    def _tokens_elsewhere(
        self, account: model.Account, share: share_rows.Share, now: float
    ) -> bucket_lib.Bucket | None:
        """Returns what the other owners hold for this host's programs."""
        if not self._owners.is_single_home(account):
            return None
        others = self._owners.owners(account)[1:]
        if not all(self._peers.is_available(host) for host in others):
            return None
        return share.update_elsewhere(now)

    def _classify(self, req: share_messages.TokenRequest) -> tuple[bool, bool]:
        """Records a program's time left and classifies its request.

        Returns:
            Whether the request begins its program, and whether the program
            is then likely to end late.
        """
        if not req.may_begin:
            return False, False
        self._recent_programs.record_time_left(req.program, req.left)
        if self._recent_programs.get(req.program).begun:
            return False, False
        return True, self._recent_programs.is_delayed(req.program, req.left)

    def _record_admission(
        self, share: share_rows.Share, program: str, now: float
    ) -> None:
        if program:
            share.start_limiter.record_admission(program, now)
            self._recent_programs.set_begun(program, begun=True)

    def _borrow(
        self,
        account: model.Account,
        owners: list[str],
        req: share_messages.TokenRequest,
    ) -> share_messages.Admission | None:
        """Borrows a token from the owners, in order.

        Returns:
            The admission; a refusal if an owner said when a program may begin;
            None if no owner lent a token or said so.
        """
        refusal: share_messages.Admission | None = None
        share = self._local.ensure(account, self._timers.now())
        # An owner lends a program that begins one token at most, and the
        # bucket of a host without a share can't keep spare tokens.
        wants_one = req.may_begin or not share.fraction
        tokens = 1 if wants_one else TOKENS_PER_BORROW
        body = codec.encode(share_messages.Borrow(account.name, tokens, req))
        for host in owners:
            if not self._may_borrow_from(share, host):
                continue
            try:
                reply = self._peers.request(host, BORROW, body)
            except errors.PeerUnreachable:
                continue
            lent: share_messages.Lent = codec.decode(share_messages.Lent, reply)
            if lent.has_share:
                share.owner_seen_at = self._timers.now()
            self._recent_programs.record_time_left(req.program, lent.had)
            if lent.begun:
                self._recent_programs.set_begun(req.program, begun=True)
            begins, delayed = self._classify(req)
            if lent.tokens > 0:
                share.bucket.level += lent.tokens - 1
                self._record_admission(share, req.program, self._timers.now())
                return share_messages.Admission(None, begins, delayed)
            # A start may be refused although the owner still has tokens.
            if begins and lent.has_share and lent.retry_after:
                refusal = refusal or share_messages.Admission(
                    lent.retry_after, begins, delayed, has_room=False
                )
            if not begins:
                until = self._timers.now() + BORROW_PAUSE_SECONDS
                share.no_tokens_until[host] = until
        return refusal

    def _may_borrow_from(self, share: share_rows.Share, host: str) -> bool:
        if share.no_tokens_until.get(host, 0.0) > self._timers.now():
            return False
        return self._peers.is_available(host)

    def _handle_borrow(self, body: bytes) -> bytes:
        """Handles a peer's `Borrow`.

        A request that begins a program is admitted or refused as if it had
        arrived here. For any other, lends as many tokens as are wanted and
        available.
        """
        borrow: share_messages.Borrow = codec.decode(
            share_messages.Borrow, body
        )
        share = self._local.find(borrow.account)
        declaration = self._catalog.declaration
        account = None
        if declaration is not None:
            account = declaration.accounts.get(borrow.account)
        if share is None or account is None:
            return codec.encode(share_messages.Lent(0, has_share=False))
        req = borrow.ask
        begins, _ = self._classify(req)
        info = self._recent_programs.get(req.program)
        if begins:
            admission = self.admit(account, req)
            if admission.retry_after is not None and admission.has_room:
                others = self._owners.owners(account)[1:]
                if self._owners.is_single_home(account):
                    admission = self._borrow_at_home(
                        account, others, req, admission
                    )
            granted = admission.retry_after is None
            return codec.encode(
                share_messages.Lent(
                    int(granted),
                    begun=False,
                    had=info.initial_seconds,
                    retry_after=admission.retry_after or 0.0,
                    has_share=not admission.no_share,
                )
            )
        now = self._timers.now()
        share.start_limiter.record_request(req.program, now)
        share.update_bucket(now)
        # Unless this host is idle, one token stays for its own next request.
        demand = share.bucket.demand(now)
        kept = 1.0 if demand > IDLE_REQUESTS_PER_SECOND else 0.0
        if self._owners.has_single_home(account):
            kept = 0.0
        is_usable = bool(share.fraction) and self.renewals.is_usable(share)
        spare = int(share.bucket.level - kept) if is_usable else 0
        tokens = max(0, min(borrow.tokens, spare))
        if not tokens:
            elsewhere = self._tokens_elsewhere(account, share, now)
            if elsewhere is not None:  # the sender asks there next
                elsewhere.level = max(elsewhere.level - 1.0, 0.0)
        share.bucket.level -= tokens
        share.bucket.record_request(now)
        begun = info.begun
        if tokens:
            self._record_admission(share, req.program, now)
        return codec.encode(
            share_messages.Lent(
                tokens,
                begun=begun,
                had=info.initial_seconds,
                has_share=is_usable,
            )
        )
