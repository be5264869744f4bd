"""The platform's store, as PROTOCOL.md describes its tables."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
import urllib.parse

from rig import web

Key = tuple[str, str, str]
MAX_ROWS = 500
MAX_BYTES = 1_000_000
PROTECTED = ("op", "servers")


class Store:
    """Tables with versioned rows, transactions and a feed."""

    def __init__(self) -> None:
        self.rows: dict[Key, tuple[str, int]] = {}
        self.version = 1
        self.is_down = False
        self._log: list[tuple[int, Key]] = []
        self._changed = asyncio.Condition()

    async def put(self, table: str, key: str, document: Any) -> int:
        """Writes a row as the operator or a server does."""
        value = document
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        text = base64.b64encode(value).decode()
        return await self._apply([((table, "", key), text)])

    async def remove(self, table: str, key: str) -> int:
        """Removes a row as a server does."""
        return await self._apply([((table, "", key), None)])

    async def _apply(self, writes: list[tuple[Key, str | None]]) -> int:
        async with self._changed:
            self.version += 1
            for key, value in writes:
                if value is None:
                    self.rows.pop(key, None)
                else:
                    self.rows[key] = (value, self.version)
                self._log.append((self.version, key))
            self._changed.notify_all()
        return self.version

    async def handle(self, req: web.Message, peer: web.Peer) -> bool:
        """Answers one call."""
        if self.is_down:
            await peer.send(web.response(503, {}))
            return True
        status, document = await self._call(req)
        document = {
            **document,
            "ver": document.get("ver", self.version),
            "now_ms": int(time.monotonic() * 1000),
        }
        headers = {"Content-Type": "application/json"}
        body = json.dumps(document).encode()
        await peer.send(web.response(status, headers, body))
        return True

    async def _call(self, req: web.Message) -> tuple[int, dict[str, Any]]:
        path, _, query = req.path.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        name = path.rpartition("/")[2]
        if name == "rows-tx":
            await asyncio.sleep(0.004)
            return await self._transact(json.loads(req.body))
        if name == "rows-get":
            await asyncio.sleep(0.002)
            return 200, self._get(args)
        if name == "rows-feed":
            return 200, await self._feed(args)
        if name == "rows-parts":
            parts = {k[1] for k in self.rows if k[0] == args["table"]}
            found = sorted(p for p in parts if p > args.get("after", ""))
            return 200, {"parts": found[:1000], "more_pages": False}
        return 404, {}

    async def _transact(self, txn: Any) -> tuple[int, dict[str, Any]]:
        def key(entry: Any) -> Key:
            return entry["table"], entry.get("part", ""), entry["key"]

        writes: list[tuple[Key, str | None]] = []
        writes += [(key(e), e["value"]) for e in txn.get("puts", ())]
        writes += [(key(e), None) for e in txn.get("remove", ())]
        if any(k[0] in PROTECTED for k, _ in writes):
            return 403, {}
        conditions = [(key(e), e["ver"]) for e in txn.get("expect", ())]
        if any(self.rows.get(k, ("", 0))[1] != v for k, v in conditions):
            rows = [self._row(k) for k, _ in conditions if k in self.rows]
            return 412, {"rows": rows}
        return 200, {"ver": await self._apply(writes)}

    def _row(self, key: Key) -> dict[str, Any]:
        row: dict[str, Any] = dict(
            zip(("table", "part", "key"), key, strict=True)
        )
        if key not in self.rows:
            return {**row, "deleted": True, "ver": self.version}
        value, version = self.rows[key]
        return {**row, "value": value, "ver": version}

    def _get(self, args: dict[str, str]) -> dict[str, Any]:
        keys = sorted(
            k
            for k in self.rows
            if k[:2] == (args["table"], args.get("part", ""))
            and k[2] >= args.get("from", "")
            and (not args.get("to") or k[2] < args["to"])
        )
        limit = min(int(args.get("limit", MAX_ROWS)), MAX_ROWS)
        rows: list[dict[str, Any]] = []
        size = 0
        for k in keys[:limit]:
            size += len(self.rows[k][0])
            if rows and size > MAX_BYTES:
                break
            rows.append(self._row(k))
        return {"rows": rows, "more_pages": len(rows) < len(keys)}

    async def _feed(self, args: dict[str, str]) -> dict[str, Any]:
        after = int(args["after"])
        until = time.monotonic() + int(args.get("wait_ms", 0)) / 1000
        while True:
            latest = {
                k: v
                for v, k in self._log
                if v > after and k[0] == args["table"]
            }
            left = until - time.monotonic()
            if latest or left <= 0:
                order = sorted(latest, key=lambda k: latest[k])
                return {"rows": [self._row(k) for k in order]}
            try:
                async with asyncio.timeout(left), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue
