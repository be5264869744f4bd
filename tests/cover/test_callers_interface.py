"""The HTTP API for callers: refusals, programs, model calls, services."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from endivepier.entry import documents
from tests.common import api_fleet

CHAT = {
    "model": "model",
    "messages": [{"role": "user", "content": "hello"}],
    "max_tokens": 3,
}
KEY_ONE, KEY_TWO = api_fleet.KEYS["one"], api_fleet.KEYS["two"]


@pytest.fixture(scope="module")
def fleet():
    return api_fleet.ApiFleet()


def _create_program(fleet, key=KEY_ONE, **body):
    body = {"template": "template", **body}
    response = fleet.request("POST", "/v1/programs", json.dumps(body), key)
    assert response.status_code == 201, response.text
    return "/v1/programs/" + response.json["id"]


def _check_problem(response, status, code):
    assert response.status_code == status, response.text
    assert response.content_type == "application/problem+json"
    assert response.json["code"] == code
    assert response.json["ran"] == "no"
    assert "Traceback" not in response.text


@pytest.mark.parametrize("key", [None, "", "unknown", "ek_" + "x" * 5000])
@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("POST", "/v1/programs"),
        ("POST", "/v1/chat/completions"),
        ("GET", "/v1/programs/pool.1.000000000000000000000000"),
        ("DELETE", "/v1/programs/pool.1.000000000000000000000000"),
        ("POST", "/v1/services/ledger/postings"),
        ("GET", "/v1/effects/ledger/key"),
        ("POST", "/v1/operators/releases"),
        ("GET", "/v1/operators/status"),
    ],
)
def test_every_route_refuses_wrong_keys_in_the_same_way(
    fleet, method, path, key
):
    response = fleet.request(method, path, json.dumps(CHAT), key)
    _check_problem(response, 401, "unauthenticated")


def test_refuses_caller_keys_on_operator_routes_and_vice_versa(fleet):
    response = fleet.request("GET", "/v1/operators/status", b"", KEY_ONE)
    _check_problem(response, 403, "forbidden")
    response = fleet.request(
        "POST", "/v1/programs", b"{}", api_fleet.OPERATOR_KEY
    )
    assert response.status_code in (401, 403)


@pytest.mark.parametrize(
    ("data", "status", "code"),
    [
        (b"", 400, "bad_request"),
        (b"{", 400, "bad_request"),
        (b"[]", 400, "bad_request"),
        (b"\xff\xfe", 400, "bad_request"),
        (b'{"template": 3}', 400, "bad_request"),
        (b'{"template": "absent"}', 400, "bad_request"),
        (b'{"model": "absent"}', 400, "bad_request"),
        (b'{"template": "template", "tokens": -1}', 400, "bad_request"),
        (b'{"template": "template", "seconds": NaN}', 400, "bad_request"),
        (b'{"template": "template", "unknown": 1}', 400, "bad_request"),
        (b"[" * 50000, 400, "bad_request"),
        (b" " * (api_fleet.BODY_LIMIT + 1), 413, "body_too_large"),
    ],
)
def test_refuses_invalid_bodies_without_any_effect(fleet, data, status, code):
    before = fleet.rows()
    response = fleet.request("POST", "/v1/programs", data)
    _check_problem(response, status, code)
    assert fleet.rows() == before


@pytest.mark.parametrize(
    "program", ["absent", "pool.1.000000000000000000000000", "..", "%00", "x.y"]
)
def test_refuses_unknown_program_ids(fleet, program):
    response = fleet.request("GET", f"/v1/programs/{program}")
    _check_problem(response, 404, "not_found")


def test_programs_of_other_accounts_look_like_missing_ones(fleet):
    path = _create_program(fleet, KEY_ONE)
    absent = path[:-24] + "0" * 24
    for method, suffix, data in (
        ("GET", "", b""),
        ("DELETE", "", b""),
        ("POST", "/chat/completions", json.dumps(CHAT)),
        ("POST", "/services/ledger/postings", b"{}"),
    ):
        foreign = fleet.request(method, path + suffix, data, KEY_TWO)
        missing = fleet.request(method, absent + suffix, data, KEY_TWO)
        _check_problem(foreign, 404, "not_found")
        assert foreign.text.replace(path, absent) == missing.text.replace(
            path, absent
        ) or foreign.json["detail"].replace(path[13:], "") == missing.json[
            "detail"
        ].replace(absent[13:], "")
    assert fleet.request("GET", path).json["status"] == "active"


def test_refuses_bodies_of_ambiguous_length(fleet):
    before = fleet.rows()
    response = fleet.request(
        "POST", "/v1/programs", b"{}", Transfer_Encoding="chunked"
    )
    _check_problem(response, 400, "bad_request")
    assert fleet.rows() == before


def test_plain_and_streamed_calls_add_turns_of_the_same_shape(fleet):
    path = _create_program(fleet)
    plain = fleet.request("POST", path + "/chat/completions", json.dumps(CHAT))
    text = plain.json["choices"][0]["message"]["content"]
    conversation = [
        *CHAT["messages"],
        {"role": "assistant", "content": text},
        {"role": "user", "content": "more"},
    ]
    streamed = fleet.request(
        "POST",
        path + "/chat/completions",
        json.dumps({**CHAT, "messages": conversation, "stream": True}),
    )
    lines = [line for line in streamed.text.split("\n\n") if line]
    assert lines[-1] == "data: [DONE]"
    events = [json.loads(line[6:]) for line in lines[:-1]]
    parts = [
        event["choices"][0]["delta"].get("content", "") for event in events
    ]
    shown = fleet.request("GET", path).json
    reply = {"role": "assistant", "content": "".join(parts)}
    assert shown["messages"] == [*conversation, reply]
    assert shown["used_tokens"] == 6


def test_refuses_messages_that_do_not_start_with_the_history(fleet):
    path = _create_program(fleet)
    fleet.request("POST", path + "/chat/completions", json.dumps(CHAT))
    again = fleet.request("POST", path + "/chat/completions", json.dumps(CHAT))
    _check_problem(again, 409, "history_mismatch")


def test_a_repeated_call_id_gets_the_same_response(fleet):
    path = _create_program(fleet) + "/chat/completions"
    data = json.dumps(CHAT)
    one = fleet.request("POST", path, data, X_Endivepier_Call_Id="c")
    two = fleet.request("POST", path, data, X_Endivepier_Call_Id="c")
    assert one.json["choices"] == two.json["choices"]
    assert one.headers["X-Endivepier-Turn"] == "1"
    assert two.headers["X-Endivepier-Turn"] == "1"


def test_refuses_calls_over_the_budget_and_calls_of_ended_programs(fleet):
    path = _create_program(fleet, tokens=4)
    chat = path + "/chat/completions"
    assert fleet.request("POST", chat, json.dumps(CHAT)).status_code == 200
    data = json.dumps(CHAT)
    over = fleet.request("POST", chat, data, X_Endivepier_History="append")
    _check_problem(over, 409, "budget_exhausted")
    assert fleet.request("DELETE", path).json["status"] == "ended"
    late = fleet.request("POST", chat, data, X_Endivepier_History="append")
    _check_problem(late, 409, "program_ended")


def test_only_open_routes_can_be_called_without_a_key(fleet):
    opened = fleet.request("GET", "/v1/services/ledger/open/rates", b"", None)
    assert opened.status_code == 200
    keyed = fleet.request("GET", "/v1/services/ledger/rates", b"", None)
    _check_problem(keyed, 401, "unauthenticated")


def test_a_non_idempotent_request_needs_an_idempotency_key(fleet):
    before = len(fleet.service.effects)
    response = fleet.request("POST", "/v1/services/ledger/postings", b"{}")
    _check_problem(response, 400, "bad_request")
    assert len(fleet.service.effects) == before


def test_targets_never_receive_the_key_of_a_caller(fleet):
    fleet.request(
        "POST",
        "/v1/services/ledger/postings?x=1",
        b"{}",
        Idempotency_Key="k",
        Cookie=KEY_ONE,
        X_Custom=KEY_ONE,
    )
    received = repr(fleet.service.effects)
    assert "postings" in received
    assert KEY_ONE not in received


TEXT = st.text(max_size=30)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXT,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3)
    ),
    max_leaves=8,
)
FIELDS = st.dictionaries(
    st.sampled_from(
        [
            *documents.NewProgram.model_fields,
            *documents.ChatRequest.model_fields,
        ]
    ),
    JSON | st.just(CHAT["messages"]) | st.just("model"),
    max_size=6,
)
HEADER = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=9)
PATHS = st.sampled_from(
    [
        "/v1/programs",
        "/v1/chat/completions",
        "/v1/programs/pool.1.000000000000000000000000/chat/completions",
        "/v1/programs/%2e%2e/x",
        "/v1/services/ledger/postings",
        "/v1/services/%0d%0aX: y/",
        "/v1/effects/ledger/%00",
        "/v1/operators/releases",
        "/internal/v1/EndProgram",
        "//v1//programs",
    ]
)


@hypothesis.given(
    method=st.sampled_from(["GET", "POST", "PUT", "PATCH", "DELETE", "TRACE"]),
    path=PATHS,
    data=st.binary(max_size=60)
    | JSON.map(lambda value: json.dumps(value).encode())
    | FIELDS.map(lambda value: json.dumps(value).encode()),
    headers=st.dictionaries(
        st.sampled_from(
            [
                "X-Endivepier-Call-Id",
                "X-Endivepier-Program",
                "X-Endivepier-Receipt",
                "X-Endivepier-History",
                "X-Endivepier-Change-Id",
                "X-Endivepier-Fleet",
                "Idempotency-Key",
                "traceparent",
            ]
        ),
        HEADER,
        max_size=3,
    ),
)
@hypothesis.settings(max_examples=250)
def test_any_request_gets_a_response_or_a_problem_document(
    fleet, method, path, data, headers
):
    before = fleet.rows()
    response = fleet.request(method, path, data, **headers)
    if response.status_code >= 400:
        assert response.status_code < 500, (response.status_code, response.text)
        assert response.content_type == "application/problem+json"
        assert response.json["ran"] == "no"
        assert "Traceback" not in response.text
        assert fleet.rows() == before


def test_refuses_a_long_call_id_instead_of_truncating_it(fleet):
    path = _create_program(fleet) + "/chat/completions"
    for last in ("a", "b"):
        call_id = "x" * documents.MAX_ID_LENGTH + last
        response = fleet.request(
            "POST", path, json.dumps(CHAT), X_Endivepier_Call_Id=call_id
        )
        _check_problem(response, 400, "bad_request")
