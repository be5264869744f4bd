"""Paths and JSON documents of the platform's HTTP services."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
from typing import Literal

import pydantic

from endivepier.storage import ports

GET_PATH = "/table/get"
SCAN_PATH = "/table/scan"
TRANSACT_PATH = "/table/transact"
OBJECT_PATH = "/objects/"
HOSTS_PATH = "/hosts"


@dataclasses.dataclass(frozen=True, slots=True)
class Get:
    """Request for one row."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """Request for rows in order of their keys; see `ports.Table.scan`."""

    prefix: str
    after: str
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowDocument:
    """A row; the value is encoded in base64."""

    key: str
    value: pydantic.Base64Bytes
    version: int

    def row(self) -> ports.Row:
        """Returns the row."""
        return ports.Row(self.key, self.value, self.version)


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Response to `Get` and `Scan`.

    Attributes:
        rows: the rows.
        more: whether rows may follow the last one; None if it is not told.
    """

    rows: tuple[RowDocument, ...]
    more: bool | None = None


def page(rows: Sequence[RowDocument], more: bool | None) -> ports.Page:
    """Returns the page of a scan.

    Args:
        rows: the rows.
        more: whether rows may follow; if None, only an empty page is the last.
    """
    return ports.Page(
        tuple(row.row() for row in rows), bool(rows) if more is None else more
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ConditionDocument:
    """A condition; `version` is None if the row must not exist."""

    key: str
    version: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class WriteDocument:
    """A write; `value` is None if the row is to be deleted."""

    key: str
    value: pydantic.Base64Bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transact:
    """Request to commit a transaction."""

    conditions: tuple[ConditionDocument, ...]
    writes: tuple[WriteDocument, ...]

    def transaction(self) -> ports.Transaction:
        """Returns the transaction."""
        conditions: list[ports.Condition] = []
        for condition in self.conditions:
            if condition.version is None:
                conditions.append(ports.Absent(condition.key))
            else:
                conditions.append(
                    ports.VersionIs(condition.key, condition.version)
                )
        writes: list[ports.Write] = []
        for write in self.writes:
            if write.value is None:
                writes.append(ports.Delete(write.key))
            else:
                writes.append(ports.Put(write.key, write.value))
        return ports.Transaction(tuple(conditions), tuple(writes))


def transact_document(txn: ports.Transaction) -> Transact:
    """Returns the document for a transaction."""
    conditions = []
    for condition in txn.conditions:
        match condition:
            case ports.Absent(key=key):
                conditions.append(ConditionDocument(key, None))
            case ports.VersionIs(key=key, version=version):
                conditions.append(ConditionDocument(key, version))
    writes = []
    for write in txn.writes:
        match write:
            case ports.Put(key=key, value=value):
                writes.append(WriteDocument(key, value))
            case ports.Delete(key=key):
                writes.append(WriteDocument(key, None))
    return Transact(tuple(conditions), tuple(writes))


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """Response to `Transact`: committed with this version."""

    version: int
    kind: Literal["committed"] = "committed"


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Response to `Transact`: the condition on this row does not hold."""

    key: str
    kind: Literal["conflict"] = "conflict"


@dataclasses.dataclass(frozen=True, slots=True)
class Hosts:
    """Response with the list of hosts."""

    hosts: tuple[ports.Host, ...]
