"""Exchange of load reports between entry hosts.

A host sees only its own calls, and targets report their load late and at a
cost. So each host adds the number of its calls at each target to the
requests and responses that hosts exchange anyway. A report expires quickly;
hosts without a recent report are assumed to have as many calls as the average
of the others: of those that this host has asked, if any, since a host that is
heard without being asked is likely to be a busy one (see `load_inquiries`).
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import json

from endivepier import timers as timers_lib

# Age at which a report expires: calls last some tenths of a second.
FRESH_SECONDS = 0.5
REUSE_SECONDS = 0.02  # how long the encoded report and the sums are cached
MAX_REPORT_BYTES = 8192  # below the limit on the size of a header
MAX_CALLS = 1_000_000  # of one host at one target
MAX_UNKNOWN_REPORTS = 100  # more than there are hosts, until expired ones go
MAX_UNLISTED_ENTRIES = 10_000  # in all reports of hosts that are not listed


@dataclasses.dataclass(slots=True)
class Report:
    """The last report of another host.

    Attributes:
        encoded: the report as received.
        received_at: when it was last received, monotonic seconds.
        running: running calls by the target's incarnation.
        is_listed: whether the host was listed when it was received.
        asked_at: when the host last replied to a request for it, monotonic
            seconds.
    """

    encoded: bytes
    received_at: float
    running: dict[str, int]
    is_listed: bool
    asked_at: float = float("-inf")

    @property
    def unlisted_entries(self) -> int:
        """What it counts against `MAX_UNLISTED_ENTRIES`."""
        return 0 if self.is_listed else 1 + len(self.running)


class LoadReports:
    """The load reports of all other hosts, and this host's own.

    Attributes:
        host_count: number of entry hosts, this one included.
    """

    def __init__(self, timers: timers_lib.Timers) -> None:
        self.host_count = 1
        self._timers = timers
        self._get_running: Callable[[], dict[str, int]] = dict
        self._reports: dict[str, Report] = {}
        self._unlisted_entries = 0
        self._encoded = b""
        self._encoded_at = float("-inf")
        self._sums: dict[str, float] = {}
        self._summed_at = float("-inf")

    def set_source(self, get_running: Callable[[], dict[str, int]]) -> None:
        """Sets the function that returns this host's calls by incarnation."""
        self._get_running = get_running

    def encode(self) -> bytes:
        """Returns this host's report; empty if it is too long."""
        now = self._timers.now()
        if now - self._encoded_at > REUSE_SECONDS:
            document = json.dumps(
                self._get_running(), separators=(",", ":")
            ).encode()
            self._encoded = document
            if len(document) > MAX_REPORT_BYTES:
                self._encoded = b""
            self._encoded_at = now
        return self._encoded

    def receive(
        self, host: str, encoded: bytes, *, is_listed: bool = True
    ) -> None:
        """Stores a report of another host.

        Args:
            host: name of the host.
            encoded: the report.
            is_listed: whether the host is listed; others may not exist.

        Raises:
            ValueError: the report is malformed, or hosts that are not listed
                report too much.
        """
        now = self._timers.now()
        previous = self._reports.get(host)
        if previous is not None and previous.encoded == encoded:
            previous.received_at = now
            return
        if len(encoded) > MAX_REPORT_BYTES:
            raise ValueError(
                f"load report of host {host!r} has {len(encoded)} bytes"
            )
        document = json.loads(encoded)
        if not isinstance(document, dict):
            raise ValueError(f"load report of host {host!r} is no JSON object")
        if not all(type(count) is int for count in document.values()):
            raise ValueError(
                f"load report of host {host!r} has a count that is no integer"
            )
        if not all(0 <= count <= MAX_CALLS for count in document.values()):
            raise ValueError(
                f"load report of host {host!r} has a count that is not 0 to "
                f"{MAX_CALLS}"
            )
        report = Report(encoded, now, dict(document), is_listed)
        if previous is not None:
            report.asked_at = previous.asked_at
        self._drop(host)
        if not self._has_space(report):
            self._update_sums(now)  # drops the expired ones
            if not self._has_space(report):
                raise ValueError(
                    f"load reports of unlisted hosts have more than "
                    f"{MAX_UNLISTED_ENTRIES} entries with that of host {host!r}"
                )
        self._reports[host] = report
        self._unlisted_entries += report.unlisted_entries
        self._summed_at = float("-inf")
        if len(self._reports) > self.host_count + MAX_UNKNOWN_REPORTS:
            self._update_sums(now)  # drops the expired ones

    def is_recent(self, host: str) -> bool:
        """Returns whether a report of a host has not expired."""
        report = self._reports.get(host)
        if report is None:
            return False
        return self._timers.now() - report.received_at <= FRESH_SECONDS

    def note_asked(self, host: str) -> None:
        """Notes that a host has just sent its report since it was asked."""
        report = self._reports.get(host)
        if report is not None:
            report.asked_at = self._timers.now()
            self._summed_at = float("-inf")

    def _has_space(self, report: Report) -> bool:
        added = report.unlisted_entries
        return not added or (
            self._unlisted_entries + added <= MAX_UNLISTED_ENTRIES
        )

    def _drop(self, host: str) -> None:
        report = self._reports.pop(host, None)
        if report is not None:
            self._unlisted_entries -= report.unlisted_entries

    def calls_from_others(self, incarnation: str) -> float | None:
        """Returns an estimate of the calls of other hosts at a target.

        None if there is no recent report of any other host.
        """
        now = self._timers.now()
        if now - self._summed_at > REUSE_SECONDS:
            self._update_sums(now)
        if not self._reports:
            return None
        return self._sums.get(incarnation, 0.0)

    def _update_sums(self, now: float) -> None:
        sums: dict[str, float] = {}
        asked: dict[str, float] = {}  # sums of those that were asked
        reporting_count = 0
        asked_count = 0
        for host, report in list(self._reports.items()):
            if now - report.received_at > FRESH_SECONDS:
                self._drop(host)
                continue
            reporting_count += 1
            for incarnation, running in report.running.items():
                sums[incarnation] = sums.get(incarnation, 0.0) + running
            if now - report.asked_at <= FRESH_SECONDS:
                asked_count += 1
                for incarnation, running in report.running.items():
                    asked[incarnation] = asked.get(incarnation, 0.0) + running
        silent_count = max(self.host_count - 1 - reporting_count, 0)
        if silent_count and reporting_count:
            sample = asked if asked_count else dict(sums)
            scale = silent_count / (asked_count or reporting_count)
            for incarnation, calls in sample.items():
                sums[incarnation] += calls * scale
        self._sums = sums
        self._summed_at = now
