"""Case 10: hosts hang while nobody reads their standard output.

The process that collects the log of a host is stopped for some seconds, so that
the pipe between them fills. The host then serves nothing at all.
"""

from __future__ import annotations

import asyncio
import signal
import subprocess

from rig import case as case_lib
from rig import fleet
from rig import targets

SERVERS = 3
RATE = 40  # requests a second
BEFORE_SECONDS = 4.0
STOPPED_SECONDS = 20.0
TIMEOUT_SECONDS = 1.5  # timeout_ms of the route
LATE_SECONDS = 0.5  # "no answer half a second later"
REQUESTS = 8  # "eight or more of them, and over a quarter"


class Collected(fleet.Host):
    """An entry host whose output another process reads from a pipe."""

    def start(self, *, first: bool = False) -> None:
        """Starts the process and the one that collects its log."""
        with open(self.log, "ab") as log:
            self.collector = subprocess.Popen(
                ["cat"], stdin=subprocess.PIPE, stdout=log
            )
        self.output = self.collector.stdin
        super().start(first=first)

    def kill(self) -> None:
        """Kills both processes."""
        super().kill()
        self.collector.kill()
        self.collector.wait()


async def play(case: case_lib.Case) -> str:
    """Plays the case."""
    servers = [
        targets.Target(
            f"i-{number}",
            "clearing-app",
            case.address(number),
            case.store,
            case.record,
            zone=fleet.ZONES[number % 3],
        )
        for number in range(SERVERS)
    ]
    engine = targets.Engine(
        "i-e", "agent-models", case.address(50), case.store, case.record
    )
    for server in [*servers, engine]:
        await server.start()
    await case.start_hosts(2, Collected)
    host = case.hosts[0]
    assert isinstance(host, Collected)
    answers: list[fleet.Answer] = []

    async def ask() -> None:
        answers.append(
            await fleet.ask(
                case.record, host.address, "POST", "/return/1", {}, b"x" * 600,
                deadline_ms=3000,
            )
        )  # fmt: skip

    async def send(seconds: float) -> None:
        tasks = []
        for _ in range(int(seconds * RATE)):
            tasks.append(asyncio.create_task(ask()))
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*tasks)

    await send(BEFORE_SECONDS)
    if not any(answer.status == 200 for answer in answers):
        raise RuntimeError("nothing was served")
    answers.clear()
    if case.trouble:
        case.record.write("the collector of edge-1's log is stopped")
        host.collector.send_signal(signal.SIGSTOP)
    await send(STOPPED_SECONDS)
    is_ready = await host.is_ready()
    case.record.write(f"edge-1 is {'' if is_ready else 'not '}ready")
    host.collector.send_signal(signal.SIGCONT)
    late = [
        answer
        for answer in answers
        if not answer.complete
        and not answer.closed
        and answer.seconds > TIMEOUT_SECONDS + LATE_SECONDS
    ]
    case.record.write(f"{len(late)} of {len(answers)} had no answer in time")
    if len(late) >= REQUESTS and len(late) > len(answers) / 4:
        return (
            f"CONFIG: {len(late)} of {len(answers)} requests had no answer half"
            " a second after their route's timeout_ms"
        )
    return ""


case_lib.main(__file__, play)
