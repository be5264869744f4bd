"""Clients of one host use half of the engines; other hosts refuse turns."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit"))

import rig as rig_lib

HOSTS = 7  # as in cnt-endivepier
SERVERS = 3
SLOTS = 12 * SERVERS
BUSY_CLIENTS = 16  # at one host, each with one turn at a time
TURNS = 4  # of a program
TURN_SECONDS = 4.0
CONVERSATIONS = 12
PAUSE_SECONDS = 1.0
MIN_TRIES = 5


class Server(rig_lib.Server):
    """A model server that counts the turns under way."""

    active = 0
    most = 0

    async def run(self, req, writer) -> bool:
        """Runs a request."""
        Server.active += 1
        Server.most = max(Server.most, Server.active)
        try:
            return await super().run(req, writer)
        finally:
            Server.active -= 1


class Players:
    """The clients."""

    def __init__(self, rig) -> None:
        self.rig = rig
        self.first_turns = 0
        self.first_reached = 0

    async def send(self, host, program, body, previous=None):
        """Sends a turn of a kept conversation."""
        return await self.rig.request(
            host,
            "POST",
            "/chat/a",
            body=body,
            deadline_ms=int(TURN_SECONDS * 1000),
            program_id=program,
            session_id=program,
            program_deadline_ms=30000,
            token_budget=1088,
            token_count="200,64",
            prompt_prefix=f"5c1e07a2:100,{program}:100",
            model="m",
            previous_turn=previous,
        )

    async def busy(self) -> None:
        """Plays one program after the other at the first host."""
        while True:
            program = os.urandom(7).hex()
            previous = None
            for number in range(TURNS):
                previous, answer = await self.send(
                    self.rig.hosts[0], program, b"turn", previous
                )
                if not number:
                    self.first_turns += 1
                    self.first_reached += answer.status == 200
                if answer.status != 200:
                    await asyncio.sleep(0.1)
                    break

    async def turn(self, hosts, body, previous=None):
        """Sends a turn as clients do: three times, each with a retry."""
        program = os.urandom(7).hex()
        tries = []
        for _ in range(3):
            left = TURN_SECONDS
            for _ in range(2):
                began = rig_lib.now()
                host = hosts[len(tries) % len(hosts)]
                attempt, answer = await self.send(host, program, body, previous)
                tries.append(answer.status)
                if answer.status == 200 and answer.complete:
                    return attempt, tries
                if answer.status not in (429, 503):
                    break
                left -= rig_lib.now() - began
                asked = float(answer.headers.get("retry-after", 0.0))
                wait = min(asked, left / 3)
                await asyncio.sleep(wait)
                left -= wait
            await asyncio.sleep(0.25)
        return "", tries


async def case(rig, trouble) -> bool:
    """Plays the case; returns whether the rule held."""
    tenant = {**rig_lib._config()["tenants"][0], "rate_per_s": 0, "burst": 0}
    rig_lib.Server = Server
    await rig.start(hosts=HOSTS, llm=SERVERS, tenants=[tenant])
    players = Players(rig)
    others = rig.hosts[1:]
    firsts = []
    for number in range(CONVERSATIONS):
        # The hosts of one zone: a client's tries alternate between them.
        zone = [
            others[number % len(others)],
            others[(number + 1) % len(others)],
        ]
        first, tries = await players.turn(zone, b"1")
        if not first:
            raise rig_lib.CaseNotRun(f"a first turn was not served: {tries}")
        firsts.append((first, zone))
    rig.record.write("kept", ids=[first for first, _ in firsts])
    clients = [
        asyncio.create_task(players.busy())
        for _ in range(BUSY_CLIENTS if trouble else 0)
    ]
    await asyncio.sleep(4.0)
    lost = []
    for first, zone in firsts:
        _, tries = await players.turn(zone, b"2", previous=first)
        reached = [
            run
            for run in rig.runs()
            if run["headers"].get("previous-turn") == first
        ]
        rig.record.write(
            "second_turn", previous=first, tries=tries, reached=len(reached)
        )
        if len(tries) >= MIN_TRIES and not reached:
            lost.append(first)
        await asyncio.sleep(PAUSE_SECONDS)
    for client in clients:
        client.cancel()
    rig.record.write(
        "count",
        conversations=len(firsts),
        lost=lost,
        first_turns=players.first_turns,
        first_reached=players.first_reached,
        most_active=Server.most,
        slots=SLOTS,
    )
    if players.first_reached < 0.9 * players.first_turns:
        raise rig_lib.CaseNotRun("too few first turns reached a server")
    if Server.most * 2 >= SLOTS:
        raise rig_lib.CaseNotRun("the servers were half full")
    return not lost


rig_lib.main(case, os.path.dirname(os.path.abspath(__file__)))
