"""Finds the owner of a program and carries messages to it."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import functools
from typing import Any

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import ids as ids_lib
from endivepier.internal import peers as peers_lib
from endivepier.membership import liveness
from endivepier.membership import view as view_lib
from endivepier.ownership import placement
from endivepier.ownership import relays

RETRY_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _Route:
    """A way to a process.

    Attributes:
        address: the process.
        via: who carries messages there; empty for the direct way.
    """

    address: str
    via: str = ""

    @property
    def first(self) -> str:
        """The process that messages are sent to."""
        return self.via or self.address


class Owners:
    """Sends messages to owners; follows redirects and waits for takeovers."""

    def __init__(
        self,
        view: view_lib.View,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
    ) -> None:
        self._view = view
        self._peers = peers
        self._timers = timers
        self._known: dict[str, _Route] = {}

    def call(
        self,
        program: ids_lib.ProgramId,
        req: Any,
        reply: type[Any],
        *,
        seconds: float,
        repeatable: bool = True,
    ) -> Any:
        """Sends `req` to the program's owner and returns its answer.

        Args:
            program: whose owner is meant.
            req: the message.
            reply: the type of the answer.
            seconds: how long to go on trying.
            repeatable: whether it may be sent again after no answer came.

        Raises:
            errors.Refused: the owner's refusal, or none could be reached.
        """
        for answer in self._answers(
            program, req, reply, seconds, False, repeatable, streams=False
        ):
            return answer
        raise _no_answer(errors.Ran.UNKNOWN)

    def stream(
        self,
        program: ids_lib.ProgramId,
        req: Any,
        event: Any,
        *,
        seconds: float,
        restarts: bool = False,
    ) -> Iterator[Any]:
        """Sends `req` to the owner and yields the events of the answer.

        Args:
            program: whose owner is meant.
            req: the message; sent again, it must have the same answer.
            event: the union of the event types.
            seconds: how long to go on trying.
            restarts: whether events may begin anew after some were yielded,
                because the first owner was lost. If not, that is an error.

        Raises:
            errors.Refused: the owner's refusal, or none could be reached.
        """
        return self._answers(
            program, req, event, seconds, restarts, True, streams=True
        )

    def _answers(
        self,
        program: ids_lib.ProgramId,
        req: Any,
        reply: Any,
        seconds: float,
        restarts: bool,
        repeatable: bool,
        *,
        streams: bool,
    ) -> Iterator[Any]:
        """Yields the owner's answers; see `call` and `stream`."""
        deadline = self._timers.now() + seconds
        yielded = False
        ran = errors.Ran.NO
        while True:
            route = self._guess(program)
            try:
                if route is not None:
                    left = deadline - self._timers.now()
                    ask = functools.partial(
                        self._ask, route, req, reply, left, streams
                    )
                    for item in liveness.while_alive(
                        self._view, self._timers, route.first, ask
                    ):
                        yielded = True
                        yield item
                    return
            except errors.PeerUnreachable as exc:
                self._lost(program, exc)
                if exc.sent:
                    ran = errors.Ran.UNKNOWN
                if exc.sent and not repeatable:
                    raise _no_answer(ran) from None
                if yielded and not restarts:
                    raise _no_answer(errors.Ran.UNKNOWN) from None
            except errors.Refused as exc:
                if yielded and not restarts:
                    raise
                self._redirected(program, route, exc)
                if exc.ran is not errors.Ran.NO:
                    ran = exc.ran
            self._pause(deadline, ran)

    def _ask(
        self,
        route: _Route,
        req: Any,
        reply: Any,
        seconds: float,
        streams: bool,
    ) -> Iterator[Any]:
        """Yields the answers that come by a route."""
        if route.via:
            yield from relays.send(
                self._peers, route.via, route.address, req, reply, seconds
            )
        elif streams:
            yield from self._peers.stream(
                route.address, req, reply, seconds=seconds
            )
        else:
            yield self._peers.call(route.address, req, reply, seconds=seconds)

    def _guess(self, program: ids_lib.ProgramId) -> _Route | None:
        """Returns the way to the likely owner, or None."""
        known = self._known.get(program.shard_name)
        if known is not None and self._view.find(known.first) is not None:
            return known
        candidates = self._view.ready("sidecar", program.pool)
        order = placement.ranked(program.shard_name, candidates)
        return _Route(order[0].address) if order else None

    def _lost(
        self, program: ids_lib.ProgramId, exc: errors.PeerUnreachable
    ) -> None:
        self._view.suspect(exc.address)
        self._known.pop(program.shard_name, None)

    def _redirected(
        self,
        program: ids_lib.ProgramId,
        route: _Route | None,
        exc: errors.Refused,
    ) -> None:
        """Notes who the owner is; raises what is not a redirect."""
        if exc.code is not errors.Code.WRONG_OWNER:
            raise exc
        self._known.pop(program.shard_name, None)
        if not exc.location or route is None:
            return
        via = ""
        if self._view.find(exc.location) is None:
            # Who redirects us there takes that peer for alive, so it can
            # reach it, though we can't.
            via = route.first
        self._known[program.shard_name] = _Route(exc.location, via)

    def _pause(self, deadline: float, ran: errors.Ran) -> None:
        if self._timers.now() + RETRY_SECONDS >= deadline:
            raise _no_answer(ran)
        self._timers.sleep(RETRY_SECONDS)


def _no_answer(ran: errors.Ran) -> errors.Refused:
    return errors.Refused(
        errors.Code.NOT_READY,
        503,
        "the program's owner gave no answer; send the call again with the "
        "same call id",
        ran=ran,
        retry_after=1.0,
    )
