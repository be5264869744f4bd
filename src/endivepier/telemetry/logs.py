"""Logs: JSON lines by eliot, bounded in volume and never blocking.

Lines go through a queue to a task of their own, so that a slow pipe stalls
nobody. What is over the rate or does not fit the queue is left out, and a
line tells how many that were.
"""

from __future__ import annotations

import sys
import time
from typing import TextIO

import eliot
import gevent.queue

QUEUE_LINES = 10000
# An entry host serves some hundred requests a second with one or two lines
# each; a storm of failures must not cost more than twice of that.
LINES_PER_SECOND = 600


class _QueuedDestination:
    """Writes lines from a task, so that a slow pipe does not stall others."""

    def __init__(self, file: TextIO) -> None:
        self._queue: gevent.queue.Queue = gevent.queue.Queue(QUEUE_LINES)
        self._inner = eliot.FileDestination(file=file)
        self._second = 0
        self._lines = 0
        self._left_out = 0
        self._task = gevent.spawn(self._drain)

    def __call__(self, message: dict[str, object]) -> None:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines = 0
            self._report()
        self._lines += 1
        if self._lines > LINES_PER_SECOND:
            self._left_out += 1
            return
        self._put(message)

    def _put(self, message: dict[str, object]) -> None:
        try:
            self._queue.put_nowait(message)
        except gevent.queue.Full:
            self._left_out += 1

    def _report(self) -> None:
        if self._left_out:
            count, self._left_out = self._left_out, 0
            self._put({"message_type": "logs.left_out", "lines": count})

    def _drain(self) -> None:
        for message in self._queue:
            self._inner(message)


def to_stderr() -> None:
    """Has eliot write to standard error."""
    eliot.add_destinations(_QueuedDestination(sys.stderr))


def to_stdout() -> None:
    """Has eliot write to standard output."""
    eliot.add_destinations(_QueuedDestination(sys.stdout))
