"""The calling side of HTTP/1.1 on asyncio."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
import dataclasses
import json
import socket
import struct
from typing import Any

READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
CONNECT_SECONDS = 1.0


@dataclasses.dataclass
class Head:
    """Head of a response; `headers` has lowercase names."""

    status: int
    headers: dict[str, str]


class Connection:
    """A connection, for one request after the other."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed it, as far as is known."""
        return not (self._reader.at_eof() or self._writer.is_closing())

    async def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Sends a request."""
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self._writer.write("\r\n".join(lines).encode("latin-1") + body)
        await self._writer.drain()

    async def read_head(self) -> Head:
        """Reads the head of a response.

        Raises:
            EOFError: the connection was closed.
            OSError: it was reset.
        """
        data = await self._reader.readuntil(b"\r\n\r\n")
        first, *lines = data.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            if name:
                headers[name.strip().lower()] = value.strip()
        return Head(int(first.split(" ")[1]), headers)

    async def read_body(self, head: Head) -> AsyncGenerator[bytes, None]:
        """Yields the body as it arrives, until its end.

        Raises:
            EOFError: the connection was closed before the end.
            OSError: it was reset.
        """
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                async for data in self._read(size):
                    yield data
                await self._reader.readexactly(2)
            await self._reader.readexactly(2)
        elif "content-length" in head.headers:
            async for data in self._read(int(head.headers["content-length"])):
                yield data
        else:
            while data := await self._reader.read(READ_BYTES):
                yield data
            self.close()
        if head.headers.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    def reset(self) -> None:
        """Resets the connection."""
        reset(self._writer)

    async def _read(self, size: int) -> AsyncGenerator[bytes, None]:
        while size:
            data = await self._reader.read(min(size, READ_BYTES))
            if not data:
                raise EOFError
            size -= len(data)
            yield data


async def connect(address: str) -> Connection:
    """Opens a connection.

    Raises:
        OSError: it was refused.
        TimeoutError: nobody answered.
    """
    host, _, port = address.rpartition(":")
    opening = asyncio.open_connection(host, int(port), limit=MAX_HEAD_BYTES)
    return Connection(*await asyncio.wait_for(opening, CONNECT_SECONDS))


async def ask(
    address: str, method: str, path: str, document: Any, seconds: float
) -> tuple[int, bytes]:
    """Sends a request with a JSON body on a new connection.

    Returns:
        The status and the body; 0 and the error if there is no response.
    """
    body = json.dumps(document).encode()

    async def call() -> tuple[int, bytes]:
        conn = await connect(address)
        try:
            await conn.send(method, path, {"Host": address}, body)
            head = await conn.read_head()
            pieces = [data async for data in conn.read_body(head)]
            return head.status, b"".join(pieces)
        finally:
            conn.close()

    try:
        return await asyncio.wait_for(call(), seconds)
    except (OSError, EOFError, TimeoutError) as exc:
        return 0, repr(exc).encode()


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection, so that its other side sees no regular end."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
