"""API keys of callers and operators, and their authentication."""

from __future__ import annotations

import dataclasses
import hashlib
import secrets

from endivepier import errors
from endivepier.configuration import current as current_lib
from endivepier.configuration import freshness as freshness_lib
from endivepier.configuration import state as state_lib

KEY_BYTES = 32
KEY_PREFIX = "ek_"
BEARER_SCHEME = "bearer "


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """The authenticated sender of a request.

    Attributes:
        account: the client account; empty for an operator and on open routes.
        digest: digest of the key that was sent; empty on open routes.
        role: the permissions that the key grants.
    """

    account: str
    digest: str
    role: state_lib.Role


def new_key() -> str:
    """Returns a new random key. The key itself must never be stored."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest_of(key: str) -> str:
    """Returns the digest that is stored in place of a key.

    Keys are long random strings, so a plain hash is enough: a key can't be
    recovered from its digest by guessing.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(authorization: str | None) -> str:
    """Returns the key in an Authorization header; empty if it has none."""
    header = authorization or ""
    if header[: len(BEARER_SCHEME)].lower() != BEARER_SCHEME:
        return ""
    return header[len(BEARER_SCHEME) :].strip()


class Authenticator:
    """Authenticates requests by their Authorization header."""

    def __init__(
        self,
        current: current_lib.CurrentConfiguration,
        freshness: freshness_lib.Freshness,
    ) -> None:
        self._current = current
        self._freshness = freshness

    def authenticate(self, authorization: str | None) -> Caller:
        """Returns the caller that owns the key in the header.

        Raises:
            errors.Refused: `UNAUTHENTICATED`, with the same text for every
                invalid key; `NOT_READY` while this process must not serve.
        """
        self._freshness.check()
        sent_key = bearer_key(authorization)
        # The lookup compares digests, so its duration can only leak how the
        # digest of a guess relates to stored ones. That is no use for a
        # timing attack: nobody can choose a guess by its digest.
        digest = digest_of(sent_key)
        key = self._current.state.keys.get(digest)
        if key is None:
            raise _unauthenticated()
        return Caller(key.account, digest, key.role)

    def check_serving(self, ran: errors.Ran = errors.Ran.NO) -> None:
        """Raises unless this process may serve callers now.

        Args:
            ran: whether the request may have run already; the refusal
                reports it.

        Raises:
            errors.Refused: `NOT_READY`.
        """
        self._freshness.check(ran)

    def has_valid_key(self, caller: Caller) -> bool:
        """Returns whether the caller's key is in force; True on open routes."""
        if not caller.digest:
            return True
        return caller.digest in self._current.state.keys


def _unauthenticated() -> errors.Refused:
    return errors.Refused(
        errors.Code.UNAUTHENTICATED,
        401,
        "send a key that is in force as 'Authorization: Bearer <key>'",
    )
