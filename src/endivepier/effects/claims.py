"""At most once: a claim in the table before a request is sent.

Exactly the process whose write inserted the claim sends the request, once. A
claim is never taken over for another dispatch. While the outcome of a claimed
request is not recorded, it is unknown.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib

from endivepier import errors
from endivepier.effects import messages
from endivepier.internal import codec
from endivepier.internal import ids as ids_lib
from endivepier.platform import commit
from endivepier.platform import ports

PREFIX = "claim/"
CLAIM_SECONDS = 2.0
RECORD_SECONDS = 10.0


class ClaimState(enum.StrEnum):
    """How far a claimed request has come."""

    DISPATCHED = "dispatched"
    NOT_RUN = "not_run"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRow:
    """The table's row of a claim.

    Attributes:
        state: how far the request has come.
        request_digest: digest of method, path and body.
        attempt_id: unique for the attempt that wrote it.
        answer: the stored answer, once done.
    """

    state: ClaimState
    request_digest: str
    attempt_id: str
    answer: messages.ServiceAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Permission to send a request once.

    Attributes:
        key: key of the claim's row.
        version: version of the row.
        row: the row as written.
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


class Claims:
    """Inserts claims and records outcomes."""

    def __init__(
        self,
        table: ports.Table,
        committer: commit.Committer,
        ids: ids_lib.Ids,
    ) -> None:
        self._table = table
        self._committer = committer
        self._ids = ids

    def claim(
        self, req: messages.CallService
    ) -> Claim | messages.ServiceAnswer:
        """Claims a request, or returns the answer that it had before.

        Raises:
            errors.Refused: the request must not be sent now; `ran` says
                what is known about it.
        """
        key = claim_key(req.account, req.idempotency_key)
        row = ClaimRow(
            ClaimState.DISPATCHED, request_digest(req), self._ids.unique()
        )
        condition: ports.Condition = ports.Absent(key)
        try:
            known = self._table.get(key)
            if known is not None:
                earlier = codec.decode(ClaimRow, known.value)
                answer = _check_earlier(earlier, row)
                if answer is not None:
                    return answer
                condition = ports.VersionIs(key, known.version)
            return self._write(key, row, condition, CLAIM_SECONDS)
        except errors.ConditionFailed:
            raise _unknown("another request with this key runs now") from None
        except errors.Unavailable:
            raise _store_down() from None
        except errors.OutcomeUnknown:
            # Our insert may stand in the table, but only this process may
            # act on it, and it will not.
            raise _store_down() from None

    def record(
        self,
        claim: Claim,
        state: ClaimState,
        answer: messages.ServiceAnswer | None = None,
    ) -> None:
        """Records the outcome of a claimed request.

        Raises:
            errors.Unavailable: it could not be recorded.
            errors.OutcomeUnknown: it may have been recorded.
        """
        row = dataclasses.replace(claim.row, state=state, answer=answer)
        condition = ports.VersionIs(claim.key, claim.version)
        self._write(claim.key, row, condition, RECORD_SECONDS)

    def look_up(self, req: messages.LookUp) -> messages.Outcome:
        """Returns what is known of a request.

        Raises:
            errors.Unavailable: the table did not answer.
        """
        row = self._table.get(claim_key(req.account, req.idempotency_key))
        if row is None:
            return messages.Outcome(errors.Ran.NO)
        known = codec.decode(ClaimRow, row.value)
        match known.state:
            case ClaimState.DONE:
                return messages.Outcome(errors.Ran.YES, known.answer)
            case ClaimState.NOT_RUN:
                return messages.Outcome(errors.Ran.NO)
            case _:
                return messages.Outcome(errors.Ran.UNKNOWN)

    def _write(
        self,
        key: str,
        row: ClaimRow,
        condition: ports.Condition,
        seconds: float,
    ) -> Claim:
        value = codec.encode(row)
        txn = ports.Transaction((condition,), (ports.Put(key, value),))
        proof = commit.Proof(key, lambda found: found == value)
        version = self._committer.commit(txn, proof, seconds=seconds)
        return Claim(key, version, row)


def _check_earlier(
    earlier: ClaimRow, row: ClaimRow
) -> messages.ServiceAnswer | None:
    """Returns the earlier answer; None if the request may be sent again."""
    if earlier.request_digest != row.request_digest:
        raise errors.Refused(
            errors.Code.KEY_REUSED,
            422,
            "this Idempotency-Key was used for another request; take a new one",
        )
    match earlier.state:
        case ClaimState.DONE:
            assert earlier.answer is not None
            return dataclasses.replace(earlier.answer, replayed=True)
        case ClaimState.NOT_RUN:
            return None
        case ClaimState.DISPATCHED:
            raise _unknown("an earlier request with this key has no outcome")


def _unknown(detail: str) -> errors.Refused:
    return errors.Refused(
        errors.Code.OUTCOME_UNKNOWN,
        409,
        f"{detail}; look its outcome up later",
        ran=errors.Ran.UNKNOWN,
        retry_after=1.0,
    )


def _store_down() -> errors.Refused:
    return errors.Refused(
        errors.Code.STORE_UNAVAILABLE,
        503,
        "the claim could not be recorded, so the request was not sent",
        retry_after=1.0,
    )
