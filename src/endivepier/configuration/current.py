"""The configuration in force on this process, and who follows it."""

from __future__ import annotations

from collections.abc import Callable

from endivepier.configuration import state as state_lib

Listener = Callable[[state_lib.State, state_lib.State], object]


class Current:
    """Holds the newest state that this process has seen; never goes back."""

    def __init__(self) -> None:
        self._state = state_lib.State()
        self._listeners: list[Listener] = []

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
        old = self._state
        if state.revision <= old.revision:
            return False
        self._state = state
        for listener in self._listeners:
            listener(old, state)
        return True
