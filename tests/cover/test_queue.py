import gevent
import hypothesis
from hypothesis import strategies as st
import pytest

from endivepier import errors
from endivepier.scheduling import policies
from endivepier.scheduling import queue as queue_lib
from endivepier.scheduling import work as work_lib
from endivepier.standins import clock

POLICIES = [
    policies.FirstCome(),
    policies.RoundRobin(),
    policies.FairShare(),
    policies.FairShare(charge=policies.Charge.TOKENS),
]
REQUESTS = st.lists(
    st.tuples(
        st.sampled_from(["a", "b", "c"]),
        st.floats(0, 5),  # pause before this request, quarter seconds
        st.floats(0.1, 4),  # service time, s
        st.floats(-1, 12),  # time until the deadline, s
    ),
    max_size=30,
)


def work(account="a", *, seconds=60.0, attained=0.0, worth=1.0, weight=1.0):
    return work_lib.Work(account, weight, "p", attained, 100.0, worth, seconds)


class Bench:
    """Runs requests through a queue and records what happens to each."""

    def __init__(self, policy, *, slots=2, limit=6):
        self.timers = clock.VirtualTimers()
        self.queue = queue_lib.Queue(
            self.timers, slots=slots, limit=limit, policy=policy
        )
        self.slots = slots
        self.limit = limit
        self.running = 0
        self.ran = []
        self.refused = []
        self.waits = {}

    def request(self, item, seconds, name):
        arrived = self.timers.now()
        try:
            with self.queue.slot(item):
                self.waits[name] = self.timers.now() - arrived
                assert self.timers.now() < arrived + item.seconds
                self.running += 1
                assert self.running <= self.slots
                assert self.queue.queued <= self.limit
                self.ran.append(name)
                try:
                    self.timers.sleep(seconds)
                finally:
                    self.running -= 1
        except errors.Refused as exc:
            assert exc.ran is errors.Ran.NO
            assert exc.code in (
                errors.Code.OVERLOADED,
                errors.Code.DEADLINE_EXCEEDED,
                errors.Code.NOT_READY,
            )
            self.refused.append((name, exc))

    def run(self, script):
        self.timers.run(script)


@hypothesis.given(REQUESTS, st.sampled_from(POLICIES))
def test_each_request_runs_once_in_time_or_is_refused(requests, policy):
    bench = Bench(policy)

    def script():
        tasks = []
        for name, (account, pause, runs, deadline) in enumerate(requests):
            bench.timers.sleep(pause / 4)
            item = work(account, seconds=deadline)
            tasks.append(gevent.spawn(bench.request, item, runs, name))
        gevent.joinall(tasks, raise_error=True)

    bench.run(script)
    names = bench.ran + [name for name, _ in bench.refused]
    assert sorted(names) == list(range(len(requests)))
    assert bench.queue.running == 0
    assert bench.queue.queued == 0


def longest_wait_during_flood(policy):
    bench = Bench(policy, slots=2, limit=500)

    def script():
        tasks = [
            gevent.spawn(bench.request, work("flood", seconds=1e6), 1.0, n)
            for n in range(100)
        ]
        for n in range(20):
            bench.timers.sleep(1.3)
            name = f"other-{n}"
            tasks.append(gevent.spawn(bench.request, work("other"), 1.0, name))
        gevent.joinall(tasks, raise_error=True)

    bench.run(script)
    return max(bench.waits.get(f"other-{n}", 99.0) for n in range(20))


def test_a_flood_of_one_account_delays_only_itself():
    assert longest_wait_during_flood(policies.FairShare()) <= 1.0
    assert longest_wait_during_flood(policies.FirstCome()) > 10.0


def test_a_full_queue_refuses_the_account_that_fills_it():
    bench = Bench(policies.FairShare(), slots=1, limit=5)

    def script():
        tasks = [
            gevent.spawn(bench.request, work("flood"), 1.0, f"flood-{n}")
            for n in range(9)
        ]
        gevent.sleep(0)
        tasks.append(gevent.spawn(bench.request, work("other"), 1.0, "other"))
        gevent.joinall(tasks, raise_error=True)

    bench.run(script)
    assert "other" in bench.ran
    assert len(bench.refused) == 4
    assert all(name.startswith("flood") for name, _ in bench.refused)
    assert all(exc.retry_after >= 1 for _, exc in bench.refused)


def test_refuses_at_once_a_request_that_can_not_meet_its_deadline():
    bench = Bench(policies.FairShare(), slots=1, limit=100)

    def script():
        tasks = [gevent.spawn(bench.request, work(), 2.0, n) for n in range(30)]
        bench.timers.sleep(21.0)
        started = bench.timers.now()
        request = work(seconds=10.0, attained=1e6)
        bench.request(request, 2.0, "late")
        assert bench.timers.now() == started
        (_, refusal), *_ = bench.refused
        assert refusal.code is errors.Code.OVERLOADED
        # After the `retry_after` time, the same request meets its deadline.
        bench.timers.sleep(refusal.retry_after)
        bench.request(request, 2.0, "again")
        gevent.joinall(tasks, raise_error=True)

    bench.run(script)
    assert "late" not in bench.ran
    assert "again" in bench.ran


def test_serves_accounts_by_worth_and_weight():
    bench = Bench(policies.FairShare(), slots=1, limit=500)

    def script():
        heavy = work("heavy", worth=2.0, seconds=1e6)
        light = work("light", worth=1.0, seconds=1e6)
        favoured = work("favoured", worth=1.0, weight=2.0, seconds=1e6)
        tasks = [
            gevent.spawn(bench.request, item, 1.0, item.account)
            for _ in range(100)
            for item in (heavy, light, favoured)
        ]
        bench.timers.sleep(70.5)
        counts = {name: bench.ran.count(name) for name in bench.ran}
        assert counts["light"] == pytest.approx(20, abs=1)
        assert counts["heavy"] == pytest.approx(10, abs=1)
        assert counts["favoured"] == pytest.approx(40, abs=1)
        gevent.killall(tasks)

    bench.run(script)


def test_the_program_with_least_service_goes_first_unless_others_waited_long():
    bench = Bench(
        policies.FairShare(ageing_tokens_per_second=100.0), slots=1, limit=500
    )

    def script():
        tasks = [gevent.spawn(bench.request, work(), 5.0, "running")]
        bench.timers.sleep(0.1)
        old = work(attained=300.0)
        tasks.append(gevent.spawn(bench.request, old, 1.0, "old"))
        bench.timers.sleep(1.0)
        for name, attained in (("long", 5000.0), ("short", 0.0)):
            item = work(attained=attained)
            tasks.append(gevent.spawn(bench.request, item, 1.0, name))
        bench.timers.sleep(3.5)
        # "new" arrives 4.5 s after "old". At 100 tokens for each second, this
        # is more than the 300 tokens of service that "old" has attained.
        tasks.append(gevent.spawn(bench.request, work(), 1.0, "new"))
        gevent.joinall(tasks, raise_error=True)

    bench.run(script)
    assert bench.ran == ["running", "short", "old", "new", "long"]


def test_a_cancelled_request_frees_its_place_or_slot():
    bench = Bench(policies.FairShare(), slots=1, limit=5)

    def script():
        tasks = [gevent.spawn(bench.request, work(), 1.0, n) for n in range(3)]
        bench.timers.sleep(0.5)
        tasks[1].kill()
        tasks[0].kill()
        bench.timers.sleep(0.1)
        assert bench.queue.running == 1
        gevent.joinall(tasks)

    bench.run(script)
    assert bench.ran == [0, 2]
    assert bench.queue.running == 0
