"""Measures the latency that entry host and sidecar add to an engine call.

Everything runs in one process on loopback, one call at a time, so that the
figure contains only the cost of this project's code and of the extra hops
between processes.
"""

from __future__ import annotations

from endivepier.internal import loop

loop.configure()

from gevent import monkey

monkey.patch_all()

from collections.abc import Callable
import json
import random
import time

from hdrh import histogram

from bench import figures
from endivepier.configuration import keys
from endivepier.internal import codec
from endivepier.internal import http_client
from endivepier.standins import engine
from endivepier.standins import fleet as fleet_lib
from endivepier.targets import ports
from endivepier.targets import wire

BENCH = "added_latency"
CALLS = 200
FULL_CALLS = 2000
TOKENS = 8
CALLS_PER_PROGRAM = 20
MAX_MICROSECONDS = 60_000_000
PROFILE = engine.EngineProfile(token_seconds=0.002)
RELEASE_NOTE = """
[[added.pools]]
name = "pool"
kind = "engine"
shards = 4
[[added.targets]]
name = "engine-1"
pool = "pool"
[[added.models]]
name = "model"
pool = "pool"
[[added.templates]]
name = "bench"
model = "model"
tokens = 1000000
calls = 1000000
[[added.accounts]]
name = "one"
rate = 100000.0
burst = 100000.0
"""


def main() -> None:
    """Runs the benchmark and prints its figures."""
    args = figures.parser(__doc__ or "").parse_args()
    calls = FULL_CALLS if args.full else CALLS
    fleet = fleet_lib.Fleet()
    key = _start(fleet)
    direct = _measure(calls, args.seed, _direct_call(fleet), lambda: None)
    call, new_program = _fleet_call(fleet, key)
    through_fleet = _measure(calls, args.seed, call, new_program)
    for percentile in (50.0, 99.0):
        direct_seconds = direct.get_value_at_percentile(percentile) / 1e6
        fleet_seconds = through_fleet.get_value_at_percentile(percentile) / 1e6
        figures.Figure(
            BENCH,
            f"added latency of a call, p{percentile:.0f}",
            fleet_seconds - direct_seconds,
            "s",
            args.seed,
            baseline=direct_seconds,
        ).emit()
    fleet.stop()


def _start(fleet: fleet_lib.Fleet) -> str:
    """Starts the fleet, applies the configuration; returns an API key."""
    fleet.start_platform()
    fleet.start_entry("plateau")
    key = keys.new_key()
    key_grant = (
        f'[[added.keys]]\ndigest = "{keys.digest_of(key)}"\naccount = "one"'
    )
    client = http_client.HttpClient(fleet.caller_urls[0])
    headers = {
        "Authorization": f"Bearer {fleet.operator_key}",
        "X-Endivepier-Change-Id": "bench",
    }
    path = "/v1/operators/releases"
    response = client.request(
        "POST", path, (RELEASE_NOTE + key_grant).encode(), headers
    )
    if response.status != 201:
        raise RuntimeError(response.body.decode())
    fleet.start_sidecar(
        fleet_lib.TargetSpec("engine-1", "plateau", ("model",)), PROFILE
    )
    fleet_lib.wait_until_ready(fleet, fleet.timers, 10.0)
    return key


def _measure(
    calls: int,
    seed: int,
    call: Callable[[str], None],
    new_program: Callable[[], object],
) -> histogram.HdrHistogram:
    """Times calls one by one.

    Args:
        calls: number of calls.
        seed: seed of the lengths of the messages.
        call: makes a call with a message.
        new_program: starts a new program; called before each group of
            `CALLS_PER_PROGRAM` calls.

    Returns:
        A histogram of the durations in microseconds.
    """
    rng = random.Random(seed)
    result = histogram.HdrHistogram(1, MAX_MICROSECONDS, 3)
    for number in range(calls):
        if number % CALLS_PER_PROGRAM == 0:
            new_program()
        text = "word " * rng.randint(5, 50)
        started = time.perf_counter()
        call(text)
        result.record_value(int((time.perf_counter() - started) * 1e6))
    return result


def _direct_call(fleet: fleet_lib.Fleet) -> Callable[[str], None]:
    """Returns a function that calls the engine without entry and sidecar."""
    client = http_client.HttpClient(fleet.target_urls["engine-1"])

    def call(text: str) -> None:
        message = ports.ChatMessage("user", text)
        req = ports.Generate("r", "s", "model", (message,), TOKENS)
        response = client.request(
            "POST",
            wire.GENERATE_PATH,
            codec.encode(req),
            {"Content-Type": "application/json"},
        )
        # One line for each token and one for the end of the response.
        if response.body.count(b"\n") != TOKENS + 1:
            raise RuntimeError(response.body.decode())

    return call


def _fleet_call(
    fleet: fleet_lib.Fleet, key: str
) -> tuple[Callable[[str], None], Callable[[], object]]:
    """Returns functions that make calls through the fleet.

    Returns:
        A function that makes a call of the current program, and one that
        creates a program and makes it the current one.
    """
    client = http_client.HttpClient(fleet.caller_urls[0])
    headers = {
        "Authorization": f"Bearer {key}",
        "Content-Type": "application/json",
        "X-Endivepier-History": "append",
    }
    paths: list[str] = []

    def create() -> str:
        body = b'{"template": "bench"}'
        created = client.request("POST", "/v1/programs", body, headers)
        program = json.loads(created.body)["id"]
        return f"/v1/programs/{program}/chat/completions"

    def call(text: str) -> None:
        path = paths[-1]
        document = {
            "model": "model",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": TOKENS,
        }
        data = json.dumps(document).encode()
        response = client.request("POST", path, data, headers)
        if response.status != 200:
            raise RuntimeError(response.body.decode())

    return call, lambda: paths.append(create())


if __name__ == "__main__":
    main()
