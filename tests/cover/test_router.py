import dataclasses
import random

import gevent
import hypothesis
from hypothesis import strategies as st
import pytest

from bench import simulation
from bench import simulation_setup as setup_lib
from endivepier import errors
from endivepier.membership import members
from endivepier.scheduling import ejection
from endivepier.scheduling import load as load_lib
from endivepier.scheduling import policies
from endivepier.scheduling import retries
from endivepier.scheduling import work as work_lib
from endivepier.standins import engine as engine_lib
from endivepier.targets import ports

SETUP = setup_lib.Setup(policies.FairShare(), policies.OwnerFirst())


def member(number, *, pace=0.01, **fields):
    return members.Member(
        address=f"sidecar:{number}",
        role="sidecar",
        data_centre="one",
        pool="engines",
        state=members.MemberState.READY,
        token_seconds=pace,
        **fields,
    )


def call(name, *, program="p", size=4000, max_tokens=64, seconds=60.0):
    message = ports.ChatMessage("user", "x" * size)
    request = ports.Generate(name, program, "model", (message,), max_tokens)
    work = work_lib.Work("a", 1.0, program, 0.0, 100.0, 1.0, seconds)
    return work_lib.Generate(work, request)


class Case:
    """A cluster whose sidecar 0 owns all programs of the test."""

    def __init__(self, setup=SETUP):
        self.cluster = simulation.Cluster(setup, 1)
        self.timers = self.cluster.timers
        self.sidecars = list(self.cluster._sidecars.values())
        self.owner = self.sidecars[0]

    def generate(self, req):
        *_, finished = self.owner.router.generate(req)
        return finished

    def run(self, script):
        beats = self.timers.every(0.5, self.cluster._update_snapshot)
        self.timers.run(script)
        beats.cancel()

    def generated(self):
        return [s.engine.generated_tokens for s in self.sidecars]


def test_the_owner_runs_its_calls_while_its_target_has_free_slots():
    case = Case()

    def script():
        for n in range(3):
            finished = case.generate(call(f"r{n}", size=4000 + n * 400))
        assert finished.cached_tokens > 900
        assert case.generated()[1:] == [0] * (simulation.ENGINES - 1)

    case.run(script)


def test_calls_of_an_evacuated_owner_run_in_other_data_centres():
    case = Case()
    evacuated = {"one"}
    case.owner.router._evacuated = lambda: evacuated
    view = case.owner.router._view
    pool = view.ready
    view.ready = lambda role, name="": [
        dataclasses.replace(m, data_centre="two" if n else "one")
        for n, m in enumerate(pool(role, name))
    ]

    def script():
        case.generate(call("r0"))
        assert case.generated()[0] == 0
        evacuated.add("two")
        with pytest.raises(errors.Refused) as refused:
            case.generate(call("r1"))
        assert refused.value.status == 503
        assert refused.value.ran is errors.Ran.NO
        evacuated.clear()
        case.generate(call("r2"))

    case.run(script)


def test_a_busy_owner_moves_a_call_and_its_prefix_to_another_target():
    case = Case()

    def script():
        first = case.generate(call("first", size=20000))
        busy = [
            gevent.spawn(
                list,
                case.owner.dispatcher.generate(
                    call(f"b{n}", program=f"b{n}", max_tokens=400)
                ),
            )
            for n in range(40)
        ]
        case.timers.sleep(12.0)
        assert case.owner.queue.queued > 0
        second = case.generate(call("second", size=21000))
        assert second.cached_tokens >= first.prompt_tokens
        assert sum(case.generated()[1:]) == 64
        # The next call runs at the target that holds the prefix now.
        third = case.generate(call("third", size=22000))
        assert third.cached_tokens >= second.prompt_tokens
        gevent.joinall(busy)

    case.run(script)


def test_a_call_whose_target_fails_before_a_token_is_retried_elsewhere():
    case = Case()

    def script():
        case.owner.engine.faults.down = True
        finished = case.generate(call("r"))
        assert finished.completion_tokens == 64

    case.run(script)


def test_a_call_that_fails_after_a_token_is_not_retried():
    case = Case()

    def script():
        case.owner.engine.faults.cut_after_tokens = 64
        with pytest.raises(errors.Refused) as refusal:
            case.generate(call("r", max_tokens=200))
        assert refusal.value.ran is errors.Ran.UNKNOWN
        assert sum(case.generated()[1:]) == 0

    case.run(script)


def test_retries_stop_when_the_budget_is_used_up():
    budget = retries.RetryBudget()
    granted = 0
    for _ in range(1000):
        budget.deposit()
        granted += budget.withdraw()
    assert (
        granted
        <= retries.MAX_RETRIES_AVAILABLE + 1000 * retries.RETRIES_PER_CALL
    )


