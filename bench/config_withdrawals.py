"""Measures how soon a withdrawn key stops working, over HTTP on loopback."""

from __future__ import annotations

from endivepier.internal import loop

loop.configure()

from gevent import monkey

monkey.patch_all()

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses
import json
import random
import time
import uuid

import gevent
import gevent.event

from bench import figures
from endivepier.configuration import follower as follower_lib
from endivepier.configuration import keys as keys_lib
from endivepier.entry import operators
from endivepier.internal import http_client
from endivepier.standins import engine as engine_lib
from endivepier.standins import fleet as fleet_lib

BENCH = "config"
LAST_BYTE_BOUND_SECONDS = 3.0
MAX_ROUNDS = 100
# Each of the two sidecars runs 8 calls at a time; further calls wait in queues.
STREAMS = 16
WAITING_CALLS = 8
STREAM_TOKENS = 20000
PROFILE = engine_lib.EngineProfile(token_seconds=0.02, report_lag_seconds=0.0)
READY_SECONDS = 10.0
FIRST_BYTES_SECONDS = 5.0
TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.01
RELEASE_NOTE = """
[[added.pools]]
name = "pool"
kind = "engine"
shards = 4
[[added.models]]
name = "model"
pool = "pool"
[[added.targets]]
name = "engine-1"
pool = "pool"
[[added.targets]]
name = "engine-2"
pool = "pool"
[[added.accounts]]
name = "one"
rate = 100000.0
burst = 100000.0
"""


@dataclasses.dataclass(slots=True)
class CallEnds:
    """Seconds from the withdrawal of keys until their calls ended.

    Attributes:
        streaming: until the last byte of each stream.
        waiting: until the end of each call that had received no token.
        cancelled: until no engine ran any call; one value a round.
    """

    streaming: list[float] = dataclasses.field(default_factory=list)
    waiting: list[float] = dataclasses.field(default_factory=list)
    cancelled: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Stream:
    """One caller with a streamed call.

    Attributes:
        key: the caller's key.
        started: set at the first line of the response.
        ended: when the connection ended, on the monotonic clock; 0 before.
        received_token: whether any token was received.
    """

    key: str
    started: gevent.event.Event
    ended: float = 0.0
    received_token: bool = False

    def run(self, url: str) -> None:
        """Makes a streamed call and reads until the connection ends."""
        body = {
            "model": "model",
            "stream": True,
            "max_tokens": STREAM_TOKENS,
            "messages": [{"role": "user", "content": "go on"}],
        }
        client = http_client.HttpClient(url, read_seconds=TIMEOUT_SECONDS)
        try:
            response = client.open(
                "POST",
                "/v1/chat/completions",
                json.dumps(body).encode(),
                {
                    "Authorization": f"Bearer {self.key}",
                    "Content-Type": "application/json",
                },
            )
            for line in response.lines():
                self.received_token = self.received_token or b"content" in line
                self.started.set()
        except OSError:
            pass
        self.ended = time.monotonic()
        client.close()


def key_tables(keys: Sequence[str]) -> str:
    """Returns the tables of a release note that grant keys."""
    return "".join(
        f'[[added.keys]]\ndigest = "{keys_lib.digest_of(key)}"\n'
        'account = "one"\n'
        for key in keys
    )


def apply_note(fleet: fleet_lib.Fleet, note: str) -> float:
    """Applies a release note; returns when it was sent, on `time.monotonic`."""
    sent = time.monotonic()
    response = http_client.HttpClient(fleet.caller_urls[0]).request(
        "POST",
        operators.RELEASES_PATH,
        note.encode(),
        {
            "Authorization": f"Bearer {fleet.operator_key}",
            operators.CHANGE_ID_HEADER: uuid.uuid4().hex,
        },
    )
    if response.status != 201:
        raise RuntimeError(response.body.decode())
    return sent


