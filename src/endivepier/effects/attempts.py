"""Non-idempotent requests as the entry host runs them: attempts, look-ups.

An entry host says "not run" only if the one who would have sent the request
said so, or if it won the claim's row itself, which leaves the attempt's
messages without effect wherever they still are.
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

LOOK_UP_TRIES = 4
ASK_SECONDS = 5.0

Send = Callable[[messages.CallService], messages.ServiceAnswer]


class Attempts:
    """Runs requests to a known outcome, and looks outcomes up."""

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
        """Runs a request.

        Args:
            req: the request.
            send: takes it to the service's sidecar, directly or through a
                program's owner.

        Raises:
            errors.Refused: with the truth about whether it ran.
        """
        usable = 0 < len(req.idempotency_key) <= claims_lib.MAX_KEY
        if req.idempotent or not usable:
            # A key that is not usable is refused where it would be claimed,
            # after whatever else is wrong with the request.
            return send(req)
        known = self._known(req)
        if known is not None and not _is_not_run(known):
            return self._earlier(req)
        attempt = dataclasses.replace(
            req,
            after=None if known is None else known.version,
            round=0 if known is None else known.row.round,
            sent=self._timers.wall(),
        )
        try:
            return send(attempt)
        except errors.Refused as exc:
            if exc.ran is not errors.Ran.UNKNOWN:
                raise
            return self._settle(req, known, exc)

    def look_up(self, account: str, idempotency_key: str) -> messages.Outcome:
        """Returns what is known of a request; "no" is final.

        Raises:
            errors.Refused: nothing could be learnt now.
        """
        for _ in range(LOOK_UP_TRIES):
            try:
                known = self._claims.read(account, idempotency_key)
                if known is None or _is_not_run(known):
                    self._claims.win(account, idempotency_key, known)
                    return messages.Outcome(errors.Ran.NO)
                return self._outcome(known)
            except errors.ConditionFailed:
                continue
            except (errors.Unavailable, errors.OutcomeUnknown):
                raise refusals.unknown("the table gives no answer") from None
        return messages.Outcome(errors.Ran.UNKNOWN)

    def _known(self, req: messages.CallService) -> claims_lib.Claim | None:
        """Returns the row on which a new attempt builds.

        It is read once, before anything is sent: an attempt must not build
        on a "not run" that was told to somebody after it had begun.
        """
        try:
            known = self._claims.read(req.account, req.idempotency_key)
        except errors.Unavailable:
            raise refusals.store_down() from None
        if known is not None:
            _check_same(known, req)
        return known

    def _earlier(self, req: messages.CallService) -> messages.ServiceAnswer:
        """Answers with what becomes of an attempt that was made before."""
        unknown = refusals.unknown("an earlier attempt has no outcome")
        try:
            known = self._claims.settled(
                req.account, req.idempotency_key, seconds=req.seconds / 2
            )
        except errors.Unavailable:
            raise unknown from None
        if known is None or _is_not_run(known):
            raise refusals.moved_on()
        return self._answer(known, unknown)

    def _settle(
        self,
        req: messages.CallService,
        known: claims_lib.Claim | None,
        exc: errors.Refused,
    ) -> messages.ServiceAnswer:
        """Finds out what became of an attempt that gave no certain answer."""
        try:
            self._claims.win(
                req.account,
                req.idempotency_key,
                known,
                claims_lib.request_digest(req),
            )
        except errors.ConditionFailed:
            return self._found(req, exc)
        except (errors.Unavailable, errors.OutcomeUnknown):
            raise exc from None
        raise _as_not_run(exc)

    def _found(
        self, req: messages.CallService, exc: errors.Refused
    ) -> messages.ServiceAnswer:
        """Answers from the row that others have written."""
        try:
            now = self._claims.read(req.account, req.idempotency_key)
        except errors.Unavailable:
            raise exc from None
        if now is None:
            raise exc
        _check_same(now, req)
        return self._answer(now, exc)

    def _answer(
        self, known: claims_lib.Claim, exc: errors.Refused
    ) -> messages.ServiceAnswer:
        """Returns the answer that a row leads to, or raises what it tells.

        Args:
            known: a row on which the attempt does not build.
            exc: the refusal while the outcome is unknown.
        """
        outcome = self._outcome(known)
        match outcome.ran:
            case errors.Ran.NO:
                # The row has moved on from where this attempt could claim.
                raise _as_not_run(exc)
            case errors.Ran.UNKNOWN:
                raise exc
        if outcome.answer is None:
            raise refusals.ran_without_answer()
        return outcome.answer

    def _outcome(self, known: claims_lib.Claim) -> messages.Outcome:
        row = known.row
        target = self._current.state.targets.get(row.target)
        is_open = row.state is claims_lib.ClaimState.DISPATCHED
        if not is_open or target is None or not target.tells_outcome:
            return self._claims.outcome(row)
        ask = messages.AskTarget(row.account, row.idempotency_key)
        try:
            return self._client.ask_target(row.target, ask, seconds=ASK_SECONDS)
        except errors.Refused:
            return messages.Outcome(errors.Ran.UNKNOWN)


def _check_same(known: claims_lib.Claim, req: messages.CallService) -> None:
    if known.row.digest not in ("", claims_lib.request_digest(req)):
        raise refusals.key_reused()


def _is_not_run(claim: claims_lib.Claim) -> bool:
    return claim.row.state is claims_lib.ClaimState.NOT_RUN


def _as_not_run(exc: errors.Refused) -> errors.Refused:
    """Returns the refusal with the proof that the request did not run."""
    return errors.Refused(
        exc.code,
        exc.status,
        f"{exc.detail}; it did not run and this attempt can't run any more",
        ran=errors.Ran.NO,
        retry_after=refusals.RETRY_SECONDS,
    )
