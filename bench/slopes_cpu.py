"""Measures the processor time and the memory of each daemon under load."""

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

RELEASE_NOTE = "bench/slopes-note.toml"
DAEMONS = ("entry", "sidecar1", "sidecar2")
# Each slope is fitted to the processor time of these numbers of events.
CALL_COUNTS = (100, 200, 400)
TOKENS_PER_CALL = (20, 60, 180)
STREAMED_CALLS = 24
HEARTBEAT_COUNTS = (500, 1000, 2000)
REVISION_COUNTS = (10, 20, 40)
# Time for all daemons to apply the last revision.
REVISION_SETTLE_SECONDS = 2.0
CONCURRENT_REQUESTS = 8
IDLE_SECONDS = 5.0
# Index of utime among the fields of /proc/PID/stat; stime follows it.
UTIME_FIELD_INDEX = 13
# Target for the processor time of control work, as a fraction of one core.
MAX_IDLE_CORE_SHARE = 0.026


def run(seed: int) -> None:
    """Starts the daemons, puts load on them and prints the figures."""
    with processes.Processes() as fleet:
        applied = fleet.command("release", "apply", RELEASE_NOTE)
        if applied.returncode != 0:
            raise RuntimeError(applied.stderr)
        fleet.wait_for_release()
        load = _LoadGenerator(fleet)
        # Warms up the daemons before anything is measured.
        load.chat(50, 1)
        load.post(50)
        _measure_idle(seed, fleet)
        _measure_slope(
            seed,
            fleet,
            "model call",
            CALL_COUNTS,
            lambda count: load.chat(count, 1),
        )
        _measure_slope(
            seed, fleet, "non-idempotent request", CALL_COUNTS, load.post
        )
        _measure_slope(
            seed,
            fleet,
            "streamed token",
            [tokens * STREAMED_CALLS for tokens in TOKENS_PER_CALL],
            lambda total: load.chat(STREAMED_CALLS, total // STREAMED_CALLS),
        )
        _measure_slope(
            seed, fleet, "heartbeat", HEARTBEAT_COUNTS, _heartbeat_sender(fleet)
        )
        _measure_slope(
            seed, fleet, "revision", REVISION_COUNTS, _revision_sender(fleet)
        )
        _measure_resident_memory(seed, fleet)


class _LoadGenerator:
    """Sends requests to the entry host, `CONCURRENT_REQUESTS` at a time."""

    def __init__(self, fleet: processes.Processes) -> None:
        self._client = http_client.HttpClient(fleet.url)
        self._headers = {
            "Authorization": f"Bearer {processes.CALLER_KEY}",
            "Content-Type": "application/json",
        }

    def chat(self, calls: int, tokens: int) -> None:
        """Makes model calls that generate `tokens` tokens each."""
        body = {
            "model": "cheque-reader",
            "messages": [{"role": "user", "content": "read the cheque " * 10}],
            "max_tokens": tokens,
            "stream": True,
        }
        data = json.dumps(body).encode()
        self._send_requests(calls, "/v1/chat/completions", data)

    def post(self, calls: int) -> None:
        """Makes non-idempotent service requests."""
        self._send_requests(
            calls, "/v1/services/ledger/postings", b'{"amount": 1}'
        )

    def _send_requests(self, calls: int, path: str, data: bytes) -> None:
        pool = gevent.pool.Pool(CONCURRENT_REQUESTS)
        for _ in range(calls):
            pool.spawn(self._send_request, path, data)
        pool.join(raise_error=True)

    def _send_request(self, path: str, data: bytes) -> None:
        headers = {**self._headers, "Idempotency-Key": uuid.uuid4().hex}
        response = self._client.request("POST", path, data, headers)
        if response.status != 200 or b'"error"' in response.body:
            raise RuntimeError(response.body.decode())


def _heartbeat_sender(fleet: processes.Processes) -> Callable[[int], None]:
    """Returns a function that sends heartbeats to every daemon."""
    secret = fleet.environ["ENDIVEPIER_FLEET_SECRET"]
    peers = http_peers.HttpPeers(secret, spans.Tracer("bench"))
    heartbeat = members.Heartbeat("127.0.0.1:1", 1)

    def send(count: int) -> None:
        for _ in range(count):
            for name in DAEMONS:
                peers.call(
                    fleet.addresses[name],
                    heartbeat,
                    members.Member,
                    seconds=5.0,
                )

    return send


def _revision_sender(fleet: processes.Processes) -> Callable[[int], None]:
    """Returns a function that applies release notes on all daemons."""
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
            response = client.request("POST", path, note.encode(), headers)
            if response.status != 201:
                raise RuntimeError(response.body.decode())
        time.sleep(REVISION_SETTLE_SECONDS)

    return apply


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    # The first two fields are cut off; the second may contain spaces.
    fields = stat.rpartition(")")[2].split()
    user, system = fields[UTIME_FIELD_INDEX - 2], fields[UTIME_FIELD_INDEX - 1]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def _cpu_seconds_by_daemon(fleet: processes.Processes) -> dict[str, float]:
    return {name: cpu_seconds(fleet.running[name].pid) for name in DAEMONS}


def _measure_idle(seed: int, fleet: processes.Processes) -> None:
    before = _cpu_seconds_by_daemon(fleet)
    time.sleep(IDLE_SECONDS)
    after = _cpu_seconds_by_daemon(fleet)
    for name in DAEMONS:
        core_share = (after[name] - before[name]) / IDLE_SECONDS
        slopes_messages.emit(
            seed,
            f"idle share of a core, {name}",
            core_share,
            "1",
            MAX_IDLE_CORE_SHARE,
        )


def _measure_slope(
    seed: int,
    fleet: processes.Processes,
    event: str,
    counts: Sequence[int],
    load: Callable[[int], None],
) -> None:
    """Prints the slope of each daemon's processor time by number of events.

    Args:
        seed: the seed to print with the figures.
        fleet: the daemons.
        event: what is counted, as part of the figures' names.
        counts: the numbers of events to measure.
        load: causes the given number of events.
    """
    points: dict[str, list[tuple[float, float]]] = {
        daemon: [] for daemon in DAEMONS
    }
    for count in counts:
        before = _cpu_seconds_by_daemon(fleet)
        load(count)
        after = _cpu_seconds_by_daemon(fleet)
        for name in DAEMONS:
            points[name].append((count, after[name] - before[name]))
    for name in DAEMONS:
        line = fitting.fit(points[name])
        slopes_messages.emit(seed, f"CPU a {event}, {name}", line.slope, "s")
        slopes_messages.emit(
            seed, f"CPU a {event}, {name}, residual", line.residual, "1"
        )


def _measure_resident_memory(seed: int, fleet: processes.Processes) -> None:
    for name in DAEMONS:
        path = pathlib.Path(f"/proc/{fleet.running[name].pid}/statm")
        pages = int(path.read_text().split()[1])
        resident_bytes = float(pages * os.sysconf("SC_PAGE_SIZE"))
        slopes_messages.emit(
            seed,
            f"resident memory, {name}",
            resident_bytes,
            "B",
            # The target for the memory of a process.
            256 * 1024 * 1024,
        )
