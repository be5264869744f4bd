"""What is asked of an account's rate, and what hosts tell each other of it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A request that needs a token of its account.

    Attributes:
        program: the program that it belongs to, or empty.
        left: seconds until that program should have ended; 0 if not told.
        may_begin: whether it may be the first turn of its program, as far as
            it tells itself.
    """

    program: str = ""
    left: float = 0.0
    may_begin: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """What became of it.

    Attributes:
        retry_after: None if it was admitted, else the seconds after which
            there is a token.
        begins: whether it begins its program, as far as the owner knows.
        delayed: whether the program begins too late to end in time.
    """

    retry_after: float | None = None
    begins: bool = False
    delayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Borrow:
    """Asks an owner of an account for tokens, for a request."""

    account: str
    tokens: int
    ask: Ask


@dataclasses.dataclass(frozen=True, slots=True)
class Lent:
    """How many tokens an owner gives; it does without them.

    Attributes:
        tokens: how many.
        begun: whether the program had begun before.
        had: seconds that the program had when it first asked, or 0.
    """

    tokens: int
    begun: bool = False
    had: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class GivenBack:
    """Returns the token of a request that was not sent anywhere.

    Attributes:
        account: whose token it is.
        program: the program that it was given to, or empty.
        began: whether the request was to begin the program.
    """

    account: str
    program: str
    began: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TakenBack:
    """The answer to that."""
