"""Which process passes revisions on to which, in one data centre.

All processes of a data centre stand in one order, by rendezvous hashing. The
first few read the table; each other one asks the process at a position that
follows from its own, so that the order makes a tree. Nobody has to agree on
it: two processes whose views differ only ask different peers for a while.
"""

from __future__ import annotations

from collections.abc import Sequence

from endivepier.membership import members
from endivepier.ownership import placement

ROOTS = 2
FAN_OUT = 32
DIRECT_FLEET = 32
ORDER_NAME = "configuration-relays"


def parent_of(
    me: members.Member, everybody: Sequence[members.Member]
) -> str | None:
    """Returns the address to ask for revisions; None to read the table.

    Args:
        me: the process that asks.
        everybody: all members that answer.
    """
    if len(everybody) <= DIRECT_FLEET:
        return None
    candidates = [
        member
        for member in everybody
        if member.address == me.address
        or (
            member.data_centre == me.data_centre
            and member.state is members.MemberState.READY
        )
    ]
    name = f"{ORDER_NAME}/{me.data_centre}"
    order = [member.address for member in placement.ranked(name, candidates)]
    position = order.index(me.address)
    if position < ROOTS:
        return None
    return order[(position - ROOTS) // FAN_OUT]
