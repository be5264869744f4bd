"""The messages by which a host uses the store through another one."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
from typing import Literal

import pydantic

from endivepier.storage import ports
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
    """Reply to a successful read.

    Attributes:
        rows: the rows.
        removed: keys of deleted rows.
        version: version up to which changes were read.
        more: whether rows may follow those of a scan; None from a former
            build, which does not tell.
    """

    rows: tuple[wire.RowDocument, ...]
    removed: tuple[str, ...] = ()
    version: int = 0
    more: bool | None = None
    kind: Literal["found"] = "found"

    def row(self) -> ports.Row | None:
        """Returns the only row, or None."""
        return self.rows[0].row() if self.rows else None

    def page(self) -> ports.Page:
        """Returns the page of a scan."""
        return wire.page(self.rows, self.more)

    def changes(self) -> ports.Changes:
        """Returns the changes, or the whole table."""
        rows = tuple(row.row() for row in self.rows)
        return ports.Changes(rows, self.removed, self.version)


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Reply to a call that the peer could not complete."""

    reason: Literal["unavailable", "unknown", "history"]
    detail: str
    kind: Literal["failed"] = "failed"


Reply = Found | Failed | wire.Committed | wire.Conflict
Result = ports.Row | ports.Page | ports.Changes | int | None


def reply(result: Result) -> Reply:
    """Returns the reply that holds the result of a successful call."""
    match result:
        case None:
            return Found(())
        case ports.Row():
            return Found(_documents([result]))
        case ports.Page(rows=rows, more=more):
            return Found(_documents(rows), more=more)
        case ports.Changes(rows=rows, removed=removed, version=version):
            return Found(_documents(rows), removed, version)
        case _:
            return wire.Committed(result)


def _documents(rows: Iterable[ports.Row]) -> tuple[wire.RowDocument, ...]:
    return tuple(
        wire.RowDocument(row.key, _base64(row.value), row.version)
        for row in rows
    )


def _base64(value: bytes) -> pydantic.Base64Bytes:
    """Returns the value, typed as a field that is serialized as base64."""
    return value
