"""Measures what calls to other targets suffer while one target floods a host.

One of ten targets answers every call with bytes without end, each time in
another way. Callers send three hosts' share of letter-1 load to one host. With
`--tree`, hosts of other checkouts are measured in the same run:

    python -m bench.floods --tree ../before --tree .
"""

from __future__ import annotations

from endivepier.internal import loop

loop.configure()

import argparse
import collections
import dataclasses
import itertools
import json
import os
import pathlib
import random
import subprocess
import sys
import time
from typing import Any

import gevent
import gevent.pool
import gevent.server

from endivepier import timers as timers_lib
from endivepier.http1 import buffers
from endivepier.http1 import client
from endivepier.http1 import errors
from endivepier.http1 import messages
from endivepier.http1 import responding
from endivepier.http1 import server
from endivepier_platform import headers

BENCH = "floods"
TARGETS = 10
SECONDS = 20.0
CALLS_PER_SECOND = 40.0  # 39,000 over 2,900 hosts, of three hosts
STREAM_SHARE = 0.3
WORK_SECONDS = 0.25  # enough calls at a time that each target gets some
EVENTS = [b"id: %d\ndata: word\n\n" % number for number in range(1, 8)]
BODY = b"done" * 200
FLOOD_PIECE = b"x" * 65536
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


# What follows the status line and the call's id, and what is then repeated.
FLOODS = [
    (CHUNKED, _chunk(FLOOD_PIECE)),
    (b"\r\n", FLOOD_PIECE),
    (b"", b"X: yyyyyyyyyyyyyyyy\r\n" * 3000),
    (b"X: ", FLOOD_PIECE),
    (CHUNKED + b"0\r\nX: ", FLOOD_PIECE),
    (CHUNKED + b"1;x=", FLOOD_PIECE),
    (CHUNKED, _chunk(b"x") * 8000),
    (CHUNKED, _chunk(b": wait\n\n" * 1000)),
    (CHUNKED, _chunk(b"data: x\n" * 1000)),
]


class Targets:
    """Ten targets in this process; the first may flood its callers."""

    def __init__(self, *, flooding: bool) -> None:
        self._timers = timers_lib.SystemTimers()
        self._floods = itertools.cycle(FLOODS)
        self.flooded_calls: set[bytes] = set()
        self.addresses = []
        for number in range(TARGETS):
            handler = self._serve
            if flooding and not number:
                handler = self._flood
            listener = server.Server(
                "127.0.0.1:0", handler, self._timers, messages.ClientLimits
            )
            listener.start()
            self.addresses.append(listener.address)

    def _serve(
        self, req: messages.Request, responder: responding.Responder
    ) -> None:
        call = req.header(headers.CALL_ID) or b""
        fields = [(headers.CALL_ID, call), (headers.SIGNATURE, b"s")]
        gevent.sleep(WORK_SECONDS)
        if req.target.startswith(b"/plain"):
            responder.send(200, fields, BODY)
            return
        responder.start(200, fields)
        after = int(req.header(headers.LAST_EVENT_ID) or 0)
        for event in EVENTS[after:]:
            responder.write(event)
            gevent.sleep(0.005)
        responder.finish()

    def _flood(
        self, req: messages.Request, responder: responding.Responder
    ) -> None:
        call = req.header(headers.CALL_ID) or b""
        first, repeated = next(self._floods)
        self.flooded_calls.add(call)
        write = responder.connection.write
        write(
            b"HTTP/1.1 200 OK\r\n%b: %b\r\n%b: s\r\n"
            % (headers.CALL_ID, call, headers.SIGNATURE)
            + first
        )
        while True:
            write(repeated)
            gevent.sleep(0)


@dataclasses.dataclass
class Result:
    """What the callers saw, and the memory of the host's process.

    Attributes:
        seconds: duration of each served call, by its id.
        outcomes: number of calls by outcome.
        resident_mb: most memory of the process.
    """

    seconds: dict[bytes, float] = dataclasses.field(default_factory=dict)
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    resident_mb: float = 0.0

    def percentile(self, share: float) -> float:
        """Returns a percentile of the calls' durations, in ms."""
        ordered = sorted(self.seconds.values())
        return ordered[int(share * (len(ordered) - 1))] * 1000.0


def _call(address: str, number: int, path: bytes, result: Result) -> None:
    timers = timers_lib.SystemTimers()
    started_at = timers.now()
    call = b"call-%d" % number
    fields = [
        (b"Host", b"a.example"),
        (headers.CALL_ID, call),
        (b"Connection", b"close"),
    ]
    try:
        conn = client.connect(address, timers, seconds=2.0, user_timeout=5.0)
        try:
            conn.send(
                client.encode_request(b"POST", path, fields, b"in"),
                started_at + 5.0,
            )
            head, body = client.read_whole(
                conn, started_at + 5.0, buffers.Buffers(), "host"
            )
        finally:
            conn.close()
    except errors.HttpError:
        result.outcomes["no answer"] += 1
        return
    whole = BODY if path.startswith(b"/plain") else b"".join(EVENTS)
    if head.status != 200:
        result.outcomes[f"status {head.status}"] += 1
    elif not body.endswith(whole):
        result.outcomes["wrong"] += 1
    else:
        result.outcomes["served"] += 1
        result.seconds[call] = timers.now() - started_at


def _resident_mb(pid: int) -> float:
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    for line in status.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure(tree: str, seed: int, *, flooding: bool) -> Result:
    """Runs one host of a checkout and returns what its callers saw."""
    root = pathlib.Path(tree).resolve()
    targets = Targets(flooding=flooding)
    env = {
        **os.environ,
        "PYTHONPATH": f"{root / 'src'}:{root / 'platform'}",
    }
    script = pathlib.Path(__file__).with_name("floods_host.py")
    host = subprocess.Popen(
        [sys.executable, str(script), *targets.addresses],
        env=env,
        stdout=subprocess.PIPE,
    )
    try:
        assert host.stdout is not None
        address = json.loads(host.stdout.readline())["address"]
        result = Result()
        rng = random.Random(seed)
        tasks = gevent.pool.Group()
        end = time.monotonic() + SECONDS
        for number in itertools.count():
            if time.monotonic() > end:
                break
            path = b"/stream/1" if rng.random() < STREAM_SHARE else b"/plain/1"
            tasks.spawn(_call, address, number, path, result)
            gevent.sleep(rng.expovariate(CALLS_PER_SECOND))
        tasks.join()
        result.resident_mb = _resident_mb(host.pid)
        result.outcomes["floods"] = len(targets.flooded_calls)
        for call in targets.flooded_calls:
            result.seconds.pop(call, None)  # the figures are of other calls
        return result
    finally:
        host.kill()
        host.wait()


def main() -> None:
    """Prints a line of figures for each checkout, calm and flooded."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--tree", action="append")
    args = parser.parse_args()
    for tree in args.tree or ["."]:
        for flooding in (False, True):
            result = measure(tree, args.seed, flooding=flooding)
            figures: dict[str, Any] = {
                "bench": BENCH,
                "tree": pathlib.Path(tree).resolve().name,
                "flooding": flooding,
                "p50_ms": round(result.percentile(0.5), 1),
                "p99_ms": round(result.percentile(0.99), 1),
                "resident_mb": round(result.resident_mb, 1),
                **result.outcomes,
            }
            print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
