"""The policies for order and for placement, as values.

The queue and the router `match` on them, so that a baseline runs in the very
code that it is compared with.
"""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class FirstCome:
    """Baseline: first come, first served."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoundRobin:
    """Baseline: one request of each client account in turn."""


class Charge(enum.StrEnum):
    """What an account is charged for a request that is dispatched."""

    WORTH = "worth"
    TOKENS = "tokens"


@dataclasses.dataclass(frozen=True, slots=True)
class FairShare:
    """Fair queueing over accounts, least attained service inside of one.

    Attributes:
        charge: what virtual time counts.
        ageing: tokens of attained service that one second of waiting offsets.
        urgent_seconds: a request whose deadline is nearer than this goes
            first within its account.
    """

    charge: Charge = Charge.WORTH
    ageing: float = 100.0
    urgent_seconds: float = 5.0


QueuePolicy = FirstCome | RoundRobin | FairShare


@dataclasses.dataclass(frozen=True, slots=True)
class RandomRoute:
    """Baseline: any ready target, with equal chances."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerOnly:
    """The target beside the program's owner, whatever its load."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerFirst:
    """The owner's target first, another when that is sooner by enough.

    Attributes:
        gain_seconds: another target must be sooner by at least this.
        asks: whether a target is asked for its load before a call is sent
            there instead of to the preferred one.
        moves: whether prefixes are exported and imported.
        slow_factor: a target slower than the pool's median by this factor
            is ejected.
        ejected_share: at most this share of a pool is ejected.
        probe_seconds: how often an ejected target gets one request.
        retries: how often a request that did not run is sent elsewhere.
    """

    gain_seconds: float = 1.0
    asks: bool = True
    moves: bool = True
    slow_factor: float = 3.0
    max_ejected_share: float = 0.34
    probe_seconds: float = 5.0
    retries: int = 2


RoutePolicy = RandomRoute | OwnerOnly | OwnerFirst
