"""The platform's object store in memory."""

from __future__ import annotations

import dataclasses

from endivepier import errors
from endivepier import timers as timers_lib


@dataclasses.dataclass(slots=True)
class ObjectFaults:
    """Faults that are injected now; the fields may change at any time.

    Attributes:
        outage: every call fails with `errors.Unavailable`.
        seconds: duration of a call.
    """

    outage: bool = False
    seconds: float = 0.008


class MemoryObjects:
    """A `storage.ports.Objects` in memory.

    Attributes:
        faults: the faults to inject.
        puts: number of `put` calls that reached the store.
        gets: number of `get` calls that reached the store.
    """

    def __init__(self, timers: timers_lib.Timers) -> None:
        self.faults = ObjectFaults()
        self.puts = 0
        self.gets = 0
        self._timers = timers
        self._bodies: dict[str, bytes] = {}

    def put(self, name: str, body: bytes) -> None:
        """Stores a body; see `storage.ports.Objects.put`."""
        self._simulate_call()
        self.puts += 1
        if self._bodies.setdefault(name, body) != body:
            raise errors.ConditionFailed(name)

    def get(self, name: str) -> bytes | None:
        """Returns a body; see `storage.ports.Objects.get`."""
        self._simulate_call()
        self.gets += 1
        return self._bodies.get(name)

    def _simulate_call(self) -> None:
        if self.faults.outage:
            raise errors.Unavailable("the object store is down")
        self._timers.sleep(self.faults.seconds)
        if self.faults.outage:
            raise errors.Unavailable("the object store is down")
