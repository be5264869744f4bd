"""Requests for tokens of an account, and the messages between hosts.

A token admits one request of a client. The reply to `Borrow` is `Lent`, that
to `ReturnToken` is `TokenReturned`; `shares` sends and handles them.
"""

from __future__ import annotations

import dataclasses

from endivepier.internal import names


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """A client's request that needs a token of its account.

    Attributes:
        program: id of the program that it belongs to, or empty.
        left: seconds until the program should have ended; 0 if unknown.
        may_begin: whether it may be the first turn of its program, judged by
            the request alone.
    """

    program: names.Name = ""
    left: float = 0.0
    may_begin: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The decision on a `TokenRequest`.

    Attributes:
        retry_after: None if the request was admitted, else the seconds until
            a token is expected.
        begins: whether the request is the first of its program, as far as
            this host and the owner that it asked for a token know.
        delayed: whether the program begins so late that it is likely to end
            late.
        has_room: whether the running programs leave enough tokens for it, if
            it begins a program.
        no_share: whether neither this host nor one that it asked holds a share
            of the account, as after a restart of its owners.
    """

    retry_after: float | None = None
    begins: bool = False
    delayed: bool = False
    has_room: bool = True
    no_share: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Borrow:
    """Asks an owner of an account for tokens.

    Attributes:
        account: name of the account.
        tokens: the most tokens that the sender wants.
        ask: the client's request that needs the first of them.
    """

    account: names.Name
    tokens: int
    ask: TokenRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Lent:
    """The reply to `Borrow`: tokens that the owner has taken off its bucket.

    Attributes:
        tokens: number of tokens, possibly 0.
        begun: whether the program had begun before this request.
        had: seconds that the program had left at its first request; 0 if
            unknown.
        retry_after: seconds until the program may begin, if it may not now; 0
            if unknown.
        has_share: whether the sender holds a share of the account.
    """

    tokens: int
    begun: bool = False
    had: float = 0.0
    retry_after: float = 0.0
    has_share: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnToken:
    """Returns the token of a request that was not sent to any target.

    Attributes:
        account: name of the account that the token belongs to.
        program: id of the program that the request belongs to, or empty.
        began: whether the request would have begun the program.
    """

    account: names.Name
    program: names.Name
    began: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TokenReturned:
    """The reply to `ReturnToken`."""
