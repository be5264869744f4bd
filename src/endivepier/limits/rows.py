"""Who holds shares: what is agreed in the table, one epoch after another."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

import xxhash

HEAD_KEY = "limits/head"
EPOCH_PREFIX = "limits/epoch/"
HOLDERS_PER_ACCOUNT = 6
MAX_WITNESSES = 15


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """One life of a process.

    Attributes:
        address: "ip:port" where it takes messages.
        incarnation: unique for each start of the process.
    """

    address: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The table's row that names the epoch in force.

    Attributes:
        epoch: its number.
        write_id: unique for the write that made it.
    """

    epoch: int
    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Predecessor:
    """An earlier epoch whose rights may still be in use.

    Attributes:
        number: its number.
        holders: its share-holders.
    """

    number: int
    holders: tuple[Process, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Epoch:
    """The share-holders from one change to the next.

    Attributes:
        number: rises by one with each change; 0 before the first.
        holders: the processes that hold shares, each account's by
            rendezvous hashing.
        witnesses: the processes that say whether the epoch may still be
            followed while the table can't be read.
        lapse_seconds: how long after this epoch was written the rights of
            earlier ones may still be used.
        earlier: those epochs, as far as their proposer knew them.
    """

    number: int = 0
    holders: tuple[Process, ...] = ()
    witnesses: tuple[Process, ...] = ()
    lapse_seconds: float = 0.0
    earlier: tuple[Predecessor, ...] = ()

    @property
    def vouches_needed(self) -> int:
        """How many witnesses make up for a table that can't be read."""
        return len(self.witnesses) // 2 + 1

    @property
    def consents_needed(self) -> int:
        """How many witnesses let the epoch end; meets every set above."""
        return len(self.witnesses) - self.vouches_needed + 1


def epoch_key(number: int) -> str:
    """Returns the key of an epoch's row."""
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
