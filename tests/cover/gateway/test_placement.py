"""Where calls go, for the loads that the users' days bring."""

import collections
import json
import random

import pytest

from endivepier.gateway import load_reports
from endivepier.gateway import model
from endivepier.gateway import placement
from endivepier.gateway import turn_admission
from endivepier.standins import clock
from tests.common import gateway_parts

ENGINE = model.Engine(12, 170_000, 4)


def make(seed=0):
    timers = clock.VirtualTimers()
    reports = load_reports.LoadReports(timers)
    return timers, placement.Placement(
        "a", timers, random.Random(seed), reports
    )


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
            chooser.note_sent(chosen, call)
            chooser.note_ended(chosen, call, failed=False)
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
        chooser.note_sent(chosen, call)
        running[chosen.name] += 1
    assert max(running.values()) <= 2 * min(running.values())


def test_a_target_that_fails_is_left_alone_and_tried_again():
    timers, chooser = make()
    found = targets(2)
    call = turn("p", 0)
    first = chooser.choose(call, found, ENGINE, set())
    for _ in range(3):
        chooser.note_sent(first, call)
        chooser.note_ended(first, call, failed=True)
    assert chooser.choose(call, found, ENGINE, set()) != first
    timers.advance(placement.MAX_AVOID_SECONDS)
    assert chooser.choose(call, found[:1], ENGINE, set()) is not None


def test_failing_targets_are_better_than_none():
    _, chooser = make()
    found = targets(1)
    call = turn("p", 0)
    chooser.note_sent(found[0], call)
    chooser.note_ended(found[0], call, failed=True)
    assert chooser.choose(call, found, ENGINE, set()) == found[0]
    assert chooser.choose(call, found, ENGINE, {"t0@1"}) is None


def test_a_plain_call_goes_to_the_target_with_the_fewest():
    _, chooser = make()
    found = targets(3)
    running = collections.Counter()
    for number in range(30):
        call = gateway_parts.call(f"c{number}")
        chosen = chooser.choose(call, found, None, set())
        chooser.note_sent(chosen, call)
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
        chooser.note_sent(chosen, call)
    assert chooser.shortest_wait(found) <= 0
    timers.advance(0.5)
    assert chooser.shortest_wait(found) > 0.3


def test_a_wait_that_was_seen_is_forgotten_with_time():
    timers, chooser = make()
    found = targets(1)
    call = turn("p", 0)
    for _ in range(10):
        chooser.note_sent(found[0], call)
        chooser.note_first_event(found[0], call, 0, 0.5)
        chooser.note_ended(found[0], call, failed=False)
    assert chooser.shortest_wait(found) > 0.3
    timers.advance(5.0)
    assert chooser.shortest_wait(found) < 0.05


def test_a_turn_goes_where_turns_wait_less():
    _, chooser = make()
    found = targets(2)
    call = turn("p", 0)
    first = chooser.choose(call, found, ENGINE, set())
    for _ in range(10):
        chooser.note_sent(first, call)
        chooser.note_first_event(first, call, 0, 0.5)
        chooser.note_ended(first, call, failed=False)
    assert chooser.choose(call, found, ENGINE, set()) != first


def test_under_overload_programs_that_begin_give_way_first():
    # With 0.15 s for first turns only, turns of programs under way queued at
    # the engines until their clients left and came again (deadlines passed).
    first = turn("p", 0)
    late = turn("p", 3)
    late.program_deadline = 10.0
    in_time = turn("p", 3)
    in_time.program_deadline = 20.0
    found = [
        turn_admission.load_limits(first, 15.0, begins=True, delayed=True),
        turn_admission.load_limits(first, 15.0, begins=True, delayed=False),
        turn_admission.load_limits(late, 15.0, begins=False, delayed=False),
        turn_admission.load_limits(in_time, 15.0, begins=False, delayed=False),
    ]
    waits = [bounds.wait_seconds for bounds in found[1:]]
    crowds = [bounds.calls_per_slot for bounds in found]
    assert waits == sorted(waits)
    assert len(set(waits)) == 3
    assert crowds == sorted(crowds)
    assert len(set(crowds)) == 4


def test_calls_of_other_hosts_count():
    _, chooser = make()
    found = targets(2)
    call = turn("p", 0)
    chosen = chooser.choose(call, found, ENGINE, set())
    chooser.reports.receive(
        "other", json.dumps({chosen.incarnation: 12}).encode()
    )
    assert chooser.choose(call, found, ENGINE, set()) != chosen
    assert chooser.calls_per_slot(found) == 0.5


def test_hosts_that_are_not_heard_are_taken_to_be_like_this_one():
    timers, chooser = make()
    found = targets(1)
    chooser.reports.host_count = 6
    chooser.note_sent(found[0], turn("p", 0))
    assert chooser.running(found[0]) == 6
    chooser.reports.receive("other", b"{}")
    assert chooser.running(found[0]) == 1
    timers.advance(load_reports.FRESH_SECONDS + 0.1)
    assert chooser.running(found[0]) == 6


def test_hosts_that_are_heard_stand_for_the_others():
    _, chooser = make()
    found = targets(1)
    chooser.reports.host_count = 5
    report = json.dumps({found[0].incarnation: 3}).encode()
    chooser.reports.receive("h1", report)
    chooser.reports.receive("h2", b"{}")
    assert chooser.running(found[0]) == 6


def test_a_report_that_is_none_is_refused():
    _, chooser = make()
    for wrong in (b"[]", b"{", b'{"t": "many"}'):
        with pytest.raises(ValueError):
            chooser.reports.receive("h1", wrong)


def test_a_turn_goes_where_its_program_ran_before_though_seen_elsewhere():
    # Two of five turns of a program come to another host than the one before.
    # Its engine read the whole prompt again wherever the hash pointed.
    _, chooser = make()
    found = targets()
    call = turn("p", 3)
    usual = chooser.choose(call, found, ENGINE, set())
    last_target = next(t for t in found if t != usual)
    chosen = chooser.choose(call, found, ENGINE, set(), last_target.incarnation)
    assert chosen == last_target


def test_of_equal_targets_one_that_is_connected_is_chosen():
    # New connections are dear on bgw-sentro: 380 on a quiet day for 112 pairs
    # of a host and a target.
    timers = clock.VirtualTimers()
    connected = {"t2@1"}
    chooser = placement.Placement(
        "a",
        timers,
        random.Random(0),
        load_reports.LoadReports(timers),
        connected.__contains__,
    )
    found = targets(5)
    call = gateway_parts.call()
    assert chooser.choose(call, found, None, set()).name == "t2"
    chooser.note_sent(found[2], call)
    assert chooser.choose(call, found, None, set()).name != "t2"
