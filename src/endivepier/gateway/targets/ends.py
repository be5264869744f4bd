"""Tells whether a target has ended, when a call to it broke off.

A connection may break for many reasons. If the target's process is gone, its
address refuses new connections. A machine that lost power or is cut off does
not respond at all, and says nothing about its calls.
"""

from __future__ import annotations

import eliot
import gevent.event

from endivepier import timers as timers_lib
from endivepier.gateway import model
from endivepier.gateway.targets import departures as departures_lib
from endivepier.http1 import errors as http_errors
from endivepier.http1 import pool as pool_lib
from endivepier.internal import bounded_map

MAX_TARGETS = 10_000
CHECK_SECONDS = 0.25  # to open a connection; a refusal arrives in a round trip
# Calls break off at the same moment, and one of them checks for all.
REUSE_SECONDS = 0.2


class TargetEnds:
    """Checks targets whose calls broke off."""

    def __init__(
        self,
        pool: pool_lib.Pool,
        departures: departures_lib.Departures,
        timers: timers_lib.Timers,
    ) -> None:
        self._pool = pool
        self._departures = departures
        self._timers = timers
        self._checked: bounded_map.BoundedMap[tuple[float, bool]] = (
            bounded_map.BoundedMap(MAX_TARGETS)
        )
        self._checks: dict[str, gevent.event.AsyncResult] = {}

    def has_ended(self, target: model.Target) -> bool:
        """Returns whether a target has ended without saying that it leaves."""
        name = target.incarnation
        if target.draining or name in self._departures:
            return False
        checked = self._checked.get(name)
        if checked is not None:
            at, ended = checked
            if self._timers.now() - at < REUSE_SECONDS:
                return ended
        running = self._checks.get(name)
        if running is not None:
            return bool(running.get())
        self._checks[name] = result = gevent.event.AsyncResult()
        ended = False
        try:
            ended = self._refuses_connections(target)
        finally:
            del self._checks[name]
            self._checked.put(name, (self._timers.now(), ended))
            result.set(ended)
        return ended

    def _refuses_connections(self, target: model.Target) -> bool:
        try:
            conn = self._pool.open(target.address, CHECK_SECONDS)
        except http_errors.ConnectRefused:
            eliot.log_message("target.ended", target=target.incarnation)
            return True
        except http_errors.ConnectFailed as exc:
            eliot.log_message(
                "target.unreachable",
                target=target.incarnation,
                reason=str(exc),
            )
            return False
        self._pool.release(target.incarnation, conn)
        return False
