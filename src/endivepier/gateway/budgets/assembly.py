"""Connects the parts that decide which programs begin without the store."""

from __future__ import annotations

from collections.abc import Callable

from endivepier import timers as timers_lib
from endivepier.gateway.budgets import doubts
from endivepier.gateway.budgets import notices
from endivepier.gateway.budgets import openers
from endivepier.gateway.budgets import recorded_programs
from endivepier.gateway.budgets import witness as witness_lib
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.storage import ports


def create_openers(
    host: str,
    peers: peers_lib.Peers,
    table: ports.Table,
    timers: timers_lib.Timers,
    retention: Callable[[], float],
) -> openers.Openers:
    """Returns the openers of a host, with all that they depend on.

    Args:
        host: name of the host.
        peers: the other hosts.
        table: stores the rows of budgets.
        timers: the timer service.
        retention: returns for how long a program may come back, in seconds.
    """
    witness = witness_lib.Witness(host, peers, timers, retention)
    return openers.Openers(
        host,
        peers,
        timers,
        retention,
        recorded_programs.RecordedPrograms(table, timers),
        notices.Notices(host, peers, timers, witness),
        doubts.Doubts(host, peers, timers, witness),
    )
