"""Processor time of the daemons, each a process of its own, by the load."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import json
import os
import pathlib
import time
import uuid

import gevent.pool

from bench import fitting
from bench import processes
from bench import slopes_messages
from endivepier.entry import operators
from endivepier.internal import http_client
from endivepier.internal import http_peers
from endivepier.membership import members
from endivepier.telemetry import spans

NOTE = "bench/slopes-note.toml"
DAEMONS = ("entry", "sidecar1", "sidecar2")
CALLS = (100, 200, 400)
TOKENS = (20, 60, 180)
TOKEN_CALLS = 24
HEARTBEATS = (500, 1000, 2000)
REVISIONS = (10, 20, 40)
SETTLE_SECONDS = 2.0
CONCURRENT = 8
IDLE_SECONDS = 5.0
STAT_UTIME_FIELD = 13
CONTROL_SHARE_BOUND = 0.026


def run(seed: int) -> None:
    """Starts the daemons, loads them and prints slopes."""
    with processes.Processes() as fleet:
        applied = fleet.command("release", "apply", NOTE)
        if applied.returncode != 0:
            raise RuntimeError(applied.stderr)
        fleet.wait_for_release()
        load = _Load(fleet)
        load.chat(50, 1)
        load.post(50)
        _idle(seed, fleet)
        _slope(seed, fleet, "model call", CALLS, lambda n: load.chat(n, 1))
        _slope(seed, fleet, "non-idempotent request", CALLS, load.post)
        _slope(
            seed,
            fleet,
            "streamed token",
            [tokens * TOKEN_CALLS for tokens in TOKENS],
            lambda total: load.chat(TOKEN_CALLS, total // TOKEN_CALLS),
        )
        _slope(seed, fleet, "heartbeat", HEARTBEATS, _beats(fleet))
        _slope(seed, fleet, "revision", REVISIONS, _revisions(fleet))
        _resident(seed, fleet)


class _Load:
    """Makes requests, several at a time."""

    def __init__(self, fleet: processes.Processes) -> None:
        self._client = http_client.HttpClient(fleet.url)
        self._headers = {
            "Authorization": f"Bearer {processes.CALLER_KEY}",
            "Content-Type": "application/json",
        }

    def chat(self, calls: int, tokens: int) -> None:
        """Makes single model calls."""
        body = {
            "model": "cheque-reader",
            "messages": [{"role": "user", "content": "read the cheque " * 10}],
            "max_tokens": tokens,
            "stream": True,
        }
        data = json.dumps(body).encode()
        self._each(calls, "/v1/chat/completions", data)

    def post(self, calls: int) -> None:
        """Makes non-idempotent requests."""
        self._each(calls, "/v1/services/ledger/postings", b'{"amount": 1}')

    def _each(self, calls: int, path: str, data: bytes) -> None:
        pool = gevent.pool.Pool(CONCURRENT)
        for _ in range(calls):
            pool.spawn(self._one, path, data)
        pool.join(raise_error=True)

    def _one(self, path: str, data: bytes) -> None:
        headers = {**self._headers, "Idempotency-Key": uuid.uuid4().hex}
        answer = self._client.request("POST", path, data, headers)
        if answer.status != 200 or b'"error"' in answer.body:
            raise RuntimeError(answer.body.decode())


def _beats(fleet: processes.Processes) -> Callable[[int], None]:
    """Returns what sends heartbeats to every daemon."""
    secret = fleet.environ["ENDIVEPIER_FLEET_SECRET"]
    peers = http_peers.HttpPeers(secret, spans.Tracer("bench"))
    beat = members.Heartbeat("127.0.0.1:1", 1)

    def send(count: int) -> None:
        for _ in range(count):
            for name in DAEMONS:
                peers.call(
                    fleet.addresses[name], beat, members.Member, seconds=5.0
                )

    return send


def _revisions(fleet: processes.Processes) -> Callable[[int], None]:
    """Returns what applies release notes and waits until they are followed."""
    client = http_client.HttpClient(fleet.url)

    def apply(count: int) -> None:
        for number in range(count):
            note = (
                '[[changed.accounts]]\nname = "bank-one"\n'
                f"rate = {100000.0 + number}\nburst = 100000.0\n"
            )
            headers = {
                "Authorization": f"Bearer {processes.OPERATOR_KEY}",
                operators.CHANGE_ID_HEADER: uuid.uuid4().hex,
            }
            path = "/v1/operators/releases"
            answer = client.request("POST", path, note.encode(), headers)
            if answer.status != 201:
                raise RuntimeError(answer.body.decode())
        time.sleep(SETTLE_SECONDS)

    return apply


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    user, system = fields[STAT_UTIME_FIELD - 2], fields[STAT_UTIME_FIELD - 1]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def _used(fleet: processes.Processes) -> dict[str, float]:
    return {name: cpu_seconds(fleet.running[name].pid) for name in DAEMONS}


def _idle(seed: int, fleet: processes.Processes) -> None:
    before = _used(fleet)
    time.sleep(IDLE_SECONDS)
    after = _used(fleet)
    for name in DAEMONS:
        share = (after[name] - before[name]) / IDLE_SECONDS
        slopes_messages.emit(
            seed,
            f"idle share of a core, {name}",
            share,
            "1",
            CONTROL_SHARE_BOUND,
        )


def _slope(
    seed: int,
    fleet: processes.Processes,
    what: str,
    sizes: Sequence[int],
    load: Callable[[int], None],
) -> None:
    points: dict[str, list[tuple[float, float]]] = {n: [] for n in DAEMONS}
    for size in sizes:
        before = _used(fleet)
        load(size)
        after = _used(fleet)
        for name in DAEMONS:
            points[name].append((size, after[name] - before[name]))
    for name in DAEMONS:
        line = fitting.fit(points[name])
        slopes_messages.emit(seed, f"CPU a {what}, {name}", line.slope, "s")
        slopes_messages.emit(
            seed, f"CPU a {what}, {name}, residual", line.residual, "1"
        )


def _resident(seed: int, fleet: processes.Processes) -> None:
    for name in DAEMONS:
        text = pathlib.Path(f"/proc/{fleet.running[name].pid}/statm")
        pages = int(text.read_text().split()[1])
        size = float(pages * os.sysconf("SC_PAGE_SIZE"))
        slopes_messages.emit(
            seed, f"resident memory, {name}", size, "B", 256 * 1024 * 1024
        )
