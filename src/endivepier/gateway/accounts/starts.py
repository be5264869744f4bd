"""Limits how many programs of an account run at once.

Each request of a program takes one token of the account's rate limit. If too
many programs run at once, all of them run out of tokens half-way, and the
work they have done is lost. A new program is therefore admitted only if the
tokens at hand, and those that are refilled within `HORIZON_SECONDS`, cover
the requests that the running programs are expected to make, and its own.

The expected number of requests is a moving average over ended programs.
"""

from __future__ import annotations

import collections
import dataclasses

from endivepier.limits import bucket as bucket_lib

# Tokens refilled within this time count as available. Most programs last one
# to two seconds, so a program that starts has tokens until it ends.
HORIZON_SECONDS = 1.5
# A bucket filled to this fraction admits every program: the account is well
# below its rate, whatever the averages of earlier programs say.
NEARLY_FULL_FRACTION = 0.9
# A program without a request for this time has ended: the longest gap between
# two requests is one turn, or the `Retry-After` of a refusal.
ENDED_AFTER_SECONDS = 1.5
# A program with a request within this time counts as running for certain: most
# turns and tool calls take no longer. From then to `ENDED_AFTER_SECONDS` the
# probability falls linearly to zero.
RUNNING_WITHIN_SECONDS = 0.4
# Initial values of the moving averages over ended programs. The first is for a
# program of four turns with two tool calls each.
INITIAL_REQUESTS = 12.0
INITIAL_REQUESTS_PER_SECOND = 10.0  # of one program
NEWEST_WEIGHT = 0.1  # of the last ended program in the moving averages
MIN_RETRY_SECONDS = 0.1  # running programs take at least this long to end


@dataclasses.dataclass(slots=True)
class RunningProgram:
    """A program that has started and is not known to have ended.

    Attributes:
        requests: number of requests admitted at this host.
        began_at: time of the first request, monotonic seconds.
        seen_at: time of the last request, monotonic seconds.
        was_refused: whether the last request was refused.
    """

    requests: int
    began_at: float
    seen_at: float
    was_refused: bool = False


class StartLimiter:
    """Decides when programs of one account may start at one host."""

    def __init__(self) -> None:
        self._programs: collections.OrderedDict[str, RunningProgram] = (
            collections.OrderedDict()
        )
        self._requests_per_program = INITIAL_REQUESTS
        self._requests_per_second = INITIAL_REQUESTS_PER_SECOND

    @property
    def requests_per_program(self) -> float:
        """Moving average of the requests that a program makes here."""
        return self._requests_per_program

    def record_request(self, program: str, now: float) -> None:
        """Records a request of a running program.

        The request counts as refused unless `record_admission` follows.
        """
        running = self._programs.get(program)
        if running is not None:
            running.seen_at = now
            running.was_refused = True
            self._programs.move_to_end(program)

    def record_admission(self, program: str, now: float) -> None:
        """Counts an admitted request; the first one starts the program."""
        self._drop_ended(now)
        running = self._programs.get(program)
        if running is None:
            running = self._programs[program] = RunningProgram(0, now, now)
        running.requests += 1
        running.seen_at = now
        running.was_refused = False
        self._programs.move_to_end(program)

    def withdraw(self, program: str) -> None:
        """Subtracts an admitted request that was not sent to any target."""
        running = self._programs.get(program)
        if running is None:
            return
        running.requests -= 1
        if running.requests <= 0:
            del self._programs[program]

    def seconds_until_start(
        self,
        now: float,
        bucket: bucket_lib.Bucket,
        *,
        elsewhere: bucket_lib.Bucket | None = None,
        delayed: bool = False,
    ) -> float:
        """Returns the seconds until a program may start; 0 if it may now.

        Args:
            now: current time, monotonic seconds.
            bucket: this host's tokens, refilled up to `now`.
            elsewhere: tokens that only this host's programs use, at the other
                owners; refilled up to `now`.
            delayed: whether the program starts so late that it is likely to
                end late. It then needs twice the tokens, so that others start
                first.
        """
        self._drop_ended(now)
        level = bucket.level
        fraction = bucket.fraction
        if elsewhere is not None:
            level += elsewhere.level
            fraction += elsewhere.fraction
        capacity = fraction * bucket.burst
        if not self._programs or level >= NEARLY_FULL_FRACTION * capacity:
            return 0.0
        reserved = sum(
            self._expected_requests(running.requests)
            * _probability_running(now - running.seen_at)
            for running in self._programs.values()
        )
        needed = self._expected_requests(0)
        if delayed:
            needed *= 2.0
        rate = fraction * bucket.rate
        shortfall = reserved + needed - level - rate * HORIZON_SECONDS
        if shortfall <= 0:
            return 0.0
        return max(shortfall / max(rate, 1e-3), MIN_RETRY_SECONDS)

    def _expected_requests(self, made: int) -> float:
        """Returns the requests expected of a program within the horizon.

        A program that has made more than half of the average is expected to
        make half of it again.

        Args:
            made: requests that the program has already made.
        """
        remaining = max(
            self._requests_per_program - made, self._requests_per_program / 2
        )
        return min(remaining, self._requests_per_second * HORIZON_SECONDS)

    def _drop_ended(self, now: float) -> None:
        """Drops ended programs and updates the averages from them.

        A program whose last request was refused may have been cut short, so
        it does not enter the averages.
        """
        while self._programs:
            program, oldest = next(iter(self._programs.items()))
            if now - oldest.seen_at <= ENDED_AFTER_SECONDS:
                return
            del self._programs[program]
            if oldest.was_refused:
                continue
            self._requests_per_program += NEWEST_WEIGHT * (
                oldest.requests - self._requests_per_program
            )
            seconds = oldest.seen_at - oldest.began_at
            if oldest.requests > 2:
                self._requests_per_second += NEWEST_WEIGHT * (
                    oldest.requests / max(seconds, 0.1)
                    - self._requests_per_second
                )


def _probability_running(idle_seconds: float) -> float:
    """Returns how likely a program still runs after `idle_seconds`."""
    elapsed = (idle_seconds - RUNNING_WITHIN_SECONDS) / (
        ENDED_AFTER_SECONDS - RUNNING_WITHIN_SECONDS
    )
    return min(max(1.0 - elapsed, 0.0), 1.0)
