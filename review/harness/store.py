"""Stand-in of the platform's store: tables with transactions and a feed.

It has two addresses: one for the system, which may not write the tables `op`
and `servers`, and one for the operator and the servers.

Usage: python3 -m harness.store SYSTEM_ADDRESS WRITERS_ADDRESS
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import sys
import time
from typing import Any

from harness import web

ANSWER_SECONDS = 0.004
PAGE_ROWS = 500
PAGE_BYTES = 1_048_576  # of the rows' values, before they are encoded
CALL_BYTES = 1_048_576
ROW_BYTES = 65_536
PROTECTED_TABLES = frozenset(("op", "servers"))

Row = dict[str, Any]


class Tables:
    """The rows of all tables and their changes."""

    def __init__(self) -> None:
        self.version = 0
        self._rows: dict[tuple[str, str, str], Row] = {}
        self._changes: list[Row] = []
        self._changed = asyncio.Event()

    async def transact(self, call: dict[str, Any]) -> tuple[int, Any]:
        """Applies a transaction; returns the status and the document."""
        expected = call.get("expect", [])
        current = [self._rows.get(_key(entry)) for entry in expected]
        found = [row for row in current if row is not None]
        for entry, row in zip(expected, current, strict=True):
            if (0 if row is None else row["ver"]) != entry["ver"]:
                return 412, {"rows": found, **self.stamp()}
        self.version += 1
        for put in call.get("puts", []):
            row = {**put, "part": put.get("part", ""), "ver": self.version}
            self._rows[_key(put)] = row
            self._changes.append(row)
        for removed in call.get("remove", []):
            if self._rows.pop(_key(removed), None) is not None:
                self._changes.append(
                    {**removed, "ver": self.version, "deleted": True}
                )
        self._changed.set()
        self._changed = asyncio.Event()
        return 200, self.stamp()

    def stamp(self) -> dict[str, int]:
        """Returns the fields that all responses about rows have."""
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    def page(self, query: dict[str, str]) -> dict[str, Any]:
        """Returns the rows of one part from a moment, a page at most."""
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        wanted = (query["table"], query.get("part", ""))
        start = query.get("from", "").encode()
        end = query.get("to", "").encode()
        rows: list[Row] = []
        size = 0
        for key in sorted(self._rows, key=lambda key: key[2].encode()):
            name = key[2].encode()
            if key[:2] != wanted or name < start or (end and name >= end):
                continue
            row = self._rows[key]
            size += len(base64.b64decode(row["value"]))
            if len(rows) == limit or (rows and size > PAGE_BYTES):
                return {"rows": rows, "more_pages": True, **self.stamp()}
            rows.append(row)
        return {"rows": rows, "more_pages": False, **self.stamp()}

    async def feed(self, query: dict[str, str]) -> dict[str, Any]:
        """Returns the changes of a table, when there is one or time is up."""
        after = int(query.get("after", 0))
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            latest: dict[tuple[str, str, str], Row] = {}
            for row in self._changes:
                if row["ver"] > after and row["table"] == query["table"]:
                    latest.pop(_key(row), None)
                    latest[_key(row)] = row
            left = deadline - time.monotonic()
            if latest or left <= 0:
                return {"rows": list(latest.values()), **self.stamp()}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


def _key(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry["table"], entry.get("part", ""), entry["key"]


class Store:
    """Answers the calls to the store."""

    def __init__(self) -> None:
        self._tables = Tables()

    async def handle_system(
        self, req: web.Request, conn: web.Connection
    ) -> None:
        """Answers a call of the system."""
        await asyncio.sleep(ANSWER_SECONDS)
        await self._answer(req, conn, frozenset(PROTECTED_TABLES))

    async def handle_writers(
        self, req: web.Request, conn: web.Connection
    ) -> None:
        """Answers a call of the operator or of a server."""
        await self._answer(req, conn, frozenset())

    async def _answer(
        self, req: web.Request, conn: web.Connection, protected: frozenset[str]
    ) -> None:
        status, document = await self._call(req, protected)
        headers = {"Content-Type": "application/json"}
        await conn.send(status, headers, json.dumps(document).encode())

    async def _call(
        self, req: web.Request, protected: frozenset[str]
    ) -> tuple[int, Any]:
        match req.path:
            case "/endivepier/rows-tx":
                return await self._transact(req, protected)
            case "/endivepier/rows-get":
                return 200, self._tables.page(req.query)
            case "/endivepier/rows-feed":
                return 200, await self._tables.feed(req.query)
            case _:
                return 404, {}

    async def _transact(
        self, req: web.Request, protected: frozenset[str]
    ) -> tuple[int, Any]:
        call = json.loads(req.body)
        entries = [
            entry
            for kind in ("expect", "puts", "remove")
            for entry in call.get(kind, [])
        ]
        if any(entry["table"] in protected for entry in entries):
            return 403, {}
        if len(entries) > 100 or len(req.body) > CALL_BYTES:
            return 413, {}
        for put in call.get("puts", []):
            if len(base64.b64decode(put["value"])) > ROW_BYTES:
                return 413, {}
        return await self._tables.transact(call)


async def main() -> None:
    """Serves both addresses until the process is ended."""
    store = Store()
    handlers = (store.handle_system, store.handle_writers)
    for address, handler in zip(sys.argv[1:], handlers, strict=True):
        host, _, port = address.rpartition(":")
        await web.serve(host, int(port), handler, cancel=False)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
