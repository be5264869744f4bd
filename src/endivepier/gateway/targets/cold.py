"""Which targets are cold, so that they bear few calls.

A target is cold for a declared time after its start, and whenever its row says
so. Rows may be late, and a target may start again without a new row, so a
target counts as cold as well if

* its row has just appeared,
* a host could not connect to it: the process that answers next may have started
  since,
* its data centre has just been taken back after an evacuation.

How many calls all hosts send to a cold target is decided by `targets.tokens`.
"""

from __future__ import annotations

import eliot

from endivepier import timers as timers_lib
from endivepier.gateway import model
from endivepier.gateway.targets import catalog as catalog_lib
from endivepier.gateway.targets import rates as target_rates
from endivepier.internal import bounded_map

# A target that says that it stays cold for longer is asked again by then.
MAX_COLD_SECONDS = 60.0
MAX_UNREACHABLE = 1_000  # targets
MAX_UNDECLARED = 1_000  # targets
MILLISECONDS_PER_SECOND = 1000.0


class ColdTargets:
    """Records in `TargetRates` which targets are cold, and until when."""

    def __init__(
        self,
        catalog: catalog_lib.Catalog,
        rates: target_rates.TargetRates,
        timers: timers_lib.Timers,
    ) -> None:
        self._catalog = catalog
        self._rates = rates
        self._timers = timers
        # Targets without a connection since a failure to connect.
        self._unreachable: bounded_map.BoundedMap[None] = (
            bounded_map.BoundedMap(MAX_UNREACHABLE)
        )
        # Targets that were listed before their service was declared, by
        # incarnation, as of their last row.
        self._undeclared: bounded_map.BoundedMap[model.Target] = (
            bounded_map.BoundedMap(MAX_UNDECLARED)
        )
        catalog.subscribe_rows(self._note_row)
        catalog.subscribe(self._note_declaration)
        catalog.evacuations.subscribe(self._note_evacuation)

    def note_unreachable(self, target: model.Target) -> None:
        """Records that this host could not connect to a target."""
        self._unreachable.put(target.incarnation, None)
        self._set_cold(target, MAX_COLD_SECONDS, "unreachable")

    def note_reached(self, target: model.Target) -> None:
        """Records that a target has responded."""
        if target.incarnation not in self._unreachable:
            return
        self._unreachable.drop(target.incarnation)
        self._rates.end_cold(target.incarnation)
        service = self._catalog.service(target.service)
        if service is not None:
            self._set_cold(target, service.cold_seconds, "reached again")

    def _note_row(self, target: model.Target, has_appeared: bool) -> None:
        service = self._catalog.service(target.service)
        if service is None:
            self._undeclared.put(target.incarnation, target)
            return
        seconds = target.cold_seconds
        if seconds > MAX_COLD_SECONDS:
            eliot.log_message(
                "target.bad_cold_time", target=target.name, seconds=seconds
            )
        if has_appeared:
            seconds = max(seconds, service.cold_seconds)
        elif target.started:
            age = self._timers.wall() - target.started / MILLISECONDS_PER_SECOND
            seconds = max(seconds, service.cold_seconds - max(age, 0.0))
        self._set_cold(target, seconds, "row")

    def _note_declaration(self) -> None:
        for incarnation, target in self._undeclared.items():
            self._undeclared.drop(incarnation)
            self._note_row(target, False)

    def _note_evacuation(self, data_centre: str, is_evacuated: bool) -> None:
        if is_evacuated:
            return
        for target in self._catalog.listed(data_centre):
            service = self._catalog.service(target.service)
            if service is not None:
                self._set_cold(target, service.cold_seconds, "taken back")

    def _set_cold(
        self, target: model.Target, seconds: float, source: str
    ) -> None:
        service = self._catalog.service(target.service)
        if service is None or service.cold_rate <= 0 or seconds <= 0:
            return
        seconds = min(seconds, MAX_COLD_SECONDS)
        if self._rates.cold(target.incarnation) is None:
            eliot.log_message(
                "target.cold",
                target=target.name,
                seconds=round(seconds, 3),
                rate=service.cold_rate,
                source=source,
            )
        self._rates.set_cold(
            target.incarnation,
            service.cold_rate,
            seconds,
            told_seconds=max(
                min(seconds, service.cold_seconds), target.cold_seconds
            ),
        )
