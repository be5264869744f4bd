"""Reads a peer's answers for as long as the peer seems alive."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
from typing import Any

import gevent.event
import gevent.queue

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.membership import members
from endivepier.membership import view as view_lib
from endivepier.telemetry import spans

MAX_WAITING_EVENTS = 64
SILENCE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _End:
    """The last item of a stream.

    Attributes:
        failure: how the stream broke off; None if it is whole.
    """

    failure: errors.EndivepierError | None


def while_alive(
    view: view_lib.View,
    timers: timers_lib.Timers,
    address: str,
    ask: Callable[[], Iterator[Any]],
) -> Iterator[Any]:
    """Yields what `ask` yields; gives up once the peer seems dead.

    A frozen peer keeps its connections open. Its missing heartbeats show that
    it is not merely slow, unless events still arrive.

    Args:
        view: tells whether the peer answers heartbeats.
        timers: the timer service.
        address: the peer.
        ask: asks the peer and yields its answers.

    Raises:
        errors.PeerUnreachable: as `ask` does, or the peer seems dead.
    """
    items: gevent.queue.Queue = gevent.queue.Queue(MAX_WAITING_EVENTS)
    arrived = gevent.event.Event()
    with view.watch(address) as lost:
        lost.rawlink(lambda _: arrived.set())
        task = spans.spawn(_pull, ask, items, arrived)
        last = timers.now()
        try:
            while True:
                suspected = lost.is_set()
                timers.wait(arrived, SILENCE_SECONDS if suspected else None)
                arrived.clear()
                while not items.empty():
                    last = timers.now()
                    item = items.get_nowait()
                    match item:
                        case _End():
                            if item.failure is not None:
                                raise item.failure
                            return
                        case _:
                            yield item
                if not lost.is_set():
                    continue
                if view.find(address) is not None:
                    lost.clear()
                elif _is_draining(view, address):
                    continue
                elif timers.now() - last >= SILENCE_SECONDS:
                    raise errors.PeerUnreachable(
                        address, "it answers no heartbeats", sent=True
                    )
        finally:
            task.kill(block=False)


def _is_draining(view: view_lib.View, address: str) -> bool:
    """Returns whether a peer is stopping gracefully.

    It takes no new connections then, and so no heartbeats, while it finishes
    what runs; the connection that is open tells if it ends.
    """
    member = view.last_reported(address)
    draining = members.MemberState.DRAINING
    return member is not None and member.state is draining


def _pull(
    ask: Callable[[], Iterator[Any]],
    items: gevent.queue.Queue,
    arrived: gevent.event.Event,
) -> None:
    """Puts what `ask` yields into a queue, then how it ended."""
    end = _End(None)
    try:
        for item in ask():
            items.put(item)
            arrived.set()
    except errors.EndivepierError as exc:
        end = _End(exc)
    items.put(end)
    arrived.set()
