"""Stand-in of a model server, whose events tell where they come from.

It registers itself in the store, and appends a line to its record when a run
begins, before each event and when the run ends. SIGUSR1 makes it report that it
is leaving, SIGUSR2 resets the connections of its streams, and a POST to
`settings.ARM_PATH` with a `settings.Moment` as its query kills it at that
moment of a stream.

Usage: python -m soak.target SETTINGS, a JSON document.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import re
import signal
import sys
import time
from typing import Any

from harness import web

from soak import records
from soak import settings
from soak import wire

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
# What a caller asks for at the end of its input: how many events it gets, and
# the time in ms for each.
WISH = re.compile(rb"<events=(\d+) ms=(\d+)>$")
HEARTBEAT_SECONDS = 1.2
STORE_SECONDS = 2.0
SHARE_SPLIT = 0.3  # of the events, sent in several writes
SHARE_JOINED = 0.2  # of the events, sent with the next one in one write


class Body:
    """Sends the body of a response."""

    def __init__(
        self, conn: web.Connection, framing: settings.Framing, length: int
    ) -> None:
        self._conn = conn
        self._framing = framing
        self._length = length

    async def start(self, headers: dict[str, str]) -> None:
        """Sends the head."""
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        match self._framing:
            case settings.Framing.CHUNKS:
                lines.append("Transfer-Encoding: chunked")
            case settings.Framing.LENGTH:
                lines.append(f"Content-Length: {self._length}")
            case settings.Framing.CLOSE:
                lines.append("Connection: close")
        await self._write("\r\n".join([*lines, "", ""]).encode())

    async def send(self, data: bytes) -> None:
        """Sends bytes of the body."""
        if self._framing is settings.Framing.CHUNKS:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        await self._write(data)

    async def end(self) -> None:
        """Ends the body."""
        match self._framing:
            case settings.Framing.CHUNKS:
                await self._write(b"0\r\n\r\n")
            case settings.Framing.CLOSE:
                self._conn.writer.close()

    async def _write(self, data: bytes) -> None:
        self._conn.writer.write(data)
        await self._conn.writer.drain()


class Target:
    """Runs requests."""

    def __init__(self, cfg: settings.Settings) -> None:
        self._cfg = cfg
        self._born = int(time.time() * 1000)
        self._random = random.Random(cfg.seed)
        self._slots = asyncio.Semaphore(cfg.slots)
        self._inside = 0
        self._seq_no = 0
        self._armed: settings.Moment | None = None
        self._is_leaving = False
        self._streaming: set[web.Connection] = set()
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._record = os.open(cfg.record, flags, 0o644)

    def leave(self) -> None:
        """Reports from now on that it is leaving."""
        self._is_leaving = True

    def reset_streams(self) -> None:
        """Resets the connections of its streams."""
        for conn in list(self._streaming):
            wire.reset(conn.writer)

    async def stop(self) -> None:
        """Ends the process when its runs have ended, or time is up."""
        deadline = time.monotonic() + self._cfg.exit_seconds
        while self._inside and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        os._exit(0)

    async def handle(self, req: web.Request, conn: web.Connection) -> None:
        """Responds to one request."""
        cfg = self._cfg
        named = {"Instance-Id": cfg.id}
        if req.path == settings.ARM_PATH:
            self._armed = settings.Moment(req.target.partition("?")[2])
            await conn.send(200, {}, b"{}")
        elif req.headers.get("expect-instance", cfg.id) != cfg.id:
            await conn.send(421, named, b"")
        elif req.path == "/healthz":
            await conn.send(503 if self._is_leaving else 200, named, b"")
        elif req.path == "/endivepier/report":
            body = json.dumps(self._report()).encode()
            headers = {**named, "Content-Type": "application/json"}
            await conn.send(200, headers, body)
        elif self._inside >= cfg.slots + cfg.queue:
            await conn.send(503, {"Not-Executed": "1"}, b"")
        else:
            await self._work(req, conn)

    def _report(self) -> dict[str, Any]:
        running = min(self._inside, self._cfg.slots)
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq_no": self._seq_no,
            "queued": self._inside - running,
            "active": running,
            "kv_used": 0,
            "kv_total": 120_255,
            "handles": 0,
            "born": self._born,
        }

    async def _work(self, req: web.Request, conn: web.Connection) -> None:
        self._inside += 1
        try:
            async with self._slots:
                await self._run(req, conn)
        finally:
            self._inside -= 1

    async def _run(self, req: web.Request, conn: web.Connection) -> None:
        wish = WISH.search(req.body)
        count, pause = (8, 25) if wish is None else map(int, wish.groups())
        asked = req.headers.get("last-event-id")
        framing = settings.Framing(self._random.choice(self._cfg.framings))
        attempt = req.headers.get("attempt-id", "")
        self._note(
            attempt,
            "begun",
            last_event=None if asked is None else int(asked),
            body=req.body.decode("latin-1"),
            framing=framing.value,
            program=req.headers.get("program-id", ""),
        )
        events = self._make_events(req, int(asked or 0), count)
        length = sum(len(data) for _, data in events)
        body = Body(conn, framing, length)
        headers = {
            "Attempt-Id": attempt,
            "Server-Seal": SEAL,
            "Content-Type": "text/event-stream",
        }
        self._streaming.add(conn)
        try:
            await body.start(headers)
            await self._send_events(attempt, body, events, pause / 1000)
            await body.end()
        except (asyncio.CancelledError, ConnectionError):
            self._note(attempt, "cut off")
            raise
        finally:
            self._streaming.discard(conn)
        self._note(attempt, "done")

    def _make_events(
        self, req: web.Request, after: int, count: int
    ) -> list[tuple[int, bytes]]:
        cfg = self._cfg
        body = req.body.decode("latin-1")
        digest = records.digest(req.headers.get("program-id", ""), body)
        events = []
        for number in range(after + 1, count + 1):
            origin = records.Origin(
                id=number,
                event_count=count,
                digest=digest,
                version=cfg.version,
                target=cfg.id,
                born=self._born,
                attempt=req.headers.get("attempt-id", ""),
            )
            text = f"id: {number}\ndata: {origin.encode()}\n\n"
            events.append((number, text.encode()))
        return events

    async def _send_events(
        self,
        attempt: str,
        body: Body,
        events: list[tuple[int, bytes]],
        pause: float,
    ) -> None:
        unsent = b""  # whole events that go with the next one
        for number, data in events:
            await asyncio.sleep(pause)
            if number == events[0][0]:
                self._die_if_armed(settings.Moment.BEFORE)
            self._note(attempt, "event", id=number)
            is_last = number == events[-1][0]
            draw = self._random.random()
            unsent += data
            if self._armed is settings.Moment.INSIDE or draw < SHARE_SPLIT:
                position = len(unsent) - self._random.randrange(1, len(data))
                await body.send(unsent[:position])
                self._die_if_armed(settings.Moment.INSIDE)
                await asyncio.sleep(pause / 4)
                unsent = unsent[position:]
            elif draw < SHARE_SPLIT + SHARE_JOINED and not is_last:
                continue
            await body.send(unsent)
            unsent = b""
            self._die_if_armed(
                settings.Moment.AFTER if is_last else settings.Moment.BETWEEN
            )

    def _die_if_armed(self, moment: settings.Moment) -> None:
        if self._armed is moment:
            os.kill(os.getpid(), signal.SIGKILL)

    def _note(self, attempt: str, event: str, **fields: Any) -> None:
        line = {"at": time.time(), "event": event, "attempt": attempt, **fields}
        line["target"] = self._cfg.id
        line["version"] = self._cfg.version
        line["born"] = self._born
        os.write(self._record, json.dumps(line).encode() + b"\n")

    async def register(self) -> None:
        """Writes the entry in the store again and again."""
        cfg = self._cfg
        while True:
            self._seq_no += 1
            entry = {
                "service": cfg.service,
                "address": cfg.address,
                "zone": cfg.zone,
                "version": cfg.version,
                "slots": cfg.slots,
                "state": "draining" if self._is_leaving else "ready",
                "cold_left_ms": 0,
                "born": self._born,
                "seq_no": self._seq_no,
            }
            value = base64.b64encode(json.dumps(entry).encode()).decode()
            row = {"table": "servers", "part": "", "key": cfg.id}
            call = {"puts": [{**row, "value": value}]}
            await wire.ask(
                cfg.store, "POST", "/endivepier/rows-tx", call, STORE_SECONDS
            )
            was_leaving = self._is_leaving
            due = time.monotonic() + HEARTBEAT_SECONDS
            while time.monotonic() < due and was_leaving == self._is_leaving:
                await asyncio.sleep(0.05)


async def main() -> None:
    """Serves requests until the process is ended."""
    target = Target(settings.Settings(**json.loads(sys.argv[1])))
    cfg = target._cfg
    host, _, port = cfg.address.rpartition(":")
    server = await web.serve(host, int(port), target.handle, cancel=True)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, target.leave)
    loop.add_signal_handler(signal.SIGUSR2, target.reset_streams)
    registration = asyncio.create_task(target.register())
    stopping = asyncio.Event()
    if cfg.exit_seconds > 0:
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
    await stopping.wait()
    registration.cancel()
    server.close()
    await target.stop()


if __name__ == "__main__":
    asyncio.run(main())
