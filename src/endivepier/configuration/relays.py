"""The tree by which revisions spread within one data centre.

All live hosts of a data centre in the platform's host list are ordered by a
hash of their addresses. The first `ROOTS` hosts read the table. Each other
host pulls from a parent, its relay, whose position in the order follows from
its own; each parent has at most `FAN_OUT` children.

The hosts need no agreement on the order. Hosts that have read different host
lists only choose other parents for a while, and since a parent always has a
lower hash than its child, two hosts never pull from each other.
"""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from endivepier.storage import ports

ROOTS = 2
FAN_OUT = 32
MAX_DIRECT_HOSTS = 32


def parent_of(
    address: str,
    data_centre: str,
    hosts: Sequence[ports.Host],
    failed: frozenset[str],
) -> str | None:
    """Returns the address to pull revisions from; None to read the table.

    In a fleet of up to `MAX_DIRECT_HOSTS` hosts, every host reads the table.

    Args:
        address: address of the process that looks for its parent.
        data_centre: data centre of that process.
        hosts: the platform's host list.
        failed: addresses that recently failed to reply.
    """
    if len(hosts) <= MAX_DIRECT_HOSTS:
        return None
    candidates = {
        host.address
        for host in hosts
        if host.data_centre == data_centre
        and host.state is ports.HostState.LIVE
        and host.address not in failed
    }
    candidates.add(address)
    order = sorted(candidates, key=_rank)
    position = order.index(address)
    if position < ROOTS:
        return None
    return order[(position - ROOTS) // FAN_OUT]


def _rank(address: str) -> int:
    return xxhash.xxh3_64_intdigest(f"configuration|{address}".encode())
