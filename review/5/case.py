"""A reader of the logs that pauses stops a whole entry host."""

from __future__ import annotations

import contextlib
import os
import sys
import threading
import time

from harness import client
from harness import fleet as fleet_lib

CLIENTS = 24
WARM_SECONDS = 4.0
PAUSE_SECONDS = 8.0
AFTER_SECONDS = 4.0
DEADLINE_MS = 1500
ROUTE_TIMEOUT_MS = 1500
LATE_MS = 500.0
READ_BYTES = 65_536


class Reader:
    """The platform's reader of an entry host's standard output."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._running = threading.Event()
        self._running.set()
        read_end, self.write_end = os.pipe()
        self._read_end = read_end
        threading.Thread(target=self._run, daemon=True).start()

    def pause(self) -> None:
        """Stops reading for now."""
        self._running.clear()

    def go_on(self) -> None:
        """Reads again."""
        self._running.set()

    def _run(self) -> None:
        with open(self._path, "ab") as file, contextlib.suppress(OSError):
            while data := os.read(self._read_end, READ_BYTES):
                file.write(data)
                self._running.wait()


class Case:
    """The clients, and what they were told."""

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self._fleet = fleet
        self._lock = threading.Lock()
        self._until = (
            time.monotonic() + WARM_SECONDS + PAUSE_SECONDS + AFTER_SECONDS
        )
        # By host: when each call was sent, and its time to a whole answer.
        self.calls: dict[str, list[tuple[float, float]]] = {}

    def run_client(self, number: int) -> None:
        """Sends status checks to one entry host, one after the other."""
        entry = self._fleet.entries[number % len(self._fleet.entries)]
        while time.monotonic() < self._until:
            attempt = fleet_lib.new_id()
            headers = fleet_lib.headers(attempt, DEADLINE_MS)
            sent_at = time.time()
            answer = client.ask(
                entry.clients, "GET", f"{fleet_lib.PING}2f", headers
            )
            ms = (time.time() - sent_at) * 1000
            if not answer.is_complete:
                ms = max(ms, 1e6)
            with self._lock:
                self.calls.setdefault(entry.name, []).append((sent_at, ms))
            self._fleet.note(
                f"client: call {attempt} at {entry.name}: {answer}, {ms:.0f} ms"
            )
            time.sleep(0.01)


def play(fleet: fleet_lib.Fleet, trouble: bool) -> str:
    """Returns how the rule was broken, or nothing."""
    fleet.declare(rate=4000.0, burst=4000.0)
    for _ in range(3):
        fleet.start_server(fleet_lib.PLAIN, slots=6, work_ms=39.0)
    reader = Reader(str(fleet.folder / "read.log"))
    fleet.start_entries(3, outputs={0: reader.write_end})
    case = Case(fleet)
    tasks = [
        threading.Thread(target=case.run_client, args=(number,))
        for number in range(CLIENTS)
    ]
    for task in tasks:
        task.start()
    time.sleep(WARM_SECONDS)
    paused_at = time.time()
    if trouble:
        fleet.say("platform: the reader of one host's logs pauses")
        reader.pause()
    time.sleep(PAUSE_SECONDS)
    reader.go_on()
    resumed_at = time.time()
    if trouble:
        fleet.say("platform: the reader goes on")
    for task in tasks:
        task.join()
    broken = ""
    for name, calls in sorted(case.calls.items()):
        during = [ms for at, ms in calls if paused_at <= at < resumed_at]
        at_timeout = [ms for ms in during if ms > ROUTE_TIMEOUT_MS]
        late = [ms for ms in at_timeout if ms > ROUTE_TIMEOUT_MS + LATE_MS]
        fleet.say(
            f"clients: {name}: {len(calls)} calls, {len(during)} of them in the"
            f" pause; {len(at_timeout)} unanswered at {ROUTE_TIMEOUT_MS} ms,"
            f" {len(late)} half a second later"
        )
        if len(late) > len(at_timeout) / 2:
            broken = (
                f"CONFIG: {len(late)} of {len(at_timeout)} calls at {name} were"
                " unanswered half a second after their route's timeout"
            )
    return broken


if __name__ == "__main__":
    sys.exit(fleet_lib.run_case(__file__, play))
