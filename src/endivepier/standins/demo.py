"""The demo: programs of both deployments, a lost host, a withdrawn key."""

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

READY_SECONDS = 10.0
FAULT_SECONDS = 1.0
TRIES = 60
RETRY_SECONDS = 0.25
WITHDRAWAL_SECONDS = 3.0
PROFILE = engine_lib.EngineProfile(token_seconds=0.004)

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

SITES = (
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
class Tally:
    """What the demo's programs met.

    Attributes:
        latencies: whole programs' latencies by template, in seconds.
        calls: calls made by template.
        asked: non-idempotent requests asked for, by idempotency key.
        answered: those that were answered.
        refusals: refusals by code.
        broken: promises that broke, in words.
        run: how many of them ran at a service.
    """

    latencies: dict[str, list[float]]
    calls: collections.Counter[str]
    asked: set[str]
    answered: set[str]
    refusals: collections.Counter[str]
    broken: list[str]
    run: int = 0


class _Caller:
    """A caller with a key, who retries and goes to any entry host."""

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        key: str,
        tally: Tally,
        rng: random.Random,
    ) -> None:
        self._clients = [
            http_client.HttpClient(url) for url in fleet.caller_urls
        ]
        self._key = key
        self._tally = tally
        self._rng = rng

    def ask(
        self, method: str, path: str, body: Any, **headers: str
    ) -> dict[str, Any]:
        """Sends a request until it is answered; returns the document."""
        all_headers = {
            "Authorization": f"Bearer {self._key}",
            "Content-Type": "application/json",
            **{name.replace("_", "-"): text for name, text in headers.items()},
        }
        data = json.dumps(body).encode()
        for _ in range(TRIES):
            client = self._rng.choice(self._clients)
            answer = client.request(method, path, data, all_headers)
            document: dict[str, Any] = json.loads(answer.body)
            if answer.status < 400:
                return document
            self._tally.refusals[document["code"]] += 1
            if document["retry_after"] is None:
                break
            gevent.sleep(RETRY_SECONDS)
        raise RuntimeError(f"{method} {path}: {document}")


def run(seed: int, programs: int) -> int:
    """Runs the demo, prints a table; returns 0, or 1 if a promise broke."""
    rng = random.Random(seed)
    fleet = fleet_lib.Fleet()
    tally = Tally({}, collections.Counter(), set(), set(),
                  collections.Counter(), [])  # fmt: skip
    keys = {account: keys_lib.new_key() for account in ACCOUNTS}
    _start(fleet, keys)
    tasks = []
    for number in range(programs):
        account = ACCOUNTS[number % len(ACCOUNTS)]
        caller = _Caller(fleet, keys[account], tally, rng)
        work = _dispute if number % 4 < 2 else _grant
        tasks.append(gevent.spawn(_guarded, work, caller, tally, rng))
    gevent.sleep(FAULT_SECONDS)
    print("fault: the host of dakar-2 is lost")
    fleet.kill_sidecar("dakar-2")
    gevent.joinall(tasks)
    print("change: the key of cooperative-four is withdrawn")
    _withdraw(fleet, keys["cooperative-four"], tally)
    _check_effects(fleet, tally)
    fleet.stop()
    _print(tally)
    return 1 if tally.broken else 0


def _start(fleet: fleet_lib.Fleet, keys: dict[str, str]) -> None:
    fleet.start_platform()
    for data_centre in ("plateau", "almadies"):
        fleet.start_entry(data_centre)
    apply_release(fleet, _note(keys))
    for site in SITES:
        fleet.start_sidecar(site, PROFILE)
    fleet_lib.wait_until_ready(fleet, fleet.timers, READY_SECONDS)


def _note(keys: dict[str, str]) -> str:
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
    """Applies a release note to a fleet as its operator."""
    client = http_client.HttpClient(fleet.caller_urls[0])
    answer = client.request(
        "POST",
        "/v1/operators/releases",
        note.encode(),
        {
            "Authorization": f"Bearer {fleet.operator_key}",
            "X-Endivepier-Change-Id": uuid.uuid4().hex,
        },
    )
    if answer.status != 201:
        raise RuntimeError(answer.body.decode())


def _guarded(
    work: Any, caller: _Caller, tally: Tally, rng: random.Random
) -> None:
    try:
        work(caller, tally, rng)
    except Exception as exc:
        # Whatever ends a program early breaks a promise, also what the demo
        # itself did not foresee.
        tally.broken.append(f"a program did not finish: {exc!r}")


def _dispute(caller: _Caller, tally: Tally, rng: random.Random) -> None:
    """A disputed cheque: turns with tool pauses, then one posting."""
    _program(caller, tally, rng, "dispute", "/ledger/postings", turns=4)


