"""How an account's rate and burst are spread over the entry hosts."""

from __future__ import annotations

import dataclasses

from endivepier.limits import rows


@dataclasses.dataclass(frozen=True, slots=True)
class HomeBucket:
    """One holder has the whole bucket; the others ask it each time."""


@dataclasses.dataclass(frozen=True, slots=True)
class FixedSplit:
    """Equal shares of all holders, and nothing passes between them."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lending:
    """Equal shares of a few holders, which lend to whoever asks.

    Attributes:
        holders: the most holders that one account has.
    """

    holders: int = rows.HOLDERS_PER_ACCOUNT


Policy = HomeBucket | FixedSplit | Lending


def holders_per_account(policy: Policy) -> int | None:
    """Returns the most holders of one account; None for all."""
    match policy:
        case HomeBucket():
            return 1
        case FixedSplit():
            return None
        case Lending(holders=holders):
            return holders
