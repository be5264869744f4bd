"""The configuration in force on this process, and its change listeners."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Sequence

from endivepier.configuration import changes as changes_lib
from endivepier.configuration import state as state_lib

Listener = Callable[[state_lib.State, state_lib.State], object]

MAX_RECENT_DELTAS = 256


class CurrentConfiguration:
    """Holds the newest state that this process has received.

    The revision only ever increases.
    """

    def __init__(self) -> None:
        self._state = state_lib.State()
        self._listeners: list[Listener] = []
        self._recent_deltas: collections.deque[changes_lib.Delta] = (
            collections.deque(maxlen=MAX_RECENT_DELTAS)
        )

    @property
    def state(self) -> state_lib.State:
        """The state in force."""
        return self._state

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener(old_state, new_state)` after each change."""
        self._listeners.append(listener)

    def advance(self, state: state_lib.State) -> bool:
        """Puts `state` in force if it is newer than the current state.

        Returns:
            Whether it was newer.
        """
        if state.revision <= self._state.revision:
            return False
        # The deltas that led to `state` are not known here.
        self._recent_deltas.clear()
        self._replace_state(state)
        return True

    def apply_deltas(self, deltas: Sequence[changes_lib.Delta]) -> bool:
        """Applies deltas in order and puts each resulting state in force.

        Deltas up to the current revision are skipped.

        Returns:
            Whether the state now includes all deltas. It doesn't if a
            revision between them is missing, or if a delta's parent is not
            the chain of the current state.
        """
        for delta in deltas:
            if delta.revision <= self._state.revision:
                continue
            if not changes_lib.follows(delta, self._state):
                return False
            state = changes_lib.apply_delta(delta, self._state)
            self._recent_deltas.append(delta)
            self._replace_state(state)
        return True

    def deltas_since(self, revision: int) -> Sequence[changes_lib.Delta] | None:
        """Returns the deltas after `revision`; None if some are not held."""
        deltas = [
            delta for delta in self._recent_deltas if delta.revision > revision
        ]
        if len(deltas) < self._state.revision - revision:
            return None
        return deltas

    def _replace_state(self, state: state_lib.State) -> None:
        old = self._state
        self._state = state
        for listener in self._listeners:
            listener(old, state)
