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
    what: str
    again: bool


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


class Story:
    """Plays steps against a fleet; faults end by themselves."""

    def __init__(self, seed):
        self.fleet = config_fleet.ConfigFleet(seed)
        self.tasks = []
        self.count = 0

    def play(self, steps):
        self.fleet.timers.run(self._play, steps)
        return self.fleet.check()

    def _play(self, steps):
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
                    self._begin(step)
                case float():
                    fleet.timers.sleep(step)
        self._settle()

    def _settle(self):
        """Waits for all faults and tasks, then sees a last note everywhere."""
        fleet = self.fleet
        while any(fleet.faulty.values()) or not all(
            task.ready() for task in self.tasks
        ):
            fleet.timers.sleep(0.5)
        fleet.timers.sleep(SETTLE_SECONDS)
        for attempt in range(5):
            last = fleet.apply(
                fleet.entries[attempt % 3],
                config_fleet.account_note("last"),
                f"last-{attempt}",
            )
            if last.status_code == 201:
                break
        assert last.status_code == 201, last.text
        fleet.timers.sleep(SETTLE_SECONDS)
        assert set(fleet.revisions().values()) == {last.json["revision"]}
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
        }[step.what]
        fleet.apply(fleet.entries[step.entry], note, change_id)
        if step.again:
            # An operator whose reply was lost tries elsewhere, in a while.
            fleet.timers.sleep(0.01 * step.entry)
            other = fleet.entries[(step.entry + 1) % 3]
            fleet.apply(other, note, change_id)

    def _begin(self, step):
        fleet = self.fleet
        host = fleet.addresses[step.host]
        where = "" if step.kind in ("outage", "lossy") else host
        if fleet.faulty.get(host) or fleet.faulty.get(where):
            return
        fleet.fault(where, step.kind)
        match step.kind:
            case "freeze":
                fleet.net.hosts[host].freeze()
            case "kill":
                fleet.sim.kill(host)
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
        fleet.timers.after(step.seconds, lambda: self._end(step, host, where))

    def _end(self, step, host, where):
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
        fleet.heal(where, step.kind)


@hypothesis.given(seed=st.integers(0, 10**6), steps=STEPS)
@hypothesis.settings(max_examples=15)
def test_accepted_notes_hold_everywhere_through_faults(seed, steps):
    assert Story(seed).play(steps) == []


# One story in which each planted fault shows; the sound product passes it.
REVEALING = [
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


def test_the_story_for_planted_faults_is_sound_without_them():
    assert Story(1).play(REVEALING) == []


def _serve_for_ever(patch):
    patch.setattr(
        freshness_lib.Freshness, "is_fresh", lambda self: self.age() is not None
    )


def _prove_without_answers(patch):
    def ask_around(self):
        self.freshness.prove(self._timers.now())

    patch.setattr(follower_lib.Follower, "_ask_around", ask_around)


def _go_back(patch):
    honest = store_lib.Store.catch_up

    def catch_up(self, current):
        row = honest(self, current)
        revision = current.state.revision
        if revision > 2 and int(self._timers.now()) % 5 == 0:
            current._enforce(self.read(revision - 1))
        return row

    patch.setattr(store_lib.Store, "catch_up", catch_up)


def _forget_change_ids(patch):
    honest = store_lib.Store._commit
    patch.setattr(store_lib.Store, "_accepted", lambda *_: None)

    def commit(self, delta, digest, head):
        prefix = f"config/change/{delta.revision}/"
        with pytest.MonkeyPatch.context() as inner:
            inner.setattr(store_lib, "CHANGE_PREFIX", prefix)
            return honest(self, delta, digest, head)

    patch.setattr(store_lib.Store, "_commit", commit)


def _refuse_what_was_accepted(patch):
    honest = store_lib.Store._commit

    def commit(self, delta, digest, head):
        accepted = honest(self, delta, digest, head)
        if delta.revision == 3:
            raise errors.Refused(errors.Code.CONFLICT, 409, "planted")
        return accepted

    patch.setattr(store_lib.Store, "_commit", commit)
    patch.setattr(store_lib.Store, "_accepted", _conflict_of)


def _conflict_of(self, change_id, digest):
    row = self._table.get(store_lib.CHANGE_PREFIX + change_id)
    if row is not None:
        raise errors.Refused(errors.Code.CONFLICT, 409, "planted")


def _apply_deltas_out_of_place(patch):
    def extend(self, deltas):
        for delta in deltas[-1:]:
            if delta.revision > self._state.revision:
                state = store_lib.changes_lib.with_changes(
                    delta.changes, self._state
                )
                self._enforce(
                    dataclasses.replace(state, revision=delta.revision)
                )
        return True

    patch.setattr(current_lib.Current, "extend", extend)


@pytest.mark.parametrize(
    "plant",
    [
        _serve_for_ever,
        _prove_without_answers,
        _go_back,
        _forget_change_ids,
        _refuse_what_was_accepted,
        _apply_deltas_out_of_place,
    ],
)
def test_the_checker_catches_a_planted_fault(monkeypatch, plant):
    plant(monkeypatch)
    story = Story(1)
    try:
        found = story.play(REVEALING)
    except AssertionError:
        found = story.fleet.check()
    assert found
