"""Messages between hosts about the tokens of targets that limit their rate."""

from __future__ import annotations

import dataclasses
import enum

from endivepier.internal import names

TAKE = "rate-take"  # name of the request to peers


class Claim(enum.StrEnum):
    """Who gets a token first; the first of these before the others.

    A program that stays at its target needs no other one to read its prompt
    again, and each program that comes to a target brings further calls.
    """

    STAYS = "stays"  # the program's prompt is cached at the target
    MOVES = "moves"  # the program is under way at another target
    BEGINS = "begins"


@dataclasses.dataclass(frozen=True, slots=True)
class Take:
    """Asks the owner of a target's tokens for one of them.

    Attributes:
        host: name of the host that asks.
        target: incarnation of the target.
        rate: the rate that the target named, as far as the host knows.
        age: seconds since the request was sent whose response named it.
        claim: who gets a token first.
        cold_seconds: how long the target is cold yet; 0 if it is not.
        cold_rate: the rate that it tolerates meanwhile.
    """

    host: names.Name
    target: names.Name
    rate: float
    age: float
    claim: Claim
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """The reply to `Take`.

    Attributes:
        is_owner: whether the sender considers itself the owner of the tokens.
        wait: seconds until the next token, or None if one was taken.
        retry_after: seconds after which a client may find a token, given how
            many calls ask for one.
        rate: the rate that the target named, as far as the sender knows; None
            if the limit has ended.
        age: seconds since the request was sent whose response said so.
    """

    is_owner: bool
    wait: float | None
    retry_after: float
    rate: float | None
    age: float
