"""A map that evicts its oldest entries."""

from __future__ import annotations

import collections
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class BoundedMap(Generic[T]):
    """A map from names to values with a limited number of entries.

    When it is full, the entry whose last `put` is the oldest is evicted.
    """

    def __init__(self, max_entries: int) -> None:
        """Creates an empty map with space for `max_entries` entries."""
        self._max_entries = max_entries
        self._entries: collections.OrderedDict[str, T] = (
            collections.OrderedDict()
        )

    def __contains__(self, name: str) -> bool:
        """Returns whether there is an entry for `name`."""
        return name in self._entries

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self._entries)

    def put(self, name: str, value: T) -> None:
        """Adds or replaces an entry and makes it the newest."""
        self._entries[name] = value
        self._entries.move_to_end(name)
        while len(self._entries) > self._max_entries:
            self._entries.popitem(last=False)

    def get(self, name: str) -> T | None:
        """Returns the value for `name`, or None.

        Reading an entry does not make it newer.
        """
        return self._entries.get(name)

    def items(self) -> list[tuple[str, T]]:
        """Returns a copy of the entries, the oldest first."""
        return list(self._entries.items())

    def drop(self, name: str) -> None:
        """Removes the entry for `name` if there is one."""
        self._entries.pop(name, None)
