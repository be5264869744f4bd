"""A host that has not heard of a new one grants a budget that is spent."""

from __future__ import annotations

import collections
import sys
import threading
import time

from harness import client
from harness import fleet as fleet_lib

sys.path[:0] = [
    str(fleet_lib.ROOT / "src"),
    str(fleet_lib.ROOT / "target/deps"),
]
from endivepier.internal import rendezvous  # noqa: E402

PROGRAMS = 24
LINES = 3  # turns of a program at a time
BUDGET = 544
MOST_TOKENS = 68
EVENTS = MOST_TOKENS // fleet_lib.EVENT_TOKENS
EVENT_MS = 5
SILENT_SECONDS = 9.0
JOIN_SECONDS = 3.6  # from the new host's start until programs begin
TRIES_AFTER_402 = 2
TRY_GAP_SECONDS = 0.15  # between the programs that come to the old host


class Case:
    """The programs and what they got."""

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self._fleet = fleet
        self._lock = threading.Lock()
        self.tokens: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()

    def turn(self, program: str, entry: fleet_lib.Entry) -> client.Answer:
        """Sends a turn and counts the tokens that it brings."""
        attempt = fleet_lib.new_id()
        headers = fleet_lib.turn_headers(
            program, attempt, budget=BUDGET, most=MOST_TOKENS
        )
        body = f"{attempt} <events={EVENTS} ms={EVENT_MS}>".encode()
        path = f"{fleet_lib.READ}4b"
        answer = client.ask(entry.clients, "POST", path, headers, body)
        tokens = 0
        if answer.status == 200:
            tokens = answer.body.count(b"\n\n") * fleet_lib.EVENT_TOKENS
        with self._lock:
            self.tokens[program] += tokens
            self.refused[program] += answer.status == 402
        self._fleet.note(
            f"client: program {program}, attempt {attempt} at {entry.name}:"
            f" {answer}; {tokens} tokens"
        )
        return answer

    def turns(self, program: str, entry: fleet_lib.Entry, count: int) -> None:
        """Sends several turns of a program at once."""
        run_all(
            [
                threading.Thread(target=self.turn, args=(program, entry))
                for _ in range(count)
            ]
        )

    def loop(self, program: str, entry: fleet_lib.Entry) -> None:
        """Runs turns again and again until the budget is spent."""
        until = time.monotonic() + 10.0
        while time.monotonic() < until and not self.refused[program]:
            self.turns(program, entry, LINES)


def run_all(tasks: list[threading.Thread]) -> None:
    """Runs threads and waits for their end."""
    for task in tasks:
        task.start()
    for task in tasks:
        task.join()


def choose_programs(first: str, second: str, others: list[str]) -> list[str]:
    """Returns ids of programs whose first hosts by hashing are these two."""
    names = [first, second, *others]
    programs = []
    while len(programs) < PROGRAMS:
        program = fleet_lib.new_id()
        if rendezvous.rank(program, names, 2) == [first, second]:
            programs.append(program)
    return programs


def play(fleet: fleet_lib.Fleet, trouble: bool) -> str:
    """Returns how the rule was broken, or nothing."""
    fleet.declare()
    for _ in range(4):
        fleet.start_server(fleet_lib.ENGINES, slots=24)
    fleet.start_entries(4, proxied=0)
    refused, entry, *others = fleet.entries
    assert refused.store is not None
    new = fleet.add_entry()
    case = Case(fleet)
    programs = choose_programs(
        new.name, refused.name, [entry.name, *(other.name for other in others)]
    )
    silent_at = time.monotonic()
    if trouble:
        fleet.say(
            f"store: no response to {refused.name} for {SILENT_SECONDS} s"
        )
        refused.store.be_silent()
        threading.Timer(SILENT_SECONDS, refused.store.go_on).start()
    fleet.say(f"platform: {new.name} is added")
    fleet.start_entry(new, is_first_start=False)
    fleet_lib.wait_until(new.is_ready, new.name)
    time.sleep(max(silent_at + JOIN_SECONDS - time.monotonic(), 0.0))
    fleet.say("client: the programs begin, without end")
    run_all(
        [
            threading.Thread(target=case.loop, args=(name, entry))
            for name in programs
        ]
    )
    spent = {name: case.tokens[name] for name in programs}
    fleet.say(
        f"client: the programs got {min(spent.values())} to"
        f" {max(spent.values())} tokens of {BUDGET}, and then 402 at"
        f" {entry.name}; each sends {TRIES_AFTER_402} more turns, at"
        f" {refused.name}"
    )
    tries = []
    for name in programs:
        task = threading.Thread(
            target=case.turns, args=(name, refused, TRIES_AFTER_402)
        )
        task.start()
        tries.append(task)
        time.sleep(TRY_GAP_SECONDS)
    for task in tries:
        task.join()
    over = []
    for name in programs:
        fleet.say(f"client: program {name} got {case.tokens[name]} tokens")
        if case.tokens[name] > BUDGET + MOST_TOKENS:
            over.append(f"{name}: {case.tokens[name]}")
    if not over:
        return ""
    return f"BUDGET: tokens over {BUDGET + MOST_TOKENS}: {', '.join(over)}"


if __name__ == "__main__":
    sys.exit(fleet_lib.run_case(__file__, play))
