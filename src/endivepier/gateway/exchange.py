"""Sends calls to targets and reads their responses.

A response belongs to a call only if it carries the call's id. Only a response
that states that the call has not run may carry no id. A response with another
id is a late one to an earlier call on the same connection: it is skipped, and
the connection is closed instead of reused. So it is after a response without an
id: once more, late, it would be taken for the response to the next call.
"""

from __future__ import annotations

import eliot

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import dialect as dialect_lib
from endivepier.gateway import model
from endivepier.gateway.choice import placement as placement_lib
from endivepier.gateway.targets import cold as cold_targets_lib
from endivepier.gateway.targets import departures as departures_lib
from endivepier.gateway.targets import limit_reports as limit_reports_lib
from endivepier.gateway.targets import liveness as liveness_lib
from endivepier.gateway.targets import rates as target_rates
from endivepier.gateway.targets import tokens as rate_tokens_lib
from endivepier.http1 import buffers as buffers_lib
from endivepier.http1 import client
from endivepier.http1 import errors as http_errors
from endivepier.http1 import messages
from endivepier.http1 import pool as pool_lib
from endivepier.http1 import responses
from endivepier.telemetry import metrics as metrics_lib

# A call that must not be repeated is sent on a new connection or on one that
# was idle for no longer than this. If the target has closed an idle connection
# in the meantime, the outcome of the call would be unknown.
MAX_IDLE_SECONDS = 4.0
# Late responses to earlier calls, before the response to a call.
MAX_OTHER_RESPONSE_BYTES = 1024 * 1024
# Targets stop work at the deadline that they get, in whole milliseconds, and
# their timers may be as coarse as that of an operating system.
DEADLINE_MARGIN_SECONDS = 0.01


