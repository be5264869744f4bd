"""Programs at engines that can't serve all of them (cnt trouble-2).

Three of six engines were left, for seven tenths more programs than they can
take. Nearly all began and were late: engines that were full made every turn
slow, clients sent turns again, and programs that had been refused began when
it was too late for them.
"""

from endivepier.gateway import turn_admission
from endivepier.standins import batches
from endivepier.standins import clock
from tests.common import engine_load
from tests.common import gateway_parts

# What an engine can do with all slots always in use and nothing read twice.
# Programs come at random, so that three fifths of it are asked for.
SHEET = batches.Sheet()
TURN_SECONDS = (
    engine_load.OUTPUT_TOKENS * SHEET.step / SHEET.slots
    + engine_load.TURN_TOKENS / SHEET.prefill
)
MEAN_TURNS = 5.25
ENGINE_PROGRAMS = 0.6 / TURN_SECONDS / MEAN_TURNS


def play(engines, per_second, seconds=25.0):
    """Returns the shares of programs in time and late, over two seeds."""
    in_time = late = begun = 0
    for seed in (1, 2):
        ends = engine_load.Fleet(engines, seed=seed).play(per_second, seconds)
        in_time += ends.in_time
        late += ends.late
        begun += ends.begun
    return in_time / begun, late / begun


def test_engines_within_their_limits_serve_every_program_in_time():
    in_time, _ = play(engines=3, per_second=12.0)
    assert in_time >= 0.99


def test_at_the_limit_most_programs_end_in_time():
    # 0.36 in time and 0.54 late before.
    in_time, late = play(engines=3, per_second=19.0)
    assert in_time >= 3 * ENGINE_PROGRAMS / 19.0
    assert late <= 0.05


def test_far_over_the_limit_what_engines_can_do_ends_in_time():
    # 0.07 in time and 0.52 late before.
    in_time, late = play(engines=3, per_second=28.0)
    assert in_time >= 3 * ENGINE_PROGRAMS / 28.0
    assert late <= 0.05


def test_six_engines_over_their_limit_serve_what_they_can_in_time():
    # 0.15 in time and 0.64 late before.
    in_time, late = play(engines=6, per_second=38.0)
    assert in_time >= 6 * ENGINE_PROGRAMS / 38.0
    assert late <= 0.05


def refusal(fleet, call):
    return turn_admission.refusal_reason(
        call, fleet.hosts[0], fleet.targets, 0.0, begins=True, delayed=False
    )


def test_a_refusal_says_why():
    fleet = engine_load.Fleet(1)
    host = fleet.hosts[0]
    call = gateway_parts.call(program="p", program_deadline=4.0)
    assert refusal(fleet, call) == ""
    for number in range(2):
        host.note_sent(fleet.targets[0], gateway_parts.call(f"c{number}"))
    reason = refusal(fleet, call)
    assert reason == "1.17 turns are under way for each slot of the engines"


def test_the_model_reads_a_kept_part_once():
    timers = clock.VirtualTimers()
    engine = batches.Engine(timers, batches.Sheet())
    call = engine_load.prompt("p", 1)

    def main():
        for _ in range(2):
            job = engine.submit(call, 4)
            timers.wait(job.ended, 10.0)

    timers.run(main)
    assert engine.read == call.prompt_tokens + 1
