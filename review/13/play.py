"""A program that was stopped comes back while the store is down."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit"))

import rig as rig_lib

BUDGET = 1088  # as in the example of PROTOCOL.md
MOST_TOKENS = 64  # of a turn
EVENTS = MOST_TOKENS // rig_lib.CHUNK_TOKENS
LAST_SECONDS = 15.0  # how long the program runs
TURN_PAUSE_SECONDS = 1.1
RETURN_SECONDS = 57.0  # after its 402; `retention_s` is 60
DOWN_BEFORE_SECONDS = 3.0  # the store is down for so long when it comes back
DOWN_SECONDS = 7.0
MOST_FIRST_TURNS = 40
MOST_TURNS = 12  # of the return, tries included


async def turn(rig, name, number):
    """Sends a turn; returns its tokens and its status."""
    _, answer = await rig.request(
        rig.hosts[number % len(rig.hosts)],
        "POST",
        "/read/a",
        body=b"start another helper " + name.encode(),
        deadline_ms=4000,
        program_id=name,
        session_id=f"{name}{number}",
        program_deadline_ms=5200,
        token_budget=BUDGET,
        token_count=f"200,{MOST_TOKENS}",
        prompt_prefix=f"5c1e07a2:100,{name}:100",
        model="m",
    )
    tokens = answer.body.count(b"data:") * rig_lib.CHUNK_TOKENS
    return tokens, answer.status


def store_is_back(rig) -> None:
    """Ends the outage."""
    rig.record.write("store", state="back")
    for host in rig.hosts:
        host.door.set("open")


async def case(rig, trouble) -> bool:
    """Plays the case; returns whether the rule held."""
    await rig.start(hosts=2)
    for server in rig.servers:
        server.events, server.work = EVENTS, 0.004
    name = os.urandom(7).hex()
    total = 0
    number = 0
    began = rig_lib.now()
    while True:
        tokens, status = await turn(rig, name, number)
        total += tokens
        number += 1
        if status == 402:
            break
        if number > MOST_FIRST_TURNS:
            raise rig_lib.CaseNotRun(f"its last turn ended with {status}")
        # It ends no sooner than after `LAST_SECONDS`.
        if total < BUDGET or rig_lib.now() - began < LAST_SECONDS:
            await asyncio.sleep(TURN_PAUSE_SECONDS)
    rig.record.write("stopped", tokens=total, status=status)
    await asyncio.sleep(RETURN_SECONDS - DOWN_BEFORE_SECONDS)
    if trouble:
        rig.record.write("store", state="down")
        for host in rig.hosts:
            host.door.set("silent")
        asyncio.get_running_loop().call_later(DOWN_SECONDS, store_is_back, rig)
    await asyncio.sleep(DOWN_BEFORE_SECONDS)
    returned = rig_lib.now()
    for number in range(MOST_TURNS):
        tokens, status = await turn(rig, name, number)
        total += tokens
        rig.record.write("returned", tokens=tokens, status=status)
        left = DOWN_SECONDS - DOWN_BEFORE_SECONDS
        if status == 402 or rig_lib.now() - returned > left:
            break  # the store is back, or it was told that all is spent
        if status != 200:
            await asyncio.sleep(0.3)
    most = BUDGET + MOST_TOKENS
    rig.record.write("count", tokens=total, most=most)
    return total <= most


rig_lib.main(case, os.path.dirname(os.path.abspath(__file__)))
