"""The configuration in force on this process, and who follows it."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Sequence

from endivepier.configuration import changes as changes_lib
from endivepier.configuration import state as state_lib

Listener = Callable[[state_lib.State, state_lib.State], object]

RECENT_DELTAS = 256


class CurrentConfiguration:
    """Holds the newest state that this process has seen; never goes back."""

    def __init__(self) -> None:
        self._state = state_lib.State()
        self._listeners: list[Listener] = []
        self._recent: collections.deque[changes_lib.Delta] = collections.deque(
            maxlen=RECENT_DELTAS
        )

    @property
    def state(self) -> state_lib.State:
        """The state in force."""
        return self._state

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener(old, new)` after each change."""
        self._listeners.append(listener)

    def advance(self, state: state_lib.State) -> bool:
        """Puts `state` in force if it is newer.

        Returns:
            Whether it was newer.
        """
        if state.revision <= self._state.revision:
            return False
        self._recent.clear()
        self._enforce(state)
        return True

    def apply_deltas(self, deltas: Sequence[changes_lib.Delta]) -> bool:
        """Puts the deltas that follow the state in force, one by one.

        Deltas that are in force already are passed over.

        Returns:
            Whether the state now includes all of them. It does not after a
            gap, or if they belong to another chain.
        """
        for delta in deltas:
            if delta.revision <= self._state.revision:
                continue
            if not changes_lib.follows(delta, self._state):
                return False
            state = changes_lib.apply_delta(delta, self._state)
            self._recent.append(delta)
            self._enforce(state)
        return True

    def deltas_since(self, revision: int) -> Sequence[changes_lib.Delta] | None:
        """Returns the deltas after `revision`; None if some are gone."""
        found = [delta for delta in self._recent if delta.revision > revision]
        if len(found) < self._state.revision - revision:
            return None
        return found

    def _enforce(self, state: state_lib.State) -> None:
        old = self._state
        self._state = state
        for listener in self._listeners:
            listener(old, state)
