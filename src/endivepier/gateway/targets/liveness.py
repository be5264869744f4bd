"""Tells whether a target still runs when the end of its response doesn't.

A response with neither a length nor chunks ends with its connection. The
connections of a process that is killed are closed in the same way, by its
kernel, so that the end of the connection can't tell a complete response from
one that was cut off. A process that responds to a request that was sent after
that end has not been killed before it.
"""

from __future__ import annotations

from collections.abc import Callable

import eliot

from endivepier import timers as timers_lib
from endivepier.gateway import dialect as dialect_lib
from endivepier.gateway import model
from endivepier.http1 import buffers as buffers_lib
from endivepier.http1 import client
from endivepier.http1 import errors as http_errors
from endivepier.http1 import pool as pool_lib

# To open a connection and to read a response that needs no slot of the target.
# Clients give up a stream that is silent for two seconds.
CHECK_SECONDS = 1.0
CONNECT_SECONDS = 0.4
MIN_CONNECT_SECONDS = 0.001
KEPT_SECONDS = 0.3  # for a response on a connection that was idle
RETRY_SECONDS = 0.05  # before another connection is opened
# Of one response. A status has some kilobytes; decoded, small values take many
# times their bytes.
MAX_STATUS_BYTES = 64 * 1024
STATUSES_BYTES = 1024 * 1024  # of all that are received at a time


class TargetLiveness:
    """Asks targets for their status after the end of a response."""

    def __init__(
        self,
        dialect: dialect_lib.Dialect,
        pool: pool_lib.Pool,
        service: Callable[[str], model.Service | None],
        timers: timers_lib.Timers,
    ) -> None:
        """Creates the check.

        Args:
            dialect: encodes the requests and decodes the responses.
            pool: the connections to targets.
            service: returns the declared service of a name, if any.
            timers: the timer service.
        """
        self._dialect = dialect
        self._pool = pool
        self._buffers = buffers_lib.Buffers(
            body_bytes=MAX_STATUS_BYTES,
            small_bytes=STATUSES_BYTES,
            large_bytes=STATUSES_BYTES,
        )
        self._service = service
        self._timers = timers

    def status_path(self, service: str) -> str:
        """Returns the path for the status of a service's targets, or ""."""
        declared = self._service(service)
        return "" if declared is None else declared.status_path

    def is_running(
        self, target: model.Target, path: str, deadline: float, *, request: str
    ) -> bool:
        """Returns whether this run of a target responds now.

        Args:
            target: the target.
            path: the path for its status when the call was sent. Its service
                may not be declared any more.
            deadline: when to give up, in monotonic seconds.
            request: id of the call whose response has ended, for the log.
        """
        began_at = self._timers.now()
        reason = self._find_doubt(
            target, path, min(deadline, began_at + CHECK_SECONDS)
        )
        eliot.log_message(
            "target.status_asked",
            request=request,
            target=target.incarnation,
            running=not reason,
            reason=reason,
            seconds=round(self._timers.now() - began_at, 3),
        )
        return not reason

    def _find_doubt(
        self, target: model.Target, path: str, deadline: float
    ) -> str:
        """Returns why a target may not be running, or an empty string."""
        if not path:
            return f"service {target.service!r} has no path for its status"
        data = self._dialect.encode_status_request(target, path)
        try:
            status = self._ask(target, data, deadline)
        except http_errors.HttpError as exc:
            return str(exc)
        if not status.valid:
            return "the response is not one to such a request"
        # A target that does not state when it started may be a later run under
        # the same name.
        if status.name not in ("", target.name):
            return f"another target responds: {status.name!r}"
        if status.started not in (0, target.started):
            return f"the target has started again, at {status.started}"
        return ""

    def _ask(
        self, target: model.Target, data: bytes, deadline: float
    ) -> model.TargetStatus:
        """Sends a request for the status, and returns the response.

        Raises:
            http_errors.HttpError: no response arrived in time.
        """
        # A kept connection may have fallen silent, or been closed as idle.
        conn = self._pool.acquire(
            target.incarnation,
            target.address,
            connect_seconds=self._connect_seconds(deadline),
        )
        attempt_deadline = deadline
        if conn.request_count:
            now = self._timers.now()
            attempt_deadline = min(deadline, now + KEPT_SECONDS)
        while True:
            try:
                return self._exchange(conn, target, data, attempt_deadline)
            except http_errors.ExchangeBroken:
                # A target that has too many connections resets a new one. One
                # that was killed refuses it.
                if self._timers.now() + RETRY_SECONDS >= deadline:
                    raise
            if attempt_deadline == deadline:
                self._timers.sleep(RETRY_SECONDS)
            attempt_deadline = deadline
            conn = self._pool.open(
                target.address, self._connect_seconds(deadline)
            )

    def _connect_seconds(self, deadline: float) -> float:
        seconds_left = deadline - self._timers.now()
        return max(min(CONNECT_SECONDS, seconds_left), MIN_CONNECT_SECONDS)

    def _exchange(
        self,
        conn: client.Connection,
        target: model.Target,
        data: bytes,
        deadline: float,
    ) -> model.TargetStatus:
        try:
            conn.send(data, deadline)
            head, body = client.read_whole(
                conn, deadline, self._buffers, target.incarnation
            )
        finally:
            # A response that names no call may come once more, late, and would
            # be taken for the response to the next call.
            conn.close()
        if self._dialect.decode_head(head).call:
            raise http_errors.ExchangeBroken(
                "a late response to an earlier call arrived"
            )
        return self._dialect.decode_status(head, body)
