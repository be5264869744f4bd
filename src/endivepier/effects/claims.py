"""Claims, which make a non-idempotent request run at most once.

The claim's row in the table is the only lock on a request. A process sends a
request only if it knows that its own write of the "dispatched" row took
effect; it sends the request once, and soon after that write. No other
process takes over a claim to send the request again.

Each attempt carries the row version that its claim requires, or requires
that there is no row. A process that reports "not run" for an attempt must
first write "not run" into the row, on condition of the same version. From
then on no message of that attempt can claim the request, however late it
arrives. The next attempt requires the version of that "not run" row.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.effects import answer_store
from endivepier.effects import group_commit
from endivepier.effects import messages
from endivepier.internal import codec
from endivepier.internal import ids as ids_lib
from endivepier.storage import ports

PREFIX = "claim/"
MAX_KEY_LENGTH = 200
CLAIM_TIMEOUT_SECONDS = 2.0
MARK_TIMEOUT_SECONDS = 2.0
RECORD_TIMEOUT_SECONDS = 10.0
MAX_WAIT_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.1


class ClaimState(enum.StrEnum):
    """State of a claimed request.

    `DISPATCHED` is an open claim: the outcome is not recorded yet. A request
    in state `NOT_RUN` may be claimed again. `DONE` is a request that ran and
    whose answer is stored, `RAN` one that ran and whose answer is lost.
    """

    DISPATCHED = "dispatched"
    NOT_RUN = "not_run"
    DONE = "done"
    RAN = "ran"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRow:
    """Content of a claim's row in the table.

    Attributes:
        state: state of the request.
        account: the client account that made the request.
        idempotency_key: the caller's key.
        digest: the request's digest; empty if a look-up wrote the row before
            any request with the key was seen.
        writer: unique to each write of the row; a read of the row thus tells
            which write took effect.
        target: the target for which the request was claimed, or empty.
        round: number of attempts that the target reported as not run and
            whose key it refuses since.
        written: Unix time of the write, in seconds.
        answer: the stored answer if the state is `DONE`.
        note: the note of the operator who resolved the claim, or empty.
    """

    state: ClaimState
    account: str
    idempotency_key: str
    digest: str
    writer: str
    target: str
    round: int
    written: float
    answer: answer_store.StoredAnswer | None = None
    note: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim's row with its key and version, as read or written.

    Attributes:
        key: key of the row.
        version: version of the row.
        row: content of the row.
    """

    key: str
    version: int
    row: ClaimRow


def request_digest(req: messages.CallService) -> str:
    """Returns a digest of the method, path, media type and body."""
    sha = hashlib.sha256()
    for part in (req.method, req.path, req.content_type):
        sha.update(part.encode() + b"\0")
    sha.update(req.body)
    return sha.hexdigest()


def claim_key(account: str, idempotency_key: str) -> str:
    """Returns the key of a claim's row."""
    name = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"{PREFIX}{account}/{name}"


def target_key(row: ClaimRow) -> str:
    """Returns the idempotency key that is sent to the target.

    It includes the account, since two accounts may choose the same key. A
    target that reports a request as not run refuses its key from then on,
    so each later round has a different key.
    """
    key = f"{row.account}/{row.idempotency_key}"
    return f"{key}/{row.round}" if row.round else key


