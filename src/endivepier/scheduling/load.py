"""What a router believes of the load of other targets.

Heartbeats tell it late. What this process has sent to a target since the
last heartbeat came from it is counted on top, so that a burst does not all go
to the target that looked idle a moment ago.
"""

from __future__ import annotations

from endivepier.membership import members


class _Sent:
    """What was sent to a target since its last report."""

    def __init__(self, report: members.Member) -> None:
        self.report = report
        self.count = 0


class Loads:
    """Reports, corrected by own dispatches."""

    def __init__(self) -> None:
        self._sent: dict[str, _Sent] = {}

    def sent(self, member: members.Member) -> None:
        """Notes that a request goes to a target."""
        self._since(member).count += 1

    def wait_seconds(self, member: members.Member) -> float:
        """Returns about how long a request waits for a slot there."""
        busy = member.running + member.queued + self._since(member).count
        before = busy - member.slots + 1
        if member.slots == 0 or before <= 0:
            return 0.0
        return before * member.service_seconds / member.slots

    def busy_share(self, member: members.Member) -> float:
        """Returns the share of the target's slots that are taken, up to 1."""
        busy = member.running + member.queued + self._since(member).count
        return min(1.0, busy / max(1, member.slots))

    def _since(self, member: members.Member) -> _Sent:
        found = self._sent.get(member.address)
        if found is None or found.report is not member:
            found = _Sent(member)
            self._sent[member.address] = found
        return found
