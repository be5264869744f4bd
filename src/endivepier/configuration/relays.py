"""Which process passes revisions on to which, in one data centre.

All hosts of a data centre on the platform's list stand in one order, by
rendezvous hashing. The first few read the table; each other one asks the host
at a position that follows from its own, so that the order makes a tree.
Nobody has to agree on it: processes that have read different lists only ask
other peers for a while, and since everybody asks one that stands before it,
no two wait for each other.
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
    listed: Sequence[ports.Host],
    failed: frozenset[str],
) -> str | None:
    """Returns the address to ask for revisions; None to read the table.

    Args:
        address: of the process that asks.
        data_centre: where that process is.
        listed: the platform's list.
        failed: addresses that gave no answer lately.
    """
    if len(listed) <= MAX_DIRECT_HOSTS:
        return None
    candidates = {
        host.address
        for host in listed
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
