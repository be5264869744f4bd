"""Counts what clients make a process hold, over all their connections.

A share counts connections and bytes. The bytes are those that a connection
really takes: its task and buffers, what was received and not parsed yet, and
what was made of it. A full share closes the connection that has waited the
longest for its client, since most clients send a request within milliseconds.
Connections whose request is being handled stay.
"""

from __future__ import annotations

from typing import Protocol


class Holder(Protocol):
    """A connection, as a share sees it."""

    def evict(self) -> None:
        """Closes it, and drops what it holds."""


class Share:
    """The part of a process's memory and sockets for one kind of clients.

    Attributes:
        name: its name, for the log and the metrics.
        max_bytes: the most bytes that its connections may hold.
        max_connections: the most connections.
        held_bytes: bytes that they hold.
        evicted: how many it has closed.
    """

    def __init__(self, name: str, max_bytes: int, max_connections: int) -> None:
        self.name = name
        self.max_bytes = max_bytes
        self.max_connections = max_connections
        self.held_bytes = 0
        self.evicted = 0
        self._held: dict[Holder, int] = {}
        # In the order in which they began to wait for their clients.
        self._waiting: dict[Holder, None] = {}

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, holder: Holder) -> bool:
        return holder in self._held

    def enter(self, holder: Holder, size: int) -> bool:
        """Adds a connection that waits for its client.

        Args:
            holder: the connection.
            size: bytes that it holds.

        Returns:
            False if there is no space for it.
        """
        if not self._make_room(size, 1):
            return False
        self._held[holder] = size
        self.held_bytes += size
        self._waiting[holder] = None
        return True

    def resize(self, holder: Holder, size: int) -> bool:
        """Sets how many bytes a connection holds.

        Returns:
            False if there is no space for more, or if it was evicted.
        """
        if holder not in self._held:
            return False
        more = size - self._held[holder]
        if more > 0 and not self._make_room(more, 0, holder):
            return False
        self._held[holder] = size
        self.held_bytes += more
        return True

    def set_waiting(self, holder: Holder, waiting: bool) -> None:
        """Records whether a connection waits for its client."""
        self._waiting.pop(holder, None)
        if waiting and holder in self._held:
            self._waiting[holder] = None

    def leave(self, holder: Holder) -> None:
        """Removes a connection, if it is still there."""
        self._waiting.pop(holder, None)
        self.held_bytes -= self._held.pop(holder, 0)

    def _make_room(
        self, size: int, connections: int, keep: Holder | None = None
    ) -> bool:
        """Closes connections until there is space.

        Args:
            size: bytes that are needed.
            connections: how many connections will be added.
            keep: the connection that needs them; none that has waited for less
                long is closed for it.
        """
        if size > self.max_bytes:
            return False
        while (
            self.held_bytes + size > self.max_bytes
            or len(self._held) + connections > self.max_connections
        ):
            oldest = next(iter(self._waiting), None)
            if oldest is None or oldest is keep:
                return False
            self.leave(oldest)
            self.evicted += 1
            oldest.evict()
        return True
