"""Where calls go, for the loads that the users' days bring."""

import collections
import random

from endivepier.gateway import model
from endivepier.gateway import order
from endivepier.gateway import placement
from endivepier.standins import clock
from tests.common import gateway_parts

ENGINE = model.Engine(12, 170_000, 4)


def make(seed=0):
    timers = clock.VirtualTimers()
    return timers, placement.Placement("a", timers, random.Random(seed))


def turn(program, number):
    """Returns the nth turn of a program, whose prompt grows."""
    parts = [model.Part("shared", 2560)]
    parts += [model.Part(f"{program}-{n}", 300) for n in range(number + 1)]
    tokens = sum(part.tokens for part in parts)
    return gateway_parts.call(
        f"{program}-{number}",
        program=program,
        parts=tuple(parts),
        prompt_tokens=tokens,
    )


def targets(count=6):
    return [gateway_parts.target(f"t{n}") for n in range(count)]


def test_turns_of_a_program_go_where_their_prompt_is():
    _, chooser = make()
    found = targets()
    for program in range(30):
        names = set()
        for number in range(4):
            call = turn(f"p{program}", number)
            chosen = chooser.choose(call, found, ENGINE, set())
            chooser.began(chosen, call)
            chooser.ended(chosen, call, failed=False)
            names.add(chosen.name)
        assert len(names) == 1


def test_hosts_that_share_nothing_agree_on_a_new_program():
    found = targets()
    choosers = [make(seed)[1] for seed in range(5)]
    for program in range(20):
        call = turn(f"p{program}", 0)
        names = {c.choose(call, found, ENGINE, set()).name for c in choosers}
        assert len(names) == 1


def test_a_burst_of_new_programs_is_spread():
    _, chooser = make()
    found = targets()
    running = collections.Counter()
    for program in range(60):
        call = turn(f"p{program}", 0)
        chosen = chooser.choose(call, found, ENGINE, set())
        chooser.began(chosen, call)
        running[chosen.name] += 1
    assert max(running.values()) <= 2 * min(running.values())


def test_a_target_that_fails_is_left_alone_and_tried_again():
    timers, chooser = make()
    found = targets(2)
    call = turn("p", 0)
    first = chooser.choose(call, found, ENGINE, set())
    for _ in range(3):
        chooser.began(first, call)
        chooser.ended(first, call, failed=True)
    assert chooser.choose(call, found, ENGINE, set()) != first
    timers.advance(placement.MAX_AVOID_SECONDS)
    assert chooser.choose(call, found[:1], ENGINE, set()) is not None


def test_failing_targets_are_better_than_none():
    _, chooser = make()
    found = targets(1)
    call = turn("p", 0)
    chooser.began(found[0], call)
    chooser.ended(found[0], call, failed=True)
    assert chooser.choose(call, found, ENGINE, set()) == found[0]
    assert chooser.choose(call, found, ENGINE, {"t0@1"}) is None


def test_a_plain_call_goes_to_the_target_with_the_fewest():
    _, chooser = make()
    found = targets(3)
    running = collections.Counter()
    for number in range(30):
        call = gateway_parts.call(f"c{number}")
        chosen = chooser.choose(call, found, None, set())
        chooser.began(chosen, call)
        running[chosen.name] += 1
    assert max(running.values()) - min(running.values()) <= 1


def test_a_target_in_the_same_data_centre_is_preferred():
    _, chooser = make()
    near = gateway_parts.target("near")
    far = gateway_parts.target("far", data_centre="b")
    call = gateway_parts.call()
    assert chooser.choose(call, [far, near], None, set()) == near


def test_turns_that_wait_at_all_engines_are_seen():
    # Three of six engines were left: new programs went on to be taken in
    # until every program was late.
    timers, chooser = make()
    found = targets(3)
    for number in range(30):
        call = turn(f"p{number}", 0)
        chosen = chooser.choose(call, found, ENGINE, set())
        chooser.began(chosen, call)
    assert chooser.least_wait(found) <= 0
    timers.advance(0.5)
    assert chooser.least_wait(found) > 0.3


def test_a_wait_that_was_seen_is_forgotten_with_time():
    timers, chooser = make()
    found = targets(1)
    call = turn("p", 0)
    for _ in range(10):
        chooser.began(found[0], call)
        chooser.first_event(found[0], call, 0, 0.5)
        chooser.ended(found[0], call, failed=False)
    assert chooser.least_wait(found) > 0.3
    timers.advance(5.0)
    assert chooser.least_wait(found) < 0.05


def test_a_turn_goes_where_turns_wait_less():
    _, chooser = make()
    found = targets(2)
    call = turn("p", 0)
    first = chooser.choose(call, found, ENGINE, set())
    for _ in range(10):
        chooser.began(first, call)
        chooser.first_event(first, call, 0, 0.5)
        chooser.ended(first, call, failed=False)
    assert chooser.choose(call, found, ENGINE, set()) != first


def test_under_overload_programs_that_begin_give_way_first():
    # With 0.15 s for first turns only, turns of programs under way queued at
    # the engines until their clients left and came again (deadlines passed).
    first = turn("p", 0)
    late = turn("p", 3)
    late.program_deadline = 10.0
    in_time = turn("p", 3)
    in_time.program_deadline = 20.0
    waits = [order.patience(call, 15.0) for call in (first, late, in_time)]
    assert waits == sorted(waits)
    assert len(set(waits)) == 3
