"""What all cases do: start stand-ins and hosts, run, judge, end."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import sys
import traceback

from rig import fleet
from rig import store as store_lib
from rig import targets
from rig import web

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class Case:
    """A store and some entry hosts, for one run.

    Attributes:
        trouble: whether the disruption is played.
        net: the first two numbers of all addresses.
        record: what happened.
        store: the platform's store.
        hosts: the entry hosts.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.net = fleet.network()
        self.record = fleet.Record(folder)
        self.store = store_lib.Store()
        self.hosts: list[fleet.Host] = []
        self.record.write(f"trouble: {self.trouble}")

    async def start_store(self) -> None:
        """Starts the store and writes the first configuration."""
        self._store_address = f"{self.net}.0.250:8362"
        await web.serve(self._store_address, self.store.handle)
        document = targets.config(7, targets.ROUTES)
        await self.store.put("op", "config", document)

    async def start_hosts(
        self, count: int, kind: type[fleet.Host] = fleet.Host
    ) -> None:
        """Starts the entry hosts and waits until they are ready."""
        for number in range(1, count + 1):
            host = kind(number, self.net, self._store_address, self.record)
            self.hosts.append(host)
            host.start(first=True)
        for host in self.hosts:
            await host.wait_ready()
        self.record.write("all hosts are ready")

    def address(self, number: int) -> str:
        """Returns the address of a server."""
        return f"{self.net}.0.{100 + number}:9000"

    def note_logs(self, ids: list[str]) -> None:
        """Adds what the hosts wrote about some requests to the record."""
        for host in self.hosts:
            for line in host.log.read_text(errors="replace").splitlines():
                if any(call in line for call in ids):
                    self.record.write(f"log of {host.name}: {line}")

    def end(self) -> None:
        """Ends all processes of hosts and removes their files."""
        for host in self.hosts:
            host.kill()
            host.remove_files()


def main(file: str, play: Callable[[Case], Awaitable[str]]) -> None:
    """Plays a case and exits with its result.

    Args:
        file: the script, beside which `record.txt` is written.
        play: plays the case; returns how the rule was broken, or an empty
            string.
    """
    case = Case(pathlib.Path(file).resolve().parent)

    async def run() -> str:
        async with asyncio.timeout(115):
            await case.start_store()
            return await play(case)

    code = COULD_NOT_RUN
    try:
        broken = asyncio.run(run())
        code = BROKEN if broken else HELD
        result = broken or "the rule held"
        case.record.write(result)
        print(result)
    except Exception:
        case.record.write(traceback.format_exc())
        traceback.print_exc()
    finally:
        case.end()
    sys.stdout.flush()
    os._exit(code)