def _grant(caller: _Caller, tally: Tally, rng: random.Random) -> None:
    """A grant: a sub-agent drafts a section, then one release of funds."""
    _program(caller, tally, rng, "grant", "/cases/releases", turns=3)


def _program(
    caller: _Caller,
    tally: Tally,
    rng: random.Random,
    template: str,
    effect_path: str,
    *,
    turns: int,
) -> None:
    started = gevent.get_hub().loop.now()
    program = caller.ask("POST", "/v1/programs", {"template": template})
    path = f"/v1/programs/{program['id']}"
    history: list[dict[str, str]] = []
    for turn in range(turns):
        text = f"step {turn}: " + "details " * rng.randint(5, 40)
        history.append({"role": "user", "content": text})
        answer = _turn(caller, path, history)
        tally.calls[template] += 1
        history.append(answer["choices"][0]["message"])
        gevent.sleep(rng.uniform(0.01, 0.2))
    if template == "grant":
        _sub_agent(caller, tally, program["id"])
    _effect(caller, tally, path + "/services" + effect_path)
    tally.calls[template] += 1
    shown = caller.ask("GET", path, None)
    if shown["messages"] != history:
        tally.broken.append(f"the history of {program['id']} is not whole")
    caller.ask("DELETE", path, None)
    seconds = gevent.get_hub().loop.now() - started
    tally.latencies.setdefault(template, []).append(seconds)


def _turn(
    caller: _Caller, path: str, history: Sequence[dict[str, str]]
) -> dict[str, Any]:
    body = {"model": "any", "messages": list(history), "max_tokens": 24}
    return caller.ask(
        "POST",
        path + "/chat/completions",
        body,
        X_Endivepier_Call_Id=uuid.uuid4().hex,
    )


def _sub_agent(caller: _Caller, tally: Tally, parent: str) -> None:
    child = caller.ask(
        "POST", "/v1/programs", {"template": "grant", "parent": parent}
    )
    path = f"/v1/programs/{child['id']}"
    _turn(caller, path, [{"role": "user", "content": "draft one section"}])
    tally.calls["grant"] += 1
    caller.ask("DELETE", path, None)


def _effect(caller: _Caller, tally: Tally, path: str) -> None:
    key = uuid.uuid4().hex
    tally.asked.add(key)
    caller.ask("POST", path, {"amount": 1}, Idempotency_Key=key)
    tally.answered.add(key)


def _withdraw(fleet: fleet_lib.Fleet, key: str, tally: Tally) -> None:
    """Withdraws a key; each entry host must refuse it within seconds."""
    digest = keys_lib.digest_of(key)
    apply_release(fleet, f'[withdrawn]\nkeys = ["{digest}"]\n')
    gevent.sleep(WITHDRAWAL_SECONDS)
    for url in fleet.caller_urls:
        answer = http_client.HttpClient(url).request(
            "POST",
            "/v1/programs",
            b'{"template": "grant"}',
            {"Authorization": f"Bearer {key}"},
        )
        if answer.status != 401:
            tally.broken.append(f"{url} still takes a withdrawn key")


def _check_effects(fleet: fleet_lib.Fleet, tally: Tally) -> None:
    runs: collections.Counter[str] = collections.Counter()
    for service in fleet.services.values():
        for effect in service.effects:
            _, _, key = effect.request.idempotency_key.partition("/")
            runs[key] += 1
    twice = [key for key, count in runs.items() if count > 1]
    if twice:
        tally.broken.append(f"{len(twice)} effects ran more than once")
    tally.run = len(runs)
    missing = [key for key in tally.answered if not runs[key]]
    if missing:
        tally.broken.append(f"{len(missing)} answered effects never ran")


def _print(tally: Tally) -> None:
    row = "{:10} {:>9} {:>6} {:>8} {:>8}"
    print(row.format("template", "programs", "calls", "p50 s", "p99 s"))
    for template, latencies in sorted(tally.latencies.items()):
        ordered = sorted(latencies)
        p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
        print(
            row.format(
                template,
                len(latencies),
                tally.calls[template],
                f"{statistics.median(ordered):.2f}",
                f"{p99:.2f}",
            )
        )
    print(
        f"effects: {len(tally.asked)} asked, {tally.run} run, "
        f"{len(tally.answered)} answered"
    )
    print(f"refusals that were retried: {dict(tally.refusals) or 'none'}")
    for promise in tally.broken:
        print(f"BROKEN: {promise}")
    if not tally.broken:
        print("every promise held")
