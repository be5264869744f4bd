"""Who makes a request, and whether its account may make it now."""

from __future__ import annotations

from endivepier import errors
from endivepier.configuration import keys as keys_lib
from endivepier.configuration import state as state_lib
from endivepier.entry import guard as guard_lib
from endivepier.internal import web
from endivepier.limits import limiter as limiter_lib

PROGRAM_HEADER = "X-Endivepier-Program"


class Admission:
    """Checks the key of a request and takes a token of its account."""

    def __init__(
        self,
        authenticator: keys_lib.Authenticator,
        limiter: limiter_lib.Limiter,
        guard: guard_lib.Guard,
    ) -> None:
        self._auth = authenticator
        self._limiter = limiter
        self._guard = guard

    def anybody(self) -> keys_lib.Caller:
        """Returns the caller of an open route, whoever it is.

        Raises:
            errors.Refused: `NOT_READY`, if this process must not serve.
        """
        self._auth.check_serving()
        return keys_lib.Caller("", "", state_lib.Role.CALLER)

    def admit(
        self, req: web.Request, progress: guard_lib.Progress | None = None
    ) -> keys_lib.Caller:
        """Takes a token for the request, before its body is looked at.

        Requests of every kind cost one token, so that none of them can be
        used to get around the account's rate.

        Args:
            req: the request.
            progress: what a refusal says of the request's effect; by default
                that it has none.

        Raises:
            errors.Refused: the key is wrong, or the account over its rate.
        """
        caller = self._caller(req)
        progress = progress or guard_lib.Progress()
        with self._guard.watching(req, caller, progress):
            try:
                self._limiter.admit(caller.account)
            except errors.Refused as exc:
                exc.ran = progress.ran
                raise
        return caller

    def _caller(self, req: web.Request) -> keys_lib.Caller:
        caller = self._auth.authenticate(req.headers.get("Authorization"))
        if caller.role is not state_lib.Role.CALLER:
            raise errors.Refused(
                errors.Code.FORBIDDEN,
                403,
                "this is an operator's key; use a client account's key",
            )
        self._guard.note(req, caller)
        return caller
