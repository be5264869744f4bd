"""A small HTTP/1.1 server and client, on asyncio streams only."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses


class Broken(Exception):
    """Raised if a message ends early or is not valid."""


@dataclasses.dataclass
class Message:
    """A request or a response.

    Attributes:
        first: the start line, split at spaces.
        headers: values by lowercase name.
        body: the body.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first[1])

    @property
    def path(self) -> str:
        """The path and query of a request."""
        return self.first[1]


@dataclasses.dataclass(eq=False)
class Peer:
    """One end of a connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, data: bytes) -> None:
        """Sends bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()

    def reset(self) -> None:
        """Aborts the connection."""
        self.writer.transport.abort()


Handler = Callable[[Message, Peer], Awaitable[bool]]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Returns a start line and headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise Broken("the connection ended within a head") from exc
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first.split(" ", 2), headers)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Returns a body in chunks."""
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns a whole message; None at the end of the connection.

    Raises:
        Broken: the connection ended within the message.
    """
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if "transfer-encoding" in message.headers:
            message.body = await read_chunks(reader)
        elif "content-length" in message.headers:
            length = int(message.headers["content-length"])
            message.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as exc:
        raise Broken("the connection ended within a body") from exc
    return message


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a response with a length."""
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Encodes a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    lines += ["", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def serve(address: str, handler: Handler) -> asyncio.Server:
    """Listens, and calls `handler` for each request.

    A connection is closed once the handler returns False.
    """

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = Peer(reader, writer)
        with contextlib.suppress(OSError, Broken, asyncio.CancelledError):
            while (req := await read_message(reader)) is not None:
                if not await handler(req, peer):
                    break
        with contextlib.suppress(OSError):
            writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(
        accept, host, int(port), limit=2**20, backlog=512
    )


async def connect(address: str) -> Peer:
    """Opens a connection."""
    host, _, port = address.rpartition(":")
    return Peer(*await asyncio.open_connection(host, int(port), limit=2**20))
