"""Checks with the store that a service has had no other software version.

A list of targets lags behind the store, so that it can't rule out a version
that was added a moment ago. A target gets calls only once its row is in the
store: changes that are read after a stream was broken off include the target
that began it. The same holds for a declaration that leads to another service.
"""

from __future__ import annotations

import eliot
import gevent.lock

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.targets import catalog as catalog_lib
from endivepier.gateway.targets import decoding
from endivepier.storage import ports


class VersionCheck:
    """Reads what has changed since the catalog was updated."""

    def __init__(
        self,
        catalog: catalog_lib.Catalog,
        feed: ports.Feed,
        decoder: decoding.Decoder,
        timers: timers_lib.Timers,
    ) -> None:
        self._catalog = catalog
        self._feed = feed
        self._decoder = decoder
        self._timers = timers
        # Concurrent calls share a read that starts after all of them.
        self._lock = gevent.lock.BoundedSemaphore()
        self._read_started_at = float("-inf")
        self._changes: ports.Changes | None = None

    def has_only(self, service: str, version: str) -> bool:
        """Returns whether the store has no other version of a service.

        Args:
            service: the service.
            version: the only version that the catalog knows.

        Returns:
            False also if the store can't be read, if a target came and went
            whose version is not known, or if there is a new declaration.
        """
        called_at = self._timers.now()
        with self._lock:
            if self._read_started_at <= called_at:
                self._read_started_at = self._timers.now()
                self._changes = self._read()
            changes = self._changes
        if changes is None:
            return False
        if not all(self._catalog.is_listed(key) for key in changes.removed):
            return False
        targets = [self._decoder.decode_target(row) for row in changes.rows]
        return not any(
            target.service == service and target.software_version != version
            for target in targets
            if target is not None
        )

    def _read(self) -> ports.Changes | None:
        """Returns the changes of targets; None if they don't tell."""
        declared, listed = self._catalog.read_up_to()
        if declared is None or listed is None:
            return None
        try:
            declarations = self._feed.changes(
                self._decoder.declaration_table, declared, 0.0
            )
            if declarations.rows or declarations.removed:
                return None
            return self._feed.changes(self._decoder.target_table, listed, 0.0)
        except (errors.Unavailable, errors.HistoryLost) as exc:
            eliot.log_message("versions.not_checked", reason=str(exc))
            return None
