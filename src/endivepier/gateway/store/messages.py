"""The messages by which a host uses the store through another one."""

from __future__ import annotations

import dataclasses
from typing import Literal

from endivepier.storage import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Request for a whole table."""

    table: str


@dataclasses.dataclass(frozen=True, slots=True)
class Since:
    """Request for the changes of a table after a version."""

    table: str
    after: int
    wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """Reply to a successful read."""

    rows: tuple[wire.RowDocument, ...]
    removed: tuple[str, ...] = ()
    version: int = 0
    kind: Literal["found"] = "found"


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Reply to a call that the peer could not complete."""

    reason: Literal["unavailable", "unknown", "history"]
    detail: str
    kind: Literal["failed"] = "failed"


Reply = Found | Failed | wire.Committed | wire.Conflict
