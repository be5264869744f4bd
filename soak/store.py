"""The store's stand-in, with an address for each of some entry hosts.

At its own address, a host reads addresses of the other hosts that lead to
proxies, so that connections between two hosts can be disturbed one way.

Usage: python -m soak.store WRITERS NETWORK SYSTEM [SYSTEM OF HOST ...]
"""

from __future__ import annotations

import asyncio
import base64
import re
import sys
from typing import Any

from harness import store
from harness import web

FEED_SECONDS = 0.02  # for which a feed collects changes


class Tables(store.Tables):
    """Tables whose feeds read only the changes since they were asked."""

    async def feed(self, query: dict[str, str]) -> dict[str, Any]:
        """Returns the changes of a table, when there is one or time is up."""
        after = int(query.get("after", 0))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = self._changes_after(after, query["table"])
            left = deadline - loop.time()
            if rows or left <= 0:
                return {"rows": rows, **self.stamp()}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
            await asyncio.sleep(FEED_SECONDS)

    def _changes_after(self, after: int, table: str) -> list[store.Row]:
        """Returns the last change of each row, in order."""
        rows: dict[tuple[str, str, str], store.Row] = {}
        for row in reversed(self._changes):
            if row["ver"] <= after:
                break
            if row["table"] == table:
                rows.setdefault((table, row.get("part", ""), row["key"]), row)
        return [*reversed(rows.values())]


class View(store.Store):
    """The store as one host, or any other, sees it."""

    def __init__(self, tables: Tables, network: str, number: int) -> None:
        self._tables = tables
        # The addresses of all hosts but this one. Those of its proxies have
        # the same length, so that rows of any encoding stay valid.
        prefix = re.escape(f"{network}.0.".encode())
        self._pattern = re.compile(prefix + rb"(?!%d:)(?=\d+:)" % number)
        self._proxies = f"{network}.{number}.".encode()
        self._is_changed = number > 0

    async def _call(
        self, req: web.Request, protected: frozenset[str]
    ) -> tuple[int, Any]:
        status, document = await super()._call(req, protected)
        if self._is_changed and "rows" in document:
            rows = [self._redirect(row) for row in document["rows"]]
            document = {**document, "rows": rows}
        return status, document

    def _redirect(self, row: store.Row) -> store.Row:
        if "value" not in row or row["table"] in store.PROTECTED_TABLES:
            return row
        value = base64.b64decode(row["value"])
        redirected = self._pattern.sub(self._proxies, value)
        return {**row, "value": base64.b64encode(redirected).decode()}


async def main() -> None:
    """Serves all addresses until the process is ended."""
    writers, network, *systems = sys.argv[1:]
    tables = Tables()
    views = [View(tables, network, i) for i in range(len(systems))]
    handlers = [(writers, views[0].handle_writers)]
    handlers += [
        (address, view.handle_system)
        for address, view in zip(systems, views, strict=True)
    ]
    for address, handler in handlers:
        host, _, port = address.rpartition(":")
        await web.serve(host, int(port), handler, cancel=False)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
