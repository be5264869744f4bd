"""At most once: the claim row is the only mutex.

A request is sent only by the process whose write of the "dispatched" row is
known to it to have taken effect, once, and soon after that write. A claim is
never taken over for another dispatch.

Each attempt names the version of the row on which it builds (or that there
is no row). Whoever wants to say "not run" must win the row at that version
by writing "not run" into it; then no message of that attempt can claim the
request any more, wherever it still travels or waits. A later attempt builds
on the version of that "not run" row.
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
CLAIM_SECONDS = 2.0
WIN_SECONDS = 2.0
RECORD_SECONDS = 10.0
WAIT_SECONDS = 2.0
POLL_SECONDS = 0.1


class ClaimState(enum.StrEnum):
    """How far a claimed request has come."""

    DISPATCHED = "dispatched"
    NOT_RUN = "not_run"
    DONE = "done"
    RAN = "ran"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRow:
    """The table's row of a claim.

    Attributes:
        state: how far the request has come; `RAN` is a request whose answer
            is lost.
        account: the client account that made the request.
        idempotency_key: the caller's key.
        digest: digest of method, path and body; empty while none came.
        writer: unique for each write of the row.
        target: the target that it was claimed for, or empty.
        round: how often the target itself has ruled an attempt out.
        written: Unix time of the write, in seconds.
        answer: the stored answer, once done.
        note: what an operator said who resolved it.
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
    """A claim's row as it stands in the table.

    Attributes:
        key: key of the row.
        version: version of the row.
        row: its content.
    """

    key: str
    version: int
    row: ClaimRow


def request_digest(req: messages.CallService) -> str:
    """Returns what makes two requests the same."""
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
    """Returns the key by which the target knows the request.

    It names the account, since two accounts may choose the same key. A
    target that has ruled a request out refuses its key ever after, so that
    the next attempt takes another one.
    """
    key = f"{row.account}/{row.idempotency_key}"
    return f"{key}/{row.round}" if row.round else key


class Claims:
    """Reads and writes the rows of claims.

    Attributes:
        answers: the stored answers.
        group: writes the rows.
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
        """Returns the claim of a request, or None.

        Raises:
            errors.Unavailable: the table did not answer.
        """
        key = claim_key(account, idempotency_key)
        row = self._table.get(key)
        if row is None:
            return None
        return Claim(key, row.version, codec.decode(ClaimRow, row.value))

    def settled(
        self, account: str, idempotency_key: str, *, seconds: float
    ) -> Claim | None:
        """Returns the claim; waits a short time while it is open.

        Raises:
            errors.Unavailable: the table did not answer.
        """
        deadline = self._timers.now() + min(seconds, WAIT_SECONDS)
        while True:
            known = self.read(account, idempotency_key)
            if known is None or known.row.state is not ClaimState.DISPATCHED:
                return known
            if self._timers.now() + POLL_SECONDS >= deadline:
                return known
            self._timers.sleep(POLL_SECONDS)

    def dispatched(self, req: messages.CallService, target: str) -> ClaimRow:
        """Returns the row with which an attempt claims its request."""
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
        """Writes a row if the one before it still stands.

        Args:
            row: the content, with a writer of its own.
            after: version of the row before it; None if there must be none.
            seconds: how long to try.

        Raises:
            errors.ConditionFailed: the row has moved on.
            errors.Unavailable: it was not written.
            errors.OutcomeUnknown: it may have been written.
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
        ruled_out: bool = False,
        note: str = "",
    ) -> Claim:
        """Records the outcome of a claimed request.

        Args:
            claim: the claim as it stands.
            state: the outcome.
            answer: the whole answer, if it is known.
            ruled_out: whether the target itself said that it never runs.
            note: what an operator said.

        Raises:
            errors.ConditionFailed: it has been resolved otherwise.
            errors.Unavailable: it could not be recorded.
            errors.OutcomeUnknown: it may have been recorded.
        """
        stored = None
        if answer is not None:
            stored = self.answers.store(claim.row.writer, answer)
        row = dataclasses.replace(
            claim.row,
            state=state,
            writer=self._ids.unique(),
            written=self._timers.wall(),
            round=claim.row.round + ruled_out,
            answer=stored,
            note=note,
        )
        return self.write(row, claim.version, seconds=RECORD_SECONDS)

    def mark_not_run(
        self,
        account: str,
        idempotency_key: str,
        known: Claim | None,
        digest: str = "",
    ) -> Claim:
        """Writes "not run", so that nothing built on `known` can run.

        Args:
            account: the client account that made the request.
            idempotency_key: the caller's key.
            known: the "not run" row that must still stand; None if there
                must be no row.
            digest: digest of the request, where it is known.

        Raises:
            errors.ConditionFailed: the row has moved on.
            errors.Unavailable: it was not written.
            errors.OutcomeUnknown: it may have been written.
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
        if known is None:
            return self.write(row, None, seconds=WIN_SECONDS)
        again = dataclasses.replace(
            known.row, writer=row.writer, written=row.written
        )
        return self.write(again, known.version, seconds=WIN_SECONDS)

    def outcome(self, row: ClaimRow) -> messages.Outcome:
        """Returns what a row tells.

        Raises:
            errors.Refused: it ran, and its stored answer can't be had now.
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
