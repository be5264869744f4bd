"""A long conversation can't be continued once its host has started again."""

from __future__ import annotations

import sys
import time

from harness import client
from harness import fleet as fleet_lib

TURNS = 88
INPUT_BYTES = 12_600  # of one turn; 88 of them have some 260,000 tokens
LAST_INPUT_BYTES = 2_000
BYTES_PER_TOKEN = 4.3
BUDGET = 4000
MOST_TOKENS = 64
TRIES = 5
FIRST_TURNS = 10
CONTACT_SECONDS = 3.0


def play(fleet: fleet_lib.Fleet, trouble: bool) -> str:
    """Returns how the rule was broken, or nothing."""
    fleet.declare()
    for _ in range(3):
        fleet.start_server(fleet_lib.ENGINES, slots=24)
    fleet.start_entries(3)
    first, *others = fleet.entries
    program = fleet_lib.new_id()
    previous = ""
    for number in range(1, TURNS + 1):
        attempt, answer = send_turn(fleet, first, program, number, previous)
        if number % 22 == 0:
            fleet.say(f"client: {number} turns were answered whole")
        if not (answer.status == 200 and answer.is_complete):
            raise fleet_lib.CaseFailedToRun(f"turn {number}: {answer}")
        previous = attempt
    tried = [first]
    if trouble:
        fleet.kill_entry(first)
        fleet.start_entry(first, is_first_start=False)
        fleet_lib.wait_until(first.is_ready, first.name)
        fleet.say(f"platform: {first.name} is ready again")
        time.sleep(CONTACT_SECONDS + 1.0)
        tried = [first, *others]
    reached_first = sum(
        send_first_turn(fleet, entry)
        for entry in (fleet.entries * FIRST_TURNS)[:FIRST_TURNS]
    )
    fleet.say(f"client: {reached_first} of {FIRST_TURNS} first turns reached")
    if reached_first < 0.9 * FIRST_TURNS:
        raise fleet_lib.CaseFailedToRun("first turns reach no server")
    for number in range(TRIES):
        entry = tried[number % len(tried)]
        attempt, answer = send_turn(fleet, entry, program, TURNS + 1, previous)
        if has_run(fleet, attempt):
            return ""
        time.sleep(0.3)
    return (
        f"LOST: turn {previous} was answered whole, and in {TRIES} tries at"
        " hosts in touch no turn that names it reached a server"
    )


def send_turn(
    fleet: fleet_lib.Fleet,
    entry: fleet_lib.Entry,
    program: str,
    number: int,
    previous: str,
) -> tuple[str, client.Answer]:
    """Sends a turn with a new part of the conversation."""
    attempt = fleet_lib.new_id()
    size = INPUT_BYTES if number <= TURNS else LAST_INPUT_BYTES
    text = f"turn {number}: ".encode() + b"dossier " * (size // 8)
    prompt = INPUT_BYTES * min(number, TURNS) + LAST_INPUT_BYTES
    answer = client.ask(
        entry.clients,
        "POST",
        f"{fleet_lib.CHAT}4b",
        fleet_lib.turn_headers(
            program,
            attempt,
            budget=BUDGET,
            most=MOST_TOKENS,
            previous=previous,
            prompt_tokens=int(prompt / BYTES_PER_TOKEN),
        ),
        text + b"<events=4 ms=20>",
    )
    say = fleet.note if number <= TURNS else fleet.say
    say(
        f"client: turn {number}, attempt {attempt}, after {previous or '-'}, at"
        f" {entry.name}: {answer}"
    )
    return attempt, answer


def send_first_turn(fleet: fleet_lib.Fleet, entry: fleet_lib.Entry) -> bool:
    """Begins another program; returns whether it reached a server."""
    attempt = fleet_lib.new_id()
    headers = fleet_lib.turn_headers(
        fleet_lib.new_id(), attempt, budget=BUDGET, most=MOST_TOKENS
    )
    path = f"{fleet_lib.CHAT}4b"
    body = b"a first turn <events=4 ms=20>"
    answer = client.ask(entry.clients, "POST", path, headers, body)
    fleet.note(f"client: first turn {attempt} at {entry.name}: {answer}")
    return has_run(fleet, attempt)


def has_run(fleet: fleet_lib.Fleet, attempt: str) -> bool:
    """Returns whether a server has begun to run an attempt."""
    return any(run["attempt"] == attempt for run in fleet.runs())


if __name__ == "__main__":
    sys.exit(fleet_lib.run_case(__file__, play))
