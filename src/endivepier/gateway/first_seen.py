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
IN_TIME_SHARE = 0.85
KNOWN_PROGRAMS = 20_000  # an entry is some 200 bytes


@dataclasses.dataclass(slots=True)
class Seen:
    """What is known of one program.

    Attributes:
        had: seconds that it had when it first asked; 0 if that isn't known.
        begun: whether a request of it was admitted.
    """

    had: float = 0.0
    begun: bool = False


class FirstSeen:
    """The programs that asked lately, by name."""

    def __init__(self) -> None:
        self._programs: recent.Recent[Seen] = recent.Recent(KNOWN_PROGRAMS)

    def note(self, program: str, left: float) -> None:
        """Notes what a program has left, or once had, in seconds."""
        seen = self._of(program)
        seen.had = max(seen.had, left)

    def mark(self, program: str, *, begun: bool) -> None:
        """Notes whether a program has begun."""
        self._of(program).begun = begun

    def get(self, program: str) -> Seen:
        """Returns what is known of a program."""
        return self._programs.get(program) or Seen()

    def is_delayed(self, program: str, left: float) -> bool:
        """Returns whether a program that begins now is likely to be late."""
        return left < IN_TIME_SHARE * self.get(program).had

    def _of(self, program: str) -> Seen:
        seen = self._programs.get(program)
        if seen is None:
            seen = Seen()
            self._programs.put(program, seen)
        return seen
