"""What limiters say to each other, and to witnesses."""

from __future__ import annotations

import dataclasses

from endivepier.limits import rows


@dataclasses.dataclass(frozen=True, slots=True)
class Vouch:
    """Message: asks a witness whether an epoch may still be followed.

    Attributes:
        epoch: the epoch of the shares.
        incarnation: the witness's incarnation as that epoch's row names it.
    """

    epoch: int
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Consent:
    """Message: asks a witness to let an epoch end.

    Attributes:
        epoch: the epoch that shall be followed by another.
        removed: the holders that shall lose their shares.
    """

    epoch: int
    removed: tuple[rows.Process, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The answer of a witness.

    Attributes:
        granted: whether it does what it was asked.
    """

    granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Borrow:
    """Message: asks a share-holder for a loan.

    Attributes:
        account: the client account.
        fraction: how much of the account's rate is wanted, from 0 to 1.
        tokens: how many tokens are wanted.
        seconds: how long it is needed.
    """

    account: str
    fraction: float
    tokens: float
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Lent:
    """The answer to `Borrow`.

    Attributes:
        loan: number of the loan at the lender; 0 if there is none.
        fraction: what was lent of the account's rate and burst.
        tokens: how many tokens come with it.
        seconds: how long it lasts, from the time when it was asked for.
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
        loan: number of the loan.
        seconds: how long it is needed, from now.
    """

    account: str
    loan: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Renewed:
    """The answer to `Renew`.

    Attributes:
        seconds: how long the loan lasts, from the time when it was asked;
            0 if it is not extended.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """Message: ends a loan; the borrower has given up its use already.

    Attributes:
        account: the client account.
        loan: number of the loan.
        tokens: what was left of it.
    """

    account: str
    loan: int
    tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class Returned:
    """The answer to `Return`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Take:
    """Message: asks an account's home to admit one request.

    Attributes:
        account: the client account.
    """

    account: str


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """The answer to `Take`: the request is admitted."""
