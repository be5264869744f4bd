"""Stores revisions in the platform's table.

The head row names the newest revision. Each revision has a row with its
delta, and each change id has a row with the revision that it made. A note is
accepted by one transaction that writes all three rows on the condition that
the head row is unchanged.
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
COMMIT_TIMEOUT_SECONDS = 10.0
PAGE_ROWS = 500
# The most revisions that the transaction of one note deletes.
MAX_DELETED_REVISIONS = 4
RETAINED_REVISIONS = 100_000
MAX_SNAPSHOT_ATTEMPTS = 8
# Further behind than this, a snapshot is read before the deltas.
MAX_REVISIONS_BEHIND = snapshots_lib.REVISIONS_PER_SNAPSHOT
CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,100}")


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The table row that names the newest accepted revision.

    Attributes:
        revision: number of that revision.
        change_id: change id of the note that made it.
    """

    revision: int
    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The reply to the operator whose note was accepted.

    Attributes:
        revision: the revision that the note made.
        change_id: the note's change id.
    """

    revision: int
    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The table row of one change id, the idempotency key of a note.

    Attributes:
        revision: the revision that the note made.
        digest: SHA-256 of the note's text in hex.
    """

    revision: int
    digest: str


def delta_key(revision: int) -> str:
    """Returns the key of a delta's table row."""
    return f"{DELTA_PREFIX}{revision:09d}"


