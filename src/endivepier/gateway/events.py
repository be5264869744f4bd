r"""Events of a stream (`text/event-stream`), split but not rewritten.

An event ends with an empty line. Only whole events leave this module, byte
for byte as they came, so that a stream that breaks in the middle of an event
can go on at another target.
"""

from __future__ import annotations

import dataclasses

EVENT_END = b"\n\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event.

    Attributes:
        raw: its bytes with the empty line.
        number: its id, or None if it has none.
        data: its data, lines joined by line feeds.
    """

    raw: bytes
    id: int | None
    data: bytes


class Splitter:
    """Splits a stream's bytes into events."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Takes bytes and returns the events that are whole now."""
        *complete, self._buffer = (self._buffer + data).split(EVENT_END)
        return [_decode(raw + EVENT_END) for raw in complete]

    @property
    def partial_event(self) -> bytes:
        """The bytes of an event that is not whole."""
        return self._buffer


def _decode(raw: bytes) -> Event:
    event_id: int | None = None
    data = []
    for line in raw.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"data":
            data.append(value)
        elif field == b"id" and value.isdigit():
            event_id = int(value)
    return Event(raw, event_id, b"\n".join(data))
