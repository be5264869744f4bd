"""A proxy on asyncio whose connections can be disturbed."""

from __future__ import annotations

import asyncio
import contextlib
import enum

from soak import wire

READ_BYTES = 65_536


class Harm(enum.StrEnum):
    """How connections are disturbed."""

    SILENT = "silent"  # no bytes arrive any more
    CUT = "cut"  # they are reset, new ones too
    SLOW = "slow"  # bytes are late
    RESET = "reset"  # they are reset, new ones work


class Proxy:
    """Forwards connections, unless it is silent, slow or refuses them.

    Attributes:
        delay: seconds by which all bytes are late.
    """

    def __init__(self, upstream: str) -> None:
        self.address = ""
        self.delay = 0.0
        self._upstream = upstream
        self._is_silent = False
        self._is_refusing = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str, port: int = 0) -> None:
        """Starts to accept connections."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def be_silent(self) -> None:
        """Stops forwarding; what is read from now on is lost."""
        self._is_silent = True

    def cut(self) -> None:
        """Resets all connections, and new ones until `go_on`."""
        self._is_refusing = True
        self.reset()

    def reset(self) -> None:
        """Resets all connections; new ones work."""
        for writer in list(self._writers):
            wire.reset(writer)

    def go_on(self) -> None:
        """Forwards again; connections that were silent are reset."""
        if self._is_silent:
            self.reset()
        self._is_silent = self._is_refusing = False
        self.delay = 0.0

    def disturb(self, how: Harm, seconds: float) -> None:
        """Disturbs connections until `go_on`, `seconds` later."""
        match how:
            case Harm.SILENT:
                self.be_silent()
            case Harm.CUT:
                self.cut()
            case Harm.SLOW:
                self.delay = seconds / 10
            case Harm.RESET:
                self.reset()

    async def end(self) -> None:
        """Closes all connections and accepts no more."""
        if self._server is not None:
            self._server.close()
        self._is_refusing = True
        while self._writers:
            self.reset()  # also those that were just being opened
            await asyncio.sleep(0.01)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_refusing:
            wire.reset(writer)
            return
        host, _, port = self._upstream.rpartition(":")
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            wire.reset(writer)
            return
        if self._is_refusing:
            wire.reset(writer)
            wire.reset(upstream[1])
            return
        pair = {writer, upstream[1]}
        self._writers |= pair
        ways = ((reader, upstream[1]), (upstream[0], writer))
        tasks = [asyncio.create_task(self._copy(*way)) for way in ways]
        try:
            await asyncio.wait(tasks)
        finally:
            self._writers -= pair
            for end in pair:
                end.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if not self._is_silent:
                    writer.write(data)
                    await writer.drain()
        writer.close()
