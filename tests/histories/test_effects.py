"""Simulated histories of non-idempotent requests under several faults."""

import dataclasses

import gevent
import hypothesis
from hypothesis import strategies as st
import pytest

from bench import effects_checker as checker
from bench import effects_faults as faults_lib
from bench import effects_fleet as fleet_lib
from bench import effects_standins as standins
from endivepier import errors
from endivepier.effects import attempts as attempts_lib
from endivepier.effects import claims as claims_lib
from endivepier.effects import runner as runner_lib

FAULTY_SECONDS = 20.0
RECOVERY_SECONDS = 140.0

probabilities = st.sampled_from([0.0, 0.0, 0.1, 0.3])


@dataclasses.dataclass(frozen=True)
class Plan:
    """A history to simulate: its requests and its faults.

    `late`, `paused` and the `lost_` fields are probabilities of random faults,
    `pause_seconds` is the longest pause, and `faults` start at given times.
    """

    seed: int
    tells_outcome: bool = False
    requests: int = 30
    keys: int = 12
    late: float = 0.0
    paused: float = 0.0
    pause_seconds: float = 20.0
    lost_answers: float = 0.0
    lost_replies: float = 0.0
    lost_requests: float = 0.0
    faults: tuple[faults_lib.Fault, ...] = ()


plans = st.builds(
    Plan,
    seed=st.integers(0, 2**32),
    tells_outcome=st.booleans(),
    requests=st.integers(5, 40),
    keys=st.integers(2, 20),
    late=probabilities,
    paused=probabilities,
    pause_seconds=st.sampled_from([3.0, 20.0, 100.0]),
    lost_answers=probabilities,
    lost_replies=probabilities,
    lost_requests=probabilities,
    faults=st.lists(
        st.builds(
            faults_lib.Fault,
            at=st.floats(0, FAULTY_SECONDS),
            kind=st.sampled_from(faults_lib.Kind),
            index=st.integers(0, 2),
            seconds=st.sampled_from([0.5, 3.0, 10.0, 90.0]),
        ),
        max_size=5,
    ).map(tuple),
)


def _caller(fleet, number, plan):
    fleet.timers.sleep(fleet.rng.uniform(0, FAULTY_SECONDS))
    key = f"key-{number % plan.keys}"
    account = fleet.rng.choice(["bank", "coop"])
    body = b"other" if fleet.rng.random() < 0.1 else b"body"
    if fleet.rng.random() < 0.1:
        body = b"large" * 4000
    for _ in range(3):
        entry = fleet.rng.choice(fleet.entries)
        if fleet.rng.random() < 0.2:
            fleet.look_up(entry, account, key)
        attempt = fleet.send_request(
            entry,
            account,
            key,
            body,
            through_owner=fleet.rng.random() < 0.3,
        )
        if attempt.reported is checker.Reported.YES:
            return
        fleet.timers.sleep(fleet.rng.uniform(0, 3))


def _drive(fleet, plan):
    tasks = [
        gevent.spawn(_caller, fleet, number, plan)
        for number in range(plan.requests)
    ]
    for fault in plan.faults:
        gevent.spawn(faults_lib.inject, fleet, fault)
    operator = gevent.spawn(faults_lib.run_operator, fleet)
    fleet.timers.sleep(FAULTY_SECONDS + 40)
    fleet.faults = standins.Faults()
    fleet.table.faults.lost_replies = fleet.table.faults.lost_requests = 0.0
    fleet.timers.sleep(RECOVERY_SECONDS)
    gevent.joinall(tasks, raise_error=True)
    _repeat_requests(fleet)
    operator.kill()


def _repeat_requests(fleet):
    """Repeats each request once after all faults have ended."""
    requests = {
        attempt.name: attempt.body
        for attempt in fleet.attempts
        if not attempt.looks_up
    }
    for name, body in requests.items():
        account, _, key = name.partition("/")
        fleet.look_up(fleet.entries[0], account, key)
        fleet.send_request(fleet.entries[-1], account, key, body)


