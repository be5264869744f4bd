"""Logs refused and evicted clients, some of them in full.

The log takes a limited number of lines a second. A crowd of refused clients
must leave most of them for the requests that are served.
"""

from __future__ import annotations

import collections
import time
from typing import Any

import eliot

FULL_LINES_PER_SECOND = 20


class RefusalLog:
    """Writes a line for each of the first refusals of a second.

    The others are counted, and their numbers written with the first refusal of
    a later second.
    """

    def __init__(self) -> None:
        self._second = 0
        self._lines = 0
        self._left_out: collections.Counter[str] = collections.Counter()

    def write(self, kind: str, **fields: Any) -> None:
        """Logs a refusal.

        Args:
            kind: type of the line.
            fields: its fields.
        """
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines = 0
            if self._left_out:
                eliot.log_message("client.left_out", **self._left_out)
                self._left_out.clear()
        self._lines += 1
        if self._lines > FULL_LINES_PER_SECOND:
            self._left_out[kind.replace(".", "_")] += 1
        else:
            eliot.log_message(kind, **fields)