class Exchange:
    """One attempt of a call: the request to one target and its response.

    Attributes:
        target: the target that the call was sent to.
        head: status and headers of the response; status 0 until read.
        verdict: what the head says about the call.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        call: model.Call,
        target: model.Target,
        conn: client.Connection,
        uncached_tokens: int,
        deadline: float,
    ) -> None:
        self._deadline = deadline
        self._status_path = dispatcher.liveness.status_path(target.service)
        self._uncached_tokens = uncached_tokens
        self.target = target
        self.head = messages.Head(0, [])
        self.verdict = model.Verdict("", sealed=False, not_run=False)
        self._dispatcher = dispatcher
        self._call = call
        self._conn = conn
        self._sent_at = dispatcher.now()
        self._complete = False
        self._skipped_response = False
        self._closed = False
        self._exceeded_limit = False
        self._body = dispatcher.buffers.open(target.incarnation)

    @property
    def not_run(self) -> bool:
        """Whether the target states that the call has not run."""
        return self.verdict.says_not_run(self.head.status)

    def read_head(self, deadline: float) -> None:
        """Reads the response head, skipping responses to other calls.

        Raises:
            errors.TargetFailed: no valid head arrived in time.
        """
        while True:
            part = self._read(deadline)
            if self._conn.received_bytes > MAX_OTHER_RESPONSE_BYTES:
                raise self.limit_exceeded(
                    "other responses", MAX_OTHER_RESPONSE_BYTES
                )
            if not isinstance(part, messages.Head):
                continue
            verdict = self._dispatcher.dialect.decode_head(part)
            if verdict.leaving:
                self._dispatcher.departures.add(
                    self.target.incarnation, source="response"
                )
            if verdict.call and verdict.call != self._call.id:
                self._skipped_response = True
                continue
            if fault := verdict.find_fault(part.status):
                raise self.failure(fault)
            self.head = part
            self.verdict = verdict
            self._dispatcher.cold_targets.note_reached(self.target)
            if part.status != model.MISDIRECTED_REQUEST:
                self._dispatcher.rates.note(
                    self.target.incarnation,
                    verdict.rate,
                    as_of=self._sent_at,
                    source=target_rates.RESPONSE,
                )
            return

    def read(self, deadline: float) -> bytes | None:
        """Returns the next chunk of the body, or None at its end.

        The end may be that of the connection; see `check_end`.

        Raises:
            errors.TargetFailed: the body was cut off, late or invalid.
        """
        part = self._read(deadline)
        match part:
            case responses.Data(content=content):
                return content
            case responses.End():
                self._complete = True
                return None
            case _:
                raise self.failure(
                    "a second response began within the body of the first"
                )

    def read_all(self, deadline: float) -> bytes:
        """Returns the whole body; `release_body` releases its memory.

        Raises:
            errors.TargetFailed: the body was cut off, late, invalid or too
                large.
        """
        try:
            body = client.read_body(
                self._conn,
                self.head,
                deadline,
                self._dispatcher.buffers,
                self._body,
            )
        except http_errors.HttpError as exc:
            raise self.failure(str(exc), exc) from exc
        self.check_end()
        self._complete = True
        return body

    def check_end(self) -> None:
        """Checks that the target ended a response that has no end of its own.

        A rejection is complete with its head.

        Raises:
            errors.TargetFailed: the target may have been killed, or may have
                stopped work at the call's deadline.
        """
        if not self.head.until_close or self.not_run:
            return
        if self._deadline - self._dispatcher.now() < DEADLINE_MARGIN_SECONDS:
            raise self.failure("the connection closed at the call's deadline")
        if not self._dispatcher.liveness.is_running(
            self.target,
            self._status_path,
            self._deadline,
            request=self._call.id,
        ):
            raise self.failure(
                "the connection closed, and the target does not respond"
            )

    def release_body(self) -> None:
        """Releases the memory reserved for the body."""
        self._body.release()

    def report_first_event(self) -> None:
        """Reports the time to the first event to the placement."""
        self._dispatcher.placement.note_first_event(
            self.target,
            self._call,
            self._uncached_tokens,
            self._dispatcher.now() - self._sent_at,
        )

    def __enter__(self) -> Exchange:
        return self

    def __exit__(self, kind: type[BaseException] | None, *_: object) -> None:
        # Other exceptions, such as a client disconnect, are no target failure.
        failed = kind is not None and issubclass(kind, errors.TargetFailed)
        self.close(failed=failed)

    def close(self, *, failed: bool = False) -> None:
        """Ends the exchange.

        Before the end of the response, this closes the connection, which makes
        the target stop working on the call.

        Args:
            failed: whether the target failed.
        """
        if self._closed:
            return
        self._closed = True
        if failed:
            self._body.release()
        if self._complete and self.verdict.call and not self._skipped_response:
            self._dispatcher.pool.release(self.target.incarnation, self._conn)
        else:
            self._conn.close()
        if self.head.status and self.not_run:
            self._dispatcher.placement.note_full(self.target, self._call)
        else:
            self._dispatcher.placement.note_ended(
                self.target, self._call, failed=failed
            )
        if self._exceeded_limit:
            self._dispatcher.avoid_flooding(self.target)

    def _read(self, deadline: float) -> responses.Part:
        try:
            return self._conn.read(deadline)
        except http_errors.HttpError as exc:
            raise self.failure(str(exc), exc) from exc

    def failure(
        self, detail: str, cause: Exception | None = None
    ) -> errors.TargetFailed:
        """Returns the error for a response that can't be used."""
        if isinstance(cause, http_errors.LimitExceeded):
            self._note_limit_exceeded(cause.limit, cause.received)
        timeout = isinstance(cause, http_errors.ExchangeTimeout)
        return errors.TargetFailed(
            self.target.name, detail, sent=True, timeout=timeout
        )

    def limit_exceeded(self, limit: str, allowed: int) -> errors.TargetFailed:
        """Returns the error for a response that exceeds a limit, in bytes."""
        exc = http_errors.LimitExceeded(
            limit, self._conn.received_bytes, allowed
        )
        return self.failure(str(exc), exc)

    def _note_limit_exceeded(self, limit: str, received: int) -> None:
        self._exceeded_limit = True
        self._dispatcher.metrics.count("limits_exceeded", limit=limit)
        eliot.log_message(
            "target.limit_exceeded",
            request=self._call.id,
            target=self.target.name,
            limit=limit,
            received=received,
        )


