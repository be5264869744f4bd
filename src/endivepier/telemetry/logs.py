"""Logs: JSON lines by eliot, rate-limited and non-blocking.

A separate task writes the lines from a queue, so that a slow pipe does not
block the tasks that log. Lines beyond the rate limit or the queue's capacity
are dropped; a `logs.left_out` line reports their number.
"""

from __future__ import annotations

import sys
import time
from typing import TextIO

import eliot
import gevent.queue

QUEUE_LINES = 10000
# An entry host handles some hundred requests per second and logs one or two
# lines for each. A burst of failures must cost no more than twice as much.
LINES_PER_SECOND = 600


class _QueuedDestination:
    """An eliot destination that writes from a separate task."""

    def __init__(self, file: TextIO) -> None:
        self._queue: gevent.queue.Queue = gevent.queue.Queue(QUEUE_LINES)
        self._file_destination = eliot.FileDestination(file=file)
        self._second = 0
        self._lines_this_second = 0
        self._dropped = 0
        self._task = gevent.spawn(self._write_queued)

    def __call__(self, message: dict[str, object]) -> None:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines_this_second = 0
            self._report_dropped()
        self._lines_this_second += 1
        if self._lines_this_second > LINES_PER_SECOND:
            self._dropped += 1
            return
        self._enqueue(message)

    def _enqueue(self, message: dict[str, object]) -> None:
        try:
            self._queue.put_nowait(message)
        except gevent.queue.Full:
            self._dropped += 1

    def _report_dropped(self) -> None:
        if self._dropped:
            count, self._dropped = self._dropped, 0
            self._enqueue({"message_type": "logs.left_out", "lines": count})

    def _write_queued(self) -> None:
        for message in self._queue:
            try:
                self._file_destination(message)
            except (TypeError, ValueError) as exc:
                # The encoder takes no integer of more than 64 bits.
                self._file_destination(
                    {
                        "message_type": "logs.not_encoded",
                        "left_out": str(message.get("message_type")),
                        "reason": str(exc),
                    }
                )


def to_stderr() -> None:
    """Makes eliot write to standard error."""
    eliot.add_destinations(_QueuedDestination(sys.stderr))


def to_stdout() -> None:
    """Makes eliot write to standard output."""
    eliot.add_destinations(_QueuedDestination(sys.stdout))
