"""Case 10: after a restart, one entry of another writer ends every turn.

Another writer's entry in the table of servers has a number of slots that is
none: one of 401 digits. Hosts can't compute with it when they choose a server,
and close the connection of each client.
"""

from __future__ import annotations

import asyncio
import collections
import time
import uuid

from rig import case as case_lib
from rig import fleet
from rig import targets

ENGINES = 6
SLOTS = 12
HOSTS = 3
SLOTS_DIGITS = 401
SHARED_PARTS = 3
TURNS_PER_SECOND = 18
BEFORE_SECONDS = 6.0
DOWN_SECONDS = 1.0
RECOVERY_SECONDS = 12.0  # recovery_s of the site
AFTER_SECONDS = 6.0
SERVED_SHARE = 0.25  # "less than a quarter is served"


async def play(case: case_lib.Case) -> str:
    """Plays the case."""
    engines = [
        targets.Engine(
            f"i-{number}",
            "agent-models",
            case.address(number),
            case.store,
            case.record,
            zone=fleet.ZONES[number % 3],
            slots=SLOTS,
        )
        for number in range(ENGINES)
    ]
    for engine in engines:
        await engine.start()
    await case.start_hosts(HOSTS)
    answers: list[tuple[float, fleet.Answer]] = []
    is_over = asyncio.Event()

    async def turn(number: int) -> None:
        host = case.hosts[number % HOSTS]
        shared = f"{0xABC + number // HOSTS % SHARED_PARTS:x}"
        head = {
            "Model": "m",
            "Token-Count": "3074,36",
            "Prompt-Prefix": f"{shared}:2560,{uuid.uuid4().hex[:8]}:514",
            "Program-Id": uuid.uuid4().hex[:6],
            "Session-Id": uuid.uuid4().hex[:6],
            "Program-Deadline-Ms": "5200",
            "Token-Budget": "1088",
        }
        sent_at = time.monotonic()
        answer = await fleet.ask(
            case.record, host.address, "POST", "/cheque/1", head, b"x" * 4000
        )
        answers.append((sent_at, answer))

    async def send_turns() -> None:
        turns: set[asyncio.Task[None]] = set()
        number = 0
        while not is_over.is_set():
            turns.add(asyncio.create_task(turn(number)))
            number += 1
            await asyncio.sleep(1 / TURNS_PER_SECOND)
        await asyncio.gather(*turns)

    began = time.monotonic()
    clients = asyncio.create_task(send_turns())
    await asyncio.sleep(BEFORE_SECONDS)
    if case.trouble:
        entry = {**engines[0].entry(), "slots": 10 ** (SLOTS_DIGITS - 1)}
        entry["address"] = case.address(60)
        case.record.write(f"another writer's entry servers/x-1: {entry}")
        await case.store.put("servers", "x-1", entry)
    fault = time.monotonic()
    case.record.write("the final fault: all processes are killed")
    for host in case.hosts:
        host.kill()
    await asyncio.sleep(DOWN_SECONDS)
    for host in case.hosts:
        host.start()
    back = time.monotonic()
    await asyncio.sleep(back + RECOVERY_SECONDS - time.monotonic())
    await asyncio.sleep(AFTER_SECONDS)
    is_over.set()
    await clients

    def served(begin: float, end: float) -> float:
        found = [a for at, a in answers if begin <= at < end]
        count = sum(a.status == 200 and a.complete for a in found)
        ended = collections.Counter(
            "closed" if a.closed else a.status for a in found
        )
        case.record.write(f"{count} of {len(found)} served: {dict(ended)}")
        return count / len(found)

    before = served(began, fault - 1.0)
    after = served(back + RECOVERY_SECONDS, time.monotonic())
    if before < SERVED_SHARE:
        raise RuntimeError("too few turns were served before the fault")
    for host in case.hosts:
        ready = await host.is_ready()
        case.record.write(f"{host.name} is {'' if ready else 'not '}ready")
    if after < SERVED_SHARE:
        return (
            f"RECOVER: {after:.2f} of the turns sent later than recovery_s"
            f" after the machines were back are served, {before:.2f} before"
        )
    return ""


case_lib.main(__file__, play)
