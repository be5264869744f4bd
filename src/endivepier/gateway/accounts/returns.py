"""Returns tokens of requests that were not sent to any target."""

from __future__ import annotations

import eliot
import gevent

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import model
from endivepier.gateway.accounts import messages as share_messages
from endivepier.gateway.accounts import recent_programs as recent_programs_lib
from endivepier.gateway.accounts import renewals as share_renewals
from endivepier.gateway.accounts import rows as share_rows
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.internal import codec

RETURN_TOKEN = "give-back"  # name of the request to peers


class TokenReturns:
    """Returns tokens to the home owner of the request's program."""

    def __init__(
        self,
        renewals: share_renewals.Renewals,
        recent_programs: recent_programs_lib.RecentPrograms,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
    ) -> None:
        """Registers the handler for tokens that other hosts return.

        Args:
            renewals: holds this host's shares.
            recent_programs: the programs that this host has seen begin.
            peers: the other hosts.
            timers: the timer service.
        """
        self._local = renewals.local
        self._owners = renewals.owners
        self._recent_programs = recent_programs
        self._peers = peers
        self._timers = timers
        peers.register(RETURN_TOKEN, self._handle)

    def return_token(
        self, account: model.Account, program: str, *, began: bool
    ) -> None:
        """Returns the token of a request.

        Args:
            account: the account that the token belongs to.
            program: id of the program that the request belongs to, or empty.
            began: whether the request would have begun the program.
        """
        now = self._timers.now()
        share = self._local.ensure(account, now)
        self._withdraw(share, program, began=began)
        home_owner = self._owners.home_owner(account, program)
        if home_owner != self._owners.holder:
            req = share_messages.ReturnToken(account.name, program, began)
            gevent.spawn(self._send, home_owner, codec.encode(req))
        elif share.fraction:
            # The next refill drops tokens above the burst.
            share.bucket.level += 1.0

    def _send(self, home_owner: str, body: bytes) -> None:
        try:
            self._peers.request(home_owner, RETURN_TOKEN, body)
        except errors.PeerUnreachable as exc:
            eliot.log_message("token.lost", peer=home_owner, reason=str(exc))

    def _handle(self, body: bytes) -> bytes:
        """Handles a peer's `ReturnToken`."""
        req: share_messages.ReturnToken = codec.decode(
            share_messages.ReturnToken, body
        )
        share = self._local.find(req.account)
        if share is not None:
            self._withdraw(share, req.program, began=req.began)
            if share.fraction:
                share.update_bucket(self._timers.now())
                share.bucket.level += 1.0
        return codec.encode(share_messages.TokenReturned())

    def _withdraw(
        self, share: share_rows.Share, program: str, *, began: bool
    ) -> None:
        if program:
            share.start_limiter.withdraw(program)
            if began:
                self._recent_programs.set_begun(program, begun=False)
