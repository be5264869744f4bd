"""Which process should own a shard: rendezvous hashing.

Every process computes the same order from the same members, without asking
anybody. When a member goes, only its own shards move.
"""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from endivepier.membership import members


def ranked(
    name: str, candidates: Sequence[members.Member]
) -> list[members.Member]:
    """Returns the candidates for `name`, the preferred one first."""
    return sorted(
        candidates,
        key=lambda member: xxhash.xxh3_64_intdigest(
            f"{name}|{member.address}".encode()
        ),
        reverse=True,
    )
