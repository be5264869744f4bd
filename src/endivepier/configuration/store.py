"""The revisions in the table: accepted by compare-and-set, then followed."""

from __future__ import annotations

import dataclasses

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.configuration import current as current_lib
from endivepier.configuration import notes
from endivepier.configuration import state as state_lib
from endivepier.internal import codec
from endivepier.platform import commit
from endivepier.platform import ports

HEAD_KEY = "config/head"
REVISION_PREFIX = "config/revision/"
FOLLOW_SECONDS = 0.5
APPLY_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The table's row that names the revision in force.

    Attributes:
        revision: its number.
        change_id: unique for the note that made it.
    """

    revision: int
    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The answer to a note that was accepted."""

    revision: int
    change_id: str


def revision_key(revision: int) -> str:
    """Returns the key of a revision's row."""
    return f"{REVISION_PREFIX}{revision:09d}"


class Store:
    """Reads and writes revisions."""

    def __init__(self, table: ports.Table, committer: commit.Committer) -> None:
        self._table = table
        self._committer = committer

    def read(self, revision: int | None = None) -> state_lib.State:
        """Returns the state at a revision, or at the head.

        Raises:
            errors.Unavailable: the table did not answer.
            errors.Refused: `NOT_FOUND`, if there is no such revision.
        """
        if revision is None:
            row = self._table.get(HEAD_KEY)
            if row is None:
                return state_lib.State()
            revision = codec.decode(Head, row.value).revision
        if revision == 0:
            return state_lib.State()
        row = self._table.get(revision_key(revision))
        if row is None:
            raise errors.Refused(
                errors.Code.NOT_FOUND, 404, f"there is no revision {revision}"
            )
        state: state_lib.State = codec.decode(state_lib.State, row.value)
        return state

    def apply(self, note: notes.Note, change_id: str) -> Accepted:
        """Accepts a note whole, or not at all.

        Raises:
            errors.Refused: `CONFLICT` if another note came first,
                `BAD_REQUEST` if the note is wrong.
            errors.Unavailable: it certainly was not accepted.
            errors.OutcomeUnknown: it may have been accepted; repeat it with
                the same change id.
        """
        row = self._table.get(HEAD_KEY)
        condition: ports.Condition = ports.Absent(HEAD_KEY)
        state = state_lib.State()
        if row is not None:
            head = codec.decode(Head, row.value)
            if head.change_id == change_id:
                return Accepted(head.revision, change_id)
            condition = ports.VersionIs(HEAD_KEY, row.version)
            state = self.read(head.revision)
        result = notes.apply(note, state)
        value = codec.encode(Head(result.revision, change_id))
        txn = ports.Transaction(
            (condition,),
            (
                ports.Put(HEAD_KEY, value),
                ports.Put(revision_key(result.revision), codec.encode(result)),
            ),
        )
        proof = commit.Proof(HEAD_KEY, lambda found: found == value)
        try:
            self._committer.commit(txn, proof, seconds=APPLY_SECONDS)
        except errors.ConditionFailed:
            raise errors.Refused(
                errors.Code.CONFLICT,
                409,
                "another release note was accepted first; check yours "
                "against the new revision and apply it again",
            ) from None
        return Accepted(result.revision, change_id)


class Follower:
    """Keeps this process's configuration at the head."""

    def __init__(
        self,
        store: Store,
        current: current_lib.Current,
        timers: timers_lib.Timers,
    ) -> None:
        self._store = store
        self._current = current
        self._timers = timers
        self._subscription: timers_lib.Subscription | None = None
        self.has_read = False

    def start(self) -> None:
        """Reads the head, then follows it."""
        self.poll()
        self._subscription = self._timers.every(FOLLOW_SECONDS, self.poll)

    def stop(self) -> None:
        """Stops following."""
        if self._subscription is not None:
            self._subscription.cancel()

    def poll(self) -> None:
        """Reads the head once; keeps what is there if it can't be read."""
        try:
            self._current.advance(self._store.read())
        except (errors.Unavailable, errors.Refused):
            return
        self.has_read = True
