"""The record of programs and turns, fenced by the shards' leases.

A change is made in memory first and joins the next group commit. It is safe,
and may be answered, once the table has it; while the table can't be written,
once a replica in another data centre holds it besides this process.
"""

from __future__ import annotations

import dataclasses
import math

import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.history import commits
from endivepier.history import records
from endivepier.history import replicas as replicas_lib
from endivepier.history import stored as stored_lib
from endivepier.history import turns as turns_lib
from endivepier.internal import codec
from endivepier.internal import ids as ids_lib
from endivepier.ownership import leases
from endivepier.ownership import shards as shards_lib
from endivepier.storage import ports
from endivepier.telemetry import metrics as metrics_lib

SAFE_SECONDS = 10.0
OUTAGE_AFTER_SECONDS = 0.5
OUTAGE_SECONDS = 900.0
POLL_SECONDS = 0.25


class Journal:
    """Reads programs and appends to them."""

    def __init__(
        self,
        platform_table: ports.Table,
        platform_objects: ports.Objects,
        shards: shards_lib.Shards,
        replicas: replicas_lib.Replicas,
        timers: timers_lib.Timers,
        ids: ids_lib.Ids,
        metrics: metrics_lib.Metrics,
        limits: stored_lib.GroupLimits | None = None,
    ) -> None:
        self._table = platform_table
        self._shards = shards
        self._replicas = replicas
        self._timers = timers
        self._ids = ids
        self._metrics = metrics
        self._limits = limits or stored_lib.GroupLimits()
        self._committer = commits.GroupCommitter(
            platform_table, platform_objects, timers, ids
        )
        self._reader = turns_lib.Reader(
            platform_table, platform_objects, timers
        )
        self._open: dict[str, stored_lib.StoredProgram] = {}
        self._in_flight: dict[str, stored_lib.StoredProgram] = {}
        self._flushing = False
        self._flushed_at = -math.inf
        self._holders: dict[str, set[str]] = {}

    def read_row(self, program_id: str) -> ports.Row | None:
        """Returns a program's row as the table has it.

        Raises:
            errors.Unavailable: the table did not answer.
        """
        return self._table.get(records.program_key(program_id))

    def load(
        self, program_id: str, epoch: int
    ) -> stored_lib.StoredProgram | None:
        """Returns a program with its turns, or None.

        Raises:
            errors.Unavailable: the table did not answer, or its rows do not
                fit together.
        """
        found = self.read_row(program_id)
        if found is None:
            return None
        row = codec.decode(records.ProgramRow, found.value)
        turns = self._reader.turns(row)
        return stored_lib.StoredProgram(
            row=row,
            version=found.version,
            turns=turns,
            epoch=epoch,
            text_length=sum(turns_lib.text_length(turn) for turn in turns),
            committed_serial=row.serial,
            durable_serial=row.serial,
        )

    def merge(
        self,
        stored: stored_lib.StoredProgram,
        extra: replicas_lib.Unflushed,
        holders: tuple[str, ...],
    ) -> bool:
        """Adds what a former owner had not flushed, if it follows.

        Args:
            stored: what the table has of the program.
            extra: what `holders` hold of it.
            holders: addresses of replicas, which are told once it is flushed.

        Returns:
            Whether there was something to add.
        """
        if extra.row.serial <= stored.row.serial:
            return False
        digests = [turn.digest for turn in extra.turns]
        start = len(extra.turns)
        if stored.row.digest in digests:
            start = digests.index(stored.row.digest) + 1
        elif stored.row.turn + len(extra.turns) == extra.row.turn:
            start = 0
        missing = extra.turns[start:]
        if not turns_lib.digests_match(
            stored.row.digest, missing, extra.row.digest
        ):
            self._metrics.count("foreign_records")
            return False
        stored.uncommitted_turns = (*stored.uncommitted_turns, *missing)
        stored.turns = (*stored.turns, *missing)
        stored.text_length += sum(
            turns_lib.text_length(turn) for turn in missing
        )
        stored.row = dataclasses.replace(
            extra.row, write_id=self._ids.unique(), serial=extra.row.serial + 1
        )
        self._holders.setdefault(extra.row.program_id, set()).update(holders)
        self._submit(stored)
        return True

    def append(
        self,
        stored: stored_lib.StoredProgram,
        row: records.ProgramRow,
        turn: records.TurnRow | None = None,
    ) -> None:
        """Changes a program's row and, if given, adds its next turn.

        Nothing waits in here; call `settle` before anybody is answered.
        """
        stored.row = dataclasses.replace(
            row, write_id=self._ids.unique(), serial=stored.row.serial + 1
        )
        if turn is not None:
            stored.turns = (*stored.turns, turn)
            stored.uncommitted_turns = (*stored.uncommitted_turns, turn)
            stored.text_length += turns_lib.text_length(turn)
        self._submit(stored)

    def wait_durable(self, stored: stored_lib.StoredProgram) -> None:
        """Waits until all that a program has can't get lost.

        Raises:
            errors.Fenced: somebody else owns the shard.
            errors.OutcomeUnknown: it may have been written, and may be yet.
        """
        target = stored.row.serial
        deadline = self._timers.now() + SAFE_SECONDS
        while stored.durable_serial < target:
            if stored.failure is not None:
                raise stored.failure
            if self.in_outage():
                self._replicate(stored)
                if stored.durable_serial >= target:
                    return
            if self._timers.now() >= deadline:
                raise errors.OutcomeUnknown(
                    f"program {stored.row.program_id} can't be written now"
                )
            waiter = gevent.event.Event()
            stored.waiters.append(waiter)
            self._timers.wait(waiter, POLL_SECONDS)
        if stored.failure is not None:
            raise stored.failure

    def in_outage(self) -> bool:
        """Returns whether the table has failed for a while."""
        since = self._committer.failing_since
        if since is None or not self._open:
            return False
        return self._timers.now() - since >= OUTAGE_AFTER_SECONDS

    def check_writable(self, lease: leases.Lease | None) -> None:
        """Makes sure, before work is sent off, that its turn can be kept.

        Raises:
            errors.Fenced: the shard is no longer ours.
            errors.Unavailable: the table is out, and no replica can hold the
                turn either.
        """
        if lease is None:
            raise errors.Fenced("the shard is no longer ours")
        if not self.in_outage():
            return
        reachable = self._replicas.any_reachable(lease)
        if not reachable or not self.can_buffer_more():
            raise errors.Unavailable(
                "the table is out and no replica has room; retry later"
            )

    def can_buffer_more(self) -> bool:
        """Returns whether an outage leaves room and time for more turns."""
        since = self._committer.failing_since
        if since is not None and self._timers.now() - since > OUTAGE_SECONDS:
            return False
        waiting = sum(
            turns_lib.text_length(turn)
            for stored in self._open.values()
            for turn in stored.uncommitted_turns
        )
        return waiting < self._limits.max_unflushed_length

    def has_unflushed(self, stored: stored_lib.StoredProgram) -> bool:
        """Returns whether the program has what the table does not."""
        return (
            stored.committed_serial < stored.row.serial
            and stored.failure is None
        )

    def fail_shard(self, shard: str) -> None:
        """Gives up on what is open of a shard that is lost."""
        prefix = shard + "."
        for program_id in list(self._open):
            if program_id.startswith(prefix):
                self._fail(self._open[program_id])

    def flush(self, seconds: float) -> bool:
        """Waits until the table has everything; returns whether it has."""
        deadline = self._timers.now() + seconds
        while self._open and self._timers.now() < deadline:
            self._timers.sleep(self._limits.min_interval_seconds)
        return not self._open

    def _submit(self, stored: stored_lib.StoredProgram) -> None:
        self._open[stored.row.program_id] = stored
        if not self._flushing:
            self._flushing = True
            due = self._flushed_at + self._limits.min_interval_seconds
            self._timers.after(due - self._timers.now(), self._flush)

    def _flush(self) -> None:
        """Commits groups until nothing is open."""
        try:
            while self._open:
                changes = self._next_group()
                if changes:
                    self._apply(self._committer.commit(changes))
                if self._open:
                    self._timers.sleep(self._limits.min_interval_seconds)
        finally:
            self._flushing = False
            self._flushed_at = self._timers.now()

    def _next_group(self) -> list[commits.Change]:
        group: list[commits.Change] = []
        size = 0
        for stored in list(self._open.values()):
            shard = _shard_of(stored)
            lease = self._shards.write_lease(shard, stored.epoch)
            if lease is None:
                self._fail(stored)
                continue
            grown = sum(
                turns_lib.text_length(turn) for turn in stored.uncommitted_turns
            )
            full = len(group) >= self._limits.max_programs
            if full or (group and size + grown > self._limits.max_text_length):
                break
            size += grown
            change = commits.Change(
                lease, stored.version, stored.row, stored.uncommitted_turns
            )
            group.append(change)
            self._in_flight[stored.row.program_id] = stored
        return group

    def _apply(self, result: commits.Result) -> None:
        self._metrics.count("group_commits")
        self._metrics.count("group_commit_programs", len(result.written))
        in_flight, self._in_flight = self._in_flight, {}
        for change in result.written:
            self._written(in_flight[change.row.program_id], change, result)
        for change in result.fenced:
            self._fenced(in_flight[change.row.program_id], change)
        for change in result.lost:
            self._lost(in_flight[change.row.program_id], change)
        self._release_replicas(result)

    def _written(
        self,
        stored: stored_lib.StoredProgram,
        change: commits.Change,
        result: commits.Result,
    ) -> None:
        stored.version = result.version
        stored.committed_serial = change.row.serial
        stored.durable_serial = max(stored.durable_serial, change.row.serial)
        stored.uncommitted_turns = stored.uncommitted_turns[len(change.turns) :]
        self._shards.record_confirmed(change.lease, result.started)
        if stored.committed_serial == stored.row.serial:
            self._close(stored)
        stored.notify()

    def _fenced(
        self, stored: stored_lib.StoredProgram, change: commits.Change
    ) -> None:
        """Gives up a program that somebody else has written."""
        self._metrics.count("fenced_programs")
        if stored.failure is None:
            self._fail(stored)

    def _lost(
        self, stored: stored_lib.StoredProgram, change: commits.Change
    ) -> None:
        """Gives up a program whose shard's row has changed."""
        shard = change.lease.shard
        lease = self._shards.write_lease(shard, stored.epoch)
        if lease is not None and lease != change.lease:
            # The lease was renewed or handed over meanwhile: try with that.
            return
        self._metrics.count("lost_programs")
        if stored.failure is None:
            self._fail(stored)
        self._shards.drop(shard, change.lease.epoch)

    def _close(self, stored: stored_lib.StoredProgram) -> None:
        program_id = stored.row.program_id
        if self._open.get(program_id) is stored:
            self._open.pop(program_id)

    def _fail(self, stored: stored_lib.StoredProgram) -> None:
        self._close(stored)
        stored.failure = errors.Fenced(
            f"{_shard_of(stored)} is no longer ours; ask its new owner"
        )
        stored.notify()

    def _replicate(self, stored: stored_lib.StoredProgram) -> None:
        """Has a replica hold what the program has unflushed."""
        lease = self._shards.write_lease(_shard_of(stored), stored.epoch)
        if lease is None or not self.can_buffer_more():
            return
        serial = stored.row.serial
        unflushed = replicas_lib.Unflushed(stored.row, stored.uncommitted_turns)
        address = self._replicas.replicate(lease, unflushed)
        if address:
            stored.durable_serial = max(stored.durable_serial, serial)
            holders = self._holders.setdefault(stored.row.program_id, set())
            holders.add(address)

    def _release_replicas(self, result: commits.Result) -> None:
        """Tells replicas what the table has now."""
        done: dict[tuple[str, str], dict[str, int]] = {}
        known: dict[str, leases.Lease] = {}
        for change in result.written:
            name = change.row.program_id
            for address in self._holders.pop(name, ()):
                place = (address, change.lease.shard)
                done.setdefault(place, {})[name] = change.row.serial
                known[change.lease.shard] = change.lease
        for (address, shard), serials in done.items():
            self._replicas.notify_flushed(address, known[shard], serials)


def _shard_of(stored: stored_lib.StoredProgram) -> str:
    return ids_lib.parse_program(stored.row.program_id).shard_name
