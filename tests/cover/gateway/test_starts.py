"""An account that starts more programs than its rate allows to finish."""

import random

from endivepier.gateway.accounts import starts
from endivepier.limits import bucket as bucket_lib
from tests.common import gateway_parts

RATE = 20.0


def bucket(level, rate=RATE):
    """Returns a bucket with the account's whole rate, at a given level."""
    account = gateway_parts.account(rate=rate, burst=1e3)
    result = bucket_lib.Bucket(account, 1.0, 0.0, 0.0, full=False)
    result.level = level
    return result


REQUESTS = 10  # of each program, five a second


def completed(limited, seconds=60.0, offered=4.0):
    """Returns how many programs complete if `offered` start per second.

    A program completes once all its requests were admitted, and fails once a
    request was refused twice in a row. Time advances in steps of 10 ms.

    Args:
        limited: whether the limiter decides which programs start.
        seconds: simulated time.
        offered: programs per second.
    """
    rng = random.Random(0)
    limiter = starts.StartLimiter()
    tokens, now, done, count = RATE, 0.0, 0, 0
    programs = []
    while now < seconds:
        now += 0.01
        tokens = min(tokens + RATE * 0.01, RATE)
        if rng.random() < offered * 0.01:
            count += 1
            name = f"p{count}"
            retry_after = limiter.seconds_until_start(now, bucket(tokens))
            if not limited or retry_after <= 0:
                programs.append([name, REQUESTS, 2, now])
        for program in list(programs):
            name, left, tries, due = program
            if due > now:
                continue
            limiter.record_request(name, now)
            if tokens >= 1:
                tokens -= 1
                limiter.record_admission(name, now)
                program[1:] = [left - 1, 2, now + 0.2]
                if left == 1:
                    done += 1
                    programs.remove(program)
            else:
                program[1:] = [left, tries - 1, now + 0.3]
                if tries == 1:
                    programs.remove(program)
    return done


def test_programs_that_start_can_complete():
    # With a lowered rate, half of an account's programs failed midway: too
    # many ran at once, and those that failed later used up the tokens.
    possible = RATE * 60.0 / REQUESTS
    assert completed(limited=True) >= 0.85 * possible
    assert completed(limited=False) < completed(limited=True)


def test_an_account_within_its_rate_may_start_every_program():
    limiter = starts.StartLimiter()
    now = 0.0
    for number in range(100):
        now += 1.0  # a program a second, ten requests each
        name = f"p{number}"
        assert limiter.seconds_until_start(now, bucket(RATE)) == 0.0
        for _ in range(10):
            limiter.record_admission(name, now)


def fill(limiter, now):
    """Starts programs until one is refused; returns its retry time."""
    number = 0
    while not (seconds := limiter.seconds_until_start(now, bucket(RATE))):
        limiter.record_admission(f"p{number}", now)
        number += 1
    return seconds


def test_a_refused_start_succeeds_after_its_retry_time():
    limiter = starts.StartLimiter()
    seconds = fill(limiter, 0.0)
    level = RATE + seconds * RATE
    assert limiter.seconds_until_start(0.0, bucket(level + 1e-6)) == 0.0


def test_a_delayed_program_needs_more_tokens_to_start():
    limiter = starts.StartLimiter()
    seconds = fill(limiter, 0.0)
    level = RATE + seconds * RATE + 1e-6
    assert limiter.seconds_until_start(0.0, bucket(level), delayed=True) > 0
    assert limiter.seconds_until_start(0.0, bucket(level)) == 0.0


def test_programs_without_recent_requests_count_as_ended():
    limiter = starts.StartLimiter()
    fill(limiter, 0.0)
    later = starts.ENDED_AFTER_SECONDS + 0.01
    assert limiter.seconds_until_start(later, bucket(RATE)) == 0.0


def test_the_average_requests_per_program_follow_ended_programs():
    limiter = starts.StartLimiter()
    for number in range(60):
        for request in range(30):
            limiter.record_admission(
                f"p{number}", number * 3.0 + request * 0.05
            )
        limiter.seconds_until_start(number * 3.0 + 2.99, bucket(0.0))
    assert 25 <= limiter.requests_per_program <= 35


def test_a_program_that_ends_with_a_refusal_does_not_change_the_average():
    limiter = starts.StartLimiter()
    for number in range(60):
        limiter.record_admission(f"p{number}", number * 3.0)
        limiter.record_request(f"p{number}", number * 3.0 + 0.1)
        limiter.seconds_until_start(number * 3.0 + 2.99, bucket(0.0))
    assert limiter.requests_per_program == starts.INITIAL_REQUESTS


def test_a_nearly_full_bucket_lets_programs_start():
    limiter = starts.StartLimiter()
    fill(limiter, 0.0)
    assert limiter.seconds_until_start(0.0, bucket(RATE)) > 0
    assert limiter.seconds_until_start(0.0, bucket(950.0)) == 0.0


def test_ended_programs_are_dropped_without_asking_for_a_start():
    limiter = starts.StartLimiter()
    for number in range(1000):
        limiter.record_admission(f"p{number}", number * 1.0)
    assert len(limiter._programs) <= starts.ENDED_AFTER_SECONDS + 1
