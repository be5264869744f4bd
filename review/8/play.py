"""Case 8: a model server's answer without end fills the memory of hosts.

One of six model servers answers turns with bytes that are no events, and does
not stop. The platform ends a process that uses more memory than its machine
has. Other clients meanwhile send turns and postings to sound servers.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import subprocess
import sys
import uuid

from rig import case as case_lib
from rig import fleet
from rig import targets
from rig import web

MEMORY_MB = 170  # of an edge machine of the site
HOSTS = 2
ENGINES = 6
TURNS_PER_SECOND = 8
CLIENTS = 16  # that keep their connections
PAUSE_SECONDS = 0.1  # of a client between two postings
WORK_SECONDS = 0.0893  # of a posting
CHAINS = 70  # at each host, before the trouble; hosts keep their last turns
CHAINS_AT_ONCE = 12
CHAIN_TURNS = 9
TURN_BYTES = 5100
PLAY_SECONDS = 40.0
ALLOWED = 3  # "more than three times"


class Server(targets.Target):
    """A sound plain server."""

    async def answer(self, req: web.Message, peer: web.Peer) -> bool:
        """Runs a posting and answers it."""
        call = self.note_run(req)
        await asyncio.sleep(WORK_SECONDS)
        head = {"Attempt-Id": call, "Server-Seal": targets.SEAL}
        await peer.send(web.response(200, head, f"of {call}".encode()))
        return True


class Registration(targets.Engine):
    """The entry of a server that runs as a process of its own."""

    async def start(self) -> None:
        """Starts the process and registers it."""
        path = pathlib.Path(__file__).with_name("server.py")
        self.process = subprocess.Popen(
            [
                sys.executable,
                str(path),
                self.address,
                self.name,
                str(self.record.path),
            ],
            stdout=subprocess.PIPE,
        )
        assert self.process.stdout is not None
        await asyncio.to_thread(self.process.stdout.readline)
        await self.beat()
        self._beats = asyncio.create_task(self._beat_always())


async def play(case: case_lib.Case) -> str:
    """Plays the case."""
    kinds = [targets.Engine] * ENGINES
    if case.trouble:
        kinds[0] = Registration
    engines = [
        kind(
            f"i-{number}",
            "agent-models",
            case.address(number),
            case.store,
            case.record,
            zone=fleet.ZONES[number % 3],
            slots=12,
        )
        for number, kind in enumerate(kinds)
    ]
    servers = [
        Server(
            f"i-s{number}",
            "clearing-app",
            case.address(50 + number),
            case.store,
            case.record,
            zone=fleet.ZONES[number],
        )
        for number in range(2)
    ]
    try:
        for server in [*engines[1:], *servers]:
            await server.start()
        await case.start_hosts(HOSTS)
        await converse(case)
        await engines[0].start()
        return await send(case, servers)
    finally:
        if hasattr(engines[0], "process"):
            engines[0].process.kill()
            engines[0].process.wait()


async def converse(case: case_lib.Case) -> None:
    """Sends turns that continue each other, as clients do all day."""

    async def send_chains(host: fleet.Host, count: int) -> None:
        for _ in range(count):
            previous: dict[str, str] = {}
            for _ in range(CHAIN_TURNS):
                answer = await fleet.ask(
                    case.record, host.address, "POST", "/dispute/1",
                    {"Model": "m", "Token-Count": "3074,16", **previous},
                    b"x" * TURN_BYTES,
                )  # fmt: skip
                if answer.status != 200:
                    break
                previous = {"Previous-Turn": answer.id}

    await asyncio.gather(
        *(
            send_chains(host, -(-CHAINS // CHAINS_AT_ONCE))
            for host in case.hosts
            for _ in range(CHAINS_AT_ONCE)
        )
    )
    for host in case.hosts:
        case.record.write(f"host {host.name} uses {host.memory_mb():.0f} MB")


async def send(case: case_lib.Case, servers: list[targets.Target]) -> str:
    """Sends requests, and returns how the rule was broken."""
    platform = [
        asyncio.create_task(host.watch(MEMORY_MB)) for host in case.hosts
    ]
    answers: list[fleet.Answer] = []
    kept: list[fleet.Answer] = []  # to requests on kept connections
    turns: set[asyncio.Task[None]] = set()
    is_over = asyncio.Event()

    async def ask_turn(number: int) -> None:
        shared = f"{0xABC + number % 97:x}"
        head = {
            "Model": "m",
            "Token-Count": "3074,16",
            "Prompt-Prefix": f"{shared}:2560,{uuid.uuid4().hex[:8]}:514",
            "Program-Id": uuid.uuid4().hex[:6],
            "Session-Id": uuid.uuid4().hex[:6],
            "Program-Deadline-Ms": "5200",
            "Token-Budget": "1088",
        }
        address = case.hosts[number % HOSTS].address
        answers.append(
            await fleet.ask(
                case.record, address, "POST", "/dispute/1", head, b"x" * 600
            )
        )

    async def send_turns() -> None:
        number = 0
        while not is_over.is_set():
            turns.add(asyncio.create_task(ask_turn(number)))
            number += 1
            await asyncio.sleep(1 / TURNS_PER_SECOND)

    async def send_postings(number: int) -> None:
        address = case.hosts[number % HOSTS].address
        peer: web.Peer | None = None
        while not is_over.is_set():
            is_kept = peer is not None
            try:
                peer = peer or await web.connect(address)
            except OSError:
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            answer = await fleet.ask(
                case.record, address, "POST", "/return/1", {}, b"x" * 600,
                deadline_ms=1500, peer=peer,
            )  # fmt: skip
            answers.append(answer)
            if is_kept:
                kept.append(answer)
            if not answer.complete or "connection" in answer.headers:
                peer.close()
                peer = None
            await asyncio.sleep(PAUSE_SECONDS)

    clients = [asyncio.create_task(send_turns())]
    clients += [asyncio.create_task(send_postings(n)) for n in range(CLIENTS)]
    most = 0.0
    for _ in range(int(PLAY_SECONDS * 10)):
        await asyncio.sleep(0.1)
        most = max(most, *(host.memory_mb() for host in case.hosts))
    is_over.set()
    await asyncio.gather(*clients)
    await asyncio.gather(*turns)
    for task in platform:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    served = sum(answer.complete for answer in answers)
    ends = {host.name: host.ends for host in case.hosts}
    runs = {call for server in servers for call in server.runs}
    lost = [a.id for a in kept if a.closed and a.id in runs]
    case.record.write(
        f"{served} of {len(answers)} answered whole;"
        f" most memory {most:.0f} MB; ends {ends}; {len(lost)} postings ran on"
        " sound servers and ended without an answer"
    )
    if not served:
        raise RuntimeError("nothing was served")
    if len(lost) > ALLOWED:
        return (
            f"LOST: hosts ended by themselves, over {MEMORY_MB} MB ({ends});"
            f" {len(lost)} requests on kept connections had been passed on to"
            f" sound servers and got no answer: {lost[:5]}"
        )
    return ""


case_lib.main(__file__, play)
