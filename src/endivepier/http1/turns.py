"""Lets long pieces of work for clients run one at a time.

Work of some milliseconds for each of hundreds of clients would otherwise run
as a whole, whenever all of them are ready at once, before any other task.
"""

from __future__ import annotations

import gevent
import gevent.lock

# Lines of a head, or entries of a list in a header, whose work takes as long
# as that for an ordinary request.
LONG_WORK_LINES = 256


class Turns:
    """Hands out turns, in order; between two of them, other tasks run."""

    def __init__(self) -> None:
        self._lock = gevent.lock.BoundedSemaphore(1)

    def wait(self, lines: int) -> None:
        """Waits for a turn if the work that follows is long.

        The caller does the work without letting other tasks run.

        Args:
            lines: how much work, in lines of a head.
        """
        if lines > LONG_WORK_LINES:
            with self._lock:
                gevent.sleep(0)