class Dispatcher:
    """Sends calls to targets over pooled connections.

    Attributes:
        dialect: encodes requests and decodes response heads.
        pool: the idle connections to all targets.
        placement: chooses targets and tracks their load and failures.
        departures: records the targets that say that they are leaving.
        limit_reports: tells other hosts which targets exceeded a limit.
        rates: records the rates that targets name in their responses.
        rate_tokens: gives the tokens for calls to targets that name a rate.
        cold_targets: records which targets were unreachable.
        liveness: asks targets whether they still run.
        metrics: counts responses that exceed a limit.
        buffers: the memory for responses that are read as a whole.
    """

    def __init__(
        self,
        dialect: dialect_lib.Dialect,
        pool: pool_lib.Pool,
        placement: placement_lib.Placement,
        departures: departures_lib.Departures,
        limit_reports: limit_reports_lib.LimitReports,
        rates: target_rates.TargetRates,
        rate_tokens: rate_tokens_lib.RateTokens,
        cold_targets: cold_targets_lib.ColdTargets,
        liveness: liveness_lib.TargetLiveness,
        buffers: buffers_lib.Buffers,
        timers: timers_lib.Timers,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self.metrics = metrics
        self.buffers = buffers
        self.dialect = dialect
        self.pool = pool
        self.placement = placement
        self.departures = departures
        self.limit_reports = limit_reports
        self.rates = rates
        self.rate_tokens = rate_tokens
        self.cold_targets = cold_targets
        self.liveness = liveness
        self._timers = timers

    def now(self) -> float:
        """Returns the current time, in monotonic seconds."""
        return self._timers.now()

    def send(
        self, call: model.Call, dispatch: model.Dispatch, *, repeatable: bool
    ) -> Exchange:
        """Sends a call to a target, without retries.

        Args:
            call: the call.
            dispatch: the target, and what this attempt sends to it.
            repeatable: whether the call may run more than once; if not, it
                isn't sent on a connection that has been idle for long.

        Raises:
            errors.TargetFailed: connecting or sending failed; its `sent` tells
                whether the target may have received the call.
        """
        target = dispatch.target
        uncached_tokens = self.placement.load(target).uncached_tokens(call)
        self.placement.note_sent(target, call)
        try:
            conn = self.pool.acquire(
                target.incarnation,
                target.address,
                max_idle=None if repeatable else MAX_IDLE_SECONDS,
            )
        except http_errors.ConnectFailed as exc:
            self.cold_targets.note_unreachable(target)
            self.placement.note_ended(target, call, failed=True)
            raise errors.TargetFailed(
                target.name, str(exc), sent=False
            ) from exc
        except BaseException:
            self.placement.note_ended(target, call, failed=False)
            raise
        load = self.placement.load(target)
        eliot.log_message(
            "call.sent",
            request=call.id,
            target=target.name,
            version=target.software_version,
            unread=uncached_tokens,
            running=load.running,
            elsewhere=self.placement.reports.calls_from_others(
                target.incarnation
            ),
            wait=round(load.expected_wait(self._timers.now()), 3),
            errors=round(load.error_rate, 2),
            connection="kept" if conn.request_count else "new",
            seconds_left=round(dispatch.seconds_left, 3),
            last_event=dispatch.last_event,
            resumes=call.resumes,
            rate=self.rates.rate(target.incarnation),
            contents=dispatch.contents,
        )
        deadline = self._timers.now() + dispatch.seconds_left
        exchange = Exchange(self, call, target, conn, uncached_tokens, deadline)
        data = self.dialect.encode_request(call, dispatch)
        try:
            conn.send(data, deadline)
        except http_errors.ExchangeBroken as exc:
            exchange.close(failed=True)
            raise errors.TargetFailed(target.name, str(exc), sent=True) from exc
        except BaseException:
            exchange.close()
            raise
        return exchange

    def avoid_flooding(self, target: model.Target) -> None:
        """Avoids a target that exceeded a limit, on all hosts.

        A failure that costs this much memory and time must not be repeated by
        each of the next calls.
        """
        seconds = placement_lib.MAX_AVOID_SECONDS
        self.placement.avoid(target.incarnation, seconds)
        self.limit_reports.add(target.incarnation, seconds)

    def drop_target(self, target: model.Target) -> None:
        """Closes the idle connections to a removed target; drops its data."""
        self.pool.close_idle(target.incarnation)
        self.rates.forget(target.incarnation)
        self.rate_tokens.forget(target.incarnation)
        self.placement.forget(target)
