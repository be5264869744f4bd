"""Lists, shows and resolves claims for operators.

An open claim is one whose request may have run, with no outcome recorded.
"""

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
# Above `runner.MAX_SEND_DELAY_SECONDS`, after which a sidecar no longer sends a
# claimed request.
MIN_RESOLVE_AGE_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDocument:
    """A claim as operators see it.

    Attributes:
        account: the client account that made the request.
        idempotency_key: the caller's key.
        state: state of the request.
        target: the target for which the request was claimed, or empty.
        target_key: the idempotency key that is sent to the target.
        written: Unix time of the last change, in seconds.
        version: version of the claim, which a resolution must repeat. It is 0
            while the request may still be sent. An operator who checks the
            target that early may miss the request, so a resolution based on
            that check must fail, however late it arrives.
        note: the note of the operator who resolved the claim, or empty.
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
    """A page of open claims.

    Attributes:
        claims: the open claims; a page may have none and not be the last.
        after: the `after` argument for the next page; empty on the last page.
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
        """Returns a page of open claims from at most `MAX_PAGES` scans.

        Args:
            account: client account whose claims to return; empty for all.
            after: `OpenClaims.after` of the previous page, or empty.

        Raises:
            errors.Refused: the table service did not respond.
        """
        prefix = claims_lib.PREFIX + (f"{account}/" if account else "")
        open_claims: list[ClaimDocument] = []
        for _ in range(MAX_PAGES):
            try:
                page = self._table.scan(prefix, after=after, limit=PAGE_ROWS)
            except errors.Unavailable:
                raise _store_unavailable(errors.Ran.NO) from None
            open_claims.extend(
                self._to_document(claim)
                for claim in map(_decode_claim, page.rows)
                if claim.row.state is claims_lib.ClaimState.DISPATCHED
            )
            if not page.more:
                return OpenClaims(tuple(open_claims), "")
            after = page.rows[-1].key
        return OpenClaims(tuple(open_claims), after)

    def show(self, account: str, idempotency_key: str) -> ClaimDocument:
        """Returns one claim.

        Raises:
            errors.Refused: there is no such claim, or the table service did
                not respond.
        """
        return self._to_document(self._read(account, idempotency_key))

    def resolve(
        self,
        account: str,
        idempotency_key: str,
        *,
        version: int,
        ran: errors.Ran,
        note: str,
    ) -> ClaimDocument:
        """Records the outcome that an operator found for an open claim.

        Args:
            account: the client account that made the request.
            idempotency_key: the caller's key.
            version: version of the claim as shown to the operator.
            ran: whether the request took effect, `YES` or `NO`.
            note: who determined the outcome, and how.

        Raises:
            errors.Refused: the claim can't be resolved, or not yet.
        """
        claim = self._read(account, idempotency_key)
        self._check_open(claim, version)
        state = claims_lib.ClaimState.NOT_RUN
        if ran is errors.Ran.YES:
            state = claims_lib.ClaimState.RAN
        try:
            resolved = self._claims.record(claim, state, note=note)
        except errors.ConditionFailed:
            raise _conflict("the claim has changed; show it again") from None
        except errors.Unavailable:
            raise _store_unavailable(errors.Ran.NO) from None
        except errors.OutcomeUnknown:
            raise _store_unavailable(errors.Ran.UNKNOWN) from None
        return self._to_document(resolved)

    def _check_open(self, claim: claims_lib.Claim, version: int) -> None:
        self._check_not_sendable(claim)
        if claim.version != version:
            raise _conflict(
                f"the claim has version {claim.version}, not {version}; "
                "show it again"
            )
        if claim.row.state is not claims_lib.ClaimState.DISPATCHED:
            raise _conflict(f"the claim is resolved: {claim.row.state}")

    def _check_not_sendable(self, claim: claims_lib.Claim) -> None:
        if self._may_be_sent(claim):
            raise _conflict(
                f"the claim is {self._age(claim):.0f} s old and its request "
                "may still be sent; wait until it is "
                f"{MIN_RESOLVE_AGE_SECONDS:.0f} s old, show it, and then check "
                "the target"
            )

    def _may_be_sent(self, claim: claims_lib.Claim) -> bool:
        """Returns whether the sidecar with an open claim may still send."""
        is_open = claim.row.state is claims_lib.ClaimState.DISPATCHED
        return is_open and self._age(claim) < MIN_RESOLVE_AGE_SECONDS

    def _age(self, claim: claims_lib.Claim) -> float:
        return self._timers.wall() - claim.row.written

    def _to_document(self, claim: claims_lib.Claim) -> ClaimDocument:
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
            claim = self._claims.read(account, idempotency_key)
        except errors.Unavailable:
            raise _store_unavailable(errors.Ran.NO) from None
        if claim is None:
            raise errors.Refused(
                errors.Code.NOT_FOUND,
                404,
                f"account {account!r} has no claim {idempotency_key!r}",
            )
        return claim


def _decode_claim(row: ports.Row) -> claims_lib.Claim:
    content = codec.decode(claims_lib.ClaimRow, row.value)
    return claims_lib.Claim(row.key, row.version, content)


def _conflict(detail: str) -> errors.Refused:
    return errors.Refused(errors.Code.CONFLICT, 409, detail)


def _store_unavailable(ran: errors.Ran) -> errors.Refused:
    return errors.Refused(
        errors.Code.STORE_UNAVAILABLE,
        503,
        "the table service did not respond; show the claim, then retry",
        ran=ran,
        retry_after=refusals.RETRY_AFTER_SECONDS,
    )
