"""Tells other hosts which targets sent more than a limit allows.

Each host would otherwise receive a part of the flood before it avoids the
target. A host passes on only what it saw itself, so that reports end.
"""

from __future__ import annotations

from collections.abc import Callable

import eliot

from endivepier import timers as timers_lib
from endivepier.internal import quantities

MAX_REPORTED = 50  # targets in one message, some 2 kB
SEPARATOR = ","
ASSIGN = "="

Avoid = Callable[[str, float], None]


class LimitReports:
    """The targets that exceeded a limit at this host lately."""

    def __init__(self, timers: timers_lib.Timers) -> None:
        self._timers = timers
        self._until: dict[str, float] = {}
        self._reported_until: dict[str, float] = {}  # by peers
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
        for incarnation, until in list(self._until.items()):
            if until <= now:
                del self._until[incarnation]
        latest = list(self._until.items())[-MAX_REPORTED:]
        return SEPARATOR.join(
            f"{incarnation}{ASSIGN}{until - now:.2f}"
            for incarnation, until in latest
        ).encode()

    def receive(self, host: str, encoded: bytes) -> None:
        """Avoids the targets that a peer reports.

        Raises:
            ValueError: the report is malformed.
        """
        for item in encoded.decode("latin-1").split(SEPARATOR):
            incarnation, _, seconds = item.rpartition(ASSIGN)
            if not incarnation:
                raise ValueError(f"limit report of host {host!r}: {item!r}")
            self._receive_one(host, incarnation, quantities.parse(seconds))

    def _receive_one(self, host: str, incarnation: str, seconds: float) -> None:
        now = self._timers.now()
        is_new = self._reported_until.get(incarnation, now) <= now
        self._reported_until = {
            name: until
            for name, until in self._reported_until.items()
            if until > now
        }
        self._reported_until[incarnation] = now + seconds
        if self._avoid is not None:
            self._avoid(incarnation, seconds)
        if is_new:
            eliot.log_message(
                "target.limit_reported",
                target=incarnation,
                peer=host,
                seconds=seconds,
            )
