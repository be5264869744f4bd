"""Rendezvous hashing: assigns names to candidates without coordination.

Every process computes the same assignment from the same candidates. When a
candidate is removed, only the names that were assigned to it move.
"""

from __future__ import annotations

from collections.abc import Iterable
import heapq

import xxhash


def weight(name: str, candidate: str) -> int:
    """Returns the weight of a candidate for a name; the highest wins."""
    return xxhash.xxh3_64_intdigest(f"{name}|{candidate}".encode())


def choose(name: str, candidates: Iterable[str]) -> str:
    """Returns the candidate that `name` is assigned to."""
    return max(candidates, key=lambda candidate: weight(name, candidate))


def rank(name: str, candidates: Iterable[str], count: int) -> list[str]:
    """Returns the `count` candidates of highest weight, the highest first."""
    return heapq.nlargest(
        count, candidates, key=lambda candidate: weight(name, candidate)
    )