class Store:
    """Accepts release notes and reads revisions back."""

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
        """Returns the newest accepted revision; 0 before the first note.

        Raises:
            errors.Unavailable: the table did not reply.
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
            revision: number of the revision; None for the head.
            start: a known state. If it is at most `MAX_REVISIONS_BEHIND`
                revisions older, only the deltas after it are read.

        Raises:
            errors.Unavailable: the table or the object store did not reply.
            errors.Refused: `NOT_FOUND`, if there is no such revision or it
                is no longer retained.
        """
        requested_revision = self.head() if revision is None else revision
        state = start or state_lib.State()
        if (
            state.revision > requested_revision
            or requested_revision - state.revision > MAX_REVISIONS_BEHIND
        ):
            state = self._snapshots.newest(requested_revision)
        for delta in self.deltas(state.revision, requested_revision):
            state = changes_lib.apply_delta(delta, state)
        if state.revision != requested_revision:
            raise errors.Refused(
                errors.Code.NOT_FOUND,
                404,
                f"there is no revision {requested_revision}; the newest "
                f"{RETAINED_REVISIONS} are kept",
            )
        return state

    def catch_up(
        self, current: current_lib.CurrentConfiguration
    ) -> ports.Row | None:
        """Updates a process's configuration to the head.

        Returns:
            The head row, or None before the first note.

        Raises:
            errors.Unavailable: the table or the object store did not reply,
                or the delta of a revision is missing.
            errors.Refused: a stored row is invalid, or deltas are missing
                and the process is over `MAX_REVISIONS_BEHIND` behind.
        """
        row = self._table.get(HEAD_KEY)
        head = 0 if row is None else codec.decode(Head, row.value).revision
        state = current.state
        if head - state.revision > MAX_REVISIONS_BEHIND:
            current.advance(self.read(head, state))
        elif head > state.revision:
            current.apply_deltas(self.deltas(state.revision, head))
        if current.state.revision < head:
            raise errors.Unavailable(
                f"revisions after {current.state.revision} can't be read"
            )
        return row

    def deltas(self, after: int, upto: int) -> Sequence[changes_lib.Delta]:
        """Returns the deltas after one revision and up to another.

        Stops early if the first delta of a page is missing. A gap within a
        page is noticed only when the deltas are applied.

        Raises:
            errors.Unavailable: the table did not reply.
        """
        deltas: list[changes_lib.Delta] = []
        while after < upto:
            page = self._table.scan(
                DELTA_PREFIX,
                after=delta_key(after),
                limit=min(PAGE_ROWS, upto - after),
            )
            if not page.rows:
                break
            found = [
                codec.decode(changes_lib.Delta, row.value) for row in page.rows
            ]
            if found[0].revision != after + 1:
                break
            deltas.extend(found)
            after = found[-1].revision
        return deltas

    def apply(
        self,
        text: str,
        change_id: str,
        current: current_lib.CurrentConfiguration,
        check_permission: Callable[[], object],
    ) -> Accepted:
        """Accepts a release note atomically.

        When this returns, the note is in force on this process.

        Args:
            text: the note in TOML.
            change_id: idempotency key; retries of a note must send the same.
            current: the configuration of this process.
            check_permission: raises if the operator may not apply notes at
                the revision that is in force when it is called.

        Raises:
            errors.Refused: `CONFLICT` if another note was accepted first,
                `BAD_REQUEST` if the note has faults, `KEY_REUSED` if a
                different note has used the change id.
            errors.Unavailable: this attempt certainly had no effect.
            errors.OutcomeUnknown: the note may have been accepted; retry it
                with the same change id.
        """
        _check_change_id(change_id)
        digest = hashlib.sha256(text.encode()).hexdigest()
        earlier = self._find_accepted(change_id, digest)
        head = self.catch_up(current)
        check_permission()
        if earlier is not None:
            return earlier
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
        """Writes a snapshot if one is due at this revision.

        One is due at each multiple of `REVISIONS_PER_SNAPSHOT`. If it is
        missing, the next revisions retry it, up to `MAX_SNAPSHOT_ATTEMPTS`
        attempts in all.
        """
        revisions_past = state.revision % snapshots_lib.REVISIONS_PER_SNAPSHOT
        # Below the first multiple, no snapshot is due.
        if (
            state.revision == revisions_past
            or revisions_past >= MAX_SNAPSHOT_ATTEMPTS
        ):
            return
        try:
            if not self._snapshots.has_any(state.revision - revisions_past):
                self._snapshots.write(state)
        except (errors.Unavailable, errors.OutcomeUnknown):
            return

    def _find_accepted(self, change_id: str, digest: str) -> Accepted | None:
        """Returns the earlier result of a change id, or None.

        Raises:
            errors.Refused: `KEY_REUSED`, if it belongs to a different note.
            errors.Unavailable: the table did not reply.
        """
        row = self._table.get(CHANGE_PREFIX + change_id)
        if row is None:
            return None
        change = codec.decode(Change, row.value)
        if change.digest != digest:
            raise errors.Refused(
                errors.Code.KEY_REUSED,
                409,
                f"change id {change_id!r} belongs to another release note, "
                f"which made revision {change.revision}; send a new change id",
            )
        return Accepted(change.revision, change_id)

    def _catch_up_to(
        self, accepted: Accepted, current: current_lib.CurrentConfiguration
    ) -> None:
        """Puts an accepted revision in force on this process.

        Raises:
            errors.OutcomeUnknown: this process can't read the revision. It is
                accepted, but must not be reported before it is in force here.
        """
        try:
            self.catch_up(current)
        except errors.Unavailable as exc:
            raise errors.OutcomeUnknown(str(exc)) from None
        if current.state.revision < accepted.revision:
            raise errors.OutcomeUnknown(
                "the head is older than the revision just accepted"
            )

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
        writes.extend(self._expiry_writes(delta.revision))
        txn = ports.Transaction((ports.Absent(key), condition), tuple(writes))
        # The change row tells whether a commit with a lost reply took effect:
        # it is never overwritten, whereas the head may have advanced by the
        # time it is read back.
        proof = commit.Proof(key, lambda stored: stored == value)
        try:
            self._committer.commit(txn, proof, seconds=COMMIT_TIMEOUT_SECONDS)
        except errors.ConditionFailed:
            # Another entry host may have accepted a retry of the same note.
            earlier = self._find_accepted(delta.change_id, digest)
            if earlier is not None:
                return earlier
            raise _conflict("another release note was accepted first") from None
        return Accepted(delta.revision, delta.change_id)

    def _expiry_writes(self, revision: int) -> Sequence[ports.Write]:
        """Returns the writes that delete revisions no longer retained.

        The oldest retained revision is rebuilt from the newest snapshot up to
        it, so the deltas after that snapshot are not deleted.
        """
        oldest_retained = revision - RETAINED_REVISIONS
        if oldest_retained <= 0:
            return ()
        snapshot_revision = self._snapshots.newest_revision(oldest_retained)
        writes: list[ports.Write] = []
        page = self._table.scan(DELTA_PREFIX, limit=MAX_DELETED_REVISIONS)
        for row in page.rows:
            delta = codec.decode(changes_lib.Delta, row.value)
            if delta.revision <= snapshot_revision:
                writes.append(ports.Delete(row.key))
                change_key = CHANGE_PREFIX + delta.change_id
                writes.append(ports.Delete(change_key))
        return writes


def _check_change_id(change_id: str) -> None:
    if CHANGE_ID_PATTERN.fullmatch(change_id) is None:
        raise errors.Refused(
            errors.Code.BAD_REQUEST,
            400,
            "send a change id of 1 to 100 letters, digits and '._-'; "
            "retries of a note must send the same one",
        )


def _conflict(detail: str) -> errors.Refused:
    return errors.Refused(
        errors.Code.CONFLICT,
        409,
        detail + "; your note had no effect: check it against the new "
        "revision and apply it again",
    )
