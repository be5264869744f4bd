"""Runs requests at the plain service beside this sidecar."""

from __future__ import annotations

from collections.abc import Callable

from endivepier import errors
from endivepier.effects import claims as claims_lib
from endivepier.effects import messages
from endivepier.internal import ids as ids_lib
from endivepier.internal import peers as peers_lib
from endivepier.targets import ports as target_ports

Run = Callable[[messages.CallService], messages.ServiceAnswer]


class Runner:
    """Sends requests to one service: repeatable ones and claimed ones."""

    def __init__(
        self,
        service: target_ports.Service,
        claims: claims_lib.Claims,
        ids: ids_lib.Ids,
    ) -> None:
        self._service = service
        self._claims = claims
        self._ids = ids

    def register(self, inbox: peers_lib.Inbox, run: Run | None = None) -> None:
        """Takes the messages about this service."""
        handle = run or self.run
        inbox.register(messages.CallService, messages.ServiceAnswer, handle)
        inbox.register(messages.LookUp, messages.Outcome, self.look_up)

    def run(self, req: messages.CallService) -> messages.ServiceAnswer:
        """Runs a request and returns the service's whole answer.

        Raises:
            errors.Refused: with the truth about whether it ran.
        """
        if req.idempotent:
            return self._send(req, errors.Ran.UNKNOWN)
        if not req.idempotency_key:
            raise errors.Refused(
                errors.Code.BAD_REQUEST,
                400,
                "a request that must not be repeated needs an Idempotency-Key",
            )
        claim = self._claims.claim(req)
        if isinstance(claim, messages.ServiceAnswer):
            return claim
        return self._send_claimed(req, claim)

    def look_up(self, req: messages.LookUp) -> messages.Outcome:
        """Returns what is known of a non-idempotent request."""
        try:
            return self._claims.look_up(req)
        except errors.Unavailable as exc:
            raise errors.Refused(
                errors.Code.STORE_UNAVAILABLE,
                503,
                f"{exc}; look the outcome up later",
                ran=errors.Ran.UNKNOWN,
                retry_after=1.0,
            ) from None

    def _send_claimed(
        self, req: messages.CallService, claim: claims_lib.Claim
    ) -> messages.ServiceAnswer:
        try:
            answer = self._send(req, errors.Ran.UNKNOWN)
        except errors.Refused as exc:
            if exc.ran is errors.Ran.NO:
                self._claims.record(claim, claims_lib.ClaimState.NOT_RUN)
            raise
        try:
            self._claims.record(claim, claims_lib.ClaimState.DONE, answer)
        except (errors.Unavailable, errors.OutcomeUnknown):
            # The effect took place and its answer is here; what is lost is
            # only the replay for a later request with the same key, which
            # will be told "unknown".
            return answer
        return answer

    def _send(
        self, req: messages.CallService, if_sent: errors.Ran
    ) -> messages.ServiceAnswer:
        """Sends the request once."""
        request_id = self._ids.unique()
        outgoing = target_ports.ServiceRequest(
            request_id=request_id,
            method=req.method,
            path=req.path,
            body=req.body,
            content_type=req.content_type,
            idempotency_key=req.idempotency_key,
        )
        try:
            answer = self._service.call(outgoing, seconds=req.seconds)
        except errors.TargetFailed as exc:
            raise errors.Refused(
                errors.Code.TARGET_FAILED,
                502,
                str(exc),
                ran=if_sent if exc.sent else errors.Ran.NO,
            ) from None
        if answer.request_id != request_id:
            raise errors.Refused(
                errors.Code.TARGET_FAILED,
                502,
                "the service gave the answer of another request",
                ran=if_sent,
            )
        return messages.ServiceAnswer(
            answer.status, answer.body, answer.content_type
        )
