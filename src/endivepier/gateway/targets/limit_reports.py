"""Tells other hosts which targets sent more than a limit allows.

Each host would otherwise receive a part of the flood before it avoids the
target. A host passes on only what it saw itself, so that reports end. Only a
process that has just started is told all: it knows no more what its host saw.
"""

from __future__ import annotations

from collections.abc import Callable

import eliot

from endivepier import timers as timers_lib
from endivepier.gateway.hosts import statements
from endivepier.internal import bounded_map
from endivepier.internal import quantities

MAX_REPORTED = 50  # targets in one message, some 2 kB
MAX_TARGETS = 10_000  # of which other hosts reported something

Avoid = Callable[[str, float], None]


class LimitReports:
    """The targets that exceeded a limit at this host lately."""

    def __init__(self, timers: timers_lib.Timers) -> None:
        self._timers = timers
        self._until: dict[str, float] = {}
        self._reported_until: bounded_map.BoundedMap[float] = (  # by peers
            bounded_map.BoundedMap(MAX_TARGETS)
        )
        self._avoid: Avoid | None = None

    def set_sink(self, avoid: Avoid) -> None:
        """Sets the function that avoids an incarnation for some seconds."""
        self._avoid = avoid

    def add(self, incarnation: str, seconds: float) -> None:
        """Records a target that exceeded a limit, to be avoided.

        Args:
            incarnation: name and start time of the target.
            seconds: how long to avoid it.
        """
        self._until[incarnation] = self._timers.now() + seconds

    def encode(self) -> bytes:
        """Returns what to tell a peer; empty if there is nothing."""
        now = self._timers.now()
        self._until = _current(self._until, now)
        return _encode(self._until, now)

    def encode_all(self) -> bytes:
        """Returns what to tell a process that has just started."""
        now = self._timers.now()
        reported = dict(self._reported_until.items())
        return _encode(_current(reported | self._until, now), now)

    def receive(self, host: str, encoded: bytes) -> None:
        """Avoids the targets that a peer reports.

        Raises:
            ValueError: the report is malformed.
        """
        for incarnation, seconds in statements.split(encoded, 2):
            self._receive_one(host, incarnation, quantities.parse(seconds))

    def _receive_one(self, host: str, incarnation: str, seconds: float) -> None:
        now = self._timers.now()
        is_new = (self._reported_until.get(incarnation) or now) <= now
        self._reported_until.put(incarnation, now + seconds)
        if self._avoid is not None:
            self._avoid(incarnation, seconds)
        if is_new:
            eliot.log_message(
                "target.limit_reported",
                target=incarnation,
                peer=host,
                seconds=seconds,
            )


def _current(until: dict[str, float], now: float) -> dict[str, float]:
    """Returns the entries whose time has not passed."""
    return {name: end for name, end in until.items() if end > now}


def _encode(until: dict[str, float], now: float) -> bytes:
    latest = list(until.items())[-MAX_REPORTED:]
    return statements.join(
        statements.item(incarnation, f"{end - now:.2f}")
        for incarnation, end in latest
    )