class Claims:
    """Reads and writes the rows of claims.

    Attributes:
        answers: stores and loads the answers of services.
        committer: writes the rows, many in one transaction.
    """

    def __init__(
        self,
        table: ports.Table,
        objects: ports.Objects,
        timers: timers_lib.Timers,
        ids: ids_lib.Ids,
    ) -> None:
        self.answers = answer_store.AnswerStore(objects)
        self._table = table
        self._timers = timers
        self._ids = ids
        self.committer = group_commit.GroupCommitter(table, timers)

    def read(self, account: str, idempotency_key: str) -> Claim | None:
        """Returns the claim of a request, or None if there is none.

        Raises:
            errors.Unavailable: the table service did not respond.
        """
        key = claim_key(account, idempotency_key)
        row = self._table.get(key)
        if row is None:
            return None
        return Claim(key, row.version, codec.decode(ClaimRow, row.value))

    def wait_until_settled(
        self, account: str, idempotency_key: str, *, seconds: float
    ) -> Claim | None:
        """Returns the claim once it is settled or the wait times out.

        Args:
            account: the client account that made the request.
            idempotency_key: the caller's key.
            seconds: longest wait; `MAX_WAIT_SECONDS` bounds it as well.

        Returns:
            The claim, still open after a timeout; None if there is none.

        Raises:
            errors.Unavailable: the table service did not respond.
        """
        deadline = self._timers.now() + min(seconds, MAX_WAIT_SECONDS)
        while True:
            claim = self.read(account, idempotency_key)
            if claim is None or claim.row.state is not ClaimState.DISPATCHED:
                return claim
            if self._timers.now() + POLL_INTERVAL_SECONDS >= deadline:
                return claim
            self._timers.sleep(POLL_INTERVAL_SECONDS)

    def dispatched_row(
        self, req: messages.CallService, target: str
    ) -> ClaimRow:
        """Returns a row that claims a request for a target."""
        return ClaimRow(
            state=ClaimState.DISPATCHED,
            account=req.account,
            idempotency_key=req.idempotency_key,
            digest=request_digest(req),
            writer=self._ids.unique(),
            target=target,
            round=req.round,
            written=self._timers.wall(),
        )

    def write(
        self, row: ClaimRow, after: int | None, *, seconds: float
    ) -> Claim:
        """Writes a row if the row in the table has the required version.

        Args:
            row: the new content, with a `writer` that is unique to it.
            after: the required version; None if there must be no row.
            seconds: timeout for all tries of the write.

        Raises:
            errors.ConditionFailed: the row has another version.
            errors.Unavailable: the row was not written.
            errors.OutcomeUnknown: the row may have been written.
        """
        key = claim_key(row.account, row.idempotency_key)
        condition: ports.Condition = ports.Absent(key)
        if after is not None:
            condition = ports.VersionIs(key, after)
        value = codec.encode(row)
        version = self.committer.put(condition, value, seconds=seconds)
        return Claim(key, version, row)

    def record(
        self,
        claim: Claim,
        state: ClaimState,
        answer: messages.ServiceAnswer | None = None,
        *,
        key_refused: bool = False,
        note: str = "",
    ) -> Claim:
        """Records the outcome of a claimed request.

        Args:
            claim: the open claim.
            state: the outcome.
            answer: the service's complete answer, if it is known.
            key_refused: whether the target reported the request as not run
                and refuses its key from now on.
            note: the operator's note, if an operator resolves the claim.

        Raises:
            errors.ConditionFailed: the row has changed since it was read.
            errors.Unavailable: the outcome was not recorded.
            errors.OutcomeUnknown: the outcome may have been recorded.
        """
        stored = None
        if answer is not None:
            stored = self.answers.store(claim.row.writer, answer)
        row = dataclasses.replace(
            claim.row,
            state=state,
            writer=self._ids.unique(),
            written=self._timers.wall(),
            round=claim.row.round + key_refused,
            answer=stored,
            note=note,
        )
        return self.write(row, claim.version, seconds=RECORD_TIMEOUT_SECONDS)

    def mark_not_run(
        self,
        account: str,
        idempotency_key: str,
        base: Claim | None,
        digest: str = "",
    ) -> Claim:
        """Writes "not run", so that attempts that require `base` can't run.

        Args:
            account: the client account that made the request.
            idempotency_key: the caller's key.
            base: the "not run" claim that must be unchanged in the table;
                None if there must be no row.
            digest: digest of the request, or empty if the request is unknown;
                not used if there is a `base`, whose digest is kept.

        Raises:
            errors.ConditionFailed: the row has changed.
            errors.Unavailable: the row was not written.
            errors.OutcomeUnknown: the row may have been written.
        """
        row = ClaimRow(
            state=ClaimState.NOT_RUN,
            account=account,
            idempotency_key=idempotency_key,
            digest=digest,
            writer=self._ids.unique(),
            target="",
            round=0,
            written=self._timers.wall(),
        )
        if base is None:
            return self.write(row, None, seconds=MARK_TIMEOUT_SECONDS)
        rewritten = dataclasses.replace(
            base.row, writer=row.writer, written=row.written
        )
        return self.write(rewritten, base.version, seconds=MARK_TIMEOUT_SECONDS)

    def outcome(self, row: ClaimRow) -> messages.Outcome:
        """Returns the outcome that a row records.

        Raises:
            errors.Refused: the request ran, but its stored answer can't be
                read from the object store.
        """
        match row.state:
            case ClaimState.DONE if row.answer is not None:
                answer = self.answers.load(row.answer)
                return messages.Outcome(errors.Ran.YES, answer)
            case ClaimState.DONE | ClaimState.RAN:
                return messages.Outcome(errors.Ran.YES)
            case ClaimState.NOT_RUN:
                return messages.Outcome(errors.Ran.NO)
            case ClaimState.DISPATCHED:
                return messages.Outcome(errors.Ran.UNKNOWN)
