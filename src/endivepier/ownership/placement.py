"""Which process should own a shard: rendezvous hashing over the members."""

from __future__ import annotations

from collections.abc import Sequence

from endivepier.internal import rendezvous
from endivepier.membership import members


def ranked(
    name: str, candidates: Sequence[members.Member]
) -> list[members.Member]:
    """Returns the candidates for `name`, the preferred one first."""
    return sorted(
        candidates,
        key=lambda member: rendezvous.weight(name, member.address),
        reverse=True,
    )
