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

SEND_SECONDS = 5.0
MESSAGE_SECONDS = 3600.0
SETTLED_SECONDS = 10.0
DRAIN_POLL_SECONDS = 0.05
DRAIN_SECONDS = 60.0

Run = Callable[[messages.CallService], messages.ServiceAnswer]


class Runner:
    """Sends requests to one service: repeatable ones and claimed ones."""

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
        """Makes a runner that takes requests at once.

        Args:
            target: name of the service.
            service: the service.
            claims: the claims of non-idempotent requests.
            timers: the timer service.
            ids: makes unique names.
            metrics: counts what becomes of requests.
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
        self._running: set[str] = set()

    @property
    def open_claims(self) -> int:
        """How many claimed requests run or wait for their record."""
        return len(self._running) + self._recorder.pending

    def register(
        self,
        inbox: peers_lib.Inbox,
        check_ready: Callable[[], None],
        run: Run | None = None,
    ) -> None:
        """Takes the messages about this service.

        Args:
            inbox: the handlers of this process.
            check_ready: raises unless this process takes new work.
            run: carries a request out in its turn; `self.run` if None.
        """
        in_turn = run or self.run

        def handle(req: messages.CallService) -> messages.ServiceAnswer:
            check_ready()
            return in_turn(req)

        inbox.register(messages.CallService, messages.ServiceAnswer, handle)
        inbox.register(messages.AskTarget, messages.Outcome, self.ask_target)

    def start(self) -> None:
        """Takes requests."""
        self._draining = False

    def drain(self) -> None:
        """Refuses what was not sent; what was sent goes on."""
        self._draining = True

    def stop(self) -> None:
        """Waits until what was sent is answered and recorded."""
        self.drain()
        deadline = self._timers.now() + DRAIN_SECONDS
        while self.open_claims and self._timers.now() < deadline:
            self._timers.sleep(DRAIN_POLL_SECONDS)

    def run(self, req: messages.CallService) -> messages.ServiceAnswer:
        """Runs a request and returns the service's whole answer.

        Raises:
            errors.Refused: with the truth about whether it ran.
        """
        if self._draining:
            raise refusals.draining()
        if req.idempotent:
            return self._send(req, req.seconds, target_ports.send_any_time)
        if not 0 < len(req.idempotency_key) <= claims_lib.MAX_KEY_LENGTH:
            raise refusals.key_unusable()
        if self._timers.wall() - req.sent > MESSAGE_SECONDS:
            raise refusals.message_expired()
        if not self._recorder.has_room():
            raise refusals.claim_not_recorded()
        # The work goes on when the one who asked hangs up, so that its
        # outcome is recorded; the context carries its trace along.
        result: gevent.event.AsyncResult = gevent.event.AsyncResult()
        context = contextvars.copy_context()
        gevent.spawn(context.run, self._run_into, req, result)
        answer: messages.ServiceAnswer = result.get()
        return answer

    def ask_target(self, req: messages.AskTarget) -> messages.Outcome:
        """Learns an open claim's outcome from the service, and records it.

        Raises:
            errors.Refused: nothing could be learnt now.
        """
        try:
            known = self._claims.read(req.account, req.idempotency_key)
            if known is None:
                raise refusals.outcome_unknown("the claim is gone")
            if known.row.state is claims_lib.ClaimState.DISPATCHED:
                known = self._settle(known)
            return self._claims.outcome(known.row)
        except errors.ConditionFailed:
            raise refusals.outcome_unknown("the claim changes now") from None
        except (errors.Unavailable, errors.OutcomeUnknown):
            raise refusals.outcome_unknown(
                "the table gives no answer"
            ) from None

    def _settle(self, known: claims_lib.Claim) -> claims_lib.Claim:
        """Returns the claim as it is after the service was asked."""
        if known.row.target != self._target:
            # The question came late: by now the claim is another target's,
            # and that this one never ran it proves nothing.
            return known
        age = self._timers.wall() - known.row.written
        if known.row.writer in self._running or age < SETTLED_SECONDS:
            return known
        try:
            answer = self._service.outcome(claims_lib.target_key(known.row))
        except errors.TargetFailed:
            return known
        if answer is None:
            return self._claims.record(
                known, claims_lib.ClaimState.NOT_RUN, key_refused=True
            )
        return self._claims.record(
            known,
            claims_lib.ClaimState.DONE,
            messages.ServiceAnswer(
                answer.status, answer.body, answer.content_type
            ),
        )

    def _run_into(
        self, req: messages.CallService, result: gevent.event.AsyncResult
    ) -> None:
        try:
            answer = self._run_claimed(req)
        except errors.Refused as exc:
            self._metrics.count("effects", ran=exc.ran.value)
            result.set_exception(exc)
        except Exception:
            eliot.write_traceback()
            result.set_exception(refusals.outcome_unknown("the sidecar failed"))
        else:
            self._metrics.count("effects", ran=errors.Ran.YES.value)
            result.set(answer)

    def _run_claimed(self, req: messages.CallService) -> messages.ServiceAnswer:
        started = self._timers.now()
        row = self._claims.dispatched_row(req, self._target)
        self._running.add(row.writer)
        try:
            claim = self._claims.write(
                row, req.after, seconds=claims_lib.CLAIM_TIMEOUT_SECONDS
            )
            return self._send_claimed(req, claim, started)
        except errors.ConditionFailed:
            return self._earlier(req, row.digest)
        except errors.Unavailable:
            raise refusals.claim_not_recorded() from None
        except errors.OutcomeUnknown:
            # The row may stand or come to stand, but only this process may
            # act on it, and it will not; the recorder takes it back.
            self._recorder.take_back(row, req.after)
            raise refusals.claim_not_recorded() from None
        finally:
            self._running.discard(row.writer)

    def _send_claimed(
        self,
        req: messages.CallService,
        claim: claims_lib.Claim,
        started: float,
    ) -> messages.ServiceAnswer:
        try:
            left = req.seconds - (self._timers.now() - started)
            answer = self._send(
                req, left, lambda: self._check_may_send(req, started), claim
            )
        except errors.Refused as exc:
            if exc.ran is errors.Ran.NO:
                self._recorder.record(claim, claims_lib.ClaimState.NOT_RUN)
            else:
                eliot.log_message("effect:unknown", key=claim.key)
            raise
        self._recorder.record(claim, claims_lib.ClaimState.DONE, answer)
        return answer

    def _check_may_send(
        self, req: messages.CallService, started: float
    ) -> None:
        """Keeps a process that was paused, or stops, from sending.

        A claim that stands open for long may be resolved by others, which
        is sound only because its holder does not send any more by then.
        """
        passed = self._timers.now() - started
        if self._draining:
            raise errors.TargetFailed(
                self._target, "its sidecar is stopping", sent=False
            )
        if passed > min(SEND_SECONDS, req.seconds):
            raise errors.TargetFailed(
                self._target,
                f"{passed:.1f} s passed before the request could be sent",
                sent=False,
            )

    def _earlier(
        self, req: messages.CallService, digest: str
    ) -> messages.ServiceAnswer:
        """Answers with what became of an earlier attempt."""
        try:
            known = self._claims.wait_until_settled(
                req.account, req.idempotency_key, seconds=req.seconds / 2
            )
        except errors.Unavailable:
            raise refusals.outcome_unknown(
                "the table gives no answer"
            ) from None
        if known is None:
            raise refusals.earlier_not_run()
        row = known.row
        if row.digest not in ("", digest):
            raise refusals.key_reused()
        if row.state is claims_lib.ClaimState.DISPATCHED:
            raise refusals.outcome_unknown("an earlier attempt has no outcome")
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
        """Sends the request once."""
        request_id = self._ids.unique()
        fence = 0
        if claim is not None and self._checks_fence():
            # The versions of a claim's row rise with each attempt.
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
            raise _failed(
                str(exc), errors.Ran.UNKNOWN if exc.sent else errors.Ran.NO
            ) from None
        if answer.request_id != request_id:
            raise _failed(
                "the service gave the answer of another request",
                errors.Ran.UNKNOWN,
            )
        return messages.ServiceAnswer(
            answer.status, answer.body, answer.content_type
        )


def _failed(detail: str, ran: errors.Ran) -> errors.Refused:
    return errors.Refused(
        errors.Code.TARGET_FAILED,
        502,
        detail,
        ran=ran,
        retry_after=refusals.RETRY_AFTER_SECONDS,
    )
