import dataclasses

import gevent
import hypothesis
from hypothesis import strategies as st
import pytest

from endivepier import errors
from endivepier.configuration import current as current_lib
from endivepier.configuration import follower as follower_lib
from endivepier.configuration import freshness as freshness_lib
from endivepier.configuration import store as store_lib
from tests.common import config_fleet

SETTLE_SECONDS = 8.0
HOSTS = st.integers(0, 5)
SECONDS = st.sampled_from([0.3, 1.0, 4.0, 12.0])


@dataclasses.dataclass(frozen=True)
class Apply:
    entry: int
    action: str
    retry: bool


@dataclasses.dataclass(frozen=True)
class Fault:
    kind: str
    host: int
    seconds: float


STEPS = st.lists(
    st.one_of(
        st.builds(
            Apply,
            st.integers(0, 2),
            st.sampled_from(["add", "change", "change", "faulty", "withdraw"]),
            st.booleans(),
        ),
        st.builds(
            Fault,
            st.sampled_from(
                ["freeze", "kill", "no_table", "isolate", "outage", "lossy"]
            ),
            HOSTS,
            SECONDS,
        ),
        st.sampled_from([0.0, 0.05, 0.7, 3.0]),
    ),
    min_size=4,
    max_size=16,
)


class Scenario:
    """Runs steps against a fleet; each fault ends after its duration."""

    def __init__(self, seed):
        self.fleet = config_fleet.ConfigFleet(seed)
        self.tasks = []
        self.count = 0

    def run(self, steps):
        self.fleet.timers.run(self._run_steps, steps)
        return self.fleet.check()

    def _run_steps(self, steps):
        fleet = self.fleet
        fleet.timers.sleep(1.0)
        fleet.apply(
            fleet.entries[0], config_fleet.account_note("shared"), "first"
        )
        for step in steps:
            match step:
                case Apply():
                    self.tasks.append(gevent.spawn(self._apply, step))
                case Fault():
                    self._inject(step)
                case float():
                    fleet.timers.sleep(step)
        self._check_convergence()

    def _check_convergence(self):
        """Waits for the end of all faults and tasks, then checks convergence.

        A last note must be accepted and come into force on all processes.
        """
        fleet = self.fleet
        while any(fleet.active_faults.values()) or not all(
            task.ready() for task in self.tasks
        ):
            fleet.timers.sleep(0.5)
        fleet.timers.sleep(SETTLE_SECONDS)
        for attempt in range(5):
            last_response = fleet.apply(
                fleet.entries[attempt % 3],
                config_fleet.account_note("last"),
                f"last-{attempt}",
            )
            if last_response.status_code == 201:
                break
        assert last_response.status_code == 201, last_response.text
        fleet.timers.sleep(SETTLE_SECONDS)
        assert set(fleet.revisions().values()) == {
            last_response.json["revision"]
        }
        assert fleet.serving() == set(fleet.addresses)

    def _apply(self, step):
        fleet = self.fleet
        self.count += 1
        change_id = f"change-{self.count}"
        note = {
            "add": config_fleet.account_note(f"account-{self.count}"),
            "change": "[[changed.accounts]]\nname = 'shared'\n"
            f"rate = {self.count}.0\n",
            "faulty": config_fleet.account_note(f"account-{self.count}")
            + "[withdrawn]\naccounts = ['absent']\n",
            "withdraw": f"[withdrawn]\naccounts = ['account-{step.entry}']\n",
        }[step.action]
        fleet.apply(fleet.entries[step.entry], note, change_id)
        if step.retry:
            # The operator retries at another entry host, as after a lost reply.
            fleet.timers.sleep(0.01 * step.entry)
            other = fleet.entries[(step.entry + 1) % 3]
            fleet.apply(other, note, change_id)

    def _inject(self, step):
        fleet = self.fleet
        host = fleet.addresses[step.host]
        scope = "" if step.kind in ("outage", "lossy") else host
        if fleet.active_faults.get(host) or fleet.active_faults.get(scope):
            return
        fleet.fault(scope, step.kind)
        match step.kind:
            case "freeze":
                fleet.net.hosts[host].freeze()
            case "kill":
                fleet.sim.kill(host)
                # Until it boots, a killed host has the fault "dead" instead.
                fleet.heal(host, "kill")
                fleet.fault(host, "dead")
            case "no_table":
                fleet.net.cut(host, config_fleet.PLATFORM)
            case "isolate":
                fleet.sim.isolate(host)
            case "outage":
                fleet.table.faults.outage = True
            case "lossy":
                fleet.table.faults.lost_replies = 0.5
                fleet.table.faults.lost_requests = 0.2
        fleet.timers.after(step.seconds, lambda: self._lift(step, host, scope))

    def _lift(self, step, host, scope):
        fleet = self.fleet
        match step.kind:
            case "freeze":
                fleet.net.hosts[host].thaw()
            case "kill":
                fleet.boot(host)
            case "no_table":
                fleet.net.heal(host, config_fleet.PLATFORM)
            case "isolate":
                for other in (*fleet.addresses, config_fleet.PLATFORM):
                    fleet.net.heal(host, other)
            case "outage":
                fleet.table.faults.outage = False
            case "lossy":
                fleet.table.faults.lost_replies = 0.0
                fleet.table.faults.lost_requests = 0.0
        fleet.heal(scope, step.kind)


