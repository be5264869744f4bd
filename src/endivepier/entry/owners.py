"""Routes messages to the sidecar that owns a program."""

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

RETRY_INTERVAL_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _Route:
    """How messages reach a process.

    Attributes:
        address: the receiving process.
        via: the process that relays the messages; empty if they are sent
            directly.
    """

    address: str
    via: str = ""

    @property
    def next_hop(self) -> str:
        """The process that this process sends the messages to."""
        return self.via or self.address


class Owners:
    """A client for the owners of programs.

    It caches the owner of each shard, follows redirects, and retries while a
    lost owner is being replaced.
    """

    def __init__(
        self,
        view: view_lib.View,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
    ) -> None:
        self._view = view
        self._peers = peers
        self._timers = timers
        self._known_routes: dict[str, _Route] = {}

    def call(
        self,
        program: ids_lib.ProgramId,
        req: Any,
        reply: type[Any],
        *,
        seconds: float,
        repeatable: bool = True,
    ) -> Any:
        """Sends `req` to the program's owner and returns the reply.

        Args:
            program: the program.
            req: the message.
            reply: the type of the reply.
            seconds: how long to wait for the reply, including all retries.
            repeatable: whether the message may be sent again if the owner
                may have received it but no reply came.

        Raises:
            errors.Refused: the owner refused, or no owner replied in time.
        """
        for item in self._replies(
            program, req, reply, seconds, False, repeatable, streams=False
        ):
            return item
        raise _owner_unreachable(errors.Ran.UNKNOWN)

    def stream(
        self,
        program: ids_lib.ProgramId,
        req: Any,
        event: Any,
        *,
        seconds: float,
        restarts: bool = False,
    ) -> Iterator[Any]:
        """Sends `req` to the program's owner and yields the events it replies.

        Args:
            program: the program.
            req: the message; it may be sent more than once, and must have the
                same result each time.
            event: the union of the event types.
            seconds: how long to retry; also the longest wait for one event.
            restarts: whether to send the message again if the owner is lost
                after some events were yielded. The events then start again
                from the first. If False, the loss raises an error.

        Raises:
            errors.Refused: the owner refused, or no owner replied in time.
        """
        return self._replies(
            program, req, event, seconds, restarts, True, streams=True
        )

    def _replies(
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
        """Yields the owner's replies; see `call` and `stream`.

        Args:
            program: the program.
            req: the message.
            reply: the type of the reply, or the union of the event types.
            seconds: as for `call` or `stream`.
            restarts: whether replies may start again from the first.
            repeatable: whether the message may be sent more than once.
            streams: whether the reply is a stream of events.
        """
        deadline = self._timers.now() + seconds
        yielded = False
        ran = errors.Ran.NO
        while True:
            route = self._likely_route(program)
            try:
                if route is not None:
                    seconds_left = deadline - self._timers.now()
                    send = functools.partial(
                        self._send, route, req, reply, seconds_left, streams
                    )
                    for item in liveness.while_alive(
                        self._view, self._timers, route.next_hop, send
                    ):
                        yielded = True
                        yield item
                    return
            except errors.PeerUnreachable as exc:
                self._mark_unreachable(program, exc)
                if exc.sent:
                    ran = errors.Ran.UNKNOWN
                if exc.sent and not repeatable:
                    raise _owner_unreachable(ran) from None
                if yielded and not restarts:
                    raise _owner_unreachable(errors.Ran.UNKNOWN) from None
            except errors.Refused as exc:
                if yielded and not restarts:
                    raise
                self._follow_redirect(program, route, exc)
                if exc.ran is not errors.Ran.NO:
                    ran = exc.ran
            self._wait_before_retry(deadline, ran)

    def _send(
        self,
        route: _Route,
        req: Any,
        reply: Any,
        seconds: float,
        streams: bool,
    ) -> Iterator[Any]:
        """Sends the message by `route` and yields the replies."""
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

    def _likely_route(self, program: ids_lib.ProgramId) -> _Route | None:
        """Returns the route to the likely owner, or None if there is none.

        That is the cached route while its next hop is reachable, otherwise
        the route to the sidecar that the placement ranks first.
        """
        known = self._known_routes.get(program.shard_name)
        if known is not None and self._view.find(known.next_hop) is not None:
            return known
        candidates = self._view.ready("sidecar", program.pool)
        order = placement.ranked(program.shard_name, candidates)
        return _Route(order[0].address) if order else None

    def _mark_unreachable(
        self, program: ids_lib.ProgramId, exc: errors.PeerUnreachable
    ) -> None:
        """Marks an unreachable peer as suspect and drops the cached route."""
        self._view.suspect(exc.address)
        self._known_routes.pop(program.shard_name, None)

    def _follow_redirect(
        self,
        program: ids_lib.ProgramId,
        route: _Route | None,
        exc: errors.Refused,
    ) -> None:
        """Caches the route to the owner that a redirect names.

        Raises:
            errors.Refused: `exc`, if it is not a redirect.
        """
        if exc.code is not errors.Code.WRONG_OWNER:
            raise exc
        self._known_routes.pop(program.shard_name, None)
        if not exc.location or route is None:
            return
        via = ""
        if self._view.find(exc.location) is None:
            # The redirecting process sees the owner as alive, so it can reach
            # the owner although this process can't.
            via = route.next_hop
        self._known_routes[program.shard_name] = _Route(exc.location, via)

    def _wait_before_retry(self, deadline: float, ran: errors.Ran) -> None:
        """Sleeps until the next attempt, or raises if the time is over."""
        if self._timers.now() + RETRY_INTERVAL_SECONDS >= deadline:
            raise _owner_unreachable(ran)
        self._timers.sleep(RETRY_INTERVAL_SECONDS)


def _owner_unreachable(ran: errors.Ran) -> errors.Refused:
    return errors.Refused(
        errors.Code.NOT_READY,
        503,
        "the program's owner did not respond; send the call again with the "
        "same call id",
        ran=ran,
        retry_after=1.0,
    )
