"""The declaration and the targets, as last read from the store.

A declaration is never replaced by an older one. A target whose row is deleted
gets no new calls, with one exception: while the store is unavailable, targets
can't renew their rows, and the rows lapse. Targets that still run write their
rows again soon after the outage, so a target whose row is deleted right after
an outage stays in use for a short grace period.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import eliot

from endivepier import timers as timers_lib
from endivepier.gateway import model
from endivepier.gateway.store import follower as follower_lib
from endivepier.gateway.targets import decoding
from endivepier.gateway.targets import departures as departures_lib
from endivepier.gateway.targets import evacuations as evacuations_lib
from endivepier.gateway.targets import version_history
from endivepier.http1 import messages
from endivepier.internal import failures
from endivepier.storage import ports

# Running targets write their rows again within two seconds after an outage.
LAPSE_GRACE_SECONDS = 2.0
# A shorter silence of the store can't make a target's row lapse. Without an
# outage, the feed responds every second.
MIN_OUTAGE_SECONDS = 1.5
# After a longer silence, targets of a new version may have been added.
MAX_VERSION_SILENCE_SECONDS = 2.0


@dataclasses.dataclass(slots=True)
class TargetEntry:
    """A target in the catalog.

    Attributes:
        target: the target, as it registered itself.
        expires_at: end of the grace period after the target's row lapsed, in
            monotonic seconds; None while the row exists.
    """

    target: model.Target
    expires_at: float | None = None


class Catalog:
    """The declaration and the targets, kept up to date from the store.

    Attributes:
        declaration: the declaration in force, or None until one was read.
        routes: the routes by host, ordered from the longest prefix to the
            shortest.
        evacuations: the data centres whose targets get no calls.
    """

    def __init__(
        self,
        feed: ports.Feed,
        decoder: decoding.Decoder,
        timers: timers_lib.Timers,
        departures: departures_lib.Departures,
    ) -> None:
        self.declaration: model.Declaration | None = None
        self.routes: dict[str, list[model.Route]] = {}
        self.evacuations = evacuations_lib.Evacuations()
        self.evacuations.subscribe(self._note_evacuation)
        self._accounts_by_key: dict[str, model.Account] = {}
        self._targets: dict[str, TargetEntry] = {}
        self._by_service: dict[str, list[model.Target]] | None = None
        self._by_version: dict[tuple[str, str], list[model.Target]] = {}
        self._history = version_history.VersionHistory(timers)
        self._targets_read_at: float | None = None
        self._decoder = decoder
        self._departures = departures
        departures.subscribe(self._forget_groups)
        self._timers = timers
        self._declaration_listeners: list[Callable[[], None]] = []
        self._removal_listeners: list[Callable[[model.Target], None]] = []
        self._row_listeners: list[Callable[[model.Target, bool], None]] = []
        self._declaration_follower = follower_lib.Follower(
            feed,
            timers,
            decoder.declaration_table,
            self._replace_declarations,
            self._apply_declarations,
        )
        self._target_follower = follower_lib.Follower(
            feed,
            timers,
            decoder.target_table,
            self._replace_targets,
            self._apply_target_changes,
        )

    def start(self) -> None:
        """Starts following both tables of the store."""
        self._declaration_follower.start()
        self._target_follower.start()

    def stop(self) -> None:
        """Stops following the store."""
        self._declaration_follower.stop()
        self._target_follower.stop()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls `callback` after each new declaration."""
        self._declaration_listeners.append(callback)

    def subscribe_removed(
        self, callback: Callable[[model.Target], None]
    ) -> None:
        """Calls `callback` for each removed or replaced target."""
        self._removal_listeners.append(callback)

    def subscribe_rows(
        self, callback: Callable[[model.Target, bool], None]
    ) -> None:
        """Calls `callback` for each row of a target that was read.

        It gets the target, and whether it was not listed before, though this
        process had read the list.
        """
        self._row_listeners.append(callback)

    def is_complete(self) -> bool:
        """Returns whether a declaration and the targets have been read."""
        return (
            self.declaration is not None and self._targets_read_at is not None
        )

    def limits(self) -> messages.ClientLimits:
        """Returns the limits on client requests that are in force."""
        if self.declaration is None:
            return messages.ClientLimits()
        return self.declaration.limits

    def retention(self) -> float:
        """Returns for how long turns are stored at most, in seconds."""
        if self.declaration is None:
            return 0.0
        retentions = (route.retention for route in self.declaration.routes)
        return max(retentions, default=0.0)

    def route(self, host: str, path: bytes) -> model.Route | None:
        """Returns the host's route with the longest matching prefix, if any."""
        decoded_path = path.partition(b"?")[0].decode("latin-1")
        for route in self.routes.get(host, ()):
            if decoded_path.startswith(route.prefix):
                return route
        return None

    def account(self, key: str) -> model.Account | None:
        """Returns the client account that an API key belongs to, or None."""
        return self._accounts_by_key.get(key)

    def engine(self, service: str) -> model.Engine | None:
        """Returns the properties of a service's engines, if it has any."""
        declared = self.service(service)
        return None if declared is None else declared.engine

    def service(self, name: str) -> model.Service | None:
        """Returns a declared service, or None."""
        if self.declaration is None:
            return None
        return self.declaration.services.get(name)

    def read_up_to(self) -> tuple[int | None, int | None]:
        """Returns up to which versions declarations and targets were read."""
        return self._declaration_follower.version, self._target_follower.version

    def is_listed(self, key: str) -> bool:
        """Returns whether the target with this row is known."""
        return key in self._targets

    def listed(self, data_centre: str) -> list[model.Target]:
        """Returns all targets of a data centre, including draining ones."""
        return [
            entry.target
            for entry in self._targets.values()
            if entry.target.data_centre == data_centre
        ]

    def targets(
        self, service: str, version: str | None = None
    ) -> list[model.Target]:
        """Returns the targets of a service that accept new calls.

        Args:
            service: the service.
            version: software version of the targets; None for all versions.
        """
        if self._by_service is None:
            self._by_service = self._group_targets()
        if version is None:
            return self._by_service.get(service, [])
        return self._by_version.get((service, version), [])

    def _forget_groups(self) -> None:
        self._by_service = None

    def _group_targets(self) -> dict[str, list[model.Target]]:
        groups: dict[str, list[model.Target]] = {}
        self._by_version = {}
        for entry in self._targets.values():
            target = entry.target
            version = (target.service, target.software_version)
            same_version = self._by_version.setdefault(version, [])
            leaving = target.incarnation in self._departures
            evacuated = target.data_centre in self.evacuations
            if not (target.draining or leaving or evacuated):
                groups.setdefault(target.service, []).append(target)
                same_version.append(target)
        return groups

    def versions(self, service: str) -> set[str]:
        """Returns the software versions of a service's listed targets."""
        self.targets(service)  # updates the groups
        return {v for name, v in self._by_version if name == service}

    def only_version(self, service: str, seconds: float) -> str | None:
        """Returns the only software version that a service has had lately.

        Args:
            service: the service.
            seconds: the period, up to now, in which no target of the service
                had another version.

        Returns:
            The version; None if there were several or none, or if this process
            has not followed the targets throughout the period.
        """
        contact = self._target_follower.last_contact
        if contact is None or not self._history.covers(seconds):
            return None
        if self._timers.now() - contact > MAX_VERSION_SILENCE_SECONDS:
            return None
        versions = self.recent_versions(service, seconds)
        return versions.pop() if len(versions) == 1 else None

    def recent_versions(self, service: str, seconds: float) -> set[str]:
        """Returns the versions that a service has, or had in the last seconds.

        Versions that this process has never seen are missing.
        """
        removed = self._history.removed(service, seconds)
        return self.versions(service) | removed

    def _replace_declarations(self, changes: ports.Changes) -> None:
        evacuated = {
            self._decoder.decode_evacuated(row.key): row.version
            for row in changes.rows
        }
        self.evacuations.replace(
            {name: v for name, v in evacuated.items() if name is not None}
        )
        self._apply_declarations(changes)

    def _apply_declarations(self, changes: ports.Changes) -> None:
        for key in changes.removed:
            data_centre = self._decoder.decode_evacuated(key)
            if data_centre is not None:
                self.evacuations.end(data_centre)
        for row in changes.rows:
            data_centre = self._decoder.decode_evacuated(row.key)
            if data_centre is not None:
                self.evacuations.begin(data_centre, row.version)
                continue
            declaration = self._decoder.decode_declaration(row)
            if declaration is not None:
                self._apply(declaration, row.version)

    def _note_evacuation(self, data_centre: str, is_evacuated: bool) -> None:
        self._forget_groups()
        if is_evacuated and not self.listed(data_centre):
            eliot.log_message(
                "data_centre.no_targets",
                data_centre=data_centre,
                known=sorted(
                    {e.target.data_centre for e in self._targets.values()}
                ),
            )

    def _apply(self, declaration: model.Declaration, version: int) -> None:
        current = self.declaration
        if current is not None and declaration.revision <= current.revision:
            return
        routes: dict[str, list[model.Route]] = {}
        for route in declaration.routes:
            routes.setdefault(route.host, []).append(route)
        for group in routes.values():
            group.sort(key=lambda route: -len(route.prefix))
        self.declaration = declaration
        self.routes = routes
        self._accounts_by_key = {
            key: account
            for account in declaration.accounts.values()
            for key in account.keys
        }
        eliot.log_message(
            "declaration.in_force",
            revision=declaration.revision,
            before=None if current is None else current.revision,
            row_version=version,
            routes=len(declaration.routes),
            keys=len(self._accounts_by_key),
        )
        for callback in self._declaration_listeners:
            failures.contain(callback)

    def _replace_targets(self, changes: ports.Changes) -> None:
        current_keys = {row.key for row in changes.rows}
        for key in list(self._targets):
            if key not in current_keys:
                self._remove_or_expire(key)
        self._update_targets(changes.rows)
        self._history.restart()
        if self._targets_read_at is None:
            self._targets_read_at = self._timers.now()

    def _apply_target_changes(self, changes: ports.Changes) -> None:
        for key in changes.removed:
            if key not in self._targets:
                self._history.restart()  # it came and went between two reads
            self._remove_or_expire(key)
        self._update_targets(changes.rows)

    def _update_targets(self, rows: tuple[ports.Row, ...]) -> None:
        for row in rows:
            if not failures.contain(self._update_target, row):
                self._delete_target(row.key)  # not all parts may know it
        self._by_service = None

    def _update_target(self, row: ports.Row) -> None:
        target = self._decoder.decode_target(row)
        if target is None:
            self._remove_or_expire(row.key)
            return
        entry = self._targets.get(row.key)
        before = None if entry is None else entry.target
        if before is not None and before.run != target.run:
            self._notify_removed(before)
        if before is None or before.draining != target.draining:
            eliot.log_message(
                "target.draining" if target.draining else "target.in",
                target=target.name,
                service=target.service,
                address=target.address,
                version=target.software_version,
                row_version=row.version,
            )
        self._targets[row.key] = TargetEntry(target)
        has_appeared = self._targets_read_at is not None and (
            before is None or before.incarnation != target.incarnation
        )
        for callback in self._row_listeners:
            callback(target, has_appeared)

    def _remove_or_expire(self, key: str) -> None:
        """Removes a target, after a grace period if its row may have lapsed."""
        entry = self._targets.get(key)
        if entry is None or entry.expires_at is not None:
            return
        now = self._timers.now()
        last_contact = self._target_follower.last_contact
        silence_seconds = 0.0 if last_contact is None else now - last_contact
        if silence_seconds > MIN_OUTAGE_SECONDS and not entry.target.draining:
            entry.expires_at = now + LAPSE_GRACE_SECONDS
            self._timers.after(LAPSE_GRACE_SECONDS, lambda: self._expire(key))
            eliot.log_message(
                "target.unlisted",
                target=entry.target.name,
                store_silent=round(silence_seconds, 3),
                action=f"keep the target in use for {LAPSE_GRACE_SECONDS} s",
            )
            return
        self._delete_target(key)

    def _expire(self, key: str) -> None:
        """Removes a target after its grace period, unless its row is back."""
        entry = self._targets.get(key)
        if entry is not None and entry.expires_at is not None:
            self._delete_target(key)

    def _delete_target(self, key: str) -> None:
        entry = self._targets.pop(key, None)
        if entry is None:
            return
        self._by_service = None
        eliot.log_message("target.out", target=entry.target.name)
        self._notify_removed(entry.target)

    def _notify_removed(self, target: model.Target) -> None:
        self._history.note_removed(target)
        for callback in self._removal_listeners:
            failures.contain(callback, target)
