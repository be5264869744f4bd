"""The programs that a host has seen, for as long as they may come back."""

from __future__ import annotations

from collections.abc import Callable

from endivepier import timers as timers_lib

MAX_PROGRAMS = 50_000  # that are remembered; an entry takes some 150 bytes


class KnownPrograms:
    """Tells programs that come for the first time from those that come back.

    Attributes:
        forgot_until: until when programs that were dropped early may come back,
            monotonic seconds.
    """

    def __init__(
        self, timers: timers_lib.Timers, horizon: Callable[[], float]
    ) -> None:
        """Initializes without programs.

        Args:
            timers: the timer service.
            horizon: returns for how long a program may come back after its last
                use, in seconds.
        """
        self.forgot_until = float("-inf")
        self._timers = timers
        self._horizon = horizon
        # When each program was last used, monotonic seconds; the oldest first.
        self._used_at: dict[str, float] = {}

    def note_use(self, program: str, used_for: float = 0.0) -> bool:
        """Remembers a program; to be called for each use.

        Args:
            program: the program's id.
            used_for: for how long it may be used elsewhere, in seconds.

        Returns:
            Whether it was not known.
        """
        now = self._timers.now()
        self._drop_old(now)
        before = self._used_at.pop(program, None)
        used_at = now + used_for
        if before is not None:
            used_at = max(used_at, before)
        self._used_at[program] = used_at
        return before is None

    def _drop_old(self, now: float) -> None:
        horizon = self._horizon()
        while self._used_at:
            oldest, at = next(iter(self._used_at.items()))
            if now - at < horizon:
                if len(self._used_at) < MAX_PROGRAMS:
                    return
                self.forgot_until = max(self.forgot_until, at + horizon)
            del self._used_at[oldest]
