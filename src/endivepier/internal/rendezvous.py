"""Rendezvous hashing: who looks after a name, without asking anybody.

Every process computes the same order from the same candidates. When one of
them goes, only what it looked after moves.
"""

from __future__ import annotations

from collections.abc import Iterable
import heapq

import xxhash


def weight(name: str, candidate: str) -> int:
    """Returns the weight of a candidate for a name; the heaviest wins."""
    return xxhash.xxh3_64_intdigest(f"{name}|{candidate}".encode())


def choose(name: str, candidates: Iterable[str]) -> str:
    """Returns the candidate that looks after `name`."""
    return max(candidates, key=lambda candidate: weight(name, candidate))


def rank(name: str, candidates: Iterable[str], count: int) -> list[str]:
    """Returns the `count` candidates for `name`, the heaviest first."""
    return heapq.nlargest(
        count, candidates, key=lambda each: weight(name, each)
    )
