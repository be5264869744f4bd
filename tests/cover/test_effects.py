"""Tests of single guarantees for non-idempotent requests."""

import argparse
import dataclasses
import json
import random

import gevent
import pytest

from bench import effects_checker as checker
from bench import effects_fleet as fleet_lib
from endivepier import errors
from endivepier.cli import effect
from endivepier.effects import claims as claims_lib
from endivepier.effects import group_commit
from endivepier.effects import messages
from endivepier.effects import recorder
from endivepier.effects import retention
from endivepier.internal import http_client
from endivepier.standins import clock
from endivepier.standins import table as table_lib
from endivepier.storage import ports
from endivepier.telemetry import metrics
from tests.common import api_fleet


@pytest.fixture
def fleet():
    return fleet_lib.Fleet(1)


def _request(key="key", body=b"body", **changes):
    req = messages.CallService(
        account="bank",
        program_id="",
        kind="standard",
        method="POST",
        path=f"/bank/{key}",
        body=body,
        content_type="text/plain",
        idempotent=False,
        idempotency_key=key,
        seconds=5.0,
        sent=1.7e9,
    )
    return dataclasses.replace(req, **changes)


def _refusal(fleet, work):
    with pytest.raises(errors.Refused) as caught:
        fleet.timers.run(work)
    return caught.value


def _sidecar(fleet):
    return fleet.sidecars["10.0.1.0:1"]


def _freeze_after_claim(fleet, seconds):
    """Freezes the next sidecar that commits a claim, before it sends."""
    fleet.faults.paused = 1.0
    fleet.rng.uniform = lambda *_: seconds


def test_a_lost_reply_to_a_claim_write_is_resolved_by_reading_the_row(fleet):
    fleet.table.faults.lost_replies = 1.0
    entry = fleet.entries[0]
    attempt = fleet.timers.run(
        fleet.send_request, entry, "bank", "key", b"body"
    )
    assert (attempt.reported, len(fleet.effects())) == (checker.Reported.YES, 1)


def test_a_claim_write_with_an_unknown_outcome_is_marked_not_run(fleet):
    entry = fleet.entries[0]
    transact = fleet.table.transact

    def transact_then_fail(txn):
        transact(txn)
        fleet.table.faults.outage = True
        raise errors.OutcomeUnknown("the reply was lost")

    fleet.table.transact = transact_then_fail
    denied = fleet.timers.run(fleet.send_request, entry, "bank", "key", b"body")
    assert (denied.reported, fleet.effects()) == (checker.Reported.NO, [])
    assert len(fleet.open_claims()) == 1
    fleet.table.transact = transact
    fleet.table.faults.outage = False
    fleet.timers.advance(15.0)
    assert fleet.open_claims() == []
    again = fleet.timers.run(fleet.send_request, entry, "bank", "key", b"body")
    assert (again.reported, len(fleet.effects())) == (checker.Reported.YES, 1)


def test_a_table_outage_refuses_a_request_and_nothing_runs(fleet):
    fleet.table.faults.outage = True
    entry = fleet.entries[0]
    denied = fleet.timers.run(fleet.send_request, entry, "bank", "key", b"body")
    assert (denied.reported, fleet.effects()) == (checker.Reported.NO, [])


def test_a_sidecar_frozen_between_claim_and_send_does_not_send(fleet):
    _freeze_after_claim(fleet, 30.0)
    entry = fleet.entries[0]
    attempt = fleet.timers.run(
        fleet.send_request, entry, "bank", "key", b"body"
    )
    assert attempt.reported is checker.Reported.UNKNOWN
    fleet.faults.paused = 0.0
    fleet.timers.advance(60.0)
    assert fleet.effects() == []
    outcome = fleet.timers.run(fleet.look_up, entry, "bank", "key")
    assert outcome.reported is checker.Reported.NO


def test_a_short_pause_between_claim_and_send_only_delays(fleet):
    _freeze_after_claim(fleet, 1.0)
    entry = fleet.entries[0]
    attempt = fleet.timers.run(
        fleet.send_request, entry, "bank", "key", b"body"
    )
    assert (attempt.reported, len(fleet.effects())) == (checker.Reported.YES, 1)


def test_another_body_with_the_same_key_is_refused_with_422(fleet):
    entry = fleet.entries[0]
    first, other = _request(), _request(body=b"other")
    fleet.timers.run(lambda: entry.run(first, False))
    refused = _refusal(fleet, lambda: entry.run(other, False))
    assert (refused.status, refused.ran) == (422, errors.Ran.NO)
    direct = _refusal(fleet, lambda: _sidecar(fleet).runner.run(other))
    assert (direct.status, direct.ran) == (422, errors.Ran.NO)


def test_a_large_answer_is_replayed_whole_from_the_object_store(fleet):
    service = fleet.services["ledger-0"].inner
    large = b"x" * 300_000
    run = service._run
    service._run = lambda req: dataclasses.replace(run(req), body=large)
    runner = _sidecar(fleet).runner
    fleet.timers.run(lambda: runner.run(_request()))
    again = fleet.timers.run(lambda: runner.run(_request()))
    assert (again.body, again.replayed) == (large, True)
    assert fleet.objects.puts == 1
    assert all(len(row.value) < 2000 for row in fleet.table.peek("claim/"))
    fleet.objects.faults.outage = True
    refused = _refusal(fleet, lambda: runner.run(_request()))
    assert refused.ran is errors.Ran.YES


