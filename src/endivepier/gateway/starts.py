"""How many programs of an account may be under way at once.

A program that can't end is worth nothing, and one that has begun goes on to
ask. So a program begins only if the account's tokens, those that it has and
those that it will get soon, cover what the programs under way still ask for,
and the new one's requests too.

How much a program asks for is learned from those that have ended.
"""

from __future__ import annotations

import collections
import dataclasses

from endivepier.limits import bucket as bucket_lib

# Tokens that are gained within this time count as there. Most programs last
# one to two seconds, so that one which begins finds tokens until its end.
HORIZON_SECONDS = 1.5
# A bucket that is so full is not pressed, whatever programs were like before.
CALM_SHARE = 0.9
# A program that was silent for so long has ended: between two requests lie
# one turn at most, and a refusal's `Retry-After`.
QUIET_SECONDS = 1.5
# A program that was silent for less is certainly under way: most turns and
# calls take no longer.
PAUSE_SECONDS = 0.4
# Before any has ended: four turns with two calls of tools each.
FIRST_REQUESTS = 12.0
FIRST_PACE = 10.0  # requests a second, of the same programs
ENDED_WEIGHT = 0.1  # of the newest program in the mean
LEAST_RETRY_SECONDS = 0.1  # a program under way ends no sooner


@dataclasses.dataclass(slots=True)
class UnderWay:
    """A program that has begun.

    Attributes:
        requests: how many were admitted here.
        began: when the first one came, monotonic seconds.
        seen: when the last one came, monotonic seconds.
        refused: whether the last one was not admitted.
    """

    requests: int
    began: float
    seen: float
    refused: bool = False


class Starts:
    """The programs of one account at one host."""

    def __init__(self) -> None:
        self._programs: collections.OrderedDict[str, UnderWay] = (
            collections.OrderedDict()
        )
        self._requests_each = FIRST_REQUESTS
        self._pace = FIRST_PACE

    @property
    def requests_each(self) -> float:
        """Requests that a program makes here, as counted lately."""
        return self._requests_each

    def see(self, program: str, now: float) -> None:
        """Notes that a program under way asks; `admit` may follow."""
        found = self._programs.get(program)
        if found is not None:
            found.seen = now
            found.refused = True
            self._programs.move_to_end(program)

    def admit(self, program: str, now: float) -> None:
        """Counts an admitted request; the first one begins the program."""
        self._drop_ended(now)
        found = self._programs.get(program)
        if found is None:
            found = self._programs[program] = UnderWay(0, now, now)
        found.requests += 1
        found.seen = now
        found.refused = False
        self._programs.move_to_end(program)

    def withdraw(self, program: str) -> None:
        """Takes back an admitted request that was not sent anywhere."""
        found = self._programs.get(program)
        if found is None:
            return
        found.requests -= 1
        if found.requests <= 0:
            del self._programs[program]

    def missing(
        self,
        now: float,
        bucket: bucket_lib.Bucket,
        *,
        delayed: bool = False,
    ) -> float:
        """Returns the seconds until a program may begin; 0 for now.

        Args:
            now: the time.
            bucket: this host's tokens, up to date.
            delayed: whether it begins too late to end in time; it needs
                room for another one as well then.
        """
        self._drop_ended(now)
        level = bucket.level
        most = bucket.fraction * bucket.burst
        if not self._programs or level >= CALM_SHARE * most:
            return 0.0
        owed = sum(
            self._need(each.requests) * _likely(now - each.seen)
            for each in self._programs.values()
        )
        needed = self._need(0)
        if delayed:
            needed *= 2.0
        rate = bucket.fraction * bucket.rate
        lacking = owed + needed - level - rate * HORIZON_SECONDS
        if lacking <= 0:
            return 0.0
        return max(lacking / max(rate, 1e-3), LEAST_RETRY_SECONDS)

    def _need(self, made: int) -> float:
        """Returns what a program is likely to ask for within the horizon."""
        rest = max(self._requests_each - made, self._requests_each / 2)
        return min(rest, self._pace * HORIZON_SECONDS)

    def _drop_ended(self, now: float) -> None:
        while self._programs:
            program, each = next(iter(self._programs.items()))
            if now - each.seen <= QUIET_SECONDS:
                return
            del self._programs[program]
            if each.refused:
                continue
            self._requests_each += ENDED_WEIGHT * (
                each.requests - self._requests_each
            )
            seconds = each.seen - each.began
            if each.requests > 2:
                self._pace += ENDED_WEIGHT * (
                    each.requests / max(seconds, 0.1) - self._pace
                )


def _likely(silent: float) -> float:
    """Returns how likely a program is still under way after a silence."""
    over = (silent - PAUSE_SECONDS) / (QUIET_SECONDS - PAUSE_SECONDS)
    return min(max(1.0 - over, 0.0), 1.0)
