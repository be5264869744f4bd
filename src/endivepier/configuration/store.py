"""The revisions in the table: accepted by compare-and-set, read back.

The head row names the newest revision. Each revision has a row with its
delta, and each change id a row with the revision that it made; all three are
written in one transaction, so that a change is there whole or not at all.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import hashlib
import re

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.configuration import changes as changes_lib
from endivepier.configuration import checking
from endivepier.configuration import current as current_lib
from endivepier.configuration import notes
from endivepier.configuration import snapshots as snapshots_lib
from endivepier.configuration import state as state_lib
from endivepier.internal import codec
from endivepier.storage import commit
from endivepier.storage import ports

HEAD_KEY = "config/head"
DELTA_PREFIX = "config/delta/"
CHANGE_PREFIX = "config/change/"
APPLY_SECONDS = 10.0
PAGE_ROWS = 500
FORGOTTEN_ROWS = 4
RETAINED_REVISIONS = 100_000
SNAPSHOT_TRIES = 8
MAX_BEHIND = snapshots_lib.SNAPSHOT_EVERY
CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,100}")


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
    """The answer to a note that was accepted.

    Attributes:
        revision: the revision that it made.
        change_id: unique for the note.
    """

    revision: int
    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The table's row about one change id.

    Attributes:
        revision: the revision that it made.
        digest: digest of the note's text.
    """

    revision: int
    digest: str


def delta_key(revision: int) -> str:
    """Returns the key of a delta's row."""
    return f"{DELTA_PREFIX}{revision:09d}"


