"""Callers: begin streams, follow them, and resume those that break off."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses
import random
import time

from soak import fleet as fleet_lib
from soak import records
from soak import shapes
from soak import wire

ATTEMPT_MS = 4000
MAX_TURNS = 5
SHARE_KEPT = 0.5  # of the programs
SHARE_LEFT = 0.08  # of the attempts at streams that can be resumed
SHARE_LATE = 0.25  # of the resumptions
SHARE_TWICE = 0.12  # of the resumptions, at two hosts at the same time
SHARE_UNNAMED = 0.15  # of the callers' resumptions, without `Resumes`
SILENT_SECONDS = 2.0  # after which a caller gives up an attempt
RETRY_SECONDS = 0.1
MAX_ATTEMPTS = 12


class Caller:
    """Runs one program after the other.

    Attributes:
        streams: the streams that it began.
    """

    def __init__(
        self, number: int, seed: str, hosts: Callable[[], list[fleet_lib.Host]]
    ) -> None:
        self.streams: list[records.Stream] = []
        self._name = f"caller-{number}"
        self._random = random.Random(seed)
        self._hosts = hosts
        self._conns: dict[str, wire.Connection] = {}
        self._branch_count = 0

    async def run(self, shape: shapes.Shape, until: float) -> None:
        """Runs programs until a moment of the monotonic clock."""
        rng = self._random
        while time.monotonic() < until:
            is_kept = rng.random() < SHARE_KEPT
            route = next(r for r in shape.routes if r.is_kept == is_kept)
            program = f"{rng.getrandbits(64):016x}"
            previous: records.Stream | None = None
            for _ in range(rng.randint(1, MAX_TURNS)):
                stream = self._begin(shape, route, program, previous)
                done = await self._follow(stream, rng.uniform(4.0, 8.0))
                await asyncio.sleep(rng.uniform(0.0, 0.2))
                if not done.is_complete or time.monotonic() > until:
                    break
                previous = done if is_kept else None
        for conn in self._conns.values():
            conn.close()

    def _begin(
        self,
        shape: shapes.Shape,
        route: shapes.Route,
        program: str,
        previous: records.Stream | None,
    ) -> records.Stream:
        rng = self._random
        count = rng.randint(shape.min_events, shape.max_events)
        pause = rng.choice((5, 20, 20, 50))
        name = f"{self._name}/{len(self.streams) + 1}"
        text = f"{name} asks <events={count} ms={pause}>"
        stream = records.Stream(
            name=name,
            route=route.name,
            is_resumable=not route.is_kept,
            is_kept=route.is_kept,
            program=program,
            text=text,
            body=records.chain(previous, text),
            event_count=count,
            previous="" if previous is None else previous.parts[-1].attempt,
        )
        self.streams.append(stream)
        return stream

    async def _follow(
        self, stream: records.Stream, seconds: float
    ) -> records.Stream:
        """Follows a stream to its end, as far as that can be done in time.

        Returns:
            The stream; a turn that was refused is another one, which is kept
            as a stream of its own.
        """
        rng = self._random
        deadline = time.monotonic() + seconds
        while len(stream.parts) < MAX_ATTEMPTS:
            left = deadline - time.monotonic()
            if left <= 0.1:
                break
            hosts = [host for host in self._hosts() if host.is_running]
            if not hosts:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if stream.events and rng.random() < SHARE_TWICE:
                await self._branch(stream, rng.choice(hosts), left)
            part = await self._attempt(stream, rng.choice(hosts), left)
            stream.parts.append(part)
            if part.end is records.End.COMPLETE:
                break
            if not stream.is_resumable:
                if part.end is not records.End.REFUSED or part.status == 404:
                    break
                stream = dataclasses.replace(
                    stream, name=f"{stream.name}+", parts=[]
                )
                self.streams.append(stream)
            pause = RETRY_SECONDS
            if stream.events and rng.random() < SHARE_LATE:
                pause = rng.uniform(0.2, 0.8) * max(left, 0.0)
            await asyncio.sleep(pause * rng.uniform(0.2, 1.0))
        return stream

    async def _branch(
        self,
        stream: records.Stream,
        host: fleet_lib.Host,
        left: float,
    ) -> None:
        """Resumes a stream once more than its caller goes on with."""
        self._branch_count += 1
        branch = dataclasses.replace(
            stream,
            name=f"{stream.name}#{self._branch_count}",
            parts=list(stream.parts),
        )
        self.streams.append(branch)
        branch.parts.append(await self._attempt(branch, host, left))

    async def _attempt(
        self,
        stream: records.Stream,
        host: fleet_lib.Host,
        left: float,
    ) -> records.Part:
        """Sends a request for a stream or for what it lacks."""
        rng = self._random
        part = records.Part(
            attempt=f"{rng.getrandbits(64):016x}",
            host=host.name,
            at=time.time(),
        )
        milliseconds = int(min(left * 1000, ATTEMPT_MS))
        headers = _headers(stream, part.attempt, milliseconds)
        if stream.events:
            part.last_event = stream.events[-1].id
            headers["Last-Event-Id"] = str(part.last_event)
            if rng.random() >= SHARE_UNNAMED:
                part.resumes = next(
                    other.attempt for other in stream.parts if other.events
                )
                headers["Resumes"] = part.resumes
        leave_after = (
            rng.randint(1, stream.event_count)
            if stream.is_resumable and rng.random() < SHARE_LEFT
            else None
        )
        conn: wire.Connection | None = None
        try:
            async with asyncio.timeout(milliseconds / 1000 + 1.0):
                conn = await self._connect(host.clients)
                path = f"/{stream.route}/2f"
                body = stream.text.encode("latin-1")
                await conn.send("POST", path, headers, body)
                await _read(conn, part, leave_after)
        except TimeoutError:
            part.end, part.note = records.End.LEFT, "silence"
        except (OSError, EOFError) as exc:
            part.end, part.note = records.End.BROKEN, repr(exc)
        part.ended_at = time.time()
        if part.end in (records.End.LEFT, records.End.BROKEN):
            self._conns.pop(host.clients, None)
            if conn is not None:
                conn.close()
        return part

    async def _connect(self, address: str) -> wire.Connection:
        """Returns a connection that is open, or a new one."""
        conn = self._conns.get(address)
        if conn is None or not conn.is_open:
            if conn is not None:
                conn.close()
            conn = self._conns[address] = await wire.connect(address)
        return conn


def _headers(
    stream: records.Stream, attempt: str, milliseconds: int
) -> dict[str, str]:
    most = stream.event_count * shapes.EVENT_TOKENS
    headers = {
        "Host": shapes.HOSTNAME,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(milliseconds),
        "Authorization": f"Bearer {shapes.API_KEY}",
        "Program-Id": stream.program,
        "Session-Id": stream.program,
        "Program-Deadline-Ms": "60000",
        "Token-Budget": "1000000",
        "Token-Count": f"600,{most}",
        "Model": "m",
        "Prompt-Prefix": f"{stream.program[:8]}:600",
    }
    if stream.previous:
        headers["Previous-Turn"] = stream.previous
    return headers


async def _read(
    conn: wire.Connection, part: records.Part, leave_after: int | None
) -> None:
    """Reads a response into a part.

    Args:
        conn: the connection.
        part: gets what arrives.
        leave_after: the id of the event after which the caller leaves, if any.
    """
    head = await asyncio.wait_for(conn.read_head(), SILENT_SECONDS * 2)
    part.status = head.status
    received = b""
    body = conn.read_body(head)
    async with contextlib.aclosing(body):
        while True:
            try:
                data = await asyncio.wait_for(anext(body), SILENT_SECONDS)
            except StopAsyncIteration:
                break
            received += data
            if head.status != 200:
                continue
            *whole, received = received.split(b"\n\n")
            part.events += [_decode_event(text) for text in whole]
            part.rest = len(received)
            last = part.events[-1].id if part.events else 0
            if leave_after is not None and last >= leave_after:
                part.end, part.note = records.End.LEFT, "by draw"
                return
    if head.status != 200:
        part.end = records.End.REFUSED
        part.note = received[:200].decode("latin-1")
    else:
        part.end = records.End.COMPLETE


def _decode_event(text: bytes) -> records.Event:
    """Returns an event; the id of an invalid one is 0."""
    fields: dict[str, str] = {}
    for line in text.decode("latin-1").split("\n"):
        name, _, value = line.partition(": ")
        fields[name] = value
    id = fields.get("id", "")
    return records.Event(
        int(id) if id.isdigit() else 0, fields.get("data", ""), time.time()
    )


def make(count: int, seed: str, fleet: fleet_lib.Fleet) -> Sequence[Caller]:
    """Returns the callers of a run."""
    return [
        Caller(number, f"{seed}/caller/{number}", lambda: fleet.hosts)
        for number in range(count)
    ]