def run(plan, **planted):
    fleet = fleet_lib.Fleet(plan.seed, tells_outcome=plan.tells_outcome)
    fleet.skips_send_check = planted.get("unchecked", False)
    fleet.faults = standins.Faults(
        late=plan.late,
        paused=plan.paused,
        pause_seconds=plan.pause_seconds,
        lost_answers=plan.lost_answers,
    )
    fleet.table.faults.lost_replies = plan.lost_replies
    fleet.table.faults.lost_requests = plan.lost_requests
    fleet.timers.run(_drive, fleet, plan)
    return fleet


# Guards against a status query that arrives late, after the request was
# claimed for another target: the former target's reply "did not run" was taken
# as proof.
ASKED_THE_WRONG_TARGET = Plan(
    seed=2307613,
    tells_outcome=True,
    requests=34,
    keys=9,
    late=0.3,
    paused=0.1,
    lost_answers=0.1,
    lost_replies=0.3,
    lost_requests=0.1,
    faults=(
        faults_lib.Fault(0.0, faults_lib.Kind.SERVICE_HANGS, 2, 90.0),
        faults_lib.Fault(0.0, faults_lib.Kind.SERVICE_HANGS, 0, 90.0),
    ),
)

# Guards against an operator who checks the service while the request is still
# in transit: a frozen entry host applied the resolution later, when the claim
# had reached the minimum age.
RESOLVED_TOO_EARLY = Plan(
    seed=140078650,
    requests=10,
    keys=8,
    late=0.3,
    paused=0.3,
    pause_seconds=3.0,
    lost_answers=0.3,
    lost_replies=0.1,
    lost_requests=0.1,
    faults=(
        faults_lib.Fault(0.0, faults_lib.Kind.FREEZE_OWNER, 0, 10.0),
        faults_lib.Fault(
            13.553933443976039, faults_lib.Kind.SERVICE_HANGS, 0, 10.0
        ),
        faults_lib.Fault(
            8.994339495903583, faults_lib.Kind.FREEZE_ENTRY, 0, 90.0
        ),
        faults_lib.Fault(
            13.553933443976039, faults_lib.Kind.SERVICE_HANGS, 0, 10.0
        ),
        faults_lib.Fault(17.80220443141183, faults_lib.Kind.CUT_OWNER, 1, 90.0),
    ),
)


@hypothesis.given(plan=plans)
@hypothesis.example(plan=ASKED_THE_WRONG_TARGET)
@hypothesis.example(plan=RESOLVED_TOO_EARLY)
@hypothesis.settings(max_examples=40)
def test_keeps_all_guarantees_under_random_faults(plan):
    fleet = run(plan)
    verdict = fleet.verdict()
    assert verdict.clean, verdict
    assert fleet.crashes == []


@hypothesis.given(plan=plans)
@hypothesis.settings(max_examples=12)
def test_no_outcome_stays_unknown_after_the_faults_end(plan):
    fleet = run(dataclasses.replace(plan, faults=(), paused=0.0))
    last = {
        attempt.name: attempt
        for attempt in fleet.attempts
        if not attempt.looks_up
    }
    ran = {effect.name: effect for effect in fleet.effects()}
    for name, attempt in last.items():
        # Only another body with the same key may be refused in the end.
        is_same = ran[name].body == attempt.body
        expected = checker.Reported.YES if is_same else checker.Reported.NO
        assert attempt.reported is expected or _answer_is_lost(fleet, name)
    assert fleet.open_claims() == []


def _answer_is_lost(fleet, name):
    """Returns whether a look-up reported that the request ran, but no answer.

    That is the case if an operator resolved the claim of a lost answer.
    """
    return any(
        attempt.name == name
        and attempt.looks_up
        and attempt.reported is checker.Reported.YES
        and not attempt.answer
        for attempt in fleet.attempts
    )


def _reports_not_run_without_a_proof(monkeypatch):
    def deny(self, req, claim, exc):
        raise attempts_lib._as_not_run(exc)

    monkeypatch.setattr(attempts_lib.Attempts, "_resolve_unknown", deny)


