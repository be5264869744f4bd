"""Two of four hosts are lost for good; a tenant has no tokens for a while."""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit"))

import rig as rig_lib

HOSTS = 4
LOST = (2, 3)
CONTACT_SECONDS = 3.0
# Tenants with a quota, and their keys. Hosts 2 and 3 hold the first one's rate.
TENANTS = {
    "hule930": "key-a",
    "seno425": "key-b",
    "lehu333": "key-c",
    "sede271": "key-d",
}
RATE, BURST = 50, 50
TURN_SECONDS = 4.0
MIN_TRIES = 5


class Players:
    """The clients of all tenants."""

    def __init__(self, rig) -> None:
        self.rig = rig
        self.first_turns = 0
        self.first_reached = 0
        self._count = 0

    async def send(self, key, program, body, previous=None):
        """Sends a turn of a kept conversation to one host after the other."""
        self._count += 1
        host = self.rig.hosts[self._count % len(self.rig.hosts)]
        return await self.rig.request(
            host,
            "POST",
            "/chat/a",
            body=body,
            deadline_ms=int(TURN_SECONDS * 1000),
            key=key,
            program_id=program,
            session_id=program,
            program_deadline_ms=30000,
            token_budget=1088,
            token_count="200,64",
            prompt_prefix=f"5c1e07a2:100,{program}:100",
            model="m",
            previous_turn=previous,
        )

    async def begin(self, key) -> None:
        """Begins a program of a tenant now and then."""
        while True:
            program = os.urandom(7).hex()
            _, answer = await self.send(key, program, b"1 " + program.encode())
            self.first_turns += 1
            self.first_reached += answer.status == 200
            await asyncio.sleep(0.3)

    async def turn(self, key, body, previous=None):
        """Sends a turn as clients do: three times, each with a retry."""
        program = os.urandom(7).hex()
        tries = []
        for _ in range(3):
            left = TURN_SECONDS
            for _ in range(2):
                began = rig_lib.now()
                attempt, answer = await self.send(key, program, body, previous)
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
    tenants = [
        {
            "name": name,
            "api_keys": [key],
            "priority": 1,
            "rate_per_s": RATE,
            "burst": BURST,
        }
        for name, key in TENANTS.items()
    ]
    await rig.start(hosts=HOSTS, llm=4, tenants=tenants)
    players = Players(rig)
    key, *other_keys = TENANTS.values()
    kept = []
    for number in range(4):
        first, tries = await players.turn(key, b"kept %d" % number)
        if not first:
            raise rig_lib.CaseNotRun(f"a first turn was not served: {tries}")
        kept.append(first)
    if trouble:
        for host in [h for n, h in enumerate(rig.hosts, 1) if n in LOST]:
            host.send(signal.SIGKILL)
            rig.hosts.remove(host)
        await asyncio.sleep(CONTACT_SECONDS + 0.3)
    others = [asyncio.create_task(players.begin(other)) for other in other_keys]
    turns = [
        asyncio.create_task(players.turn(key, b"go on", previous=first))
        for first in kept
    ]
    results = [tries for _, tries in await asyncio.gather(*turns)]
    for task in others:
        task.cancel()
    lost = []
    for first, tries in zip(kept, results, strict=True):
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
    rig.record.write(
        "count",
        kept=len(kept),
        lost=lost,
        first_turns=players.first_turns,
        first_reached=players.first_reached,
    )
    if players.first_reached < 0.9 * players.first_turns:
        raise rig_lib.CaseNotRun("too few first turns reached a server")
    return not lost


rig_lib.main(case, os.path.dirname(os.path.abspath(__file__)))
