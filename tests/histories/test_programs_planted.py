"""For each guarantee, a defect patched in that the checker must report."""

import contextlib

import pytest

from endivepier.history import budgets
from endivepier.history import commits
from endivepier.history import journal
from endivepier.history import turns
from endivepier.sidecar import matching
from endivepier.sidecar import programs
from endivepier.sidecar import reaper
from endivepier.sidecar import registry
from endivepier.storage import ports
from tests.common import callers
from tests.common import faults
from tests.common import histories

SCRIPT = callers.Script(turns=5, duplicate=0.7)
SMALL_BUDGET = callers.Script(turns=6, budget_tokens=10, duplicate=0.0)
SHORT_WALL_TIME = callers.Script(
    turns=6, pause=1.0, budget_seconds=2.5, duplicate=0.0
)
NO_FAULTS = [()]
SLOW = callers.Script(turns=5, max_tokens=40, duplicate=0.0)
QUIET_SECONDS = 20.0

# Which host owns a program is random, so each host is hit in its own history.
FREEZES = [
    (faults.Fault("freeze", host, 0, at, 4.0),)
    for host in range(3)
    for at in (0.5, 0.8)
]
OUTAGES = [
    (
        faults.Fault("outage", 0, 0, 0.2, 8.0),
        faults.Fault("kill", host, 0, 2.0, 3.0),
    )
    for host in range(3)
]


def _truncates_history(monkeypatch):
    original = turns.conversation
    monkeypatch.setattr(
        turns, "conversation", lambda given: original(given[: len(given) // 2])
    )


def _mixes_histories(monkeypatch):
    original, seen = turns.conversation, []

    def mixed(given):
        seen.append(original(given))
        return max(seen, key=len)

    monkeypatch.setattr(turns, "conversation", mixed)


def _swaps_turns(monkeypatch):
    original = turns.conversation
    monkeypatch.setattr(
        turns, "conversation", lambda given: original(given[::-1])
    )


def _runs_calls_at_the_same_time(monkeypatch):
    @contextlib.contextmanager
    def unlocked(self, program_id, account):
        yield self.find(program_id, account)

    monkeypatch.setattr(registry.Registry, "exclusive", unlocked)


def _forgets_call_ids(monkeypatch):
    monkeypatch.setattr(matching, "completed_turn", lambda stored, req: None)
    monkeypatch.setattr(
        matching.Matcher, "_check_receipt", lambda self, stored, req: None
    )


def _cuts_answers(monkeypatch):
    original = programs.ProgramHandler._answer_event

    def cut(self, stored, turn, cached):
        answer = original(self, stored, turn, cached)
        object.__setattr__(answer, "text", answer.text[:-4])
        return answer

    monkeypatch.setattr(programs.ProgramHandler, "_answer_event", cut)


def _gives_answers_to_others(monkeypatch):
    original, seen = programs.ProgramHandler._answer_event, []

    def other(self, stored, turn, cached):
        seen.append(original(self, stored, turn, cached))
        return seen[len(seen) // 2]

    monkeypatch.setattr(programs.ProgramHandler, "_answer_event", other)


def _ignores_token_budgets(monkeypatch):
    monkeypatch.setattr(budgets, "remaining_tokens", lambda row: 10**6)


def _ignores_wall_time(monkeypatch):
    monkeypatch.setattr(budgets, "remaining_seconds", lambda row, now: 100.0)


def _acknowledges_before_it_is_durable(monkeypatch):
    monkeypatch.setattr(
        journal.Journal, "wait_durable", lambda self, stored: None
    )


def _commits_without_conditions(monkeypatch):
    original = commits._transaction

    def bare(name, group):
        return ports.Transaction((), original(name, group).writes)

    monkeypatch.setattr(commits, "_transaction", bare)


def _keeps_engine_memory(monkeypatch):
    monkeypatch.setattr(reaper.Reaper, "_release", lambda self, name: None)


PLANTED = [
    (_truncates_history, SCRIPT, NO_FAULTS, "not the history so far"),
    (_mixes_histories, SCRIPT, NO_FAULTS, "a foreign message"),
    (_swaps_turns, SCRIPT, NO_FAULTS, "not the history so far"),
    (_runs_calls_at_the_same_time, SCRIPT, NO_FAULTS, "c0-"),
    (_forgets_call_ids, SCRIPT, NO_FAULTS, "a duplicate got another answer"),
    (_cuts_answers, SCRIPT, NO_FAULTS, "not what an engine said"),
    (_gives_answers_to_others, SCRIPT, NO_FAULTS, "got the answer of"),
    (_ignores_token_budgets, SMALL_BUDGET, NO_FAULTS, "of 10 tokens"),
    (_ignores_wall_time, SHORT_WALL_TIME, NO_FAULTS, "ran after its time"),
    (_acknowledges_before_it_is_durable, SLOW, OUTAGES, "lost"),
    (_commits_without_conditions, SLOW, FREEZES, "lost"),
    (_keeps_engine_memory, SCRIPT, NO_FAULTS, "holds its prefix"),
]


def _findings(script, variants):
    """Runs one history for each variant of faults; returns all findings."""
    findings = []
    for drawn in variants:
        history = histories.History(7, script=script)
        findings.extend(history.run(drawn, QUIET_SECONDS))
    return findings


@pytest.mark.parametrize(
    ("plant", "script", "variants", "finding"),
    PLANTED,
    ids=[row[0].__name__.strip("_") for row in PLANTED],
)
def test_the_checker_catches(monkeypatch, plant, script, variants, finding):
    assert _findings(script, variants) == []
    plant(monkeypatch)
    findings = _findings(script, variants)
    assert any(finding in text for text in findings), findings
