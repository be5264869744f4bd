"""The demo: sample programs while a host fails and a key is withdrawn.

It prints latencies and counts of requests, and checks these promises: no
non-idempotent request runs twice, each answered one has run, the stored
conversations are complete and the withdrawn key is refused.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
import dataclasses
import json
import random
import statistics
from typing import Any
import uuid

import gevent

from endivepier.configuration import keys as keys_lib
from endivepier.internal import http_client
from endivepier.standins import engine as engine_lib
from endivepier.standins import fleet as fleet_lib

READY_TIMEOUT_SECONDS = 10.0
FAULT_AFTER_SECONDS = 1.0
ATTEMPTS_PER_CALL = 60
RETRY_INTERVAL_SECONDS = 0.25
MAX_WITHDRAWAL_SECONDS = 3.0
ENGINE_PROFILE = engine_lib.EngineProfile(token_seconds=0.004)

ACCOUNTS = (
    "bank-one",
    "microfinance-two",
    "barangay-three",
    "cooperative-four",
)

RELEASE_NOTE = """
title = "demo"

[[added.pools]]
name = "dakar"
kind = "engine"
shards = 16

[[added.pools]]
name = "luzon"
kind = "engine"
shards = 16

[[added.pools]]
name = "ledger"
kind = "service"

[[added.pools]]
name = "cases"
kind = "service"

[[added.models]]
name = "cheque-reader"
pool = "dakar"

[[added.models]]
name = "grant-writer"
pool = "luzon"

[[added.routes]]
prefix = "/ledger/"
pool = "ledger"

[[added.routes]]
prefix = "/cases/"
pool = "cases"

[[added.templates]]
name = "dispute"
model = "cheque-reader"
kind = "dispute"

