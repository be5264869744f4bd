"""How many calls other entry hosts have at each target.

Targets tell of their load late and at a price, and a host sees only its own
calls. So hosts tell each other what they have under way, along with the
questions that they ask each other anyway. A report counts for a moment only;
hosts that were not heard of lately are taken to be like those that were.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import json

from endivepier import timers as timers_lib

# How long a report counts: calls last some tenths of a second.
FRESH_SECONDS = 0.5
REUSE_SECONDS = 0.02  # how long an encoded or a summed-up report is used
MAX_REPORT_BYTES = 8192  # below what a header may have


@dataclasses.dataclass(slots=True)
class Report:
    """What one host told last.

    Attributes:
        encoded: as it came.
        at: when, monotonic seconds.
        running: calls under way by the target's incarnation.
    """

    encoded: bytes
    at: float
    running: dict[str, int]


class LoadReports:
    """The reports of all other hosts, and this host's own.

    Attributes:
        hosts: how many hosts there are, this one included.
    """

    def __init__(self, timers: timers_lib.Timers) -> None:
        self.host_count = 1
        self._timers = timers
        self._own: Callable[[], dict[str, int]] = dict
        self._reports: dict[str, Report] = {}
        self._encoded = b""
        self._encoded_at = float("-inf")
        self._sums: dict[str, float] = {}
        self._summed_at = float("-inf")

    def set_source(self, own: Callable[[], dict[str, int]]) -> None:
        """Has `own` return this host's calls under way by incarnation."""
        self._own = own

    def encode(self) -> bytes:
        """Returns this host's report; empty if it would be too long."""
        now = self._timers.now()
        if now - self._encoded_at > REUSE_SECONDS:
            document = json.dumps(self._own(), separators=(",", ":")).encode()
            self._encoded = document
            if len(document) > MAX_REPORT_BYTES:
                self._encoded = b""
            self._encoded_at = now
        return self._encoded

    def receive(self, host: str, encoded: bytes) -> None:
        """Takes in a report of another host.

        Raises:
            ValueError: it is none.
        """
        now = self._timers.now()
        before = self._reports.get(host)
        if before is not None and before.encoded == encoded:
            before.at = now
            return
        document = json.loads(encoded)
        if not isinstance(document, dict):
            raise ValueError(f"the report of host {host!r} is no JSON object")
        running = {key: int(count) for key, count in document.items()}
        self._reports[host] = Report(encoded, now, running)
        self._summed_at = float("-inf")

    def calls_from_others(self, incarnation: str) -> float | None:
        """Returns about how many calls other hosts have at a target.

        None if no other host was heard of lately.
        """
        now = self._timers.now()
        if now - self._summed_at > REUSE_SECONDS:
            self._sum(now)
        if not self._reports:
            return None
        return self._sums.get(incarnation, 0.0)

    def _sum(self, now: float) -> None:
        sums: dict[str, float] = {}
        heard = 0
        for host, report in list(self._reports.items()):
            if now - report.at > FRESH_SECONDS:
                del self._reports[host]
                continue
            heard += 1
            for incarnation, running in report.running.items():
                sums[incarnation] = sums.get(incarnation, 0.0) + running
        others = max(self.host_count - 1, heard)
        if 0 < heard < others:
            scale = others / heard
            sums = {key: running * scale for key, running in sums.items()}
        self._sums = sums
        self._summed_at = now