def test_refuses_when_too_many_answers_wait_for_the_object_store(
    fleet, monkeypatch
):
    monkeypatch.setattr(recorder, "MAX_PENDING_BYTES", 100_000)
    service = fleet.services["ledger-0"].inner
    run = service._run
    service._run = lambda req: dataclasses.replace(run(req), body=b"x" * 60_000)
    fleet.objects.faults.outage = True
    runner = _sidecar(fleet).runner
    for key in ("one", "two"):
        answer = fleet.timers.run(runner.run, _request(key))
        assert len(answer.body) == 60_000
    refused = _refusal(fleet, lambda: runner.run(_request("three")))
    assert (refused.status, refused.ran) == (503, errors.Ran.NO)
    fleet.objects.faults.outage = False
    fleet.timers.advance(5.0)
    assert fleet.open_claims() == []
    fleet.timers.run(runner.run, _request("three"))
    assert len(service.effects) == 3


def test_a_second_request_with_the_same_key_waits_for_the_first(fleet):
    service = fleet.services["ledger-0"].inner
    service.faults.seconds = 1.0
    runner = _sidecar(fleet).runner
    tasks = []

    def both():
        tasks.extend(gevent.spawn(runner.run, _request()) for _ in range(2))
        gevent.joinall(tasks)

    fleet.timers.run(both)
    assert {task.value.replayed for task in tasks} == {False, True}
    assert len({task.value.body for task in tasks}) == 1
    assert len(service.effects) == 1


def test_a_stopping_sidecar_completes_sent_requests_and_refuses_others(fleet):
    fleet.services["ledger-0"].inner.faults.seconds = 2.0
    sidecar = _sidecar(fleet)
    sent = gevent.spawn(sidecar.runner.run, _request("sent"))
    fleet.timers.advance(0.5)
    stop = gevent.spawn(sidecar.stop)
    fleet.timers.advance(0.1)
    refused = _refusal(fleet, lambda: sidecar.runner.run(_request("late")))
    assert (refused.ran, refused.code) == (
        errors.Ran.NO,
        errors.Code.NOT_READY,
    )
    assert not stop.ready()
    fleet.timers.advance(3.0)
    assert sent.value.status == 200
    assert stop.ready()
    assert fleet.open_claims() == []


def test_a_message_in_transit_for_hours_is_not_sent(fleet):
    old = _request(sent=1.7e9 - 2 * 3600)
    refused = _refusal(fleet, lambda: _sidecar(fleet).runner.run(old))
    assert refused.ran is errors.Ran.NO
    assert fleet.table.peek("claim/") == []


def test_a_target_that_checks_fencing_numbers_refuses_an_older_attempt():
    fleet = fleet_lib.Fleet(1, sidecars=1, tells_outcome=True)
    fleet.skips_send_check = True
    _freeze_after_claim(fleet, 100.0)
    entry = fleet.entries[0]
    fleet.timers.run(fleet.send_request, entry, "bank", "key", b"body")
    fleet.faults.paused = 0.0
    fleet.start_sidecar("10.0.1.0:1")
    fleet.timers.advance(3.0)
    claim = fleet.open_claims()[0]
    fleet.timers.run(
        lambda: entry.claims.record(claim, claims_lib.ClaimState.NOT_RUN)
    )
    again = fleet.timers.run(fleet.send_request, entry, "bank", "key", b"body")
    assert again.reported is checker.Reported.YES
    fleet.timers.advance(120.0)
    target = fleet.services[claim.row.target].inner
    assert (len(target.effects), target.fenced_requests) == (1, 1)


def test_a_query_to_the_target_settles_an_unknown_outcome():
    fleet = fleet_lib.Fleet(1, tells_outcome=True)
    fleet.faults.lost_answers = 1.0
    entry = fleet.entries[0]
    attempt = fleet.timers.run(
        fleet.send_request, entry, "bank", "key", b"body"
    )
    assert attempt.reported is checker.Reported.UNKNOWN
    fleet.timers.advance(20.0)
    outcome = fleet.timers.run(fleet.look_up, entry, "bank", "key")
    assert outcome.reported is checker.Reported.YES
    assert outcome.answer == fleet.effects()[0].answer


def test_expired_claims_are_deleted_and_open_ones_are_kept(fleet):
    runner = _sidecar(fleet).runner
    fleet.timers.run(lambda: runner.run(_request("done")))
    fleet.faults.lost_answers = 1.0
    _refusal(fleet, lambda: runner.run(_request("open")))
    sweeper = retention.Sweeper(
        fleet.table, fleet.timers, metrics.Metrics(), lambda: True
    )
    fleet.timers.run(sweeper.step)
    assert len(fleet.table.peek("claim/")) == 2
    fleet.timers._now += retention.RETENTION_SECONDS + 10
    fleet.timers.run(sweeper.step)
    open_claims = fleet.open_claims()
    assert [claim.row.idempotency_key for claim in open_claims] == ["open"]
    assert len(fleet.table.peek("claim/")) == 1


