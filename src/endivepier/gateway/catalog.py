"""What this process believes: the declaration and the targets.

A declaration is never replaced by an older one. A target whose row is gone
takes no new work, with one exception: rows lapse while the store is away, and
a target that lives writes its row again soon after the store's return.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import Protocol

import eliot

from endivepier import timers as timers_lib
from endivepier.gateway import follower as follower_lib
from endivepier.gateway import model
from endivepier.http1 import messages
from endivepier.storage import ports

# Targets that live are back within two seconds of the store's return.
LAPSE_GRACE_SECONDS = 2.0
# A store that was silent for less can't have made a target's row lapse.
LAPSE_SILENCE_SECONDS = 1.5  # a feed answers each second in calm


class Decoder(Protocol):
    """The port to the form in which rows are written."""

    declaration_table: str
    target_table: str

    def decode_declaration(self, row: ports.Row) -> model.Declaration | None:
        """Returns the declaration in a row; None if it holds none."""

    def decode_target(self, row: ports.Row) -> model.Target | None:
        """Returns the target in a row; None if it names none to use."""


@dataclasses.dataclass(slots=True)
class Known:
    """A target that is known.

    Attributes:
        target: as it registered itself.
        lapses: until when it is used although its row is gone, or None.
    """

    target: model.Target
    lapses: float | None = None


class Catalog:
    """The declaration and the targets, kept up to date from the store.

    Attributes:
        declaration: the newest one, or None until one was read.
        routes: the routes by host, those with the longest prefix first.
    """

    def __init__(
        self, feed: ports.Feed, decoder: Decoder, timers: timers_lib.Timers
    ) -> None:
        self.declaration: model.Declaration | None = None
        self.routes: dict[str, list[model.Route]] = {}
        self._keys: dict[str, model.Account] = {}
        self._targets: dict[str, Known] = {}
        self._by_service: dict[str, list[model.Target]] | None = None
        self._decoder = decoder
        self._timers = timers
        self._listeners: list[Callable[[], None]] = []
        self._gone_listeners: list[Callable[[model.Target], None]] = []
        self._targets_read = False
        self._declarations = follower_lib.Follower(
            feed,
            timers,
            decoder.declaration_table,
            self._read_declarations,
            self._read_declarations,
        )
        self._rows = follower_lib.Follower(
            feed,
            timers,
            decoder.target_table,
            self._replace_targets,
            self._change_targets,
        )

    def start(self) -> None:
        """Begins to follow the store."""
        self._declarations.start()
        self._rows.start()

    def stop(self) -> None:
        """Follows the store no longer."""
        self._declarations.stop()
        self._rows.stop()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Has `callback` run after each new declaration."""
        self._listeners.append(callback)

    def subscribe_gone(self, callback: Callable[[model.Target], None]) -> None:
        """Has `callback` run for each target that is gone."""
        self._gone_listeners.append(callback)

    def is_complete(self) -> bool:
        """Returns whether declaration and targets have been read."""
        return self.declaration is not None and self._targets_read

    def limits(self) -> messages.ClientLimits:
        """Returns what clients may send now."""
        if self.declaration is None:
            return messages.ClientLimits()
        return self.declaration.limits

    def route(self, host: str, path: bytes) -> model.Route | None:
        """Returns the route with the longest prefix of the path, or None."""
        plain = path.partition(b"?")[0].decode("latin-1")
        for route in self.routes.get(host, ()):
            if plain.startswith(route.prefix):
                return route
        return None

    def account(self, key: str) -> model.Account | None:
        """Returns the client account that a key belongs to, or None."""
        return self._keys.get(key)

    def targets(self, service: str) -> list[model.Target]:
        """Returns the targets of a service that take new work."""
        if self._by_service is None:
            self._by_service = self._group()
        return self._by_service.get(service, [])

    def _group(self) -> dict[str, list[model.Target]]:
        groups: dict[str, list[model.Target]] = {}
        for known in self._targets.values():
            if not known.target.draining:
                service = known.target.service
                groups.setdefault(service, []).append(known.target)
        return groups

    def _read_declarations(self, changes: ports.Changes) -> None:
        for row in changes.rows:
            found = self._decoder.decode_declaration(row)
            if found is not None:
                self._apply(found, row.version)

    def _apply(self, found: model.Declaration, version: int) -> None:
        current = self.declaration
        if current is not None and found.revision <= current.revision:
            return
        routes: dict[str, list[model.Route]] = {}
        for route in found.routes:
            routes.setdefault(route.host, []).append(route)
        for group in routes.values():
            group.sort(key=lambda route: -len(route.prefix))
        self.declaration = found
        self.routes = routes
        self._keys = {
            key: account
            for account in found.accounts.values()
            for key in account.keys
        }
        eliot.log_message(
            "declaration.in_force",
            revision=found.revision,
            before=None if current is None else current.revision,
            row_version=version,
            routes=len(found.routes),
            keys=len(self._keys),
        )
        for callback in self._listeners:
            callback()

    def _replace_targets(self, changes: ports.Changes) -> None:
        listed = {row.key for row in changes.rows}
        for key in list(self._targets):
            if key not in listed:
                self._remove(key)
        self._put(changes.rows)
        self._targets_read = True

    def _change_targets(self, changes: ports.Changes) -> None:
        for key in changes.removed:
            self._remove(key)
        self._put(changes.rows)

    def _put(self, rows: tuple[ports.Row, ...]) -> None:
        for row in rows:
            target = self._decoder.decode_target(row)
            if target is None:
                self._remove(row.key)
                continue
            known = self._targets.get(row.key)
            if known is not None and (
                known.target.incarnation != target.incarnation
                or known.target.address != target.address
            ):
                self._tell_gone(known.target)
            if known is None or known.target.draining != target.draining:
                eliot.log_message(
                    "target.draining" if target.draining else "target.in",
                    target=target.name,
                    service=target.service,
                    address=target.address,
                    row_version=row.version,
                )
            self._targets[row.key] = Known(target)
        self._by_service = None

    def _remove(self, key: str) -> None:
        known = self._targets.get(key)
        if known is None or known.lapses is not None:
            return
        now = self._timers.now()
        contact = self._rows.contact
        silent = 0.0 if contact is None else now - contact
        if silent > LAPSE_SILENCE_SECONDS and not known.target.draining:
            known.lapses = now + LAPSE_GRACE_SECONDS
            self._timers.after(LAPSE_GRACE_SECONDS, lambda: self._lapse(key))
            eliot.log_message(
                "target.unlisted",
                target=known.target.name,
                store_silent=round(silent, 3),
                action=f"used for {LAPSE_GRACE_SECONDS} s more",
            )
            return
        self._drop(key, known)

    def _lapse(self, key: str) -> None:
        known = self._targets.get(key)
        if known is not None and known.lapses is not None:
            self._drop(key, known)

    def _drop(self, key: str, known: Known) -> None:
        del self._targets[key]
        self._by_service = None
        eliot.log_message("target.out", target=known.target.name)
        self._tell_gone(known.target)

    def _tell_gone(self, target: model.Target) -> None:
        for callback in self._gone_listeners:
            callback(target)
