"""Messages by which processes pass revisions on to each other."""

from __future__ import annotations

import dataclasses

from endivepier.configuration import changes
from endivepier.configuration import state as state_lib


@dataclasses.dataclass(frozen=True, slots=True)
class PullRevisions:
    """Asks a process for the revisions after one.

    Attributes:
        after: the revision in force at the sender.
    """

    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class Revisions:
    """The answer: what is in force at the peer, and how fresh that is.

    Attributes:
        revision: the revision in force at the peer.
        proof_age: seconds since the moment up to which the peer is known to
            have every accepted note; None if it never knew.
        deltas: the revisions after the asked one, as far as they are kept.
        state: the whole state, if the deltas don't reach back far enough.
    """

    revision: int
    proof_age: float | None
    deltas: tuple[changes.Delta, ...] = ()
    state: state_lib.State | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceRevision:
    """Tells an entry host of a revision that the sender has accepted.

    Attributes:
        sender: address of the process to pull it from.
        revision: its number.
    """

    sender: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """The answer to `AnnounceRevision`.

    Attributes:
        revision: the revision in force at the answering process.
    """

    revision: int
