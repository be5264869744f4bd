"""Servers that register themselves in the store."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from rig import fleet
from rig import store as store_lib
from rig import web

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
HEARTBEAT_SECONDS = 1.2


class Target:
    """A sound server; subclasses change how it answers."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        store: store_lib.Store,
        record: fleet.Record,
        *,
        zone: str = "dakar-plateau",
        slots: int = 6,
    ) -> None:
        self.name = name
        self.address = address
        self.runs: list[str] = []
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.version = "1"
        self._service = service
        self._zone = zone
        self._slots = slots
        self._store = store
        self._seq = 0
        self.record = record

    async def start(self) -> None:
        """Listens and registers itself."""
        self._server = await web.serve(self.address, self._handle)
        await self.beat()
        self._beats = asyncio.create_task(self._beat_always())

    def entry(self) -> dict[str, Any]:
        """Returns its entry in the store."""
        return {
            "service": self._service,
            "address": self.address,
            "zone": self._zone,
            "version": self.version,
            "slots": self._slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq_no": self._seq,
            "born": self.born,
        }

    async def beat(self) -> None:
        """Writes its entry."""
        self._seq += 1
        await self._store.put("servers", self.name, self.entry())

    async def _beat_always(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            await self.beat()

    async def _handle(self, req: web.Message, peer: web.Peer) -> bool:
        wanted = req.headers.get("expect-instance", self.name)
        if wanted != self.name:
            await peer.send(web.response(421, {"Not-Executed": "1"}))
            return True
        if req.path == "/healthz":
            await peer.send(web.response(200, {"Instance-Id": self.name}))
            return True
        if req.path == "/endivepier/report":
            body = b'{"stage":"both","queued":0,"active":0,"born":%d}'
            kind = {"Content-Type": "application/json"}
            await peer.send(web.response(200, kind, body % self.born))
            return True
        return await self.answer(req, peer)

    def note_run(self, req: web.Message) -> str:
        """Records that a request begins to run, and returns its id."""
        call = req.headers["attempt-id"]
        self.runs.append(call)
        self.record.write(f"run {call} at {self.name}: {' '.join(req.first)}")
        return call

    async def answer(self, req: web.Message, peer: web.Peer) -> bool:
        """Runs a request and answers it."""
        call = self.note_run(req)
        await asyncio.sleep(0.02)
        headers = {"Attempt-Id": call, "Server-Seal": SEAL}
        await peer.send(web.response(200, headers, f"of {call}".encode()))
        return True


class Engine(Target):
    """A sound model server: some events for each turn, in chunks."""

    events = 4
    pause_seconds = 0.03

    async def answer(self, req: web.Message, peer: web.Peer) -> bool:
        """Runs a turn and streams its events."""
        call = self.note_run(req)
        head = {
            "Attempt-Id": call,
            "Server-Seal": SEAL,
            "Content-Type": "text/event-stream",
            "Weight-Versions": "1",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in head.items()]
        await peer.send("\r\n".join([*lines, "", ""]).encode())
        after = int(req.headers.get("last-event-id", 0))
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.pause_seconds)
            event = f"id: {number}\ndata: piece {number} of {call}\n\n".encode()
            await peer.send(b"%x\r\n%b\r\n" % (len(event), event))
        await peer.send(b"0\r\n\r\n")
        return True


def config(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns a configuration of two services and one tenant."""
    engine = {"slots": 12, "kv_capacity": 174738, "chunk_tokens": 4}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "agent-models",
                "max_conns": 150,
                "health_path": "/healthz",
                "engine": engine,
            },
            {
                "name": "clearing-app",
                "max_conns": 100,
                "health_path": "/healthz",
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "one", "api_keys": ["key-one"]}],
    }


def route(name: str, prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of a configuration."""
    return {
        "name": name,
        "hostname": "desk.example",
        "prefix": prefix,
        "type": kind,
        "priority": 1,
        **fields,
    }


DISPUTE = route(
    "dispute-chat",
    "/dispute/",
    "streaming",
    service="agent-models",
    timeout_ms=4000,
    target_latency_ms=250,
    target_gap_ms=200,
    max_attempts=2,
    sticky=True,
    retained=True,
    retention_s=60,
)
CHEQUE = route(
    "cheque-read",
    "/cheque/",
    "streaming",
    service="agent-models",
    timeout_ms=4000,
    target_latency_ms=250,
    target_gap_ms=200,
    max_attempts=2,
    sticky=True,
    resumable=True,
)
STATUS = route(
    "status-ping",
    "/status/",
    "idempotent",
    service="clearing-app",
    timeout_ms=1200,
    target_latency_ms=129,
    max_attempts=2,
)
RETURN = route(
    "return-post",
    "/return/",
    "non_idempotent",
    service="clearing-app",
    timeout_ms=1500,
    target_latency_ms=274,
    max_attempts=2,
)
DEBIT = route(
    "debit-post",
    "/debit/",
    "non_idempotent",
    service="clearing-app",
    timeout_ms=3000,
    target_latency_ms=436,
    max_attempts=1,
)
ROUTES = [DISPUTE, CHEQUE, STATUS, RETURN, DEBIT]
