"""What was noted lately, by name, up to a number of entries."""

from __future__ import annotations

import collections
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class BoundedMap(Generic[T]):
    """Entries by name; the one that was put longest ago is dropped first."""

    def __init__(self, most: int) -> None:
        """Makes an empty one that holds at most `most` entries."""
        self._most = most
        self._entries: collections.OrderedDict[str, T] = (
            collections.OrderedDict()
        )

    def __contains__(self, name: str) -> bool:
        """Returns whether there is an entry of that name."""
        return name in self._entries

    def __len__(self) -> int:
        """Returns how many entries there are."""
        return len(self._entries)

    def put(self, name: str, value: T) -> None:
        """Adds or replaces an entry, as the newest."""
        self._entries[name] = value
        self._entries.move_to_end(name)
        while len(self._entries) > self._most:
            self._entries.popitem(last=False)

    def get(self, name: str) -> T | None:
        """Returns an entry, or None; its age stays."""
        return self._entries.get(name)

    def drop(self, name: str) -> None:
        """Removes an entry if it is there."""
        self._entries.pop(name, None)
