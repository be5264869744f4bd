"""What one account can learn about another: nothing, on any route."""

import json

import pytest

from endivepier.configuration import current as current_lib
from endivepier.configuration import keys
from endivepier.configuration import store as store_lib
from endivepier.storage import commit
from tests.common import api_fleet

ONE, TWO = api_fleet.KEYS["one"], api_fleet.KEYS["two"]
CHAT = {
    "model": "model",
    "messages": [{"role": "user", "content": "hello"}],
    "max_tokens": 3,
}
CHANGING = {"date", "content-length"}


@pytest.fixture(scope="module")
def fleet():
    return api_fleet.ApiFleet()


@pytest.fixture(scope="module")
def owned(fleet):
    """A program of account one, with a turn, a receipt and an effect."""
    made = fleet.ask(
        "POST", "/v1/programs", json.dumps({"template": "template"})
    )
    path = "/v1/programs/" + made.json["id"]
    turn = fleet.ask(
        "POST",
        path + "/chat/completions",
        json.dumps(CHAT),
        X_Endivepier_Call_Id="call-of-one",
    )
    effect = fleet.ask(
        "POST",
        "/v1/services/ledger/postings",
        b'{"amount": 1}',
        Idempotency_Key="effect-of-one",
    )
    assert (turn.status_code, effect.status_code) == (200, 200)
    return made.json["id"], turn.headers["X-Endivepier-Receipt"]


def _shape(answer, *names):
    """Returns all that a caller can see, without the names it sent itself."""
    text = answer.text
    for name in names:
        text = text.replace(name, "<name>")
    headers = {
        name.lower(): value
        for name, value in answer.headers.items()
        if name.lower() not in CHANGING
    }
    return answer.status_code, headers, text


ROUTES = [
    ("GET", "/v1/programs/{}", None),
    ("DELETE", "/v1/programs/{}", None),
    ("POST", "/v1/programs/{}/chat/completions", CHAT),
    ("POST", "/v1/programs/{}/chat/completions", {**CHAT, "stream": True}),
    ("POST", "/v1/programs/{}/services/ledger/postings", {}),
    ("GET", "/v1/programs/{}/services/ledger/postings", None),
    ("GET", "/v1/programs/{}/services/ledger/open/x", None),
    ("PUT", "/v1/programs/{}/services/ledger/postings", {}),
    ("POST", "/v1/chat/completions", CHAT),
    ("POST", "/v1/services/ledger/postings", {}),
]


@pytest.mark.parametrize(("method", "path", "body"), ROUTES)
@pytest.mark.parametrize("headers", ["none", "call", "receipt", "effect"])
def test_a_foreign_program_can_not_be_told_from_an_absent_one(
    fleet, owned, method, path, body, headers
):
    program, receipt = owned
    absent = program[:-24] + "f" * 24
    sent = {
        "none": {},
        "call": {"X_Endivepier_Call_Id": "call-of-one"},
        "receipt": {"X_Endivepier_Receipt": receipt},
        "effect": {"Idempotency_Key": "effect-of-one"},
    }[headers]
    shapes = []
    times = []
    for name in (program, absent):
        more = dict(sent)
        if "{}" not in path:
            more["X_Endivepier_Program"] = name
        started = fleet.timers.now()
        answer = fleet.ask(
            method,
            path.format(name),
            b"" if body is None else json.dumps(body),
            TWO,
            **more,
        )
        times.append(fleet.timers.now() - started)
        shapes.append(_shape(answer, name))
        assert answer.status_code == 404, answer.text
    assert shapes[0] == shapes[1]
    # The look-up of either waits for the table at most once.
    assert abs(times[0] - times[1]) < 0.01
    assert fleet.ask("GET", f"/v1/programs/{program}").json["turn"] == 1


def test_a_foreign_effect_can_not_be_told_from_an_absent_one(fleet, owned):
    answers = [
        _shape(fleet.ask("GET", f"/v1/effects/ledger/{name}", b"", TWO), name)
        for name in ("effect-of-one", "effect-of-none")
    ]
    assert answers[0] == answers[1]
    mine = fleet.ask("GET", "/v1/effects/ledger/effect-of-one", b"", ONE)
    assert _shape(mine, "effect-of-one") != answers[0]


def test_accounts_may_use_the_same_idempotency_key(fleet, owned):
    body = b'{"amount": 2}'
    path = "/v1/services/ledger/postings"
    answer = fleet.ask("POST", path, body, TWO, Idempotency_Key="effect-of-one")
    assert answer.status_code == 200
    assert answer.headers["X-Endivepier-Replayed"] == "false"


def test_a_foreign_parent_can_not_be_told_from_an_absent_one(fleet, owned):
    program, _ = owned
    absent = program[:-24] + "f" * 24
    shapes = []
    for parent in (program, absent):
        body = json.dumps({"template": "template", "parent": parent})
        answer = fleet.ask("POST", "/v1/programs", body, TWO)
        names = [parent]
        if answer.status_code < 400:
            names += [answer.json["id"], answer.json["receipt"]]
        shapes.append(_shape(answer, *names))
    assert shapes[0] == shapes[1]


def test_a_caller_learns_nothing_of_other_accounts_from_refusals(fleet):
    for path in ("/v1/operators/status", "/v1/operators/releases/head"):
        answer = fleet.ask("GET", path, b"", TWO)
        assert answer.status_code == 403
        assert "one" not in json.loads(answer.text)["detail"].split()


def test_a_key_withdrawn_during_a_pause_runs_nothing_afterwards(monkeypatch):
    fleet = api_fleet.ApiFleet()
    host = fleet.network.hosts["10.0.0.1:1"]
    other = store_lib.Store(
        fleet.table,
        fleet.objects,
        commit.Committer(fleet.table, fleet.timers, fleet.rng),
        fleet.timers,
    )

    def pause(account, *unused):
        """The host is suspended between the key's check and the request."""
        host.freeze()
        digest = keys.digest_of(ONE)
        accepted = other.apply(
            f"[withdrawn]\nkeys = ['{digest}']\n",
            "withdraw",
            current_lib.CurrentConfiguration(),
            lambda: None,
        )
        fleet.timers.sleep(60.0)
        host.thaw()
        return accepted

    monkeypatch.setattr(fleet.entry.limiter, "admit", pause)
    answer = fleet.ask(
        "POST", "/v1/services/ledger/postings", b"{}", Idempotency_Key="late"
    )
    assert answer.status_code in (401, 503), answer.text
    assert answer.json["ran"] == "no"
    assert fleet.service.effects == []