@hypothesis.given(seed=st.integers(0, 10**6), steps=STEPS)
@hypothesis.settings(max_examples=15)
def test_accepted_notes_are_in_force_everywhere_despite_faults(seed, steps):
    assert Scenario(seed).run(steps) == []


# A scenario in which each mutation below has a visible effect. The unmodified
# product passes it.
REVEALING_STEPS = [
    Apply(0, "add", True),
    Apply(1, "change", True),
    1.0,
    Fault("isolate", 4, 30.0),
    Apply(2, "change", True),
    3.0,
    Apply(1, "add", False),
    3.0,
    Fault("kill", 3, 4.0),
    Apply(0, "change", True),
    12.0,
    Apply(0, "faulty", True),
]


def test_the_revealing_scenario_passes_on_the_unmodified_product():
    assert Scenario(1).run(REVEALING_STEPS) == []


def _never_stop_serving(patch):
    patch.setattr(
        freshness_lib.Freshness, "is_fresh", lambda self: self.age() is not None
    )


def _record_proof_without_replies(patch):
    def poll_peers(self):
        self.freshness.record_proof(self._timers.now())

    patch.setattr(follower_lib.Follower, "_poll_peers", poll_peers)


def _revert_to_older_revisions(patch):
    original = store_lib.Store.catch_up

    def catch_up(self, current):
        row = original(self, current)
        revision = current.state.revision
        if revision > 2 and int(self._timers.now()) % 5 == 0:
            current._replace_state(self.read(revision - 1))
        return row

    patch.setattr(store_lib.Store, "catch_up", catch_up)


def _forget_change_ids(patch):
    original = store_lib.Store._commit
    patch.setattr(store_lib.Store, "_find_accepted", lambda *_: None)

    def commit(self, delta, digest, head):
        prefix = f"config/change/{delta.revision}/"
        with pytest.MonkeyPatch.context() as inner_patch:
            inner_patch.setattr(store_lib, "CHANGE_PREFIX", prefix)
            return original(self, delta, digest, head)

    patch.setattr(store_lib.Store, "_commit", commit)


def _refuse_an_accepted_note(patch):
    original = store_lib.Store._commit

    def commit(self, delta, digest, head):
        accepted = original(self, delta, digest, head)
        if delta.revision == 3:
            raise errors.Refused(errors.Code.CONFLICT, 409, "mutation")
        return accepted

    patch.setattr(store_lib.Store, "_commit", commit)
    patch.setattr(store_lib.Store, "_find_accepted", _conflict_of)


def _conflict_of(self, change_id, digest):
    row = self._table.get(store_lib.CHANGE_PREFIX + change_id)
    if row is not None:
        raise errors.Refused(errors.Code.CONFLICT, 409, "mutation")


def _apply_deltas_after_gaps(patch):
    def apply_deltas(self, deltas):
        for delta in deltas[-1:]:
            if delta.revision > self._state.revision:
                state = store_lib.changes_lib.apply_changes(
                    delta.changes, self._state
                )
                self._replace_state(
                    dataclasses.replace(state, revision=delta.revision)
                )
        return True

    patch.setattr(
        current_lib.CurrentConfiguration, "apply_deltas", apply_deltas
    )


@pytest.mark.parametrize(
    "mutate",
    [
        _never_stop_serving,
        _record_proof_without_replies,
        _revert_to_older_revisions,
        _forget_change_ids,
        _refuse_an_accepted_note,
        _apply_deltas_after_gaps,
    ],
)
def test_the_checker_detects_each_mutation_of_the_product(monkeypatch, mutate):
    mutate(monkeypatch)
    scenario = Scenario(1)
    try:
        violations = scenario.run(REVEALING_STEPS)
    except AssertionError:
        violations = scenario.fleet.check()
    assert violations