def _reports_absent_claims_as_not_run(monkeypatch):
    monkeypatch.setattr(claims_lib.Claims, "mark_not_run", lambda *args: None)


def _takes_over_claims(monkeypatch):
    write = claims_lib.Claims.write

    def write_anyway(self, row, after, *, seconds):
        try:
            return write(self, row, after, seconds=seconds)
        except errors.ConditionFailed:
            known = self.read(row.account, row.idempotency_key)
            return write(self, row, known.version, seconds=seconds)

    monkeypatch.setattr(claims_lib.Claims, "write", write_anyway)


def _sends_after_an_unknown_claim_write(monkeypatch):
    write = claims_lib.Claims.write

    def assume_written(self, row, after, *, seconds):
        try:
            return write(self, row, after, seconds=seconds)
        except (errors.OutcomeUnknown, errors.Unavailable):
            return claims_lib.Claim("claim/lost", 1, row)

    monkeypatch.setattr(claims_lib.Claims, "write", assume_written)


def _reports_sent_requests_as_not_run(monkeypatch):
    target_failed = runner_lib._target_failed
    monkeypatch.setattr(
        runner_lib,
        "_target_failed",
        lambda detail, ran: target_failed(detail, errors.Ran.NO),
    )


def _shares_keys_between_accounts(monkeypatch):
    key = claims_lib.claim_key
    monkeypatch.setattr(
        claims_lib, "claim_key", lambda _, name: key("all", name)
    )


def _ignores_the_body(monkeypatch):
    monkeypatch.setattr(claims_lib, "request_digest", lambda req: "same")


def _truncates_stored_answers(monkeypatch):
    load = claims_lib.answer_store.AnswerStore.load

    def truncate(self, stored):
        answer = load(self, stored)
        return dataclasses.replace(answer, body=answer.body[:-1])

    monkeypatch.setattr(claims_lib.answer_store.AnswerStore, "load", truncate)


PLANTED_FAULT_PLAN = Plan(
    seed=0,
    requests=60,
    keys=12,
    late=0.2,
    paused=0.2,
    pause_seconds=100.0,
    lost_answers=0.2,
    lost_replies=0.3,
    lost_requests=0.3,
    faults=(
        faults_lib.Fault(3.0, faults_lib.Kind.TABLE_OUTAGE, 0, 3.0),
        faults_lib.Fault(6.0, faults_lib.Kind.KILL, 1, 0.5),
        faults_lib.Fault(8.0, faults_lib.Kind.CUT_TABLE, 0, 10.0),
        faults_lib.Fault(9.0, faults_lib.Kind.FREEZE_OWNER, 0, 10.0),
    ),
)


@pytest.mark.parametrize(
    ("plant", "broken"),
    [
        (_reports_not_run_without_a_proof, "false_no"),
        (_reports_absent_claims_as_not_run, "false_no"),
        (_takes_over_claims, "twice"),
        (_sends_after_an_unknown_claim_write, "twice"),
        (_reports_sent_requests_as_not_run, "false_no"),
        (_shares_keys_between_accounts, "wrong_answer"),
        (_ignores_the_body, "wrong_answer"),
        (_truncates_stored_answers, "wrong_answer"),
        ("unchecked", "twice"),
    ],
)
def test_the_checker_catches_a_planted_fault(monkeypatch, plant, broken):
    planted = {}
    if plant == "unchecked":
        planted["unchecked"] = True
    else:
        plant(monkeypatch)
    for seed in range(6):
        fleet = run(
            dataclasses.replace(PLANTED_FAULT_PLAN, seed=seed), **planted
        )
        if getattr(fleet.verdict(), broken):
            return
    pytest.fail(f"no history showed {broken}")


def test_the_same_histories_are_clean_without_a_planted_fault():
    for seed in range(6):
        verdict = run(
            dataclasses.replace(PLANTED_FAULT_PLAN, seed=seed)
        ).verdict()
        assert verdict.clean, (seed, verdict)
