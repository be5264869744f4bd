"""An account that begins more programs than its rate can carry."""

import random

from endivepier.gateway import starts
from endivepier.limits import bucket as bucket_lib
from tests.common import gateway_parts

RATE = 20.0


def bucket(level, rate=RATE):
    """Returns a bucket of an account that holds all of its rate."""
    account = gateway_parts.account(rate=rate, burst=1e3)
    found = bucket_lib.Bucket(account, 1.0, 0.0, 0.0, full=False)
    found.level = level
    return found


REQUESTS = 10  # that a program makes, five a second


def ended(gated, seconds=60.0, offered=4.0):
    """Returns how many programs ended, of four that begin each second.

    A program ends when all its requests were admitted; one whose request is
    refused twice is lost. Simulated in steps of 10 ms.
    """
    rng = random.Random(0)
    begun = starts.Starts()
    tokens, now, done, count = RATE, 0.0, 0, 0
    programs = []
    while now < seconds:
        now += 0.01
        tokens = min(tokens + RATE * 0.01, RATE)
        if rng.random() < offered * 0.01:
            count += 1
            name = f"p{count}"
            missing = begun.missing(now, bucket(tokens))
            if not gated or missing <= 0:
                programs.append([name, REQUESTS, 2, now])
        for program in list(programs):
            name, left, tries, due = program
            if due > now:
                continue
            begun.see(name, now)
            if tokens >= 1:
                tokens -= 1
                begun.admit(name, now)
                program[1:] = [left - 1, 2, now + 0.2]
                if left == 1:
                    done += 1
                    programs.remove(program)
            else:
                program[1:] = [left, tries - 1, now + 0.3]
                if tries == 1:
                    programs.remove(program)
    return done


def test_programs_that_begin_can_end():
    # Half of an account's programs failed in their midst while its rate was
    # used up by programs that failed, too (quiet-1, a lowered rate).
    carried = RATE * 60.0 / REQUESTS
    assert ended(gated=True) >= 0.85 * carried
    assert ended(gated=False) < ended(gated=True)


def test_an_account_within_its_rate_is_not_held_back():
    begun = starts.Starts()
    now = 0.0
    for number in range(100):
        now += 1.0  # a program a second, ten requests each
        name = f"p{number}"
        assert begun.missing(now, bucket(RATE)) == 0.0
        for _ in range(10):
            begun.admit(name, now)


def fill(begun, now):
    """Has programs begin until one is refused; returns its retry time."""
    number = 0
    while not (seconds := begun.missing(now, bucket(RATE))):
        begun.admit(f"p{number}", now)
        number += 1
    return seconds


def test_a_refused_start_says_when_there_is_room():
    begun = starts.Starts()
    seconds = fill(begun, 0.0)
    gained = RATE + seconds * RATE
    assert begun.missing(0.0, bucket(gained + 1e-6)) == 0.0


def test_a_start_that_would_be_late_waits_for_more_room():
    begun = starts.Starts()
    seconds = fill(begun, 0.0)
    level = RATE + seconds * RATE + 1e-6
    assert begun.missing(0.0, bucket(level), delayed=True) > 0
    assert begun.missing(0.0, bucket(level)) == 0.0


def test_programs_that_have_been_silent_make_room():
    begun = starts.Starts()
    fill(begun, 0.0)
    later = starts.QUIET_SECONDS + 0.01
    assert begun.missing(later, bucket(RATE)) == 0.0


def test_the_requests_of_a_program_are_learned():
    begun = starts.Starts()
    for number in range(60):
        for request in range(30):
            begun.admit(f"p{number}", number * 3.0 + request * 0.05)
        begun.missing(number * 3.0 + 2.99, bucket(0.0))
    assert 25 <= begun.requests_each <= 35


def test_a_program_that_was_refused_its_tokens_teaches_nothing():
    begun = starts.Starts()
    for number in range(60):
        begun.admit(f"p{number}", number * 3.0)
        begun.see(f"p{number}", number * 3.0 + 0.1)
        begun.missing(number * 3.0 + 2.99, bucket(0.0))
    assert begun.requests_each == starts.FIRST_REQUESTS


def test_a_full_bucket_lets_programs_begin():
    begun = starts.Starts()
    fill(begun, 0.0)
    assert begun.missing(0.0, bucket(RATE)) > 0
    assert begun.missing(0.0, bucket(950.0)) == 0.0


def test_programs_that_have_ended_are_forgotten_though_none_begins():
    begun = starts.Starts()
    for number in range(1000):
        begun.admit(f"p{number}", number * 1.0)
    assert len(begun._programs) <= starts.QUIET_SECONDS + 1
