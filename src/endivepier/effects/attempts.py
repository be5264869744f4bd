"""Runs non-idempotent requests on an entry host and looks up outcomes.

An entry host reports "not run" only if the process that should have sent the
request reports so, or if the entry host itself wrote "not run" into the
claim's row. After that write, messages of the attempt that are still in
transit or queued have no effect.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.configuration import current as current_lib
from endivepier.effects import claims as claims_lib
from endivepier.effects import client as client_lib
from endivepier.effects import messages
from endivepier.effects import refusals

MAX_LOOK_UP_TRIES = 4
QUERY_TIMEOUT_SECONDS = 5.0

Send = Callable[[messages.CallService], messages.ServiceAnswer]


class Attempts:
    """Runs requests, resolves unknown outcomes and looks up outcomes."""

    def __init__(
        self,
        claims: claims_lib.Claims,
        client: client_lib.Client,
        current: current_lib.CurrentConfiguration,
        timers: timers_lib.Timers,
    ) -> None:
        self._claims = claims
        self._client = client
        self._current = current
        self._timers = timers

    def run(
        self, req: messages.CallService, send: Send
    ) -> messages.ServiceAnswer:
        """Runs a request and returns the service's complete answer.

        Args:
            req: the request.
            send: sends the request to a sidecar of the service, directly or
                through the owner of a program.

        Raises:
            errors.Refused: the request failed; `ran` tells if it took effect.
        """
        usable = 0 < len(req.idempotency_key) <= claims_lib.MAX_KEY_LENGTH
        if req.idempotent or not usable:
            # The sidecar refuses an unusable key, so that every other fault
            # of the request is reported first.
            return send(req)
        claim = self._read_claim(req)
        if claim is not None and not _is_not_run(claim):
            return self._await_earlier(req)
        attempt = dataclasses.replace(
            req,
            after=None if claim is None else claim.version,
            round=0 if claim is None else claim.row.round,
            sent=self._timers.wall(),
        )
        try:
            return send(attempt)
        except errors.Refused as exc:
            if exc.ran is not errors.Ran.UNKNOWN:
                raise
            return self._resolve_unknown(req, claim, exc)

    def look_up(self, account: str, idempotency_key: str) -> messages.Outcome:
        """Returns the outcome of a request.

        If `ran` is "no", no attempt made before the look-up can run later.

        Raises:
            errors.Refused: the outcome can't be read now.
        """
        for _ in range(MAX_LOOK_UP_TRIES):
            try:
                claim = self._claims.read(account, idempotency_key)
                if claim is None or _is_not_run(claim):
                    self._claims.mark_not_run(account, idempotency_key, claim)
                    return messages.Outcome(errors.Ran.NO)
                return self._outcome_of(claim)
            except errors.ConditionFailed:
                continue
            except (errors.Unavailable, errors.OutcomeUnknown):
                raise refusals.outcome_unknown(
                    "the table service did not respond"
                ) from None
        return messages.Outcome(errors.Ran.UNKNOWN)

    def _read_claim(self, req: messages.CallService) -> claims_lib.Claim | None:
        """Returns the claim whose version a new attempt requires.

        The claim is read only once, before anything is sent. An attempt must
        not require the version of a "not run" that was written after the
        attempt began: that "not run" may have been reported to a caller, so
        the attempt must not run.
        """
        try:
            claim = self._claims.read(req.account, req.idempotency_key)
        except errors.Unavailable:
            raise refusals.claim_not_recorded() from None
        if claim is not None:
            _check_same(claim, req)
        return claim

    def _await_earlier(
        self, req: messages.CallService
    ) -> messages.ServiceAnswer:
        """Waits for an earlier attempt and returns its answer."""
        unknown = refusals.outcome_unknown(
            "the outcome of an earlier attempt is not recorded yet"
        )
        try:
            claim = self._claims.wait_until_settled(
                req.account, req.idempotency_key, seconds=req.seconds / 2
            )
        except errors.Unavailable:
            raise unknown from None
        if claim is None or _is_not_run(claim):
            raise refusals.earlier_not_run()
        return self._result_of(claim, unknown)

    def _resolve_unknown(
        self,
        req: messages.CallService,
        claim: claims_lib.Claim | None,
        exc: errors.Refused,
    ) -> messages.ServiceAnswer:
        """Determines the outcome of an attempt that failed with `exc`.

        If the claim's row has not changed since the attempt began, writing
        "not run" into it proves that the attempt can't run. Otherwise the
        row tells the outcome.
        """
        try:
            self._claims.mark_not_run(
                req.account,
                req.idempotency_key,
                claim,
                claims_lib.request_digest(req),
            )
        except errors.ConditionFailed:
            return self._read_result(req, exc)
        except (errors.Unavailable, errors.OutcomeUnknown):
            raise exc from None
        raise _as_not_run(exc)

    def _read_result(
        self, req: messages.CallService, exc: errors.Refused
    ) -> messages.ServiceAnswer:
        """Returns the answer from the row that another process wrote."""
        try:
            claim = self._claims.read(req.account, req.idempotency_key)
        except errors.Unavailable:
            raise exc from None
        if claim is None:
            raise exc
        _check_same(claim, req)
        return self._result_of(claim, exc)

    def _result_of(
        self, claim: claims_lib.Claim, exc: errors.Refused
    ) -> messages.ServiceAnswer:
        """Returns the answer that a claim records, or raises its refusal.

        Args:
            claim: a claim whose version is not the one that the attempt
                requires.
            exc: the refusal to raise if the outcome is unknown.
        """
        outcome = self._outcome_of(claim)
        match outcome.ran:
            case errors.Ran.NO:
                # The row has another version than this attempt requires.
                raise _as_not_run(exc)
            case errors.Ran.UNKNOWN:
                raise exc
        if outcome.answer is None:
            raise refusals.answer_lost()
        return outcome.answer

    def _outcome_of(self, claim: claims_lib.Claim) -> messages.Outcome:
        row = claim.row
        target = self._current.state.targets.get(row.target)
        is_open = row.state is claims_lib.ClaimState.DISPATCHED
        if not is_open or target is None or not target.tells_outcome:
            return self._claims.outcome(row)
        ask = messages.AskTarget(row.account, row.idempotency_key)
        try:
            return self._client.ask_target(
                row.target, ask, seconds=QUERY_TIMEOUT_SECONDS
            )
        except errors.Refused:
            return messages.Outcome(errors.Ran.UNKNOWN)


def _check_same(claim: claims_lib.Claim, req: messages.CallService) -> None:
    if claim.row.digest not in ("", claims_lib.request_digest(req)):
        raise refusals.key_reused()


def _is_not_run(claim: claims_lib.Claim) -> bool:
    return claim.row.state is claims_lib.ClaimState.NOT_RUN


def _as_not_run(exc: errors.Refused) -> errors.Refused:
    """Returns `exc` as a refusal that reports "not run"."""
    return errors.Refused(
        exc.code,
        exc.status,
        f"{exc.detail}; the request did not run, and this attempt can no "
        "longer run",
        ran=errors.Ran.NO,
        retry_after=refusals.RETRY_AFTER_SECONDS,
    )
