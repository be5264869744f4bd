"""Rows of the table that record the share-holders of the current epoch."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

import xxhash

HEAD_KEY = "limits/head"
EPOCH_PREFIX = "limits/epoch/"
MAX_HOLDERS_PER_ACCOUNT = 6
MAX_WITNESSES = 15


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """One incarnation of a process, from its start to its end.

    Attributes:
        address: "ip:port" where the process receives messages.
        incarnation: unique for each start of the process.
    """

    address: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The row that names the current epoch.

    Attributes:
        epoch: number of the current epoch.
        write_id: unique for each write of the row.
    """

    epoch: int
    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Predecessor:
    """An earlier epoch whose rights may still be in use.

    Attributes:
        number: number of the epoch.
        holders: the epoch's share-holders.
    """

    number: int
    holders: tuple[Process, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Epoch:
    """The share-holders and witnesses from one change to the next.

    Attributes:
        number: increases by one with each change; 0 before the first epoch.
        holders: the processes that hold shares. Rendezvous hashing selects
            an account's holders from them.
        witnesses: the processes that are asked whether the epoch may still be
            followed while the table can't be read.
        lapse_seconds: for how long after the write of this epoch the rights
            of earlier epochs may still be used.
        earlier: these earlier epochs, as far as the proposer knew them.
    """

    number: int = 0
    holders: tuple[Process, ...] = ()
    witnesses: tuple[Process, ...] = ()
    lapse_seconds: float = 0.0
    earlier: tuple[Predecessor, ...] = ()

    @property
    def vouches_needed(self) -> int:
        """Number of vouches that replace a read of the table: a majority."""
        return len(self.witnesses) // 2 + 1

    @property
    def consents_needed(self) -> int:
        """Number of consents that allow the epoch to end.

        Any such set of witnesses shares a member with any set that is large
        enough to vouch.
        """
        return len(self.witnesses) - self.vouches_needed + 1


def epoch_key(number: int) -> str:
    """Returns the key of an epoch's row in the table."""
    return f"{EPOCH_PREFIX}{number:09d}"


def holders_of(
    account: str, holders: Sequence[Process], count: int
) -> Sequence[Process]:
    """Returns the holders of an account's shares, the preferred one first.

    Args:
        account: name of the client account.
        holders: all share-holders of the epoch.
        count: the most holders that one account has.
    """
    ranked = sorted(
        holders, key=lambda holder: _weight(account, holder), reverse=True
    )
    return ranked[:count]


def _weight(account: str, holder: Process) -> int:
    name = f"{account}|{holder.address}"
    return xxhash.xxh3_64_intdigest(name.encode())
