"""Admission of programs to overloaded engines.

Guards against an overload collapse: with three of six engines down, 70 % more
programs arrived than the engines can serve. Nearly all were admitted and ended
late: full engines made every turn slow, clients sent turns again, and refused
programs began too late to end in time.
"""

from endivepier.gateway.choice import admission as turn_admission
from endivepier.standins import batch_engine
from endivepier.standins import clock
from tests.common import engine_load
from tests.common import gateway_parts

# The capacity of an engine is computed with all slots in use at all times and
# each token prefilled once. Programs arrive at random, so the tests require
# 60 % of it.
SPEC = batch_engine.EngineSpec()
TURN_SECONDS = (
    engine_load.OUTPUT_TOKENS * SPEC.step_seconds / SPEC.slots
    + engine_load.TURN_TOKENS / SPEC.prefill_tokens_per_second
)
MEAN_TURNS = 5.25  # of the programs in `engine_load`
REQUIRED_PROGRAMS_PER_SECOND = 0.6 / TURN_SECONDS / MEAN_TURNS


def run(engines, per_second, seconds=25.0):
    """Returns the shares of programs in time and late, over two seeds."""
    in_time = late = begun = 0
    for seed in (1, 2):
        ends = engine_load.Fleet(engines, seed=seed).run(per_second, seconds)
        in_time += ends.in_time
        late += ends.late
        begun += ends.begun
    return in_time / begun, late / begun


def test_engines_below_their_capacity_serve_every_program_in_time():
    in_time, _ = run(engines=3, per_second=12.0)
    assert in_time >= 0.99


def test_at_capacity_most_programs_end_in_time():
    # With earlier admission rules: 0.36 in time and 0.54 late.
    in_time, late = run(engines=3, per_second=19.0)
    assert in_time >= 3 * REQUIRED_PROGRAMS_PER_SECOND / 19.0
    assert late <= 0.05


def test_far_above_capacity_as_many_programs_as_possible_end_in_time():
    # With earlier admission rules: 0.07 in time and 0.52 late.
    in_time, late = run(engines=3, per_second=28.0)
    assert in_time >= 3 * REQUIRED_PROGRAMS_PER_SECOND / 28.0
    assert late <= 0.05


def test_six_engines_above_capacity_serve_what_they_can_in_time():
    # With earlier admission rules: 0.15 in time and 0.64 late.
    in_time, late = run(engines=6, per_second=38.0)
    assert in_time >= 6 * REQUIRED_PROGRAMS_PER_SECOND / 38.0
    assert late <= 0.05


def refusal(fleet, call):
    return turn_admission.refusal_reason(
        call, fleet.hosts[0], fleet.targets, 0.0, begins=True, delayed=False
    )


def test_a_refusal_states_its_reason():
    fleet = engine_load.Fleet(1)
    host = fleet.hosts[0]
    call = gateway_parts.call(program="p", program_deadline=4.0)
    assert refusal(fleet, call) == ""
    for number in range(2):
        host.note_sent(fleet.targets[0], gateway_parts.call(f"c{number}"))
    reason = refusal(fleet, call)
    assert reason == "1.17 turns are under way for each slot of the engines"


def test_the_engine_model_prefills_a_cached_part_once():
    timers = clock.VirtualTimers()
    engine = batch_engine.Engine(timers, batch_engine.EngineSpec())
    call = engine_load.turn("p", 1)

    def main():
        for _ in range(2):
            job = engine.submit(call, 4)
            timers.wait(job.finished, 10.0)

    timers.run(main)
    assert engine.prefilled_tokens == call.prompt_tokens + 1
