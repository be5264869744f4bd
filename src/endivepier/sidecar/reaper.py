"""Frees engine memory and table rows of programs that are over.

A program is over once it has ended or its wall time has expired. A sidecar
releases the prompt prefixes in its own engine, whichever sidecar owns their
programs, and deletes old rows of the shards that it owns.
"""

from __future__ import annotations

import collections

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.history import budgets
from endivepier.history import messages
from endivepier.history import records
from endivepier.internal import codec
from endivepier.internal import ids as ids_lib
from endivepier.internal import peers as peers_lib
from endivepier.ownership import shards as shards_lib
from endivepier.sidecar import child_budgets
from endivepier.sidecar import registry as registry_lib
from endivepier.storage import ports
from endivepier.targets import ports as target_ports
from endivepier.telemetry import metrics as metrics_lib

RECONCILE_INTERVAL_SECONDS = 4.0
FIND_OVER_TIMEOUT_SECONDS = 4.0
SWEEP_INTERVAL_SECONDS = 600.0
RETENTION_SECONDS = 3600.0
SCAN_PAGE_ROWS = 200
DELETE_BATCH_ROWS = 100


class Reaper:
    """Releases prefixes and deletes rows of programs that are over."""

    def __init__(
        self,
        engine: target_ports.ModelEngine,
        shards: shards_lib.Shards,
        registry: registry_lib.Registry,
        owners: child_budgets.OwnerClient,
        table: ports.Table,
        timers: timers_lib.Timers,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._engine = engine
        self._shards = shards
        self._registry = registry
        self._owners = owners
        self._table = table
        self._timers = timers
        self._metrics = metrics
        self._subscriptions: list[timers_lib.Subscription] = []

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Registers the handler of other sidecars' `FindOver` messages."""
        inbox.register(messages.FindOver, messages.Over, self.handle_find_over)

    def start(self) -> None:
        """Starts to reconcile and to sweep periodically."""
        every = self._timers.every
        self._subscriptions = [
            every(RECONCILE_INTERVAL_SECONDS, self.reconcile),
            every(SWEEP_INTERVAL_SECONDS, self.sweep),
        ]

    def stop(self) -> None:
        """Stops reconciling and sweeping."""
        for subscription in self._subscriptions:
            subscription.cancel()

    def reconcile(self) -> None:
        """Releases the engine's prefixes of programs that are over.

        Sends one message for each shard to its owner. Sessions whose name is
        not a program id are released at once.
        """
        try:
            held_sessions = [
                prefix.session for prefix in self._engine.cached_prefixes()
            ]
        except errors.TargetFailed:
            return
        by_shard: dict[str, list[str]] = collections.defaultdict(list)
        for session in held_sessions:
            try:
                program = ids_lib.parse_program(session)
            except errors.Refused:
                self._release(session)
                continue
            by_shard[program.shard_name].append(session)
        for sessions in by_shard.values():
            self._reconcile_shard(sessions)

    def handle_find_over(self, req: messages.FindOver) -> messages.Over:
        """Returns which programs of one shard need no prefix in an engine."""
        over = [
            program_id
            for program_id in req.program_ids
            if self._is_releasable(program_id)
        ]
        return messages.Over(tuple(over))

    def sweep(self) -> None:
        """Deletes rows of programs that have been over for a long time."""
        for lease in self._shards.held():
            try:
                self._sweep_shard(lease.shard)
            except errors.EndivepierError:
                continue

    def _reconcile_shard(self, sessions: list[str]) -> None:
        program = ids_lib.parse_program(sessions[0])
        try:
            reply = self._owners.call(
                program,
                messages.FindOver(tuple(sessions)),
                messages.Over,
                seconds=FIND_OVER_TIMEOUT_SECONDS,
            )
        except errors.Refused:
            return
        for session in sessions:
            if session in reply.program_ids:
                self._release(session)

    def _release(self, session: str) -> None:
        try:
            self._engine.release(session)
        except errors.TargetFailed:
            return
        self._metrics.count("released_prefixes")

    def _is_releasable(self, program_id: str) -> bool:
        """Returns whether engines may release a program's prefix.

        That holds for programs that are over, and for those without a call
        for `IDLE_EVICTION_SECONDS`.
        """
        lease = self._registry.lease(program_id)
        now = self._timers.wall()
        program = self._registry.loaded(program_id, lease)
        if program is not None:
            if program.running:
                return False
            return budgets.is_closed(program.stored.row, now)
        if (
            self._timers.now() - lease.taken
            > registry_lib.IDLE_EVICTION_SECONDS
        ):
            # A program used in that time would still be in memory, unless it
            # was evicted because memory was full.
            return True
        try:
            table_row = self._table.get(records.program_key(program_id))
        except errors.Unavailable:
            raise registry_lib.store_unavailable(errors.Ran.NO) from None
        if table_row is None:
            return True
        return budgets.is_closed(
            codec.decode(records.ProgramRow, table_row.value), now
        )

    def _sweep_shard(self, shard: str) -> None:
        prefix = f"{records.PROGRAM_PREFIX}{shard}."
        after = ""
        cutoff = self._timers.wall() - RETENTION_SECONDS
        while True:
            page = self._table.scan(prefix, after=after, limit=SCAN_PAGE_ROWS)
            for table_row in page.rows:
                row = codec.decode(records.ProgramRow, table_row.value)
                expired = row.created + row.budget.seconds
                if (row.ended or expired) < cutoff:
                    self._delete_program(table_row, row)
            if not page.more:
                return
            after = page.rows[-1].key

    def _delete_program(
        self, table_row: ports.Row, row: records.ProgramRow
    ) -> None:
        """Deletes a program's turns, then its row.

        The row goes last, so that an interrupted deletion is found again.
        """
        condition = ports.VersionIs(table_row.key, table_row.version)
        keys = [
            records.turn_key(row.program_id, turn)
            for turn in range(1, row.turn + 1)
        ]
        keys.append(table_row.key)
        while keys:
            batch, keys = keys[:DELETE_BATCH_ROWS], keys[DELETE_BATCH_ROWS:]
            writes = tuple(ports.Delete(key) for key in batch)
            self._table.transact(ports.Transaction((condition,), writes))
        self._metrics.count("removed_programs")