def test_a_slowed_target_gets_only_probes_until_it_is_fast_again():
    case = Case()
    slow = case.owner
    tasks = []

    def load(seconds):
        end = case.timers.now() + seconds
        while case.timers.now() < end:
            for sidecar in case.sidecars:
                name = f"{sidecar.address}-{case.timers.now()}"
                req = call(name, program=name, max_tokens=192)
                tasks.append(gevent.spawn(list, sidecar.router.generate(req)))
            case.timers.sleep(1.0)

    def script():
        for sidecar in case.sidecars:
            sidecar.slow_target_monitor.start()
        load(10.0)
        slow.engine.faults.slowdown = 10.0
        # Calls that are running at the slow target take up to 25 s to end.
        load(30.0)
        before = slow.engine.generated_tokens
        load(10.0)
        # Only probes run there now: one every 5 s, of 8 tokens.
        probe_tokens = slow.engine.generated_tokens - before
        assert probe_tokens > 0
        assert probe_tokens <= 3 * 8
        slow.engine.faults.slowdown = 1.0
        load(40.0)
        before = slow.engine.generated_tokens
        load(5.0)
        assert slow.engine.generated_tokens - before > 400
        gevent.joinall(tasks, raise_error=True)
        for sidecar in case.sidecars:
            sidecar.slow_target_monitor.stop()

    case.run(script)


def test_closing_a_call_cancels_it_at_a_remote_engine():
    profile = engine_lib.EngineProfile(prefill_tokens_per_second=100.0)
    case = Case(dataclasses.replace(SETUP, profile=profile))

    def script():
        case.owner.engine.faults.down = True
        task = gevent.spawn(list, case.owner.router.generate(call("r")))
        case.timers.sleep(1.0)
        assert sum(s.engine.active_requests for s in case.sidecars) == 1
        task.kill()
        case.timers.sleep(0.1)
        assert sum(s.engine.active_requests for s in case.sidecars) == 0
        assert sum(s.queue.running for s in case.sidecars) == 0

    case.run(script)


def test_release_frees_the_prefix_at_the_engine_of_the_last_call():
    case = Case()

    def script():
        case.owner.engine.faults.down = True
        case.generate(call("r"))
        held = sum(len(s.engine.cached_prefixes()) for s in case.sidecars)
        assert held == 1
        assert case.owner.router.release("p")
        held = sum(len(s.engine.cached_prefixes()) for s in case.sidecars)
        assert held == 0

    case.run(script)


def test_sent_requests_count_as_load_until_the_next_report():
    loads = load_lib.LoadEstimator()
    report = member(1, running=8, queued=0, slots=8, service_seconds=2.0)
    assert loads.wait_seconds(report) == pytest.approx(0.25)
    for _ in range(8):
        loads.record_sent(report)
    assert loads.wait_seconds(report) == pytest.approx(2.25)
    assert loads.wait_seconds(
        dataclasses.replace(report, running=2)
    ) == pytest.approx(0.0)


@hypothesis.given(
    st.lists(st.floats(0, 10), min_size=1, max_size=20),
    st.integers(0, 100),
)
def test_ejects_only_the_slowest_targets_and_at_most_the_allowed_share(
    paces, seed
):
    policy = policies.OwnerFirst()
    pool = [member(n, pace=pace) for n, pace in enumerate(paces)]
    random.Random(seed).shuffle(pool)
    ejected = ejection.ejected_addresses(pool, policy)
    assert len(ejected) <= policy.max_ejected_share * len(pool)
    kept = [m.token_seconds for m in pool if m.address not in ejected]
    for m in pool:
        if m.address in ejected:
            slower = [p for p in kept if p > m.token_seconds]
            assert not slower


def test_a_call_without_tokens_moves_away_from_an_ejected_target():
    profile = engine_lib.EngineProfile(prefill_tokens_per_second=500.0)
    case = Case(dataclasses.replace(SETUP, profile=profile))

    def script():
        tasks = [
            gevent.spawn(case.generate, call(f"r{n}", program=f"p{n}"))
            for n in range(2)
        ]
        # By then the first call has produced tokens, the second has none.
        case.timers.sleep(3.0)
        before = case.owner.engine.generated_tokens
        assert before > 0
        case.owner.dispatcher.expel()
        gevent.joinall(tasks, raise_error=True)
        assert [task.get().completion_tokens for task in tasks] == [64, 64]
        assert case.owner.engine.generated_tokens == 64
        assert sum(case.generated()) == 128

    case.run(script)


def test_a_call_leaves_a_frozen_target_long_before_its_deadline():
    case = Case()

    def script():
        rounds = case.timers.every(1.0, case.cluster._check_suspects)
        case.owner.engine.faults.down = True
        task = gevent.spawn(case.generate, call("r", max_tokens=2000))
        case.timers.sleep(0.3)
        (busy,) = [s for s in case.sidecars if s.engine.active_requests]
        busy.host.freeze()
        started = case.timers.now()
        finished = task.get()
        assert finished.completion_tokens == 2000
        assert case.timers.now() - started < 2.0 + 21.0
        rounds.cancel()

    case.run(script)
