"""A small HTTP/1.1 server on asyncio, which notices that a client leaves."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import urllib.parse

MAX_HEAD_BYTES = 262_144


@dataclasses.dataclass
class Request:
    """A complete request; `headers` has lowercase names."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The query's fields."""
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))


class Connection:
    """The server's side of a connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def read_request(self) -> Request | None:
        """Returns the next request; None at the end of the connection."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.strip().lower()] = value.strip()
        try:
            body = await self._read_body(headers)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return Request(method, target, headers, body)

    async def _read_body(self, headers: dict[str, str]) -> bytes:
        if headers.get("transfer-encoding", "").lower() != "chunked":
            size = int(headers.get("content-length", "0"))
            return await self.reader.readexactly(size)
        pieces = []
        while True:
            line = await self.reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            pieces.append(await self.reader.readexactly(size))
            await self.reader.readexactly(2)
            if not size:
                return b"".join(pieces)

    async def send(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Sends a complete response."""
        self.writer.write(encode_response(status, headers, body))
        await self.writer.drain()

    async def start_chunked(self, status: int, headers: dict[str, str]) -> None:
        """Sends the head of a response that is sent in chunks."""
        framed = {**headers, "Transfer-Encoding": "chunked"}
        self.writer.write(_encode_head(status, framed))
        await self.writer.drain()

    async def send_chunk(self, data: bytes) -> None:
        """Sends a chunk; an empty one ends the response."""
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self.writer.drain()


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns the bytes of a complete response."""
    framed = {**headers, "Content-Length": str(len(body))}
    return _encode_head(status, framed) + body


def _encode_head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


Handler = Callable[[Request, Connection], Awaitable[None]]


async def serve(
    host: str, port: int, handler: Handler, *, cancel: bool
) -> asyncio.Server:
    """Starts a server; with `cancel`, a handler ends when its client leaves."""

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = Connection(reader, writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (req := await conn.read_request()) is not None:
                if not await _handle(req, conn, handler, cancel=cancel):
                    break
        writer.close()

    return await asyncio.start_server(run, host, port, limit=MAX_HEAD_BYTES)


async def _handle(
    req: Request, conn: Connection, handler: Handler, *, cancel: bool
) -> bool:
    """Handles a request; returns whether the connection stays open."""
    if not cancel:
        await handler(req, conn)
        return True
    task = asyncio.ensure_future(handler(req, conn))
    watch = asyncio.ensure_future(conn.reader.read(1))
    await asyncio.wait((task, watch), return_when=asyncio.FIRST_COMPLETED)
    if task.done():
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await watch
        task.result()
        return watch.cancelled()
    with contextlib.suppress(ConnectionError):
        watch.result()
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError, ConnectionError):
        await task
    return False
