r"""Events of a stream (`text/event-stream`), split but not rewritten.

An event ends with an empty line. Only whole events leave this module, byte
for byte as they came, so that a stream that breaks in the middle of an event
can go on at another target.
"""

from __future__ import annotations

import dataclasses

END = b"\n\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event.

    Attributes:
        raw: its bytes with the empty line.
        number: its id, or None if it has none.
        data: its data, lines joined by line feeds.
    """

    raw: bytes
    number: int | None
    data: bytes


class Splitter:
    """Splits a stream's bytes into events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Takes bytes and returns the events that are whole now."""
        *whole, self._rest = (self._rest + data).split(END)
        return [_decode(raw + END) for raw in whole]

    @property
    def rest(self) -> bytes:
        """The bytes of an event that is not whole."""
        return self._rest


def _decode(raw: bytes) -> Event:
    number: int | None = None
    data = []
    for line in raw.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id" and value.isdigit():
            number = int(value)
    return Event(raw, number, b"\n".join(data))
