"""Programs begin long after one of three entry hosts was lost for good."""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit"))

import rig as rig_lib

PROGRAMS = 60
BUDGET = 1088  # as in the example of PROTOCOL.md
MOST_TOKENS = 136  # of a turn, as in the example
EVENTS = 16
PAUSE_SECONDS = 0.05
AT_ONCE = 12  # programs; so few that no host is slow to answer another
# More than `retention_s`, 60, and any margin for clocks.
WAIT_SECONDS = 74.0


class Program:
    """A program and what its client got."""

    def __init__(self, number: int) -> None:
        self.name = f"{number:02x}{os.urandom(6).hex()}"
        self.spent = 0
        self.turns = 0
        self.told_402_at = 0
        self.late = False  # has a turn that is not whole


async def play(rig, program) -> int:
    """Sends turns while the budget holds one more; returns their number."""
    while program.spent + MOST_TOKENS <= BUDGET and program.turns < 40:
        host = rig.hosts[program.turns % len(rig.hosts)]
        _, answer = await rig.request(
            host,
            "POST",
            "/read/a",
            body=b"read this cheque " + program.name.encode(),
            deadline_ms=4000,
            program_id=program.name,
            session_id=program.name,
            program_deadline_ms=60000,
            token_budget=BUDGET,
            token_count=f"200,{MOST_TOKENS}",
            prompt_prefix=f"5c1e07a2:100,{program.name}:100",
            model="m",
        )
        program.spent += answer.body.count(b"data:") * rig_lib.CHUNK_TOKENS
        program.turns += 1
        if answer.status == 402:
            program.told_402_at = program.spent
            break
        whole = answer.status == 200 and answer.complete
        if not whole and answer.status not in (429, 503):
            program.late = True
        await asyncio.sleep(PAUSE_SECONDS)
    return program.turns


async def case(rig, trouble) -> bool:
    """Plays the case; returns whether the rule held."""
    await rig.start(hosts=3, llm=8)
    for server in rig.servers:
        server.events, server.work = EVENTS, 0.01
    if trouble:
        lost = rig.hosts.pop(0)
        lost.send(signal.SIGKILL)
        await asyncio.sleep(WAIT_SECONDS)
    programs = [Program(n) for n in range(PROGRAMS)]
    requests = 0
    for start in range(0, PROGRAMS, AT_ONCE):
        batch = programs[start : start + AT_ONCE]
        requests += sum(await asyncio.gather(*(play(rig, p) for p in batch)))
    denied = [p for p in programs if p.told_402_at and not p.late]
    for p in programs:
        rig.record.write(
            "program",
            id=p.name,
            turns=p.turns,
            spent=p.spent,
            told_402_at=p.told_402_at or "-",
            broken_turn=p.late,
        )
    bound = 5 + requests / 500
    rig.record.write(
        "count", requests=requests, denied=len(denied), bound=bound
    )
    return len(denied) <= bound


rig_lib.main(case, os.path.dirname(os.path.abspath(__file__)))