[[added.templates]]
name = "grant"
model = "grant-writer"
kind = "draft"
"""

TARGETS = (
    fleet_lib.TargetSpec("dakar-1", "plateau", ("cheque-reader",)),
    fleet_lib.TargetSpec("dakar-2", "almadies", ("cheque-reader",)),
    fleet_lib.TargetSpec("dakar-3", "rufisque", ("cheque-reader",)),
    fleet_lib.TargetSpec("luzon-1", "plateau", ("grant-writer",)),
    fleet_lib.TargetSpec("luzon-2", "almadies", ("grant-writer",)),
    fleet_lib.TargetSpec("ledger-1", "plateau"),
    fleet_lib.TargetSpec("cases-1", "rufisque"),
)
TARGET_POOLS = {
    "dakar-1": "dakar",
    "dakar-2": "dakar",
    "dakar-3": "dakar",
    "luzon-1": "luzon",
    "luzon-2": "luzon",
    "ledger-1": "ledger",
    "cases-1": "cases",
}


@dataclasses.dataclass(slots=True)
class Results:
    """Measurements and violations, collected from all programs.

    Attributes:
        latencies: durations of finished programs in seconds, by template.
        calls: number of answered calls, by template.
        requested_effects: idempotency keys of the non-idempotent requests
            that were sent.
        answered_effects: the keys among them that were answered.
        refusals: number of refused attempts, by error code.
        violations: descriptions of the promises that were broken.
        executed_effects: number of keys whose request ran at a service.
    """

    latencies: dict[str, list[float]]
    calls: collections.Counter[str]
    requested_effects: set[str]
    answered_effects: set[str]
    refusals: collections.Counter[str]
    violations: list[str]
    executed_effects: int = 0


class _Caller:
    """A client that sends each attempt to a random entry host."""

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        key: str,
        results: Results,
        rng: random.Random,
    ) -> None:
        self._clients = [
            http_client.HttpClient(url) for url in fleet.caller_urls
        ]
        self._key = key
        self._results = results
        self._rng = rng

    def request(
        self, method: str, path: str, body: Any, **headers: str
    ) -> dict[str, Any]:
        """Returns the JSON response; repeats requests that may be retried."""
        request_headers = {
            "Authorization": f"Bearer {self._key}",
            "Content-Type": "application/json",
            **{name.replace("_", "-"): text for name, text in headers.items()},
        }
        data = json.dumps(body).encode()
        for _ in range(ATTEMPTS_PER_CALL):
            client = self._rng.choice(self._clients)
            response = client.request(method, path, data, request_headers)
            document: dict[str, Any] = json.loads(response.body)
            if response.status < 400:
                return document
            self._results.refusals[document["code"]] += 1
            if document["retry_after"] is None:
                break
            gevent.sleep(RETRY_INTERVAL_SECONDS)
        raise RuntimeError(f"{method} {path}: {document}")


def run(seed: int, programs: int) -> int:
    """Runs the demo with this many programs and prints the results.

    Returns:
        The exit status: 1 if a promise was broken, otherwise 0.
    """
    rng = random.Random(seed)
    fleet = fleet_lib.Fleet()
    results = Results({}, collections.Counter(), set(), set(),
                      collections.Counter(), [])  # fmt: skip
    keys = {account: keys_lib.new_key() for account in ACCOUNTS}
    _start_fleet(fleet, keys)
    tasks = []
    for number in range(programs):
        account = ACCOUNTS[number % len(ACCOUNTS)]
        caller = _Caller(fleet, keys[account], results, rng)
        # The first two accounts run disputes, the other two run grants.
        run_program = _run_dispute if number % 4 < 2 else _run_grant
        tasks.append(
            gevent.spawn(
                _run_and_record_error, run_program, caller, results, rng
            )
        )
    gevent.sleep(FAULT_AFTER_SECONDS)
    print("fault: the host of dakar-2 is lost")
    fleet.kill_sidecar("dakar-2")
    gevent.joinall(tasks)
    print("change: the key of cooperative-four is withdrawn")
    _withdraw_key(fleet, keys["cooperative-four"], results)
    _check_effects(fleet, results)
    fleet.stop()
    _print_results(results)
    return 1 if results.violations else 0


def _start_fleet(fleet: fleet_lib.Fleet, keys: dict[str, str]) -> None:
    fleet.start_platform()
    for data_centre in ("plateau", "almadies"):
        fleet.start_entry(data_centre)
    apply_release(fleet, _release_note(keys))
    for target_spec in TARGETS:
        fleet.start_sidecar(target_spec, ENGINE_PROFILE)
    fleet_lib.wait_until_ready(fleet, fleet.timers, READY_TIMEOUT_SECONDS)


def _release_note(keys: dict[str, str]) -> str:
    parts = [RELEASE_NOTE]
    for target, pool in TARGET_POOLS.items():
        parts.append(f'[[added.targets]]\nname = "{target}"\npool = "{pool}"\n')
    for account, key in keys.items():
        digest = keys_lib.digest_of(key)
        parts.append(
            f'[[added.accounts]]\nname = "{account}"\nrate = 200.0\n'
            f"burst = 100.0\n"
            f'[[added.keys]]\ndigest = "{digest}"\naccount = "{account}"\n'
        )
    return "\n".join(parts)


def apply_release(fleet: fleet_lib.Fleet, note: str) -> None:
    """Applies a release note to a fleet, as an operator.

    Raises:
        RuntimeError: the fleet refused the release.
    """
    client = http_client.HttpClient(fleet.caller_urls[0])
    response = client.request(
        "POST",
        "/v1/operators/releases",
        note.encode(),
        {
            "Authorization": f"Bearer {fleet.operator_key}",
            "X-Endivepier-Change-Id": uuid.uuid4().hex,
        },
    )
    if response.status != 201:
        raise RuntimeError(response.body.decode())


def _run_and_record_error(
    run_program: Any, caller: _Caller, results: Results, rng: random.Random
) -> None:
    try:
        run_program(caller, results, rng)
    except Exception as exc:
        # Any error that ends a program is a violation, including errors in
        # the demo itself.
        results.violations.append(f"a program did not finish: {exc!r}")


def _run_dispute(caller: _Caller, results: Results, rng: random.Random) -> None:
    """Runs a disputed cheque: turns with tool pauses, then one posting."""
    _run_program(caller, results, rng, "dispute", "/ledger/postings", turns=4)


def _run_grant(caller: _Caller, results: Results, rng: random.Random) -> None:
    """Runs a grant: a sub-agent drafts a section, then funds are released."""
    _run_program(caller, results, rng, "grant", "/cases/releases", turns=3)


def _run_program(
    caller: _Caller,
    results: Results,
    rng: random.Random,
    template: str,
    effect_path: str,
    *,
    turns: int,
) -> None:
    started = gevent.get_hub().loop.now()
    program = caller.request("POST", "/v1/programs", {"template": template})
    path = f"/v1/programs/{program['id']}"
    history: list[dict[str, str]] = []
    for turn in range(turns):
        text = f"step {turn}: " + "details " * rng.randint(5, 40)
        history.append({"role": "user", "content": text})
        response = _send_turn(caller, path, history)
        results.calls[template] += 1
        history.append(response["choices"][0]["message"])
        gevent.sleep(rng.uniform(0.01, 0.2))
    if template == "grant":
        _run_sub_agent(caller, results, program["id"])
    _send_effect(caller, results, path + "/services" + effect_path)
    results.calls[template] += 1
    stored = caller.request("GET", path, None)
    if stored["messages"] != history:
        results.violations.append(
            f"the history of {program['id']} is incomplete"
        )
    caller.request("DELETE", path, None)
    seconds = gevent.get_hub().loop.now() - started
    results.latencies.setdefault(template, []).append(seconds)


def _send_turn(
    caller: _Caller, path: str, history: Sequence[dict[str, str]]
) -> dict[str, Any]:
    body = {"model": "any", "messages": list(history), "max_tokens": 24}
    return caller.request(
        "POST",
        path + "/chat/completions",
        body,
        X_Endivepier_Call_Id=uuid.uuid4().hex,
    )


def _run_sub_agent(caller: _Caller, results: Results, parent: str) -> None:
    child = caller.request(
        "POST", "/v1/programs", {"template": "grant", "parent": parent}
    )
    path = f"/v1/programs/{child['id']}"
    _send_turn(caller, path, [{"role": "user", "content": "draft one section"}])
    results.calls["grant"] += 1
    caller.request("DELETE", path, None)


def _send_effect(caller: _Caller, results: Results, path: str) -> None:
    key = uuid.uuid4().hex
    results.requested_effects.add(key)
    caller.request("POST", path, {"amount": 1}, Idempotency_Key=key)
    results.answered_effects.add(key)


def _withdraw_key(fleet: fleet_lib.Fleet, key: str, results: Results) -> None:
    """Withdraws a key and checks that every entry host refuses it in time."""
    digest = keys_lib.digest_of(key)
    apply_release(fleet, f'[withdrawn]\nkeys = ["{digest}"]\n')
    gevent.sleep(MAX_WITHDRAWAL_SECONDS)
    for url in fleet.caller_urls:
        response = http_client.HttpClient(url).request(
            "POST",
            "/v1/programs",
            b'{"template": "grant"}',
            {"Authorization": f"Bearer {key}"},
        )
        if response.status != 401:
            results.violations.append(f"{url} still accepts a withdrawn key")


def _check_effects(fleet: fleet_lib.Fleet, results: Results) -> None:
    """Checks the records of the services for repeated and missing effects."""
    executions: collections.Counter[str] = collections.Counter()
    for service in fleet.services.values():
        for effect in service.effects:
            _, _, key = effect.request.idempotency_key.partition("/")
            executions[key] += 1
    repeated = [key for key, count in executions.items() if count > 1]
    if repeated:
        results.violations.append(f"{len(repeated)} effects ran more than once")
    results.executed_effects = len(executions)
    not_executed = [
        key for key in results.answered_effects if not executions[key]
    ]
    if not_executed:
        results.violations.append(
            f"{len(not_executed)} answered effects never ran"
        )


def _print_results(results: Results) -> None:
    row = "{:10} {:>9} {:>6} {:>8} {:>8}"
    print(row.format("template", "programs", "calls", "p50 s", "p99 s"))
    for template, latencies in sorted(results.latencies.items()):
        ordered = sorted(latencies)
        p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
        print(
            row.format(
                template,
                len(latencies),
                results.calls[template],
                f"{statistics.median(ordered):.2f}",
                f"{p99:.2f}",
            )
        )
    print(
        f"effects: {len(results.requested_effects)} requested, "
        f"{results.executed_effects} run, "
        f"{len(results.answered_effects)} answered"
    )
    print(f"refused attempts: {dict(results.refusals) or 'none'}")
    for violation in results.violations:
        print(f"BROKEN: {violation}")
    if not results.violations:
        print("every promise held")