def measure_withdrawals(seed: int, samples: int) -> None:
    """Measures and prints how soon calls end once their keys are withdrawn.

    Measures once with the announcements of release notes, which the entry host
    that accepts a note sends to the others, and once with all of them lost.

    Args:
        seed: the seed of the run.
        samples: least number of streams to end, unless `MAX_ROUNDS` are not
            enough.
    """
    rng = random.Random(seed)
    fleet = fleet_lib.Fleet()
    fleet.start_platform()
    for data_centre in ("plateau", "almadies"):
        fleet.start_entry(data_centre)
    apply_note(fleet, RELEASE_NOTE)
    for name in ("engine-1", "engine-2"):
        fleet.start_sidecar(
            fleet_lib.TargetSpec(name, "plateau", ("model",)), PROFILE
        )
    fleet_lib.wait_until_ready(fleet, fleet.timers, READY_SECONDS)
    for announced in (True, False):
        ends = CallEnds()
        for _ in range(MAX_ROUNDS):
            if len(ends.streaming) >= samples:
                break
            with announcements(announced):
                withdraw_round(fleet, rng, ends)
        suffix = "" if announced else ", announcements lost"
        emit_largest(f"last byte of a stream{suffix}", ends.streaming, seed)
        emit_largest(f"end of a waiting call{suffix}", ends.waiting, seed)
        emit_largest(f"engines idle{suffix}", ends.cancelled, seed)
    fleet.stop()


@contextlib.contextmanager
def announcements(sent: bool) -> Iterator[None]:
    """Drops all announcements of notes in the block, unless `sent`."""
    original_announce = follower_lib.Follower.announce
    if not sent:
        follower_lib.Follower.announce = lambda *_: None  # type: ignore
    try:
        yield
    finally:
        follower_lib.Follower.announce = original_announce  # type: ignore


def withdraw_round(
    fleet: fleet_lib.Fleet,
    rng: random.Random,
    ends: CallEnds,
) -> None:
    """Opens streams with a key each, withdraws all keys, times their ends."""
    keys = [keys_lib.new_key() for _ in range(STREAMS + WAITING_CALLS)]
    apply_note(fleet, key_tables(keys))
    gevent.sleep(0.3)
    streams = [Stream(key, gevent.event.Event()) for key in keys]
    tasks = [
        gevent.spawn(stream.run, rng.choice(fleet.caller_urls))
        for stream in streams
    ]
    gevent.sleep(rng.uniform(0.5, 1.0))
    digests = json.dumps([keys_lib.digest_of(key) for key in keys])
    sent = apply_note(fleet, f"[withdrawn]\nkeys = {digests}\n")
    while running_calls(fleet) and time.monotonic() < sent + TIMEOUT_SECONDS:
        gevent.sleep(POLL_SECONDS)
    ends.cancelled.append(time.monotonic() - sent)
    gevent.joinall(tasks, timeout=TIMEOUT_SECONDS)
    for stream in streams:
        ended = stream.ended or time.monotonic()
        (ends.streaming if stream.received_token else ends.waiting).append(
            ended - sent
        )


def running_calls(fleet: fleet_lib.Fleet) -> int:
    """Returns the number of calls that run at the engines."""
    return sum(
        engine.load_report().running for engine in fleet.engines.values()
    )


def emit_largest(name: str, values: Sequence[float], seed: int) -> None:
    """Prints the largest of some durations in seconds."""
    emit(
        f"withdrawal to {name}, largest of {len(values)}",
        max(values, default=float("nan")),
        "s",
        seed,
        bound=LAST_BYTE_BOUND_SECONDS,
    )


def emit(
    name: str,
    value: float,
    unit: str,
    seed: int,
    *,
    baseline: float | None = None,
    bound: float | None = None,
) -> None:
    """Prints a figure of the benchmark."""
    figures.Figure(
        BENCH, name, value, unit, seed, baseline=baseline, bound=bound
    ).emit()
