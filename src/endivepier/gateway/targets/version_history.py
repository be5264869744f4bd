"""Which software versions services lately had, as far as this host can know."""

from __future__ import annotations

from endivepier import timers as timers_lib
from endivepier.gateway import model


class VersionHistory:
    """Remembers removed versions, and since when none was missed."""

    def __init__(self, timers: timers_lib.Timers) -> None:
        self._timers = timers
        self._followed_since: float | None = None
        # When a target of a service and version was removed last.
        self._removed_at: dict[tuple[str, str], float] = {}

    def restart(self) -> None:
        """Records that versions may have been missed up to now."""
        self._followed_since = self._timers.now()

    def note_removed(self, target: model.Target) -> None:
        """Records that a target was removed, or replaced."""
        version = (target.service, target.software_version)
        self._removed_at[version] = self._timers.now()

    def covers(self, seconds: float) -> bool:
        """Returns whether no version was missed in the last seconds."""
        since = self._followed_since
        return since is not None and self._timers.now() - since >= seconds

    def removed(self, service: str, seconds: float) -> set[str]:
        """Returns the versions with a target removed in the last seconds."""
        now = self._timers.now()
        return {
            version
            for (name, version), removed_at in self._removed_at.items()
            if name == service and now - removed_at < seconds
        }
