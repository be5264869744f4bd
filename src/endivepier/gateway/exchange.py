"""One send of a call to one target, and the answer to it.

An answer belongs to a call only if it names the call's id. An answer that
names another one came too late for its own call; it is skipped, and the
connection is not used again.
"""

from __future__ import annotations

import eliot

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import dialect as dialect_lib
from endivepier.gateway import model
from endivepier.gateway import placement as placement_lib
from endivepier.http1 import answers
from endivepier.http1 import client
from endivepier.http1 import errors as http_errors
from endivepier.http1 import messages
from endivepier.http1 import pool as pool_lib

# A call that must not be repeated goes over a connection that was used not
# long ago or over a new one: a stale one would leave its outcome unknown.
FRESH_SECONDS = 4.0
MISDIRECTED = 421


class Exchange:
    """A call at a target.

    Attributes:
        target: where it went.
        head: status and headers of the answer, once read.
        verdict: what the head says about the call.
    """

    def __init__(
        self,
        links: Links,
        call: model.Call,
        target: model.Target,
        conn: client.Connection,
        unread: int,
    ) -> None:
        self._unread = unread
        self.target = target
        self.head = messages.Head(0, [])
        self.verdict = model.Verdict("", sealed=False, not_run=False)
        self._links = links
        self._call = call
        self._conn = conn
        self._sent_at = links.now()
        self._whole = False
        self._foreign = False
        self._closed = False

    @property
    def not_run(self) -> bool:
        """Whether the target promises that the call has not run."""
        return self.verdict.not_run or self.head.status == MISDIRECTED

    def read_head(self, deadline: float) -> None:
        """Reads until the head of this call's answer.

        Raises:
            errors.TargetFailed: it did not come, or was not valid.
        """
        while True:
            part = self._read(deadline)
            if not isinstance(part, messages.Head):
                continue
            verdict = self._links.dialect.decode_head(part)
            if verdict.call and verdict.call != self._call.id:
                self._foreign = True
                continue
            if not verdict.call and not (
                verdict.not_run or part.status == MISDIRECTED
            ):
                raise self._failed("the answer names no call")
            self.head = part
            self.verdict = verdict
            return

    def read(self, deadline: float) -> bytes | None:
        """Returns a piece of the body; None at its end.

        Raises:
            errors.TargetFailed: the body broke off.
        """
        part = self._read(deadline)
        match part:
            case answers.Data(content=content):
                return content
            case answers.End():
                self._whole = True
                return None
            case _:
                raise self._failed("an answer began inside another one")

    def read_all(self, deadline: float) -> bytes:
        """Returns the whole body.

        Raises:
            errors.TargetFailed: the body broke off.
        """
        pieces: list[bytes] = []
        while True:
            piece = self.read(deadline)
            if piece is None:
                return b"".join(pieces)
            pieces.append(piece)

    def note_first_event(self) -> None:
        """Tells the placement how long the first event took."""
        self._links.placement.note_first_event(
            self.target,
            self._call,
            self._unread,
            self._links.now() - self._sent_at,
        )

    def __enter__(self) -> Exchange:
        return self

    def __exit__(self, kind: type[BaseException] | None, *_: object) -> None:
        # What else ends it, a hang-up for one, is no fault of the target.
        failed = kind is not None and issubclass(kind, errors.TargetFailed)
        self.close(failed=failed)

    def close(self, *, failed: bool = False) -> None:
        """Ends the exchange; a target that still works on it stops."""
        if self._closed:
            return
        self._closed = True
        if self._whole and not self._foreign:
            self._links.pool.put(self.target.incarnation, self._conn)
        else:
            self._conn.close()
        if self.head.status and self.not_run:
            self._links.placement.note_full(self.target, self._call)
        else:
            self._links.placement.note_ended(
                self.target, self._call, failed=failed
            )

    def _read(self, deadline: float) -> answers.Part:
        try:
            return self._conn.read(deadline)
        except http_errors.HttpError as exc:
            raise self._failed(str(exc), exc) from exc

    def _failed(
        self, detail: str, cause: Exception | None = None
    ) -> errors.TargetFailed:
        timeout = isinstance(cause, http_errors.ExchangeTimeout)
        return errors.TargetFailed(
            self.target.name, detail, sent=True, timeout=timeout
        )


class Links:
    """The ways to all targets.

    Attributes:
        dialect: translates calls and answers.
        pool: idle connections.
        placement: chooses targets and is told how they did.
    """

    def __init__(
        self,
        dialect: dialect_lib.Dialect,
        pool: pool_lib.Pool,
        placement: placement_lib.Placement,
        timers: timers_lib.Timers,
    ) -> None:
        self.dialect = dialect
        self.pool = pool
        self.placement = placement
        self._timers = timers

    def now(self) -> float:
        """Returns monotonic seconds."""
        return self._timers.now()

    def send(
        self, call: model.Call, dispatch: model.Dispatch, *, repeatable: bool
    ) -> Exchange:
        """Sends a call to a target, once.

        Raises:
            errors.TargetFailed: `sent` tells whether it may have arrived.
        """
        target = dispatch.target
        unread = self.placement.load(target).uncached_tokens(call)
        self.placement.note_sent(target, call)
        try:
            conn = self.pool.take(
                target.incarnation,
                target.address,
                max_idle=None if repeatable else FRESH_SECONDS,
            )
        except http_errors.ConnectFailed as exc:
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
            unread=unread,
            running=load.running,
            elsewhere=self.placement.reports.calls_from_others(
                target.incarnation
            ),
            wait=round(load.expected_wait(self._timers.now()), 3),
            errors=round(load.error_rate, 2),
            connection="kept" if conn.used else "new",
            seconds_left=round(dispatch.seconds_left, 3),
            last_event=dispatch.last_event,
        )
        exchange = Exchange(self, call, target, conn, unread)
        data = self.dialect.encode_request(call, dispatch)
        deadline = self._timers.now() + dispatch.seconds_left
        try:
            conn.send(data, deadline)
        except http_errors.ExchangeBroken as exc:
            exchange.close(failed=True)
            raise errors.TargetFailed(target.name, str(exc), sent=True) from exc
        except BaseException:
            exchange.close()
            raise
        return exchange

    def forget(self, target: model.Target) -> None:
        """Closes what is idle towards a target that is gone."""
        self.pool.drop(target.incarnation)
        self.placement.forget(target)
