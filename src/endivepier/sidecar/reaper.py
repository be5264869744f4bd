"""Frees what programs hold that are over.

Two things are looked after: the prefixes in the engine beside this sidecar,
whoever owns their programs, and the rows of the shards that it owns.
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
from endivepier.sidecar import families
from endivepier.sidecar import registry as registry_lib
from endivepier.storage import ports
from endivepier.targets import ports as target_ports
from endivepier.telemetry import metrics as metrics_lib

RECONCILE_SECONDS = 4.0
ASK_SECONDS = 4.0
SWEEP_SECONDS = 600.0
RETENTION_SECONDS = 3600.0
PAGE_ROWS = 200
DELETE_ROWS = 100


class Reaper:
    """Releases prefixes and removes rows of programs that are over."""

    def __init__(
        self,
        engine: target_ports.ModelEngine,
        shards: shards_lib.Shards,
        registry: registry_lib.Registry,
        owners: families.Owners,
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
        """Answers other sidecars about programs that are owned here."""
        inbox.register(messages.FindOver, messages.Over, self.find_over)

    def start(self) -> None:
        """Starts to reconcile and to sweep."""
        every = self._timers.every
        self._subscriptions = [
            every(RECONCILE_SECONDS, self.reconcile),
            every(SWEEP_SECONDS, self.sweep),
        ]

    def stop(self) -> None:
        """Ends both."""
        for subscription in self._subscriptions:
            subscription.cancel()

    def reconcile(self) -> None:
        """Releases what the engine holds for programs that are over."""
        try:
            held = [prefix.session for prefix in self._engine.cached_prefixes()]
        except errors.TargetFailed:
            return
        by_shard: dict[str, list[str]] = collections.defaultdict(list)
        for session in held:
            try:
                program = ids_lib.parse_program(session)
            except errors.Refused:
                self._release(session)
                continue
            by_shard[program.shard_name].append(session)
        for sessions in by_shard.values():
            self._reconcile_shard(sessions)

    def find_over(self, req: messages.FindOver) -> messages.Over:
        """Returns which programs of one shard need no engine memory."""
        over = [name for name in req.program_ids if self._is_over(name)]
        return messages.Over(tuple(over))

    def sweep(self) -> None:
        """Removes the rows of programs that ended long ago."""
        for lease in self._shards.held():
            try:
                self._sweep_shard(lease.shard)
            except errors.EndivepierError:
                continue

    def _reconcile_shard(self, sessions: list[str]) -> None:
        program = ids_lib.parse_program(sessions[0])
        try:
            answer = self._owners.call(
                program,
                messages.FindOver(tuple(sessions)),
                messages.Over,
                seconds=ASK_SECONDS,
            )
        except errors.Refused:
            return
        for session in sessions:
            if session in answer.program_ids:
                self._release(session)

    def _release(self, session: str) -> None:
        try:
            self._engine.release(session)
        except errors.TargetFailed:
            return
        self._metrics.count("released_prefixes")

    def _is_over(self, program_id: str) -> bool:
        """Returns whether a program is over or was not used for long."""
        lease = self._registry.lease(program_id)
        now = self._timers.wall()
        program = self._registry.current(program_id, lease)
        if program is not None:
            if program.running:
                return False
            return budgets.is_over(program.stored.row, now)
        if self._timers.now() - lease.taken > registry_lib.IDLE_SECONDS:
            # It would be in memory if it had been used in that time.
            return True
        try:
            found = self._table.get(records.program_key(program_id))
        except errors.Unavailable:
            raise registry_lib.store_unavailable(errors.Ran.NO) from None
        if found is None:
            return True
        return budgets.is_over(
            codec.decode(records.ProgramRow, found.value), now
        )

    def _sweep_shard(self, shard: str) -> None:
        prefix = f"{records.PROGRAM_PREFIX}{shard}."
        after = ""
        horizon = self._timers.wall() - RETENTION_SECONDS
        while True:
            page = self._table.scan(prefix, after=after, limit=PAGE_ROWS)
            if not page:
                return
            for item in page:
                row = codec.decode(records.ProgramRow, item.value)
                expired = row.created + row.budget.seconds
                if (row.ended or expired) < horizon:
                    self._remove(item, row)
            after = page[-1].key

    def _remove(self, item: ports.Row, row: records.ProgramRow) -> None:
        """Removes a program's turns, then its row."""
        condition = ports.VersionIs(item.key, item.version)
        names = [
            records.turn_key(row.program_id, turn)
            for turn in range(1, row.turn + 1)
        ]
        names.append(item.key)
        while names:
            part, names = names[:DELETE_ROWS], names[DELETE_ROWS:]
            writes = tuple(ports.Delete(name) for name in part)
            self._table.transact(ports.Transaction((condition,), writes))
        self._metrics.count("removed_programs")
