"""Isolation: no response tells an account about objects of another one."""

import json

import pytest

from endivepier.configuration import current as current_lib
from endivepier.configuration import keys
from endivepier.configuration import store as store_lib
from endivepier.storage import commit
from tests.common import api_fleet

KEY_ONE, KEY_TWO = api_fleet.KEYS["one"], api_fleet.KEYS["two"]
CHAT = {
    "model": "model",
    "messages": [{"role": "user", "content": "hello"}],
    "max_tokens": 3,
}
VARYING_HEADERS = {"date", "content-length"}


@pytest.fixture(scope="module")
def fleet():
    return api_fleet.ApiFleet()


@pytest.fixture(scope="module")
def program_and_receipt(fleet):
    """Returns the id and a receipt of a program of account one.

    The program has one turn. The account has also run one effect, with the
    idempotency key "effect-of-one".
    """
    created = fleet.request(
        "POST", "/v1/programs", json.dumps({"template": "template"})
    )
    path = "/v1/programs/" + created.json["id"]
    turn = fleet.request(
        "POST",
        path + "/chat/completions",
        json.dumps(CHAT),
        X_Endivepier_Call_Id="call-of-one",
    )
    effect = fleet.request(
        "POST",
        "/v1/services/ledger/postings",
        b'{"amount": 1}',
        Idempotency_Key="effect-of-one",
    )
    assert (turn.status_code, effect.status_code) == (200, 200)
    return created.json["id"], turn.headers["X-Endivepier-Receipt"]


def _visible_parts(response, *names):
    """Returns all parts of a response that a caller can see.

    Names that the caller has sent itself are replaced by a placeholder.
    """
    text = response.text
    for name in names:
        text = text.replace(name, "<name>")
    headers = {
        name.lower(): value
        for name, value in response.headers.items()
        if name.lower() not in VARYING_HEADERS
    }
    return response.status_code, headers, text


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
def test_another_account_s_program_looks_like_an_absent_one(
    fleet, program_and_receipt, method, path, body, headers
):
    program, receipt = program_and_receipt
    absent = program[:-24] + "f" * 24
    base_headers = {
        "none": {},
        "call": {"X_Endivepier_Call_Id": "call-of-one"},
        "receipt": {"X_Endivepier_Receipt": receipt},
        "effect": {"Idempotency_Key": "effect-of-one"},
    }[headers]
    responses = []
    durations = []
    for name in (program, absent):
        sent_headers = dict(base_headers)
        if "{}" not in path:
            sent_headers["X_Endivepier_Program"] = name
        started = fleet.timers.now()
        response = fleet.request(
            method,
            path.format(name),
            b"" if body is None else json.dumps(body),
            KEY_TWO,
            **sent_headers,
        )
        durations.append(fleet.timers.now() - started)
        responses.append(_visible_parts(response, name))
        assert response.status_code == 404, response.text
    assert responses[0] == responses[1]
    # Both lookups read the table at most once, so they take equally long.
    assert abs(durations[0] - durations[1]) < 0.01
    assert fleet.request("GET", f"/v1/programs/{program}").json["turn"] == 1


def test_another_account_s_effect_looks_like_an_absent_one(
    fleet, program_and_receipt
):
    responses = [
        _visible_parts(
            fleet.request("GET", f"/v1/effects/ledger/{name}", b"", KEY_TWO),
            name,
        )
        for name in ("effect-of-one", "effect-of-none")
    ]
    assert responses[0] == responses[1]
    own = fleet.request("GET", "/v1/effects/ledger/effect-of-one", b"", KEY_ONE)
    assert _visible_parts(own, "effect-of-one") != responses[0]


def test_accounts_may_use_the_same_idempotency_key(fleet, program_and_receipt):
    body = b'{"amount": 2}'
    path = "/v1/services/ledger/postings"
    response = fleet.request(
        "POST", path, body, KEY_TWO, Idempotency_Key="effect-of-one"
    )
    assert response.status_code == 200
    assert response.headers["X-Endivepier-Replayed"] == "false"


def test_another_account_s_parent_program_looks_like_an_absent_one(
    fleet, program_and_receipt
):
    program, _ = program_and_receipt
    absent = program[:-24] + "f" * 24
    responses = []
    for parent in (program, absent):
        body = json.dumps({"template": "template", "parent": parent})
        response = fleet.request("POST", "/v1/programs", body, KEY_TWO)
        names = [parent]
        if response.status_code < 400:
            names += [response.json["id"], response.json["receipt"]]
        responses.append(_visible_parts(response, *names))
    assert responses[0] == responses[1]


def test_refusals_reveal_nothing_about_other_accounts(fleet):
    for path in ("/v1/operators/status", "/v1/operators/releases/head"):
        response = fleet.request("GET", path, b"", KEY_TWO)
        assert response.status_code == 403
        assert "one" not in json.loads(response.text)["detail"].split()


def test_a_request_whose_key_is_withdrawn_during_a_pause_does_not_run(
    monkeypatch,
):
    fleet = api_fleet.ApiFleet()
    host = fleet.network.hosts["10.0.0.1:1"]
    other_store = store_lib.Store(
        fleet.table,
        fleet.objects,
        commit.Committer(fleet.table, fleet.timers, fleet.rng),
        fleet.timers,
    )

    def pause(account, *unused):
        """Suspends the host between the check of the key and the request."""
        host.freeze()
        digest = keys.digest_of(KEY_ONE)
        accepted = other_store.apply(
            f"[withdrawn]\nkeys = ['{digest}']\n",
            "withdraw",
            current_lib.CurrentConfiguration(),
            lambda: None,
        )
        fleet.timers.sleep(60.0)
        host.thaw()
        return accepted

    monkeypatch.setattr(fleet.entry.limiter, "admit", pause)
    response = fleet.request(
        "POST", "/v1/services/ledger/postings", b"{}", Idempotency_Key="late"
    )
    assert response.status_code in (401, 503), response.text
    assert response.json["ran"] == "no"
    assert fleet.service.effects == []
