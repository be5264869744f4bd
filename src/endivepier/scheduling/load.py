"""Estimates the load of other targets for the router.

The load reports in heartbeats are seconds old. The requests that this process
has sent to a target since its last report are added, so that not all of a
burst goes to the target that was idle at that report.
"""

from __future__ import annotations

from endivepier.membership import members


class _SentSinceReport:
    """The number of requests sent to a target since its last report."""

    def __init__(self, report: members.Member) -> None:
        self.report = report
        self.count = 0


class LoadEstimator:
    """Combines load reports with the requests sent since then."""

    def __init__(self) -> None:
        self._sent: dict[str, _SentSinceReport] = {}

    def record_sent(self, member: members.Member) -> None:
        """Records that a request is sent to a target."""
        self._since_report(member).count += 1

    def wait_seconds(self, member: members.Member) -> float:
        """Returns the estimated wait for a slot at the target, in seconds."""
        busy = member.running + member.queued + self._since_report(member).count
        ahead = busy - member.slots + 1
        if member.slots == 0 or ahead <= 0:
            return 0.0
        return ahead * member.service_seconds / member.slots

    def busy_share(self, member: members.Member) -> float:
        """Returns the fraction of the target's slots in use, at most 1.

        Waiting requests count as if they were using a slot.
        """
        busy = member.running + member.queued + self._since_report(member).count
        return min(1.0, busy / max(1, member.slots))

    def _since_report(self, member: members.Member) -> _SentSinceReport:
        entry = self._sent.get(member.address)
        if entry is None or entry.report is not member:
            entry = _SentSinceReport(member)
            self._sent[member.address] = entry
        return entry
