"""Keys and contents of the rows that entry hosts keep in the store.

A key is "table/part/name". The store runs the transactions of one part one
after another, so spreading rows over parts lets writes run in parallel.
"""

from __future__ import annotations

from typing import Any

import eliot
import xxhash

from endivepier import errors
from endivepier.internal import codec
from endivepier.storage import ports

# A part commits 200 transactions a second, so 64 parts allow for more than
# the store of the largest deployment commits in all.
PARTS = 64

HOSTS = "hosts"
SHARES = "shares"
BUDGETS = "budgets"
TURNS = "turns"


def key(table: str, name: str, *, shift: int = 0) -> str:
    """Returns the key of a row in the part that its name hashes to.

    Args:
        table: the table.
        name: name of the row.
        shift: the number of parts to go on from that part.
    """
    part = (xxhash.xxh32_intdigest(name.encode()) + shift) % PARTS
    return f"{table}/{part:02x}/{name}"


def part_prefix(table: str, number: int) -> str:
    """Returns what the keys of all rows in one part of a table begin with."""
    return f"{table}/{number:02x}/"


def single_part_key(table: str, name: str) -> str:
    """Returns the key of a row in a table that has a single part."""
    return f"{table}//{name}"


def decode(kind: Any, row: ports.Row) -> Any | None:
    """Returns the value of type `kind` in a row; None if it can't be read."""
    try:
        return codec.decode(kind, row.value)
    except errors.Refused as exc:
        eliot.log_message(
            "row.dropped",
            row=row.key,
            row_version=row.version,
            reason=exc.detail,
        )
        return None
