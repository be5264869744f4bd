"""Logs: lines for changes of state only, as JSON, by eliot.

Counters come first: what happens for each request is counted, not logged.
"""

from __future__ import annotations

import sys

import eliot
import gevent.queue

QUEUE_LINES = 10000


class _QueuedDestination:
    """Writes lines from a task, so that a slow pipe does not stall others."""

    def __init__(self) -> None:
        self._queue: gevent.queue.Queue = gevent.queue.Queue(QUEUE_LINES)
        self._inner = eliot.FileDestination(file=sys.stderr)
        self._task = gevent.spawn(self._drain)

    def __call__(self, message: dict[str, object]) -> None:
        try:
            self._queue.put_nowait(message)
        except gevent.queue.Full:
            return

    def _drain(self) -> None:
        for message in self._queue:
            self._inner(message)


def to_stderr() -> None:
    """Has eliot write to standard error."""
    eliot.add_destinations(_QueuedDestination())
