"""The platform's host list in memory, which shows changes after a lag."""

from __future__ import annotations

from collections.abc import Sequence

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.storage import ports

DEFAULT_LAG_SECONDS = 2.0


class MemoryHostList:
    """A `storage.ports.HostList` in memory.

    Attributes:
        outage: whether reads fail with `errors.Unavailable`.
    """

    def __init__(
        self,
        timers: timers_lib.Timers,
        *,
        lag_seconds: float = DEFAULT_LAG_SECONDS,
    ) -> None:
        self.outage = False
        self._timers = timers
        self._lag_seconds = lag_seconds
        self._hosts: dict[str, ports.Host] = {}

    def put(self, host: ports.Host, *, at_once: bool = False) -> None:
        """Adds or replaces a host, after the lag unless `at_once`."""
        if at_once:
            self._hosts[host.address] = host
            return
        self._timers.after(
            self._lag_seconds,
            lambda: self._hosts.__setitem__(host.address, host),
        )

    def remove(self, address: str) -> None:
        """Removes a host after the lag."""
        self._timers.after(
            self._lag_seconds, lambda: self._hosts.pop(address, None)
        )

    def hosts(self) -> Sequence[ports.Host]:
        """Returns the list; see `storage.ports.HostList.hosts`."""
        if self.outage:
            raise errors.Unavailable("the host list is down")
        return list(self._hosts.values())
