"""Watches callers' connections and keys while their requests go on.

A request ends when its caller hangs up, when its key is withdrawn, and when
this process can no longer tell whether the key was withdrawn; wherever it
waits just then. After a withdrawal the connections on which the key came last
are closed as well: idle ones, and those whose caller does not read.
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
from endivepier.internal import watches as watches_lib
from endivepier.internal import web
from endivepier.telemetry import metrics as metrics_lib

CLOSE_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a request has come.

    Attributes:
        ran: whether it may have had an effect by now.
    """

    ran: errors.Ran = errors.Ran.NO


class Guard:
    """Guards all requests and connections of one entry host."""

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
        self._watches = watches_lib.Watches(timers)
        self._connections: weakref.WeakKeyDictionary[Any, str] = (
            weakref.WeakKeyDictionary()
        )
        current.subscribe(self._changed)

    def note(self, req: web.Request, caller: keys_lib.Caller) -> None:
        """Notes whose key came on the request's connection."""
        conn = req.environ.get(web.SOCKET_KEY)
        if conn is not None:
            self._connections[conn] = caller.digest

    @contextlib.contextmanager
    def watching(
        self,
        req: web.Request,
        caller: keys_lib.Caller,
        progress: Progress,
    ) -> Iterator[None]:
        """Ends the block when the request is not to go on.

        Args:
            req: the request.
            caller: who makes it.
            progress: how far it is; may change while the block runs.

        Raises:
            errors.Refused: `UNAUTHENTICATED` after a withdrawal, `NOT_READY`
                if this process must not serve any more.
            watches.Ended: the caller hung up; nobody needs an answer.
        """

        def check() -> watches_lib.Ended | None:
            return self._check(req, caller, progress)

        try:
            with self._watches.watching(check):
                yield
        except watches_lib.Ended as exc:
            if exc.reason is None:
                raise
            raise exc.reason from None

    def stream(
        self,
        req: web.Request,
        caller: keys_lib.Caller,
        events: Iterator[Any],
    ) -> Iterator[Any]:
        """Yields events for as long as the request may go on."""
        progress = Progress(errors.Ran.UNKNOWN)
        with self.watching(req, caller, progress):
            for event in events:
                # Some time may have passed unseen, as in a frozen host.
                self.recheck(caller, progress)
                yield event

    def recheck(self, caller: keys_lib.Caller, progress: Progress) -> None:
        """Refuses a request that may not go on.

        For the moment before a step that can't be taken back, since the task
        may have been suspended for long.

        Raises:
            errors.Refused: as for `watching`.
        """
        self._auth.check_serving(progress.ran)
        if not self._auth.has_valid_key(caller):
            raise _withdrawn(progress.ran)

    def _check(
        self, req: web.Request, caller: keys_lib.Caller, progress: Progress
    ) -> watches_lib.Ended | None:
        try:
            self.recheck(caller, progress)
        except errors.Refused as exc:
            self._metrics.count("requests_ended", reason=exc.code.value)
            return watches_lib.Ended(exc)
        if req.hung_up():
            self._metrics.count("requests_ended", reason="hung_up")
            return watches_lib.Ended()
        return None

    def _changed(self, old: state_lib.State, new: state_lib.State) -> None:
        """Ends what the withdrawn keys still do."""
        if old.keys is new.keys:
            return
        gone = frozenset(old.keys.keys() - new.keys.keys())
        if not gone:
            return
        self._watches.sweep()
        self._timers.after(CLOSE_SECONDS, lambda: self._close(gone))

    def _close(self, digests: frozenset[str]) -> None:
        """Closes the connections on which these keys came last."""
        for conn, digest in list(self._connections.items()):
            if digest in digests:
                self._metrics.count("connections_closed")
                with contextlib.suppress(OSError, ValueError):
                    conn.shutdown(socket.SHUT_RDWR)


def _withdrawn(ran: errors.Ran) -> errors.Refused:
    return errors.Refused(
        errors.Code.UNAUTHENTICATED, 401, "the key was withdrawn", ran=ran
    )
