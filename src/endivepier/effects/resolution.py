"""What operators do about open claims: list them, show one, resolve one."""

from __future__ import annotations

import dataclasses

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.effects import claims as claims_lib
from endivepier.effects import refusals
from endivepier.internal import codec
from endivepier.storage import ports

PAGE_ROWS = 1000
MAX_PAGES = 5
MIN_AGE_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDocument:
    """A claim as operators see it.

    Attributes:
        account: the client account that made the request.
        idempotency_key: the caller's key.
        state: how far the request has come.
        target: the target that it was claimed for, or empty.
        target_key: the key by which the target knows it.
        written: Unix time of the last change, in seconds.
        version: version of the claim; a resolution names it. It is 0 while
            the request may still be sent, since whoever looks at the target
            then may look too early, however late the resolution arrives.
        note: what an operator said who resolved it.
    """

    account: str
    idempotency_key: str
    state: claims_lib.ClaimState
    target: str
    target_key: str
    written: float
    version: int
    note: str


@dataclasses.dataclass(frozen=True, slots=True)
class OpenClaims:
    """A page of claims without an outcome.

    Attributes:
        claims: the claims.
        after: where the next page begins; empty if there is none.
    """

    claims: tuple[ClaimDocument, ...]
    after: str


class Resolver:
    """Reads and resolves claims on behalf of operators."""

    def __init__(
        self,
        table: ports.Table,
        claims: claims_lib.Claims,
        timers: timers_lib.Timers,
    ) -> None:
        self._table = table
        self._claims = claims
        self._timers = timers

    def open_claims(self, account: str = "", after: str = "") -> OpenClaims:
        """Returns claims without an outcome, a bounded number of reads' worth.

        Args:
            account: only this client account's; empty for all.
            after: the end of the page before.

        Raises:
            errors.Refused: the table did not answer.
        """
        prefix = claims_lib.PREFIX + (f"{account}/" if account else "")
        found: list[ClaimDocument] = []
        for _ in range(MAX_PAGES):
            try:
                rows = self._table.scan(prefix, after=after, limit=PAGE_ROWS)
            except errors.Unavailable:
                raise _store_down(errors.Ran.NO) from None
            found.extend(
                self._document(claim)
                for claim in map(_of_row, rows)
                if claim.row.state is claims_lib.ClaimState.DISPATCHED
            )
            if len(rows) < PAGE_ROWS:
                return OpenClaims(tuple(found), "")
            after = rows[-1].key
        return OpenClaims(tuple(found), after)

    def show(self, account: str, idempotency_key: str) -> ClaimDocument:
        """Returns one claim.

        Raises:
            errors.Refused: there is none, or the table did not answer.
        """
        return self._document(self._read(account, idempotency_key))

    def resolve(
        self,
        account: str,
        idempotency_key: str,
        *,
        version: int,
        ran: errors.Ran,
        note: str,
    ) -> ClaimDocument:
        """Records what an operator has found out about an open claim.

        Args:
            account: the client account that made the request.
            idempotency_key: the caller's key.
            version: version of the claim that the operator has seen.
            ran: yes or no.
            note: who found it out, and how.

        Raises:
            errors.Refused: it can't be resolved, or not yet.
        """
        known = self._read(account, idempotency_key)
        self._check_open(known, version)
        state = claims_lib.ClaimState.NOT_RUN
        if ran is errors.Ran.YES:
            state = claims_lib.ClaimState.RAN
        try:
            resolved = self._claims.record(known, state, note=note)
        except errors.ConditionFailed:
            raise _conflict("the claim has changed; show it again") from None
        except errors.Unavailable:
            raise _store_down(errors.Ran.NO) from None
        except errors.OutcomeUnknown:
            raise _store_down(errors.Ran.UNKNOWN) from None
        return self._document(resolved)

    def _check_open(self, known: claims_lib.Claim, version: int) -> None:
        self._check_old(known)
        if known.version != version:
            raise _conflict(
                f"the claim has version {known.version}, not {version}; "
                "show it again"
            )
        if known.row.state is not claims_lib.ClaimState.DISPATCHED:
            raise _conflict(f"the claim is resolved: {known.row.state}")

    def _check_old(self, known: claims_lib.Claim) -> None:
        if self._may_be_sent(known):
            raise _conflict(
                f"the claim is {self._age(known):.0f} s old and its request "
                f"may still be sent; wait until it is {MIN_AGE_SECONDS:.0f} s "
                "old, show it, and then look at the target"
            )

    def _may_be_sent(self, claim: claims_lib.Claim) -> bool:
        """Returns whether the holder of an open claim may still send."""
        is_open = claim.row.state is claims_lib.ClaimState.DISPATCHED
        return is_open and self._age(claim) < MIN_AGE_SECONDS

    def _age(self, claim: claims_lib.Claim) -> float:
        return self._timers.wall() - claim.row.written

    def _document(self, claim: claims_lib.Claim) -> ClaimDocument:
        row = claim.row
        return ClaimDocument(
            account=row.account,
            idempotency_key=row.idempotency_key,
            state=row.state,
            target=row.target,
            target_key=claims_lib.target_key(row),
            written=row.written,
            version=0 if self._may_be_sent(claim) else claim.version,
            note=row.note,
        )

    def _read(self, account: str, idempotency_key: str) -> claims_lib.Claim:
        try:
            known = self._claims.read(account, idempotency_key)
        except errors.Unavailable:
            raise _store_down(errors.Ran.NO) from None
        if known is None:
            raise errors.Refused(
                errors.Code.NOT_FOUND,
                404,
                f"account {account!r} has no claim {idempotency_key!r}",
            )
        return known


def _of_row(row: ports.Row) -> claims_lib.Claim:
    content = codec.decode(claims_lib.ClaimRow, row.value)
    return claims_lib.Claim(row.key, row.version, content)


def _conflict(detail: str) -> errors.Refused:
    return errors.Refused(errors.Code.CONFLICT, 409, detail)


def _store_down(ran: errors.Ran) -> errors.Refused:
    return errors.Refused(
        errors.Code.STORE_UNAVAILABLE,
        503,
        "the table service gives no answer; show the claim, then retry",
        ran=ran,
        retry_after=refusals.RETRY_AFTER_SECONDS,
    )
