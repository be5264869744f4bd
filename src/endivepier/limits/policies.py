"""Policies that divide an account's rate and burst among the entry hosts."""

from __future__ import annotations

import dataclasses

from endivepier.limits import rows


@dataclasses.dataclass(frozen=True, slots=True)
class HomeBucket:
    """One holder, the account's home, has the whole bucket.

    Other processes request a token from it for each of their requests.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class FixedSplit:
    """All holders have equal shares and don't lend to each other."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lending:
    """Some holders have equal shares of an account and lend to any process.

    Attributes:
        holders: the most holders of one account.
    """

    holders: int = rows.MAX_HOLDERS_PER_ACCOUNT


Policy = HomeBucket | FixedSplit | Lending


def holders_per_account(policy: Policy) -> int | None:
    """Returns the most holders of one account; None for no limit."""
    match policy:
        case HomeBucket():
            return 1
        case FixedSplit():
            return None
        case Lending(holders=holders):
            return holders
