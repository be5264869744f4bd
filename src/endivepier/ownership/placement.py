"""Ranks the members that could own a shard, by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Sequence

from endivepier.internal import rendezvous
from endivepier.membership import members


def ranked(
    name: str, candidates: Sequence[members.Member]
) -> list[members.Member]:
    """Returns the candidates in order of preference for `name`."""
    return sorted(
        candidates,
        key=lambda member: rendezvous.weight(name, member.address),
        reverse=True,
    )
