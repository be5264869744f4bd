"""Targets that said in a response that they are about to stop.

A target's row in the store may say so later, or never, and the store may be
unreachable. What a response says therefore outlasts any row of the same run of
the target. Hosts pass on what they learned with the messages that they exchange
anyway.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import eliot

from endivepier import timers as timers_lib
from endivepier.gateway.hosts import statements
from endivepier.internal import bounded_map
from endivepier.telemetry import metrics as metrics_lib

MAX_DEPARTURES = 10_000
# How long a departure is passed on, and how many at most in one message: hosts
# exchange messages many times a second.
SHARE_SECONDS = 30.0
MAX_SHARED = 50  # some 2 kB


class Departures:
    """The incarnations of targets that are known to be leaving."""

    def __init__(
        self, timers: timers_lib.Timers, metrics: metrics_lib.Metrics
    ) -> None:
        self._timers = timers
        self._metrics = metrics
        self._known: bounded_map.BoundedMap[None] = bounded_map.BoundedMap(
            MAX_DEPARTURES
        )
        # The latest departures, with the time of learning them.
        self._recent: collections.deque[tuple[float, str]] = collections.deque(
            maxlen=MAX_SHARED
        )
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls `callback` after each new departure."""
        self._listeners.append(callback)

    def __contains__(self, incarnation: str) -> bool:
        """Returns whether this run of a target is known to be leaving."""
        return incarnation in self._known

    def add(self, incarnation: str, *, source: str) -> None:
        """Records that a run of a target is leaving.

        Args:
            incarnation: name and start time of the target.
            source: who said so: "response", or the name of a peer.
        """
        if incarnation in self._known:
            return
        self._known.put(incarnation, None)
        self._recent.append((self._timers.now(), incarnation))
        self._metrics.count(
            "departures", source="response" if source == "response" else "peer"
        )
        eliot.log_message("target.leaving", target=incarnation, source=source)
        for callback in self._listeners:
            callback()

    def encode(self) -> bytes:
        """Returns the recent departures for a message to a peer."""
        oldest = self._timers.now() - SHARE_SECONDS
        while self._recent and self._recent[0][0] < oldest:
            self._recent.popleft()
        return statements.SEPARATOR.join(
            name for _, name in self._recent
        ).encode()

    def receive(self, host: str, encoded: bytes) -> None:
        """Records the departures in a message of a peer.

        Raises:
            ValueError: the message is malformed.
        """
        for (incarnation,) in statements.split(encoded, 1):
            self.add(incarnation, source=host)
