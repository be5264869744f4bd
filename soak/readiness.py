"""Waits until the processes of a run are ready."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import subprocess
import time

from soak import wire

START_SECONDS = 120.0
LOG_CHARACTERS = 2000  # of a log, in an error


class NotRun(Exception):
    """Raised if a run can't be judged."""


async def is_listening(address: str) -> bool:
    """Returns whether an address accepts connections."""
    try:
        conn = await wire.connect(address)
    except (OSError, TimeoutError):
        return False
    conn.close()
    return True


async def is_ready(address: str) -> bool:
    """Returns whether an entry host may get new connections.

    Args:
        address: at which it serves its readiness.
    """
    status, _ = await wire.ask(address, "GET", "/endivepier/readyz", None, 1.0)
    return status == 200


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    name: str,
    process: subprocess.Popen[bytes],
    log: pathlib.Path,
) -> None:
    """Waits until a process that was started meets a condition.

    Args:
        condition: asked until it holds.
        name: of the process.
        process: the process.
        log: to which it writes.

    Raises:
        NotRun: the process has ended, or doesn't meet the condition in time.
    """
    deadline = time.monotonic() + START_SECONDS
    while not await condition():
        if process.poll() is not None:
            text = log.read_text(errors="replace")[-LOG_CHARACTERS:]
            code = process.returncode
            raise NotRun(f"{name} ended with {code} at its start: {text}")
        if time.monotonic() > deadline:
            raise NotRun(f"{name} was not ready in {START_SECONDS} s")
        await asyncio.sleep(0.05)
