"""The policies of the queue and of the router, as values.

The queue and the router `match` on these values, so that benchmarks can compare
policies that run in the same code.
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
    """What an account is charged for a request that is dispatched.

    Attributes:
        WORTH: the weight of the request's kind, so that accounts of equal
            weight get the same total weight of requests served.
        TOKENS: the expected tokens, divided by the weight of the kind.
    """

    WORTH = "worth"
    TOKENS = "tokens"


@dataclasses.dataclass(frozen=True, slots=True)
class FairShare:
    """Fair queueing between accounts, least attained service within one.

    Attributes:
        charge: the charge that advances an account's virtual time.
        ageing_tokens_per_second: tokens of attained service that one second of
            waiting offsets.
        urgent_seconds: a request with less time until its deadline goes first
            within its account.
    """

    charge: Charge = Charge.WORTH
    ageing_tokens_per_second: float = 100.0
    urgent_seconds: float = 5.0


QueuePolicy = FirstCome | RoundRobin | FairShare


@dataclasses.dataclass(frozen=True, slots=True)
class RandomRoute:
    """Baseline: a ready target chosen uniformly at random."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerOnly:
    """Always the target beside the program's owner, whatever its load."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerFirst:
    """The target with the program's prefix, unless another is much faster.

    Before a program's first call, its owner's target is preferred.

    Attributes:
        min_gain_seconds: a call goes to another target only if it is expected
            to end sooner there by more than this.
        checks_load: whether the router requests a target's current load before
            it sends a call there instead of to the preferred target.
        moves_prefixes: whether prefixes are exported and imported.
        slow_factor: a target slower than the pool's median by this factor
            is ejected.
        max_ejected_share: at most this fraction of a pool is ejected.
        probe_seconds: the shortest time between probes of a slow target.
        max_retries: how often a call that failed before its first token is
            sent to another target.
    """

    min_gain_seconds: float = 1.0
    checks_load: bool = True
    moves_prefixes: bool = True
    slow_factor: float = 3.0
    max_ejected_share: float = 0.34
    probe_seconds: float = 5.0
    max_retries: int = 2


RoutePolicy = RandomRoute | OwnerOnly | OwnerFirst
