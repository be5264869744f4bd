"""Reads a peer's replies until they end or the peer seems dead."""

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

MAX_QUEUED_EVENTS = 64
SILENCE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _End:
    """Marks the end of the queued events.

    Attributes:
        failure: the error that ended the stream; None if it is complete.
    """

    failure: errors.EndivepierError | None


def while_alive(
    view: view_lib.View,
    timers: timers_lib.Timers,
    address: str,
    call: Callable[[], Iterator[Any]],
) -> Iterator[Any]:
    """Yields the events of `call`; raises an error if the peer seems dead.

    The connections of a frozen peer stay open, so a read of them would not
    fail. The peer seems dead if it is a suspect and no event arrives for
    `SILENCE_SECONDS`; a slow peer still answers heartbeats.

    Args:
        view: tells whether the peer is a suspect.
        timers: the timer service.
        address: address of the peer.
        call: calls the peer and yields its replies.

    Raises:
        errors.EndivepierError: raised by `call`.
        errors.PeerUnreachable: the peer seems dead.
    """
    items: gevent.queue.Queue = gevent.queue.Queue(MAX_QUEUED_EVENTS)
    arrived = gevent.event.Event()
    with view.watch(address) as suspected:
        suspected.rawlink(lambda _: arrived.set())
        task = spans.spawn(_enqueue_events, call, items, arrived)
        last_arrival = timers.now()
        try:
            while True:
                is_suspect = suspected.is_set()
                timers.wait(arrived, SILENCE_SECONDS if is_suspect else None)
                arrived.clear()
                while not items.empty():
                    last_arrival = timers.now()
                    item = items.get_nowait()
                    match item:
                        case _End():
                            if item.failure is not None:
                                raise item.failure
                            return
                        case _:
                            yield item
                if not suspected.is_set():
                    continue
                if view.find(address) is not None:
                    suspected.clear()
                elif _is_draining(view, address):
                    continue
                elif timers.now() - last_arrival >= SILENCE_SECONDS:
                    raise errors.PeerUnreachable(
                        address, "the peer answers no heartbeats", sent=True
                    )
        finally:
            task.kill(block=False)


def _is_draining(view: view_lib.View, address: str) -> bool:
    """Returns whether a peer is stopping gracefully.

    Such a peer may stop answering heartbeats while it still finishes calls,
    so it does not seem dead. When it stops, its connections are closed, and
    `call` raises an error.
    """
    member = view.last_reported(address)
    draining = members.MemberState.DRAINING
    return member is not None and member.state is draining


def _enqueue_events(
    call: Callable[[], Iterator[Any]],
    items: gevent.queue.Queue,
    arrived: gevent.event.Event,
) -> None:
    """Puts the events of `call` into a queue, followed by an `_End`."""
    end = _End(None)
    try:
        for item in call():
            items.put(item)
            arrived.set()
    except errors.EndivepierError as exc:
        end = _End(exc)
    items.put(end)
    arrived.set()
