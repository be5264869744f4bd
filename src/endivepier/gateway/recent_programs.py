"""What an account's owner remembers of programs beyond their requests.

A turn doesn't tell whether it is its program's first, and a client tells how
much time its program has left, not how much it had. Hosts ask the account's
owner for a token of each request anyway, so that the owner knows both.
"""

from __future__ import annotations

import dataclasses

from endivepier.internal import recent

# A program that begins with a smaller share of its time than this ends late
# if turns take a little longer than on idle engines: the users' programs have
# 1.5 to 2.7 times that.
ON_TIME_FRACTION = 0.85
MAX_PROGRAMS = 20_000  # an entry is some 200 bytes


@dataclasses.dataclass(slots=True)
class ProgramInfo:
    """What is known of one program.

    Attributes:
        had: seconds that it had when it first asked; 0 if that isn't known.
        begun: whether a request of it was admitted.
    """

    initial_seconds: float = 0.0
    begun: bool = False


class RecentPrograms:
    """The programs that asked lately, by name."""

    def __init__(self) -> None:
        self._programs: recent.Recent[ProgramInfo] = recent.Recent(MAX_PROGRAMS)

    def record_time_left(self, program: str, seconds_left: float) -> None:
        """Notes what a program has left, or once had, in seconds."""
        seen = self._get_or_add(program)
        seen.initial_seconds = max(seen.initial_seconds, seconds_left)

    def set_begun(self, program: str, *, begun: bool) -> None:
        """Notes whether a program has begun."""
        self._get_or_add(program).begun = begun

    def get(self, program: str) -> ProgramInfo:
        """Returns what is known of a program."""
        return self._programs.get(program) or ProgramInfo()

    def is_delayed(self, program: str, seconds_left: float) -> bool:
        """Returns whether a program that begins now is likely to be late."""
        return (
            seconds_left < ON_TIME_FRACTION * self.get(program).initial_seconds
        )

    def _get_or_add(self, program: str) -> ProgramInfo:
        seen = self._programs.get(program)
        if seen is None:
            seen = ProgramInfo()
            self._programs.put(program, seen)
        return seen
