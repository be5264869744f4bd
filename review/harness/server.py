"""Stand-in of a server: a model server, or a plain service.

It registers itself in the store, writes there at its interval, and appends a
line to its record when a run begins and when it ends.

Usage: python3 -m harness.server SETTINGS, a JSON document.
"""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import hashlib
import json
import re
import sys
import time
from typing import Any

from harness import web

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
# What a client asks of a model server, at the end of the input: how many events
# it gets, and the time in ms for each.
WISH = re.compile(rb"<events=(\d+) ms=(\d+)>\s*$")
EVENT_TOKENS = 4


@dataclasses.dataclass
class Settings:
    """The settings of a server.

    Attributes:
        id: its id.
        service: name of its service.
        address: where it listens.
        zone: its zone.
        store: where servers write to the store.
        record: path of its record.
        slots: how many requests it runs at once.
        queue: how many more wait; further ones are rejected.
        is_engine: whether it is a model server.
        work_ms: how long a run of a plain service takes.
        heartbeat_ms: interval of its writes to the store.
        version: version of its software; the text of events depends on it.
        register_at: Unix time before which it does not register itself.
    """

    id: str
    service: str
    address: str
    zone: str
    store: str
    record: str
    slots: int = 12
    queue: int = 24
    is_engine: bool = False
    work_ms: float = 80.0
    heartbeat_ms: int = 1200
    version: str = "v1"
    register_at: float = 0.0


class Server:
    """Runs requests."""

    def __init__(self, cfg: Settings) -> None:
        self.cfg = cfg
        self._born = int(time.time() * 1000)
        self._slots = asyncio.Semaphore(cfg.slots)
        self._inside = 0
        self._record = open(cfg.record, "a", buffering=1, encoding="utf-8")  # noqa: SIM115

    def _note(self, event: str, req: web.Request, **fields: Any) -> None:
        line = {
            "at": time.time(),
            "event": event,
            "server": self.cfg.id,
            "attempt": req.headers.get("attempt-id", ""),
            "program": req.headers.get("program-id", ""),
            **fields,
        }
        self._record.write(json.dumps(line) + "\n")

    async def handle(self, req: web.Request, conn: web.Connection) -> None:
        """Answers one request."""
        expected = req.headers.get("expect-instance")
        if req.path == "/healthz":
            await conn.send(200, {"Instance-Id": self.cfg.id}, b"")
            return
        if expected is not None and expected != self.cfg.id:
            await conn.send(421, {"Instance-Id": self.cfg.id}, b"")
            return
        if self._inside >= self.cfg.slots + self.cfg.queue:
            self._note("rejected", req)
            await conn.send(503, {"Not-Executed": "1"}, b"")
            return
        self._inside += 1
        try:
            async with self._slots:
                await self._run(req, conn)
        finally:
            self._inside -= 1

    async def _run(self, req: web.Request, conn: web.Connection) -> None:
        self._note(
            "begun",
            req,
            method=req.method,
            target=req.target,
            tenant=req.headers.get("tenant", ""),
            previous=req.headers.get("previous-turn", ""),
            body=len(req.body),
            sha256=hashlib.sha256(req.body).hexdigest()[:16],
        )
        headers = {
            "Attempt-Id": req.headers.get("attempt-id", ""),
            "Server-Seal": SEAL,
        }
        tokens = 0
        try:
            if self.cfg.is_engine:
                wish = WISH.search(req.body)
                events, pause = (8, 25) if wish is None else wish.groups()
                most = int(req.headers["token-count"].partition(",")[2])
                events = min(int(events), most // EVENT_TOKENS)
                await conn.start_chunked(
                    200, {**headers, "Content-Type": "text/event-stream"}
                )
                after = int(req.headers.get("last-event-id", "0"))
                for number in range(after + 1, events + 1):
                    await asyncio.sleep(int(pause) / 1000)
                    text = f"id: {number}\ndata: {self.cfg.version}\n\n"
                    await conn.send_chunk(text.encode())
                    tokens += EVENT_TOKENS
                await conn.send_chunk(b"")
            else:
                await asyncio.sleep(self.cfg.work_ms / 1000)
                await conn.send(200, headers, b"done\n")
        except (asyncio.CancelledError, ConnectionError):
            self._note("cut off", req, tokens=tokens)
            raise
        self._note("done", req, tokens=tokens)

    async def register(self) -> None:
        """Writes the entry in the store again and again."""
        cfg = self.cfg
        await asyncio.sleep(max(cfg.register_at - time.time(), 0.0))
        entry = {
            "service": cfg.service,
            "address": cfg.address,
            "zone": cfg.zone,
            "version": cfg.version,
            "slots": cfg.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "born": self._born,
            "seq_no": 0,
        }
        while True:
            entry["seq_no"] += 1
            value = base64.b64encode(json.dumps(entry).encode()).decode()
            put = {"table": "servers", "part": "", "key": cfg.id}
            call = json.dumps({"puts": [{**put, "value": value}]}).encode()
            await _post(cfg.store, "/endivepier/rows-tx", call)
            await asyncio.sleep(cfg.heartbeat_ms / 1000)


async def _post(address: str, path: str, body: bytes) -> None:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {address}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    await reader.readuntil(b"\r\n\r\n")
    writer.close()


async def main() -> None:
    """Serves requests until the process is ended."""
    server = Server(Settings(**json.loads(sys.argv[1])))
    host, _, port = server.cfg.address.rpartition(":")
    await web.serve(host, int(port), server.handle, cancel=True)
    await server.register()


if __name__ == "__main__":
    asyncio.run(main())