@pytest.mark.parametrize("lost", [0.0, 0.5])
def test_a_failed_condition_fails_no_other_row_of_its_transaction(lost):
    timers = clock.VirtualTimers()
    table = table_lib.MemoryTable(timers, random.Random(3))
    committer = group_commit.GroupCommitter(table, timers)
    timers.run(
        lambda: table.transact(
            ports.Transaction((), (ports.Put("row-3", b"foreign"),))
        )
    )
    table.faults.lost_replies = table.faults.lost_requests = lost

    def put(number):
        key = f"row-{number}"
        value = f"value-{number}".encode()
        return committer.put(ports.Absent(key), value, seconds=60.0)

    def outcome(number):
        try:
            return put(number)
        except errors.ConditionFailed:
            return None

    tasks = [gevent.spawn(outcome, number) for number in range(8)]
    timers.run(gevent.joinall, tasks)
    versions = {row.key: row.version for row in table.peek("row-")}
    results = {f"row-{n}": task.value for n, task in enumerate(tasks)}
    assert results.pop("row-3") is None
    versions.pop("row-3")
    assert results == versions
    if not lost:
        assert table.transactions == 2


def _command(monkeypatch, fleet, *argv):
    """Runs `endivepier effect ...` against a simulated entry host."""

    def request(args, method, path, body=b""):
        del args
        answer = fleet.request(method, path, body, api_fleet.OPERATOR_KEY)
        return http_client.Response(answer.status_code, "", answer.data)

    monkeypatch.setattr(effect.client, "request", request)
    parser = argparse.ArgumentParser()
    effect.add_to(parser.add_subparsers())
    args = parser.parse_args(["effect", *argv])
    return args.run(args)


def test_the_effect_command_lists_shows_and_resolves_claims(
    monkeypatch, capsys
):
    fleet = api_fleet.ApiFleet()
    fleet.service.faults.lost_replies = 1
    path = "/v1/services/ledger/postings"
    fleet.request("POST", path, data=b"{}", Idempotency_Key="posting/1")
    fleet.timers.advance(61.0)
    assert _command(monkeypatch, fleet, "list", "--account", "one") == 0
    version = capsys.readouterr().out.splitlines()[1].split()[-1]
    claim = ("one", "posting/1")
    assert _command(monkeypatch, fleet, "show", *claim) == 0
    assert json.loads(capsys.readouterr().out)["state"] == "dispatched"
    outcome = ("--ran", "no", "--note", "not there", "--version", version)
    assert _command(monkeypatch, fleet, "resolve", *claim, *outcome) == 0
    assert _command(monkeypatch, fleet, "resolve", *claim, *outcome) == 1
    assert "show it again" in capsys.readouterr().err
    again = fleet.request("POST", path, data=b"{}", Idempotency_Key="posting/1")
    assert again.status_code == 200


def test_operators_list_show_and_resolve_an_unknown_outcome():
    fleet = api_fleet.ApiFleet()
    fleet.service.faults.lost_replies = 1
    posting = {"data": b"{}", "Idempotency_Key": "posting 1"}
    path = "/v1/services/ledger/postings"
    unknown = fleet.request("POST", path, **posting)
    assert unknown.json["ran"] == "unknown"
    operator = {"key": api_fleet.OPERATOR_KEY}
    listed = fleet.request("GET", "/v1/operators/effects", **operator).json
    claim = listed["claims"][0]
    assert (claim["account"], claim["idempotency_key"]) == ("one", "posting 1")
    body = {
        "account": "one",
        "key": "posting 1",
        "version": claim["version"],
        "ran": "yes",
        "note": "seen in the ledger",
    }
    claim_path = "/v1/operators/effect"

    def resolve():
        data = json.dumps(body).encode()
        return fleet.request("POST", claim_path, data=data, **operator)

    assert body["version"] == 0
    assert resolve().status_code == 409, "the claim is too young"
    fleet.timers.advance(61.0)
    assert resolve().status_code == 409, (
        "the version was shown while the claim was too young"
    )
    listed = fleet.request("GET", "/v1/operators/effects", **operator).json
    body["version"] = listed["claims"][0]["version"]
    assert (
        fleet.request("POST", claim_path, data=json.dumps(body)).status_code
        == 403
    )
    body["version"] += 1
    assert resolve().status_code == 409, "the claim has another version"
    body["version"] -= 1
    assert resolve().json["state"] == "ran"
    shown = fleet.request(
        "GET", claim_path + "?account=one&key=posting%201", **operator
    )
    assert shown.json["note"] == "seen in the ledger"
    assert fleet.request("GET", "/v1/operators/effects", **operator).json == {
        "claims": [],
        "after": "",
    }
    outcome = fleet.request("GET", "/v1/effects/ledger/posting 1")
    assert outcome.json == {"ran": "yes", "answer": None}
    assert fleet.request("POST", path, **posting).json["ran"] == "yes"
    assert len(fleet.service.effects) == 1
