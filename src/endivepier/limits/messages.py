"""Messages among limiters, and between limiters and witnesses."""

from __future__ import annotations

import dataclasses

from endivepier.limits import rows


@dataclasses.dataclass(frozen=True, slots=True)
class Vouch:
    """Message: asks a witness whether an epoch may still be followed.

    Attributes:
        epoch: number of the epoch.
        incarnation: the witness's incarnation, as in the epoch's row.
    """

    epoch: int
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Consent:
    """Message: asks a witness to let an epoch end.

    Attributes:
        epoch: number of the epoch that is to end.
        removed: the holders that would lose their shares.
    """

    epoch: int
    removed: tuple[rows.Process, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Reply to `Vouch` or `Consent`.

    Attributes:
        granted: whether the witness vouches or consents.
    """

    granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Borrow:
    """Message: asks a share-holder for a loan.

    Attributes:
        account: the client account.
        fraction: the requested fraction of the account's rate, from 0 to 1.
        tokens: the requested number of tokens.
        seconds: the requested duration of the loan.
    """

    account: str
    fraction: float
    tokens: float
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Lent:
    """Reply to `Borrow`.

    Attributes:
        loan: number of the loan at the lender; 0 if none is granted.
        fraction: the fraction of the account's rate and burst that is lent.
        tokens: the number of tokens that are lent.
        seconds: the loan's duration, from when the request was sent.
    """

    loan: int
    fraction: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Message: asks the lender to extend a loan.

    Attributes:
        account: the client account.
        loan: number of the loan at the lender.
        seconds: the requested duration, from when the request is sent.
    """

    account: str
    loan: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Renewed:
    """Reply to `Renew`.

    Attributes:
        seconds: the loan's duration, from when the request was sent; 0 if the
            loan is not extended.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """Message: ends a loan that the borrower has stopped using.

    Attributes:
        account: the client account.
        loan: number of the loan at the lender.
        tokens: the loan's tokens that were not used.
    """

    account: str
    loan: int
    tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class Returned:
    """Reply to `Return`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Take:
    """Message: asks the holder of an account's whole bucket for a token.

    Used with `policies.HomeBucket`.

    Attributes:
        account: the client account.
    """

    account: str


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """Reply to `Take`: the request is admitted."""
