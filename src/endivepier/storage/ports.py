"""Interfaces to the services of the platform.

Code that makes decisions depends on these interfaces only, never on an adapter
that implements them. Any call may be slow or fail. An adapter raises
`errors.Unavailable` if the call had no effect, and `errors.OutcomeUnknown` if
the response was lost and the call may have taken effect.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import enum
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the table service.

    Attributes:
        key: the row's unique key; keys are ordered by their UTF-8 bytes.
        value: the content, by convention JSON in UTF-8.
        version: increases with each write of the row; never reused.
    """

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Rows that a scan returned.

    Attributes:
        rows: the rows, in order of key.
        more: whether rows may follow the last one.
    """

    rows: tuple[Row, ...]
    more: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """Condition: the row `key` does not exist."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class VersionIs:
    """Condition: the row `key` exists and has this version."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write: stores a value in the row `key`, which gets a new version."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Write: deletes the row `key`."""

    key: str


Condition = Absent | VersionIs
Write = Put | Delete


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect atomically if all conditions hold."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Table(Protocol):
    """A transactional table service for several hundred writes a second.

    Some services are partitioned. Their keys have the form "table/part/name",
    and all rows of one transaction must belong to the same part.
    """

    def get(self, key: str) -> Row | None:
        """Returns the last committed version of a row, or None.

        Raises:
            errors.Unavailable: the service did not respond.
        """

    def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> Page:
        """Returns rows whose key starts with `prefix`, in order of key.

        Services also limit the bytes of a page, so a page may have fewer rows
        than `limit` although more follow. See `storage.scans` for all rows.

        Args:
            prefix: the prefix of the keys.
            after: returns only keys greater than this one, to read the next
                page.
            limit: maximum number of rows to return.

        Raises:
            errors.Unavailable: the service did not respond.
        """

    def transact(self, txn: Transaction) -> int:
        """Commits the transaction.

        Returns:
            The version of all rows that the transaction wrote.

        Raises:
            errors.ConditionFailed: a condition does not hold; the transaction
                has not taken effect.
            errors.Unavailable: the transaction has not taken effect.
            errors.OutcomeUnknown: the response was lost; the transaction may
                have taken effect, or may do so later.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes of a table since a version, or its whole content.

    Attributes:
        rows: rows that were written; for changes, in the order of versions.
        removed: keys of deleted rows.
        version: version from which the next call of `Feed.changes` continues.
    """

    rows: tuple[Row, ...]
    removed: tuple[str, ...]
    version: int


class Feed(Protocol):
    """A feed of the changes of tables."""

    def snapshot(self, table: str) -> Changes:
        """Returns all rows of a table, as of one version.

        Raises:
            errors.Unavailable: the service did not respond.
        """

    def changes(self, table: str, after: int, wait: float) -> Changes:
        """Returns the changes after a version (long polling).

        Args:
            table: the table's name.
            after: the version up to which the caller knows the changes.
            wait: maximum time to wait for the first change, in seconds.

        Raises:
            errors.HistoryLost: changes after that version are no longer
                stored; read a snapshot instead.
            errors.Unavailable: the service did not respond.
        """


class Objects(Protocol):
    """An object store for immutable bodies that are too large for a row."""

    def put(self, name: str, body: bytes) -> None:
        """Stores an object; storing the same body again has no effect.

        Raises:
            errors.ConditionFailed: the name has a different body.
            errors.Unavailable: the service did not respond. Unlike with other
                calls, the object may have been stored; the call may be
                repeated.
        """

    def get(self, name: str) -> bytes | None:
        """Returns the body, or None.

        Raises:
            errors.Unavailable: the service did not respond.
        """


class HostState(enum.StrEnum):
    """State of a host, as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A host in the platform's list.

    Attributes:
        address: "ip:port" of the endivepier process on the host.
        data_centre: name of the data centre.
        role: "entry" or "sidecar".
        target: name of the target that a sidecar serves; empty for an entry
            host.
        state: live or leaving; the list lags by some seconds.
    """

    address: str
    data_centre: str
    role: str
    target: str
    state: HostState


class HostList(Protocol):
    """The platform's list of hosts, which lags by some seconds."""

    def hosts(self) -> Sequence[Host]:
        """Returns the list.

        Raises:
            errors.Unavailable: the list can't be read now; the caller should
                keep using the last one.
        """
