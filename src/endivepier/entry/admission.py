"""Authenticates requests and applies the rate limit of their account."""

from __future__ import annotations

from endivepier import errors
from endivepier.configuration import keys as keys_lib
from endivepier.configuration import state as state_lib
from endivepier.entry import guard as guard_lib
from endivepier.internal import web
from endivepier.limits import limiter as limiter_lib

PROGRAM_HEADER = "X-Endivepier-Program"


class Admission:
    """Authenticates each request and takes a rate limit token for it."""

    def __init__(
        self,
        authenticator: keys_lib.Authenticator,
        limiter: limiter_lib.Limiter,
        guard: guard_lib.Guard,
    ) -> None:
        self._auth = authenticator
        self._limiter = limiter
        self._guard = guard

    def admit_anonymous(self) -> keys_lib.Caller:
        """Returns an anonymous caller, for a route that needs no key.

        Raises:
            errors.Refused: `NOT_READY`, if the configuration of this process
                is too old to serve callers.
        """
        self._auth.check_serving()
        return keys_lib.Caller("", "", state_lib.Role.CALLER)

    def admit(
        self, req: web.Request, progress: guard_lib.Progress | None = None
    ) -> keys_lib.Caller:
        """Authenticates a request and takes a rate limit token for it.

        This happens before the body is parsed. Every kind of request costs
        one token, so that no kind bypasses the account's rate limit.

        Args:
            req: the request.
            progress: supplies the `ran` value of a refusal after the key is
                accepted, by default "no". A refusal of the key says "no".

        Raises:
            errors.Refused: the key is not valid for this route, or the
                account exceeds its rate.
        """
        caller = self._authenticate(req)
        progress = progress or guard_lib.Progress()
        with self._guard.cancel_scope(req, caller, progress):
            try:
                self._limiter.admit(caller.account)
            except errors.Refused as exc:
                exc.ran = progress.ran
                raise
        return caller

    def _authenticate(self, req: web.Request) -> keys_lib.Caller:
        caller = self._auth.authenticate(req.headers.get("Authorization"))
        if caller.role is not state_lib.Role.CALLER:
            raise errors.Refused(
                errors.Code.FORBIDDEN,
                403,
                "this is an operator's key; use a client account's key",
            )
        self._guard.record_key(req, caller)
        return caller
