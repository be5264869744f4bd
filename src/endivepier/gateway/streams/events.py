"""Splits a `text/event-stream` body into events without changing them.

An event ends with an empty line. Lines end with a line feed, which a carriage
return may precede. The splitter returns complete events only, byte for byte as
received, so that a stream that is cut off within an event can be resumed from
another target.

The ids of a stream's events increase, but need not be consecutive. They alone
tell which events of a resumed stream its client has.
"""

from __future__ import annotations

import dataclasses
import re

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_END_LENGTH = 4  # bytes of the longest match
# Ids are logged and sent to other hosts as integers of 64 bits.
MAX_ID_DIGITS = 18
# Between two events of a response, and before the first one. Comments keep a
# connection open, or fill the buffers of proxies with some kilobytes.
MAX_COMMENT_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One server-sent event.

    Attributes:
        raw: the event's bytes, including the empty line that ends it.
        id: the event's `id` field, or None if it is absent, not a number or
            of more than `MAX_ID_DIGITS` digits.
        data: the event's `data` lines, joined by line feeds.
    """

    raw: bytes
    id: int | None
    data: bytes

    @property
    def is_comment(self) -> bool:
        """Whether it carries nothing, as what keeps a connection open."""
        return self.id is None and not self.data


class Splitter:
    """Splits the bytes of a stream into events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Event]:
        """Adds received bytes and returns the events that they complete."""
        # What was searched before can only hold the beginning of a match.
        search_from = max(len(self._buffer) - EVENT_END_LENGTH + 1, 0)
        self._buffer += data
        complete = []
        start = 0
        for match in EVENT_END.finditer(bytes(self._buffer[search_from:])):
            end = search_from + match.end()
            complete.append(_decode(bytes(self._buffer[start:end])))
            start = end
        del self._buffer[:start]
        return complete

    @property
    def partial_event(self) -> bytes:
        """The bytes received after the last complete event."""
        return bytes(self._buffer)

    @property
    def partial_length(self) -> int:
        """The number of bytes received after the last complete event."""
        return len(self._buffer)


class Sequence:
    """The events of one response, without those that its client has.

    Attributes:
        fault: why the place of an event in the stream is wrong or unknown, or
            an empty string. It and those after it are left out.
        has_excess: whether there were more than `MAX_COMMENT_BYTES` without an
            event. The rest is left out.
    """

    def __init__(self, resume_after: int | None, begun: bool) -> None:
        """Begins a response.

        Args:
            resume_after: id of the last event that the client has, or None.
            begun: whether a part of the stream was sent to the client.
        """
        self.fault = ""
        self.has_excess = False
        self._held = bytearray()
        self._comment_bytes = 0  # since the last event
        self._begun = begun
        self._resume_after = resume_after
        self._last_id: int | None = None
        self._has_new = resume_after is None

    def add(self, received: list[Event]) -> list[Event]:
        """Returns those of the next events that the client doesn't have."""
        new_events = []
        for event in received:
            self.fault = self.fault or self._find_fault(event)
            if self.fault:
                break
            if event.is_comment:
                self._comment_bytes += len(event.raw)
                if self._comment_bytes > MAX_COMMENT_BYTES:
                    self.has_excess = True
                    break
            else:
                self._comment_bytes = 0
            if event.is_comment and not self._begun:
                self._held += event.raw
                continue
            if event.id is not None:
                self._last_id = event.id
                self._has_new = self._has_new or self._is_new(event.id)
            if self._has_new or event.is_comment:
                new_events += [*self.held, event]
                self._held.clear()
                self._begun = True
        return new_events

    @property
    def held(self) -> list[Event]:
        """The comments before the first event of the stream, as one.

        They go out with it: another target may send it, with a head of its
        own.
        """
        return [Event(bytes(self._held), None, b"")] if self._held else []

    def _is_new(self, event_id: int) -> bool:
        return self._resume_after is None or event_id > self._resume_after

    def _find_fault(self, event: Event) -> str:
        if event.id is None:
            if self._has_new or event.is_comment:
                return ""
            return (
                "an event without an id came before the first one after "
                f"{self._resume_after}"
            )
        if self._last_id is not None and event.id <= self._last_id:
            return f"event {event.id} came after {self._last_id}"
        return ""


def _decode(raw: bytes) -> Event:
    event_id: int | None = None
    data = []
    for line in raw.split(b"\n"):
        field, _, value = line.removesuffix(b"\r").partition(b":")
        value = value.removeprefix(b" ")
        if field == b"data":
            data.append(value)
        elif field == b"id" and value.isdigit():
            digits = value.lstrip(b"0") or b"0"
            event_id = int(digits) if len(digits) <= MAX_ID_DIGITS else None
    return Event(raw, event_id, b"\n".join(data))
