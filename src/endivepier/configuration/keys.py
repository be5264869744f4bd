"""Keys of callers and operators: made, digested, looked up."""

from __future__ import annotations

import dataclasses
import hashlib
import secrets

from endivepier import errors
from endivepier.configuration import current as current_lib
from endivepier.configuration import freshness as freshness_lib
from endivepier.configuration import state as state_lib

KEY_BYTES = 32
PREFIX = "ek_"
SCHEME = "bearer "


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Who makes a request.

    Attributes:
        account: the client account; empty for an operator or nobody.
        digest: digest of the key that was given; empty on open routes.
        role: what the key allows.
    """

    account: str
    digest: str
    role: state_lib.Role


def new_key() -> str:
    """Returns a new key; it is shown once and never stored."""
    return PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest_of(key: str) -> str:
    """Returns the digest under which a key is stored.

    Keys are long random strings, so a plain hash can't be reversed.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(authorization: str | None) -> str:
    """Returns the key that a header carries; empty if it carries none."""
    given = authorization or ""
    if given[: len(SCHEME)].lower() != SCHEME:
        return ""
    return given[len(SCHEME) :].strip()


class Authenticator:
    """Tells from the header of a request who makes it."""

    def __init__(
        self,
        current: current_lib.CurrentConfiguration,
        freshness: freshness_lib.Freshness,
    ) -> None:
        self._current = current
        self._freshness = freshness

    def authenticate(self, authorization: str | None) -> Caller:
        """Returns who the header speaks for.

        Raises:
            errors.Refused: `UNAUTHENTICATED`, for all wrong keys alike;
                `NOT_READY` while this process must not serve.
        """
        self._freshness.check()
        given = bearer_key(authorization)
        # The look-up is by digest: how long it takes tells at most something
        # about the digest of a guess, and nobody can choose a guess whose
        # digest comes closer to a stored one.
        digest = digest_of(given)
        key = self._current.state.keys.get(digest)
        if key is None:
            raise _unauthenticated()
        return Caller(key.account, digest, key.role)

    def check_serving(self, ran: errors.Ran = errors.Ran.NO) -> None:
        """Refuses a request while this process must not serve.

        Raises:
            errors.Refused: `NOT_READY`.
        """
        self._freshness.check(ran)

    def has_valid_key(self, caller: Caller) -> bool:
        """Returns whether the caller's key is still in force."""
        if not caller.digest:
            return True
        return caller.digest in self._current.state.keys


def _unauthenticated() -> errors.Refused:
    return errors.Refused(
        errors.Code.UNAUTHENTICATED,
        401,
        "send a key that is in force as 'Authorization: Bearer <key>'",
    )