class Store:
    """Reads and writes revisions."""

    def __init__(
        self,
        table: ports.Table,
        objects: ports.Objects,
        committer: commit.Committer,
        timers: timers_lib.Timers,
    ) -> None:
        self._table = table
        self._snapshots = snapshots_lib.Snapshots(table, objects)
        self._committer = committer
        self._timers = timers

    def head(self) -> int:
        """Returns the newest revision.

        Raises:
            errors.Unavailable: the table did not answer.
        """
        row = self._table.get(HEAD_KEY)
        return 0 if row is None else codec.decode(Head, row.value).revision

    def read(
        self,
        revision: int | None = None,
        start: state_lib.State | None = None,
    ) -> state_lib.State:
        """Returns the state at a revision, or at the head.

        Args:
            revision: which one; None for the head.
            start: a state that is known, to read on from if it is older.

        Raises:
            errors.Unavailable: the platform did not answer.
            errors.Refused: `NOT_FOUND`, if there is no such revision, or
                it is no longer kept.
        """
        wanted = self.head() if revision is None else revision
        state = start or state_lib.State()
        if state.revision > wanted or wanted - state.revision > MAX_BEHIND:
            state = self._snapshots.newest(wanted)
        for delta in self.deltas(state.revision, wanted):
            state = changes_lib.apply_delta(delta, state)
        if state.revision != wanted:
            raise errors.Refused(
                errors.Code.NOT_FOUND,
                404,
                f"there is no revision {wanted}; the newest "
                f"{RETAINED_REVISIONS} are kept",
            )
        return state

    def catch_up(
        self, current: current_lib.CurrentConfiguration
    ) -> ports.Row | None:
        """Brings a process's configuration up to the head.

        Returns:
            The row of the head, or None before the first note.

        Raises:
            errors.Unavailable: the platform did not answer, or a revision
                is missing.
        """
        row = self._table.get(HEAD_KEY)
        head = 0 if row is None else codec.decode(Head, row.value).revision
        known = current.state
        if head - known.revision > MAX_BEHIND:
            current.advance(self.read(head, known))
        elif head > known.revision:
            current.apply_deltas(self.deltas(known.revision, head))
        if current.state.revision < head:
            raise errors.Unavailable(
                f"revisions after {current.state.revision} can't be read"
            )
        return row

    def deltas(self, after: int, upto: int) -> Sequence[changes_lib.Delta]:
        """Returns the deltas after one revision, up to another.

        Raises:
            errors.Unavailable: the table did not answer.
        """
        found: list[changes_lib.Delta] = []
        while after < upto:
            rows = self._table.scan(
                DELTA_PREFIX,
                after=delta_key(after),
                limit=min(PAGE_ROWS, upto - after),
            )
            if not rows:
                break
            page = [codec.decode(changes_lib.Delta, row.value) for row in rows]
            if page[0].revision != after + 1:
                break
            found.extend(page)
            after = page[-1].revision
        return found

    def apply(
        self,
        text: str,
        change_id: str,
        current: current_lib.CurrentConfiguration,
        permit: Callable[[], object],
    ) -> Accepted:
        """Accepts a note whole, or not at all.

        When this returns, the note is in force on this process.

        Args:
            text: the note.
            change_id: the same at each try of the same change.
            current: the configuration of this process.
            permit: raises if the operator may not do this at the revision
                that is in force when it is called.

        Raises:
            errors.Refused: `CONFLICT` if another note came first,
                `BAD_REQUEST` if the note is wrong, `KEY_REUSED` if another
                note has the change id.
            errors.Unavailable: this try certainly had no effect.
            errors.OutcomeUnknown: it may have been accepted; repeat it with
                the same change id.
        """
        _check_change_id(change_id)
        digest = hashlib.sha256(text.encode()).hexdigest()
        known = self._accepted(change_id, digest)
        head = self.catch_up(current)
        permit()
        if known is not None:
            return known
        note = notes.parse(text)
        state = current.state
        revision = 0
        if head is not None:
            revision = codec.decode(Head, head.value).revision
        if state.revision != revision:
            raise _conflict("another release note was accepted just now")
        if note.based_on not in (None, revision):
            raise _conflict(
                f"the note is based on revision {note.based_on}, but the "
                f"head is {revision}"
            )
        delta = changes_lib.Delta(
            revision=revision + 1,
            change_id=change_id,
            parent=state.chain,
            title=note.title,
            accepted=self._timers.wall(),
            changes=checking.resolve(note, state),
        )
        accepted = self._commit(delta, digest, head)
        if not current.apply_deltas((delta,)):
            self._catch_up_to(accepted, current)
        return accepted

    def write_due_snapshot(self, state: state_lib.State) -> None:
        """Writes a snapshot if one is due at this revision."""
        past = state.revision % snapshots_lib.SNAPSHOT_EVERY
        if state.revision == past or past >= SNAPSHOT_TRIES:
            return
        try:
            if not self._snapshots.has_any(state.revision - past):
                self._snapshots.write(state)
        except (errors.Unavailable, errors.OutcomeUnknown):
            return

    def _accepted(self, change_id: str, digest: str) -> Accepted | None:
        """Returns what the change id made earlier, or None."""
        row = self._table.get(CHANGE_PREFIX + change_id)
        if row is None:
            return None
        change = codec.decode(Change, row.value)
        if change.digest != digest:
            raise errors.Refused(
                errors.Code.KEY_REUSED,
                409,
                f"change id {change_id!r} is that of another release note, "
                f"which made revision {change.revision}; take a new one",
            )
        return Accepted(change.revision, change_id)

    def _catch_up_to(
        self, accepted: Accepted, current: current_lib.CurrentConfiguration
    ) -> None:
        """Puts what was accepted in force here, too.

        Raises:
            errors.OutcomeUnknown: it is accepted, but can't be read here.
        """
        try:
            self.catch_up(current)
        except errors.Unavailable as exc:
            raise errors.OutcomeUnknown(str(exc)) from None
        if current.state.revision < accepted.revision:
            raise errors.OutcomeUnknown("the head is behind what it was")

    def _commit(
        self, delta: changes_lib.Delta, digest: str, head: ports.Row | None
    ) -> Accepted:
        key = CHANGE_PREFIX + delta.change_id
        value = codec.encode(Change(delta.revision, digest))
        condition: ports.Condition = ports.Absent(HEAD_KEY)
        if head is not None:
            condition = ports.VersionIs(HEAD_KEY, head.version)
        writes: list[ports.Write] = [
            ports.Put(
                HEAD_KEY, codec.encode(Head(delta.revision, delta.change_id))
            ),
            ports.Put(delta_key(delta.revision), codec.encode(delta)),
            ports.Put(key, value),
        ]
        writes.extend(self._outdated(delta.revision))
        txn = ports.Transaction((ports.Absent(key), condition), tuple(writes))
        # The proof is the change's own row, which nobody overwrites. The head
        # may have moved on by the time that it is read back.
        proof = commit.Proof(key, lambda found: found == value)
        try:
            self._committer.commit(txn, proof, seconds=APPLY_SECONDS)
        except errors.ConditionFailed:
            # The same change may have come in by another entry host.
            known = self._accepted(delta.change_id, digest)
            if known is not None:
                return known
            raise _conflict("another release note was accepted first") from None
        return Accepted(delta.revision, delta.change_id)

    def _outdated(self, revision: int) -> Sequence[ports.Write]:
        """Returns the writes that forget revisions no longer kept.

        The oldest revision that is kept can be shown only from a snapshot
        before it, so the deltas after that snapshot stay.
        """
        oldest = revision - RETAINED_REVISIONS
        if oldest <= 0:
            return ()
        covered = self._snapshots.newest_revision(oldest)
        writes: list[ports.Write] = []
        for row in self._table.scan(DELTA_PREFIX, limit=FORGOTTEN_ROWS):
            delta = codec.decode(changes_lib.Delta, row.value)
            if delta.revision <= covered:
                writes.append(ports.Delete(row.key))
                change_key = CHANGE_PREFIX + delta.change_id
                writes.append(ports.Delete(change_key))
        return writes


def _check_change_id(change_id: str) -> None:
    if CHANGE_ID_PATTERN.fullmatch(change_id) is None:
        raise errors.Refused(
            errors.Code.BAD_REQUEST,
            400,
            "send a change id of 1 to 100 letters, digits and '._-', the "
            "same at each try of the same change",
        )


def _conflict(detail: str) -> errors.Refused:
    return errors.Refused(
        errors.Code.CONFLICT,
        409,
        detail + "; nothing of yours is in force: check it against the new "
        "revision and apply it again",
    )
