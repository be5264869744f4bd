"""Runs requests at the plain service beside this sidecar."""

from __future__ import annotations

from collections.abc import Callable
import contextvars

import eliot
import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.effects import claims as claims_lib
from endivepier.effects import messages
from endivepier.effects import recorder as recorder_lib
from endivepier.effects import refusals
from endivepier.internal import ids as ids_lib
from endivepier.internal import peers as peers_lib
from endivepier.targets import ports as target_ports
from endivepier.telemetry import metrics as metrics_lib

MAX_SEND_DELAY_SECONDS = 5.0
# Far below `retention.RETENTION_SECONDS`: once a claim's row is deleted, a
# message sent before that could claim the request a second time.
MAX_MESSAGE_AGE_SECONDS = 3600.0
# Above `MAX_SEND_DELAY_SECONDS`, so that a target is queried only when the
# sidecar with the claim can no longer send the request.
MIN_QUERY_AGE_SECONDS = 10.0
DRAIN_POLL_INTERVAL_SECONDS = 0.05
DRAIN_TIMEOUT_SECONDS = 60.0

Run = Callable[[messages.CallService], messages.ServiceAnswer]


class Runner:
    """Runs requests at one service; claims those that are not idempotent."""

    def __init__(
        self,
        target: str,
        service: target_ports.Service,
        claims: claims_lib.Claims,
        timers: timers_lib.Timers,
        ids: ids_lib.Ids,
        metrics: metrics_lib.Metrics,
        checks_fence: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates a runner that accepts requests at once.

        Args:
            target: name of the service's target.
            service: the service.
            claims: the claims of non-idempotent requests.
            timers: the timer service.
            ids: generates unique ids.
            metrics: counts the outcomes of non-idempotent requests.
            checks_fence: whether the service refuses old fencing numbers.
        """
        self._target = target
        self._service = service
        self._claims = claims
        self._timers = timers
        self._ids = ids
        self._metrics = metrics
        self._checks_fence = checks_fence
        self._recorder = recorder_lib.Recorder(claims, timers)
        self._draining = False
        # `ClaimRow.writer` of the claims whose requests run now.
        self._running_writers: set[str] = set()

    @property
    def open_claims(self) -> int:
        """Number of claimed requests that run or whose outcome is pending."""
        return len(self._running_writers) + self._recorder.pending

    def register(
        self,
        inbox: peers_lib.Inbox,
        check_ready: Callable[[], None],
        run: Run | None = None,
    ) -> None:
        """Registers the handlers of messages to this service.

        Args:
            inbox: the message handlers of this process.
            check_ready: raises unless this process accepts new work.
            run: handles a request, for example by queueing it before it
                calls `self.run`; `self.run` if None.
        """
        handle_call = run or self.run

        def handle(req: messages.CallService) -> messages.ServiceAnswer:
            check_ready()
            return handle_call(req)

        inbox.register(messages.CallService, messages.ServiceAnswer, handle)
        inbox.register(messages.AskTarget, messages.Outcome, self.ask_target)

    def start(self) -> None:
        """Accepts requests, also after an earlier `drain`."""
        self._draining = False

    def drain(self) -> None:
        """Refuses requests that are not sent yet; those in flight continue."""
        self._draining = True

    def stop(self) -> None:
        """Waits until the outcomes of claimed requests are recorded."""
        self.drain()
        deadline = self._timers.now() + DRAIN_TIMEOUT_SECONDS
        while self.open_claims and self._timers.now() < deadline:
            self._timers.sleep(DRAIN_POLL_INTERVAL_SECONDS)

    def run(self, req: messages.CallService) -> messages.ServiceAnswer:
        """Runs a request and returns the service's complete answer.

        Raises:
            errors.Refused: the request failed; `ran` tells if it took effect.
        """
        if self._draining:
            raise refusals.draining()
        if req.idempotent:
            return self._send(req, req.seconds, target_ports.allow_send)
        if not 0 < len(req.idempotency_key) <= claims_lib.MAX_KEY_LENGTH:
            raise refusals.key_unusable()
        if self._timers.wall() - req.sent > MAX_MESSAGE_AGE_SECONDS:
            raise refusals.message_expired()
        if not self._recorder.has_capacity():
            raise refusals.claim_not_recorded()
        # A greenlet of its own continues if the caller disconnects, so that
        # the outcome is recorded. The copied context carries the trace.
        result: gevent.event.AsyncResult = gevent.event.AsyncResult()
        context = contextvars.copy_context()
        gevent.spawn(context.run, self._run_and_report, req, result)
        answer: messages.ServiceAnswer = result.get()
        return answer

    def ask_target(self, req: messages.AskTarget) -> messages.Outcome:
        """Queries the service for an open claim's outcome and records it.

        Raises:
            errors.Refused: the outcome can't be determined now.
        """
        try:
            claim = self._claims.read(req.account, req.idempotency_key)
            if claim is None:
                raise refusals.outcome_unknown("the claim does not exist")
            if claim.row.state is claims_lib.ClaimState.DISPATCHED:
                claim = self._query_target(claim)
            return self._claims.outcome(claim.row)
        except errors.ConditionFailed:
            raise refusals.outcome_unknown(
                "another process changed the claim"
            ) from None
        except (errors.Unavailable, errors.OutcomeUnknown):
            raise refusals.outcome_unknown(
                "the table service did not respond"
            ) from None

    def _query_target(self, claim: claims_lib.Claim) -> claims_lib.Claim:
        """Queries the service for the outcome of an open claim.

        Returns:
            The claim with its outcome; unchanged if the outcome is unknown.
        """
        if claim.row.target != self._target:
            # The query arrived late: the claim is now for another target,
            # so this service's reply could prove nothing about it.
            return claim
        age = self._timers.wall() - claim.row.written
        if (
            claim.row.writer in self._running_writers
            or age < MIN_QUERY_AGE_SECONDS
        ):
            return claim
        try:
            answer = self._service.outcome(claims_lib.target_key(claim.row))
        except errors.TargetFailed:
            return claim
        if answer is None:
            return self._claims.record(
                claim, claims_lib.ClaimState.NOT_RUN, key_refused=True
            )
        return self._claims.record(
            claim,
            claims_lib.ClaimState.DONE,
            messages.ServiceAnswer(
                answer.status, answer.body, answer.content_type
            ),
        )

    def _run_and_report(
        self, req: messages.CallService, result: gevent.event.AsyncResult
    ) -> None:
        try:
            answer = self._run_claimed(req)
        except errors.Refused as exc:
            self._metrics.count("effects", ran=exc.ran.value)
            result.set_exception(exc)
        except Exception:
            eliot.write_traceback()
            result.set_exception(
                refusals.outcome_unknown(
                    "the sidecar failed with an internal error"
                )
            )
        else:
            self._metrics.count("effects", ran=errors.Ran.YES.value)
            result.set(answer)

    def _run_claimed(self, req: messages.CallService) -> messages.ServiceAnswer:
        started = self._timers.now()
        row = self._claims.dispatched_row(req, self._target)
        self._running_writers.add(row.writer)
        try:
            claim = self._claims.write(
                row, req.after, seconds=claims_lib.CLAIM_TIMEOUT_SECONDS
            )
            return self._send_claimed(req, claim, started)
        except errors.ConditionFailed:
            return self._await_earlier(req, row.digest)
        except errors.Unavailable:
            raise refusals.claim_not_recorded() from None
        except errors.OutcomeUnknown:
            # The row may have been written, or may be written later. Only
            # this process may send the request, and it does not; the
            # recorder marks the claim as "not run".
            self._recorder.cancel_claim(row, req.after)
            raise refusals.claim_not_recorded() from None
        finally:
            self._running_writers.discard(row.writer)

    def _send_claimed(
        self,
        req: messages.CallService,
        claim: claims_lib.Claim,
        started: float,
    ) -> messages.ServiceAnswer:
        try:
            remaining = req.seconds - (self._timers.now() - started)
            answer = self._send(
                req,
                remaining,
                lambda: self._check_send_deadline(req, started),
                claim,
            )
        except errors.Refused as exc:
            if exc.ran is errors.Ran.NO:
                self._recorder.record(claim, claims_lib.ClaimState.NOT_RUN)
            else:
                eliot.log_message("effect:unknown", key=claim.key)
            raise
        self._recorder.record(claim, claims_lib.ClaimState.DONE, answer)
        return answer

    def _check_send_deadline(
        self, req: messages.CallService, started: float
    ) -> None:
        """Raises if the process is stopping or was paused since the claim.

        Operators and queries to the target may settle a claim that was open
        for some time. That is correct only because the process that holds
        the claim can no longer send the request by then.
        """
        elapsed = self._timers.now() - started
        if self._draining:
            raise errors.TargetFailed(
                self._target, "its sidecar is stopping", sent=False
            )
        if elapsed > min(MAX_SEND_DELAY_SECONDS, req.seconds):
            raise errors.TargetFailed(
                self._target,
                f"{elapsed:.1f} s elapsed before the request could be sent",
                sent=False,
            )

    def _await_earlier(
        self, req: messages.CallService, digest: str
    ) -> messages.ServiceAnswer:
        """Waits for an earlier attempt and returns its answer."""
        try:
            claim = self._claims.wait_until_settled(
                req.account, req.idempotency_key, seconds=req.seconds / 2
            )
        except errors.Unavailable:
            raise refusals.outcome_unknown(
                "the table service did not respond"
            ) from None
        if claim is None:
            raise refusals.earlier_not_run()
        row = claim.row
        if row.digest not in ("", digest):
            raise refusals.key_reused()
        if row.state is claims_lib.ClaimState.DISPATCHED:
            raise refusals.outcome_unknown(
                "the outcome of an earlier attempt is not recorded yet"
            )
        return self._replay(row)

    def _replay(self, row: claims_lib.ClaimRow) -> messages.ServiceAnswer:
        outcome = self._claims.outcome(row)
        if outcome.ran is errors.Ran.NO:
            raise refusals.earlier_not_run()
        if outcome.answer is None:
            raise refusals.answer_lost()
        return outcome.answer

    def _send(
        self,
        req: messages.CallService,
        seconds: float,
        check: Callable[[], None],
        claim: claims_lib.Claim | None = None,
    ) -> messages.ServiceAnswer:
        """Sends the request to the service once.

        Args:
            req: the request.
            seconds: timeout for the service's answer.
            check: called right before the first byte is sent; nothing is sent
                if it raises.
            claim: the claim of a non-idempotent request, or None.

        Raises:
            errors.Refused: the request failed; `ran` tells if it took effect.
        """
        request_id = self._ids.unique()
        fence = 0
        if claim is not None and self._checks_fence():
            # Versions of a claim's row increase with each attempt, so they
            # serve as fencing numbers.
            fence = claim.version
        outgoing = target_ports.ServiceRequest(
            request_id=request_id,
            method=req.method,
            path=req.path,
            body=req.body,
            content_type=req.content_type,
            idempotency_key=claims_lib.target_key(claim.row) if claim else "",
            fence=fence,
        )
        try:
            answer = self._service.call(
                outgoing, seconds=max(seconds, 0.0), check=check
            )
        except errors.TargetFailed as exc:
            raise _target_failed(
                str(exc), errors.Ran.UNKNOWN if exc.sent else errors.Ran.NO
            ) from None
        if answer.request_id != request_id:
            raise _target_failed(
                "the service returned the answer of another request",
                errors.Ran.UNKNOWN,
            )
        return messages.ServiceAnswer(
            answer.status, answer.body, answer.content_type
        )


def _target_failed(detail: str, ran: errors.Ran) -> errors.Refused:
    return errors.Refused(
        errors.Code.TARGET_FAILED,
        502,
        detail,
        ran=ran,
        retry_after=refusals.RETRY_AFTER_SECONDS,
    )
