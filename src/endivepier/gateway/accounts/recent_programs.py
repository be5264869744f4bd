"""Facts about recent programs that their single requests don't carry.

The request of a turn does not say whether the turn is its program's first,
and it carries the time that the program has left, not what it had at the
start. Hosts request a token from an owner of the account for each request
anyway (see `accounts.shares`), so the owner can record both facts.
"""

from __future__ import annotations

import dataclasses

from endivepier import timers as timers_lib
from endivepier.internal import bounded_map

# A program that starts with a smaller fraction of its initial time than this
# is likely to end late if turns are a little slower than on idle engines:
# programs are given 1.5 to 2.7 times the duration on idle engines.
ON_TIME_FRACTION = 0.85
MAX_PROGRAMS = 20_000  # an entry takes some 200 bytes
# For so long after a start, programs come back that had begun before. How much
# time they had is unknown, so that none of them counts as beginning late.
RETURN_SECONDS = 2.5


@dataclasses.dataclass(slots=True)
class ProgramInfo:
    """What is known of one program.

    Attributes:
        initial_seconds: seconds that the program had left at its first
            request; 0 if unknown.
        begun: whether a request of the program has been admitted.
    """

    initial_seconds: float = 0.0
    begun: bool = False


class RecentPrograms:
    """The programs that sent requests last, by program id."""

    def __init__(self, timers: timers_lib.Timers) -> None:
        self._timers = timers
        self._started_at = timers.now()
        self._programs: bounded_map.BoundedMap[ProgramInfo] = (
            bounded_map.BoundedMap(MAX_PROGRAMS)
        )

    def record_time_left(self, program: str, seconds_left: float) -> None:
        """Records a program's remaining time at this or an earlier request.

        The largest value recorded counts as the program's initial time.
        """
        if self._timers.now() - self._started_at < RETURN_SECONDS:
            return
        info = self._get_or_add(program)
        info.initial_seconds = max(info.initial_seconds, seconds_left)

    def set_begun(self, program: str, *, begun: bool) -> None:
        """Records whether a program has begun."""
        self._get_or_add(program).begun = begun

    def get(self, program: str) -> ProgramInfo:
        """Returns what is known of a program; the defaults if nothing is."""
        return self._programs.get(program) or ProgramInfo()

    def is_delayed(self, program: str, seconds_left: float) -> bool:
        """Returns whether a program that begins now is likely to end late."""
        return (
            seconds_left < ON_TIME_FRACTION * self.get(program).initial_seconds
        )

    def _get_or_add(self, program: str) -> ProgramInfo:
        info = self._programs.get(program)
        if info is None:
            info = ProgramInfo()
            self._programs.put(program, info)
        return info
