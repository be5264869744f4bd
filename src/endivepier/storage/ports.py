"""The ports to the platform. Decisions depend on these, never on adapters.

An adapter may be slow or fail at any call, and it says which of the two kinds
of failure it met: `errors.Unavailable` (certainly no effect) or
`errors.OutcomeUnknown` (the reply was lost; the effect may be there).
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
        key: the row's name; keys sort as UTF-8.
        value: the content, UTF-8 JSON by custom.
        version: rises each time that the row is written, never used twice.
    """

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """Condition: there is no row `key`."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class VersionIs:
    """Condition: the row `key` is there and has this version."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write: the row `key` gets this value, and a new version."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Write: the row `key` is gone."""

    key: str


Condition = Absent | VersionIs
Write = Put | Delete


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together, if all conditions hold."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Table(Protocol):
    """The transactional table service: several hundred writes a second.

    A service that is split into tables and parts takes keys of the form
    "table/part/name"; all rows of one transaction are then of one part.
    """

    def get(self, key: str) -> Row | None:
        """Returns the row, or None; reads what was last committed.

        Raises:
            errors.Unavailable: the service did not answer.
        """

    def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Sequence[Row]:
        """Returns rows whose key starts with `prefix`, in order of key.

        Args:
            prefix: what the keys start with.
            after: only keys greater than this one, to read on.
            limit: the most rows to return.

        Raises:
            errors.Unavailable: the service did not answer.
        """

    def transact(self, txn: Transaction) -> int:
        """Commits the transaction.

        Returns:
            The version that every row put by it now has.

        Raises:
            errors.ConditionFailed: a condition does not hold; no effect.
            errors.Unavailable: certainly no effect.
            errors.OutcomeUnknown: the reply was lost.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What has changed in a table, or its whole content.

    Attributes:
        rows: the rows that were written, in the order of their versions.
        removed: keys of the rows that are gone.
        version: the store's version that this brings the reader to.
    """

    rows: tuple[Row, ...]
    removed: tuple[str, ...]
    version: int


class Feed(Protocol):
    """Follows a table as it changes."""

    def snapshot(self, table: str) -> Changes:
        """Returns all rows of a table, as of one version.

        Raises:
            errors.Unavailable: the service did not answer.
        """

    def changes(self, table: str, after: int, wait: float) -> Changes:
        """Returns what changed after a version.

        Args:
            table: the table's name.
            after: the version that the caller has.
            wait: longest time to wait for a first change, in seconds.

        Raises:
            errors.HistoryLost: that version is too old; take a snapshot.
            errors.Unavailable: the service did not answer.
        """


class Objects(Protocol):
    """The object store: immutable bodies too large for a row."""

    def put(self, name: str, body: bytes) -> None:
        """Stores the body if `name` is absent; the same body again is fine.

        Raises:
            errors.ConditionFailed: another body has that name.
            errors.Unavailable: the service did not answer; repeat the call.
        """

    def get(self, name: str) -> bytes | None:
        """Returns the body, or None.

        Raises:
            errors.Unavailable: the service did not answer.
        """


class HostState(enum.StrEnum):
    """What the platform says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One host of the platform's lagging list.

    Attributes:
        address: "ip:port" of the process of the system on that host.
        data_centre: the data centre's name.
        role: "entry" or "sidecar".
        target: name of the target beside a sidecar, empty for an entry host.
        state: live or leaving, as of some seconds ago.
    """

    address: str
    data_centre: str
    role: str
    target: str
    state: HostState


class HostList(Protocol):
    """The platform's list of hosts, which lags by seconds."""

    def hosts(self) -> Sequence[Host]:
        """Returns the list.

        Raises:
            errors.Unavailable: the list can't be had now; keep the last one.
        """
