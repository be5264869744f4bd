"""A restarted host settles running turns with the results of other ones."""

from __future__ import annotations

import collections
import sys
import threading
import time

from harness import client
from harness import fleet as fleet_lib

PROGRAMS = 9  # that loop without end, in parallel sub-agents
SUB_AGENTS = 3
BUDGET = 1088
MOST_TOKENS = 400  # of a turn of theirs
EVENTS = MOST_TOKENS // fleet_lib.EVENT_TOKENS
OTHERS = 24  # programs with one turn each, which run during the kill
OTHER_EVENTS = 24
OTHER_EVENT_MS = 140
PAUSE_SECONDS = 3.5  # of the looping programs, after their first turn
TOOL_SECONDS = 0.2


class Case:
    """The programs and what they got."""

    def __init__(self, fleet: fleet_lib.Fleet, entry: fleet_lib.Entry) -> None:
        self._fleet = fleet
        self._entry = entry
        self._lock = threading.Lock()
        self.tokens: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()

    def turn(
        self, program: str, budget: int, most: int, events: int, pause: int
    ) -> client.Answer:
        """Sends a turn and counts the tokens that it brings."""
        attempt = fleet_lib.new_id()
        answer = client.ask(
            self._entry.clients,
            "POST",
            f"{fleet_lib.READ}4b",
            fleet_lib.turn_headers(program, attempt, budget=budget, most=most),
            f"{attempt} <events={events} ms={pause}>".encode(),
        )
        tokens = answer.body.count(b"\n\n") * fleet_lib.EVENT_TOKENS
        if answer.status != 200:
            tokens = 0
        with self._lock:
            self.tokens[program] += tokens
            self.refused[program] += answer.status == 402
        self._fleet.note(
            f"client: program {program}, attempt {attempt}: {answer};"
            f" {tokens} tokens"
        )
        return answer

    def loop(self, program: str) -> None:
        """Runs sub-agents again and again until the budget is spent."""
        until = time.monotonic() + 35.0
        while time.monotonic() < until and not self.refused[program]:
            tasks = [
                threading.Thread(
                    target=self.turn,
                    args=(program, BUDGET, MOST_TOKENS, EVENTS, 25),
                )
                for _ in range(SUB_AGENTS)
            ]
            run_all(tasks)
            time.sleep(TOOL_SECONDS)


def run_all(tasks: list[threading.Thread]) -> None:
    """Runs threads and waits for their end."""
    for task in tasks:
        task.start()
    for task in tasks:
        task.join()


def play(fleet: fleet_lib.Fleet, trouble: bool) -> str:
    """Returns how the rule was broken, or nothing."""
    fleet.declare()
    for _ in range(4):
        fleet.start_server(fleet_lib.ENGINES, slots=24)
    fleet.start_entries(3)
    entry, killed, _ = fleet.entries
    case = Case(fleet, entry)
    looping = [fleet_lib.new_id() for _ in range(PROGRAMS)]
    fleet.say(f"client: {PROGRAMS} programs begin, with one turn each")
    run_all(
        [
            threading.Thread(target=case.turn, args=(name, BUDGET, 40, 10, 25))
            for name in looping
        ]
    )
    time.sleep(PAUSE_SECONDS)
    others = [
        threading.Thread(
            target=case.turn,
            args=(
                fleet_lib.new_id(),
                BUDGET,
                136,
                OTHER_EVENTS,
                OTHER_EVENT_MS,
            ),
        )
        for _ in range(OTHERS)
    ]
    for task in others:
        task.start()
    fleet.say(f"client: {OTHERS} other programs have a turn each")
    time.sleep(0.5)
    if trouble:
        fleet.kill_entry(killed)
        fleet.start_entry(killed, is_first_start=False)
        fleet_lib.wait_until(killed.is_ready, killed.name)
        fleet.say(f"platform: {killed.name} is ready again")
    time.sleep(0.3)
    fleet.say("client: the programs go on, without end")
    run_all(
        [threading.Thread(target=case.loop, args=(name,)) for name in looping]
    )
    for task in others:
        task.join()
    over = []
    for name in looping:
        most = BUDGET + MOST_TOKENS
        fleet.say(
            f"client: program {name} got {case.tokens[name]} tokens;"
            f" budget {BUDGET}, at most {most};"
            f" refused with 402: {case.refused[name]}"
        )
        if case.tokens[name] > most:
            over.append(f"{name}: {case.tokens[name]}")
    if not over:
        return ""
    return f"BUDGET: tokens over {BUDGET + MOST_TOKENS}: {', '.join(over)}"


if __name__ == "__main__":
    sys.exit(fleet_lib.run_case(__file__, play))
