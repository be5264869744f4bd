"""Data centres that operators have evacuated.

The targets of an evacuated data centre get no calls until operators take it
back. The state follows the rows of the declaration table alone: it stays as
last read while the store is away, and ends only when a row is known to be
deleted.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Set

import eliot


class Evacuations:
    """The evacuated data centres, as last read from the store."""

    def __init__(self) -> None:
        self._versions: dict[str, int] = {}
        self._listeners: list[Callable[[str, bool], None]] = []

    def __contains__(self, data_centre: str) -> bool:
        """Returns whether a data centre is evacuated."""
        return data_centre in self._versions

    def __bool__(self) -> bool:
        """Returns whether any data centre is evacuated."""
        return bool(self._versions)

    @property
    def data_centres(self) -> Set[str]:
        """The names of the evacuated data centres."""
        return self._versions.keys()

    def subscribe(self, callback: Callable[[str, bool], None]) -> None:
        """Calls `callback` after each change.

        It gets the data centre, and whether that is now evacuated.
        """
        self._listeners.append(callback)

    def replace(self, versions: dict[str, int]) -> None:
        """Replaces the state by that of a snapshot: row versions by name."""
        for data_centre in list(self._versions):
            if data_centre not in versions:
                self.end(data_centre)
        for data_centre, version in versions.items():
            self.begin(data_centre, version)

    def begin(self, data_centre: str, version: int) -> None:
        """Records that a data centre is evacuated, by a row of this version."""
        is_new = data_centre not in self._versions
        self._versions[data_centre] = version
        if is_new:
            self._notify(data_centre, version, is_evacuated=True)

    def end(self, data_centre: str) -> None:
        """Records that a data centre was taken back."""
        version = self._versions.pop(data_centre, None)
        if version is not None:
            self._notify(data_centre, version, is_evacuated=False)

    def _notify(
        self, data_centre: str, version: int, *, is_evacuated: bool
    ) -> None:
        eliot.log_message(
            "data_centre.evacuated" if is_evacuated else "data_centre.back",
            data_centre=data_centre,
            row_version=version,
        )
        for callback in self._listeners:
            callback(data_centre, is_evacuated)
