"""How soon a withdrawn key stops working, over real loopback HTTP."""

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
STREAMS = 16
WAITING = 8
STREAM_TOKENS = 20000
PROFILE = engine_lib.EngineProfile(token_seconds=0.02, report_lag=0.0)
READY_SECONDS = 10.0
FIRST_BYTES_SECONDS = 5.0
GIVE_UP_SECONDS = 20.0
STEP_SECONDS = 0.01
NOTE = """
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
class Ends:
    """Seconds from sending a withdrawal to what it ends.

    Attributes:
        streaming: to the last byte of each stream.
        waiting: to the end of each call that waited in a queue.
        cancelled: to the moment when no engine runs anything.
    """

    streaming: list[float] = dataclasses.field(default_factory=list)
    waiting: list[float] = dataclasses.field(default_factory=list)
    cancelled: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Stream:
    """One connected caller.

    Attributes:
        key: the caller's key.
        started: set at the first byte of the answer.
        ended: when the connection had ended, on the monotonic clock.
        data: whether any token came.
    """

    key: str
    started: gevent.event.Event
    ended: float = 0.0
    data: bool = False

    def run(self, url: str) -> None:
        """Makes a streamed call and reads until the connection ends."""
        body = {
            "model": "model",
            "stream": True,
            "max_tokens": STREAM_TOKENS,
            "messages": [{"role": "user", "content": "go on"}],
        }
        client = http_client.HttpClient(url, read_seconds=GIVE_UP_SECONDS)
        try:
            answer = client.open(
                "POST",
                "/v1/chat/completions",
                json.dumps(body).encode(),
                {
                    "Authorization": f"Bearer {self.key}",
                    "Content-Type": "application/json",
                },
            )
            for line in answer.lines():
                self.data = self.data or b"content" in line
                self.started.set()
        except OSError:
            pass
        self.ended = time.monotonic()
        client.close()


def key_tables(keys: Sequence[str]) -> str:
    """Returns the part of a note that grants keys."""
    return "".join(
        f'[[added.keys]]\ndigest = "{keys_lib.digest_of(key)}"\n'
        'account = "one"\n'
        for key in keys
    )


def apply(fleet: fleet_lib.Fleet, note: str) -> float:
    """Applies a note; returns when it was sent, on the monotonic clock."""
    sent = time.monotonic()
    answer = http_client.HttpClient(fleet.caller_urls[0]).request(
        "POST",
        operators.RELEASES_PATH,
        note.encode(),
        {
            "Authorization": f"Bearer {fleet.operator_key}",
            operators.CHANGE_ID_HEADER: uuid.uuid4().hex,
        },
    )
    if answer.status != 201:
        raise RuntimeError(answer.body.decode())
    return sent


def measure_withdrawals(seed: int, samples: int) -> None:
    """Times the last byte of streams, and of calls that wait in queues.

    Args:
        seed: the seed of the run.
        samples: how many streams to end, at least.
    """
    rng = random.Random(seed)
    fleet = fleet_lib.Fleet()
    fleet.start_platform()
    for data_centre in ("plateau", "almadies"):
        fleet.start_entry(data_centre)
    apply(fleet, NOTE)
    for name in ("engine-1", "engine-2"):
        fleet.start_sidecar(
            fleet_lib.Site(name, "plateau", ("model",)), PROFILE
        )
    fleet_lib.wait_until_ready(fleet, fleet.timers, READY_SECONDS)
    for announced in (True, False):
        ends = Ends()
        for _ in range(MAX_ROUNDS):
            if len(ends.streaming) >= samples:
                break
            with announcements(announced):
                withdraw_round(fleet, rng, ends)
        how = "" if announced else ", announcements lost"
        emit_largest(f"last byte of a stream{how}", ends.streaming, seed)
        emit_largest(f"end of a waiting call{how}", ends.waiting, seed)
        emit_largest(f"engines idle{how}", ends.cancelled, seed)
    fleet.stop()


@contextlib.contextmanager
def announcements(sent: bool) -> Iterator[None]:
    """Has all announcements of notes lost while the block runs, if not sent."""
    honest = follower_lib.Follower.announce
    if not sent:
        follower_lib.Follower.announce = lambda *_: None  # type: ignore
    try:
        yield
    finally:
        follower_lib.Follower.announce = honest  # type: ignore


def withdraw_round(
    fleet: fleet_lib.Fleet,
    rng: random.Random,
    ends: Ends,
) -> None:
    """Opens streams with a key each, withdraws all keys, times the ends."""
    keys = [keys_lib.new_key() for _ in range(STREAMS + WAITING)]
    apply(fleet, key_tables(keys))
    gevent.sleep(0.3)
    streams = [Stream(key, gevent.event.Event()) for key in keys]
    tasks = [
        gevent.spawn(stream.run, rng.choice(fleet.caller_urls))
        for stream in streams
    ]
    gevent.sleep(rng.uniform(0.5, 1.0))
    digests = json.dumps([keys_lib.digest_of(key) for key in keys])
    sent = apply(fleet, f"[withdrawn]\nkeys = {digests}\n")
    while running(fleet) and time.monotonic() < sent + GIVE_UP_SECONDS:
        gevent.sleep(STEP_SECONDS)
    ends.cancelled.append(time.monotonic() - sent)
    gevent.joinall(tasks, timeout=GIVE_UP_SECONDS)
    for stream in streams:
        ended = stream.ended or time.monotonic()
        (ends.streaming if stream.data else ends.waiting).append(ended - sent)


def running(fleet: fleet_lib.Fleet) -> int:
    """Returns how many calls run at all engines."""
    return sum(
        engine.load_report().running for engine in fleet.engines.values()
    )


def emit_largest(name: str, values: Sequence[float], seed: int) -> None:
    """Prints the largest of some times."""
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
    """Prints a figure of this bench."""
    figures.Figure(
        BENCH, name, value, unit, seed, baseline=baseline, bound=bound
    ).emit()
