"""Keys of the rows that entry hosts keep in the store.

A key is "table/part/name". The parts spread writes, since a part of a table
takes one transaction after the other.
"""

from __future__ import annotations

import xxhash

# A part takes 200 transactions a second; 64 parts are beyond what the
# largest deployment's store takes in all.
PARTS = 64

HOSTS = "hosts"
SHARES = "shares"
BUDGETS = "budgets"
TURNS = "turns"


def key(table: str, name: str) -> str:
    """Returns the key of a row whose part follows from its name."""
    part = xxhash.xxh32_intdigest(name.encode()) % PARTS
    return f"{table}/{part:02x}/{name}"


def single_part_key(table: str, name: str) -> str:
    """Returns the key of a row in the table's only part."""
    return f"{table}//{name}"
