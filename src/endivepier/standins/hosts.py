"""A list of hosts that shows changes only after a lag."""

from __future__ import annotations

from collections.abc import Sequence

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.storage import ports

DEFAULT_LAG_SECONDS = 2.0


class MemoryHostList:
    """A `storage.ports.HostList` in memory."""

    def __init__(
        self,
        timers: timers_lib.Timers,
        *,
        lag_seconds: float = DEFAULT_LAG_SECONDS,
    ) -> None:
        self.outage = False
        self._timers = timers
        self._lag = lag_seconds
        self._shown: dict[str, ports.Host] = {}

    def put(self, host: ports.Host, *, at_once: bool = False) -> None:
        """Adds or changes a host; the list shows it after the lag."""
        if at_once:
            self._shown[host.address] = host
            return
        self._timers.after(
            self._lag, lambda: self._shown.__setitem__(host.address, host)
        )

    def remove(self, address: str) -> None:
        """Removes a host; the list shows it for the lag."""
        self._timers.after(self._lag, lambda: self._shown.pop(address, None))

    def hosts(self) -> Sequence[ports.Host]:
        """Returns the list; see `storage.ports.HostList.hosts`."""
        if self.outage:
            raise errors.Unavailable("the host list is down")
        return list(self._shown.values())
