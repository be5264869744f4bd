"""Messages by which processes replicate revisions."""

from __future__ import annotations

import dataclasses

from endivepier.configuration import changes
from endivepier.configuration import state as state_lib


@dataclasses.dataclass(frozen=True, slots=True)
class PullRevisions:
    """Requests the revisions after a given one.

    Attributes:
        after: the revision in force at the sender.
    """

    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class Revisions:
    """The reply to `PullRevisions`.

    Attributes:
        revision: the revision in force at the replying process.
        proof_age: age of that process's newest freshness proof in seconds;
            None if it has none. See the module `freshness`.
        deltas: the deltas after the requested revision; empty if the
            replying process no longer has all of them.
        state: the whole state if the deltas are incomplete, else None.
    """

    revision: int
    proof_age: float | None
    deltas: tuple[changes.Delta, ...] = ()
    state: state_lib.State | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceRevision:
    """Notifies an entry host of a revision that the sender has accepted.

    Attributes:
        sender: address of the process to pull the revision from.
        revision: number of the accepted revision.
    """

    sender: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """The reply to `AnnounceRevision`.

    Attributes:
        revision: the revision in force at the replying process.
    """

    revision: int
