"""Receives from sockets without keeping the event loop from other tasks.

gevent switches to another task only when a socket operation has to wait. A
read from a peer that sends without pause never waits, so without `Receiver`,
one connection could stop all others.
"""

from __future__ import annotations

import gevent
from gevent import socket

READ_BYTES = 16384  # limits how long the parser runs for one read
# Work after which a task lets others run, and the least that one read counts,
# so that many small reads are no different from a few large ones.
SLICE_BYTES = 16384
MIN_READ_COST_BYTES = 2048


class Receiver:
    """Receives from one socket, and lets other tasks run in between."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._work = 0

    def receive(self, seconds: float) -> bytes:
        """Returns received bytes; none at the end of the connection.

        Raises:
            TimeoutError: nothing arrived within `seconds`.
            OSError: the connection failed.
        """
        self._sock.settimeout(seconds)
        data = bytes(self._sock.recv(READ_BYTES))
        self.add_work(max(len(data), MIN_READ_COST_BYTES))
        return data

    def add_work(self, cost: int) -> None:
        """Counts work for the peer; lets other tasks run if it is due.

        Args:
            cost: the work, as the number of received bytes that take as long.
        """
        self._work += cost
        if self._work >= SLICE_BYTES:
            self._work = 0
            gevent.sleep(0)
