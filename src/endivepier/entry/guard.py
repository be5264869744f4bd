"""Cancels requests whose caller disconnects or loses its key.

A request is cancelled when its caller closes the connection, when its key is
withdrawn, and when the configuration of this process is too old to tell
whether the key was withdrawn. It does not matter what the request waits for.
After a withdrawal, the connections whose last request used the key are closed
too. That ends idle connections and those whose caller does not read.
"""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import dataclasses
from typing import Any
import weakref

from gevent import socket

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.configuration import current as current_lib
from endivepier.configuration import keys as keys_lib
from endivepier.configuration import state as state_lib
from endivepier.internal import cancellation
from endivepier.internal import web
from endivepier.telemetry import metrics as metrics_lib

# Requests of a withdrawn key have this long to send their refusal before their
# connections are closed.
CLOSE_DELAY_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class Progress:
    """The progress of a request, updated while it runs.

    Attributes:
        ran: whether the request may have had an effect so far.
    """

    ran: errors.Ran = errors.Ran.NO


class Guard:
    """Cancels requests and closes connections of one entry host."""

    def __init__(
        self,
        authenticator: keys_lib.Authenticator,
        current: current_lib.CurrentConfiguration,
        timers: timers_lib.Timers,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._auth = authenticator
        self._timers = timers
        self._metrics = metrics
        self._sweeper = cancellation.Sweeper(timers)
        self._connections: weakref.WeakKeyDictionary[Any, str] = (
            weakref.WeakKeyDictionary()
        )
        current.subscribe(self._on_change)

    def record_key(self, req: web.Request, caller: keys_lib.Caller) -> None:
        """Records which key the connection of the request used last."""
        conn = req.environ.get(web.SOCKET_KEY)
        if conn is not None:
            self._connections[conn] = caller.digest

    @contextlib.contextmanager
    def cancel_scope(
        self,
        req: web.Request,
        caller: keys_lib.Caller,
        progress: Progress,
    ) -> Iterator[None]:
        """Cancels the block when the request must not continue.

        Args:
            req: the request.
            caller: who makes the request.
            progress: supplies the `ran` value of a refusal; may change while
                the block runs.

        Raises:
            errors.Refused: `UNAUTHENTICATED` after a withdrawal of the key,
                `NOT_READY` if this process must not serve callers any more.
            cancellation.Cancelled: the caller has disconnected, so there is
                nobody to respond to.
        """

        def check() -> cancellation.Cancelled | None:
            return self._check(req, caller, progress)

        try:
            with self._sweeper.cancel_scope(check):
                yield
        except cancellation.Cancelled as exc:
            if exc.reason is None:
                raise
            raise exc.reason from None

    def stream(
        self,
        req: web.Request,
        caller: keys_lib.Caller,
        events: Iterator[Any],
    ) -> Iterator[Any]:
        """Yields `events` for as long as the request may continue."""
        progress = Progress(errors.Ran.UNKNOWN)
        with self.cancel_scope(req, caller, progress):
            for event in events:
                # The process may have been suspended since the last event,
                # and no sweep has run since then.
                self.recheck(caller, progress)
                yield event

    def recheck(self, caller: keys_lib.Caller, progress: Progress) -> None:
        """Checks that a request may continue.

        Call this right before a step that can't be undone: the task may have
        been suspended since the last check.

        Raises:
            errors.Refused: as for `cancel_scope`.
        """
        self._auth.check_serving(progress.ran)
        if not self._auth.has_valid_key(caller):
            raise _key_withdrawn(progress.ran)

    def _check(
        self, req: web.Request, caller: keys_lib.Caller, progress: Progress
    ) -> cancellation.Cancelled | None:
        try:
            self.recheck(caller, progress)
        except errors.Refused as exc:
            self._metrics.count("requests_ended", reason=exc.code.value)
            return cancellation.Cancelled(exc)
        if req.is_disconnected():
            self._metrics.count("requests_ended", reason="hung_up")
            return cancellation.Cancelled()
        return None

    def _on_change(self, old: state_lib.State, new: state_lib.State) -> None:
        """Cancels the requests of withdrawn keys, then closes connections."""
        if old.keys is new.keys:
            return
        withdrawn = frozenset(old.keys.keys() - new.keys.keys())
        if not withdrawn:
            return
        self._sweeper.sweep()
        self._timers.after(
            CLOSE_DELAY_SECONDS, lambda: self._close_connections(withdrawn)
        )

    def _close_connections(self, digests: frozenset[str]) -> None:
        """Closes the connections whose last key has one of these digests."""
        for conn, digest in list(self._connections.items()):
            if digest in digests:
                self._metrics.count("connections_closed")
                with contextlib.suppress(OSError, ValueError):
                    conn.shutdown(socket.SHUT_RDWR)


def _key_withdrawn(ran: errors.Ran) -> errors.Refused:
    return errors.Refused(
        errors.Code.UNAUTHENTICATED, 401, "the key was withdrawn", ran=ran
    )
