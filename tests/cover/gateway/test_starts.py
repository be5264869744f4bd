"""An account that begins more programs than its rate can carry."""

import random

from endivepier.gateway import starts

RATE = 20.0
REQUESTS = 10  # that a program makes, five a second


def ended(gated, seconds=60.0, offered=4.0):
    """Returns how many programs ended, of four that begin each second.

    A program ends when all its requests were admitted; one whose request is
    refused twice is lost. Simulated in steps of 10 ms.
    """
    rng = random.Random(0)
    begun = starts.Starts(0.0)
    tokens, now, done = RATE, 0.0, 0
    programs = []
    while now < seconds:
        now += 0.01
        tokens = min(tokens + RATE * 0.01, RATE)
        may_begin = not gated or begun.missing(now, RATE) <= 0
        if rng.random() < offered * 0.01 and may_begin:
            programs.append([REQUESTS, 2, now])
            begun.begin(now)
        for program in list(programs):
            left, tries, due = program
            if due > now:
                continue
            if tokens >= 1:
                tokens -= 1
                begun.count(now, fresh=left == REQUESTS)
                program[:] = [left - 1, 2, now + 0.2]
                if left == 1:
                    done += 1
                    programs.remove(program)
            else:
                begun.press(now)
                program[:] = [left, tries - 1, now + 0.3]
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
    begun = starts.Starts(0.0)
    for number in range(100):
        now = number * 0.001
        assert begun.missing(now, RATE) == 0.0
        begun.begin(now)


def test_a_refused_start_says_when_there_is_room():
    begun = starts.Starts(0.0)
    begun.press(0.0)
    begun.begin(0.0)
    seconds = begun.missing(0.0, RATE)
    assert seconds > 0
    begun.press(seconds)
    assert begun.missing(seconds + 1e-6, RATE) == 0.0


def test_the_requests_of_a_program_are_learned():
    begun = starts.Starts(0.0)
    for number in range(600):
        begun.count(number * 0.1, fresh=number % 30 == 0)
    assert 25 <= begun.requests_each <= 35
