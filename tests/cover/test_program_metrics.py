import json

from tests.common import api_fleet


def _run_turn(fleet, path, text):
    body = {
        "model": "model",
        "messages": [{"role": "user", "content": text}],
        "max_tokens": 3,
    }
    response = fleet.request(
        *("POST", path + "/chat/completions", json.dumps(body)),
        X_Endivepier_History="append",
    )
    assert response.status_code == 200, response.text
    return response.json["usage"]["prompt_tokens"]


def test_counts_latency_recomputed_tokens_and_completed_service():
    fleet = api_fleet.ApiFleet()
    metrics = fleet.sidecars[0].metrics
    created = fleet.request("POST", "/v1/programs", '{"template": "template"}')
    path = "/v1/programs/" + created.json["id"]
    prompt_tokens = _run_turn(fleet, path, "one")
    _run_turn(fleet, path, "two")
    assert metrics.value("recomputed_tokens") == 0
    fleet.engine.release(created.json["id"])
    _run_turn(fleet, path, "three")
    assert metrics.value("recomputed_tokens") > prompt_tokens
    assert metrics.value("completed_service", account="one") == 3
    for _ in range(2):
        fleet.request("DELETE", path)
    text = metrics.render().decode()
    assert 'endivepier_program_seconds_count{kind="standard"} 1' in text
