"""The journal of programs and turns, fenced by the leases of the shards.

A change is applied in memory and then written with the next group commit. It
is durable once the table has it, and only then may a caller be answered. While
the table can't be written, a change counts as durable once a replica in
another data centre holds a second copy of it.
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

DURABLE_TIMEOUT_SECONDS = 10.0
OUTAGE_DETECTION_SECONDS = 0.5
MAX_OUTAGE_SECONDS = 900.0
POLL_SECONDS = 0.25


class Journal:
    """Loads programs, changes them and writes the changes in groups."""

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
        self._unflushed: dict[str, stored_lib.StoredProgram] = {}
        self._in_flight: dict[str, stored_lib.StoredProgram] = {}
        self._flushing = False
        self._flushed_at = -math.inf
        # By program id, the replicas that hold changes of the program.
        self._holders: dict[str, set[str]] = {}

    def read_row(self, program_id: str) -> ports.Row | None:
        """Returns a program's row from the table, or None.

        Raises:
            errors.Unavailable: the table did not answer.
        """
        return self._table.get(records.program_key(program_id))

    def load(
        self, program_id: str, epoch: int
    ) -> stored_lib.StoredProgram | None:
        """Returns a program with its turns from the table, or None.

        Raises:
            errors.Unavailable: the table did not answer, or the turns do not
                match the digest in the program's row.
        """
        table_row = self.read_row(program_id)
        if table_row is None:
            return None
        row = codec.decode(records.ProgramRow, table_row.value)
        turns = self._reader.turns(row)
        return stored_lib.StoredProgram(
            row=row,
            version=table_row.version,
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
        """Adds a former owner's unflushed changes if they extend the history.

        Args:
            stored: the program as the table has it.
            extra: the unflushed changes, as a replica holds them.
            holders: addresses of the replicas to notify once the changes have
                been flushed.

        Returns:
            Whether changes were added.
        """
        if extra.row.serial <= stored.row.serial:
            return False
        # Keeps the turns that follow the table's last one: those after it in
        # the list, all if the list begins with the next turn, else none.
        digests = [turn.digest for turn in extra.turns]
        start = len(extra.turns)
        if stored.row.digest in digests:
            start = digests.index(stored.row.digest) + 1
        elif stored.row.turn + len(extra.turns) == extra.row.turn:
            start = 0
        new_turns = extra.turns[start:]
        if not turns_lib.digests_match(
            stored.row.digest, new_turns, extra.row.digest
        ):
            self._metrics.count("foreign_records")
            return False
        stored.uncommitted_turns = (*stored.uncommitted_turns, *new_turns)
        stored.turns = (*stored.turns, *new_turns)
        stored.text_length += sum(
            turns_lib.text_length(turn) for turn in new_turns
        )
        stored.row = dataclasses.replace(
            extra.row, write_id=self._ids.unique(), serial=extra.row.serial + 1
        )
        self._holders.setdefault(extra.row.program_id, set()).update(holders)
        self._enqueue(stored)
        return True

    def append(
        self,
        stored: stored_lib.StoredProgram,
        row: records.ProgramRow,
        turn: records.TurnRow | None = None,
    ) -> None:
        """Changes a program's row and, if given, adds its next turn.

        Returns at once; call `wait_durable` before a caller is answered.
        """
        stored.row = dataclasses.replace(
            row, write_id=self._ids.unique(), serial=stored.row.serial + 1
        )
        if turn is not None:
            stored.turns = (*stored.turns, turn)
            stored.uncommitted_turns = (*stored.uncommitted_turns, turn)
            stored.text_length += turns_lib.text_length(turn)
        self._enqueue(stored)

    def wait_durable(self, stored: stored_lib.StoredProgram) -> None:
        """Waits until all changes made to a program so far are durable.

        Raises:
            errors.Fenced: another process owns the shard.
            errors.OutcomeUnknown: the wait timed out; the changes may have
                been written, or may still be written.
        """
        last_serial = stored.row.serial
        deadline = self._timers.now() + DURABLE_TIMEOUT_SECONDS
        while stored.durable_serial < last_serial:
            if stored.failure is not None:
                raise stored.failure
            if self.in_outage():
                self._replicate(stored)
                if stored.durable_serial >= last_serial:
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
        """Returns whether commits have failed for too long to wait for them."""
        since = self._committer.failing_since
        if since is None or not self._unflushed:
            return False
        return self._timers.now() - since >= OUTAGE_DETECTION_SECONDS

    def check_writable(self, lease: leases.Lease | None) -> None:
        """Checks before a call is dispatched that its turn could be stored.

        Raises:
            errors.Fenced: this process no longer owns the shard.
            errors.Unavailable: the table is unavailable, and no replica is
                reachable or an outage's limits allow no more turns.
        """
        if lease is None:
            raise errors.Fenced("this process no longer owns the shard")
        if not self.in_outage():
            return
        reachable = self._replicas.any_reachable(lease)
        if not reachable or not self.can_buffer_more():
            raise errors.Unavailable(
                "the table is unavailable and no replica can hold more turns; "
                "retry later"
            )

    def can_buffer_more(self) -> bool:
        """Returns whether an outage's limits allow more unflushed turns."""
        since = self._committer.failing_since
        if (
            since is not None
            and self._timers.now() - since > MAX_OUTAGE_SECONDS
        ):
            return False
        unflushed_length = sum(
            turns_lib.text_length(turn)
            for stored in self._unflushed.values()
            for turn in stored.uncommitted_turns
        )
        return unflushed_length < self._limits.max_unflushed_length

    def has_unflushed(self, stored: stored_lib.StoredProgram) -> bool:
        """Returns whether the table lacks changes of the program."""
        return (
            stored.committed_serial < stored.row.serial
            and stored.failure is None
        )

    def fail_shard(self, shard: str) -> None:
        """Gives up the unflushed programs of a shard that was lost."""
        prefix = shard + "."
        for program_id in list(self._unflushed):
            if program_id.startswith(prefix):
                self._give_up(self._unflushed[program_id])

    def flush(self, seconds: float) -> bool:
        """Waits until the table has all changes; returns whether it has."""
        deadline = self._timers.now() + seconds
        while self._unflushed and self._timers.now() < deadline:
            self._timers.sleep(self._limits.min_interval_seconds)
        return not self._unflushed

    def _enqueue(self, stored: stored_lib.StoredProgram) -> None:
        self._unflushed[stored.row.program_id] = stored
        if not self._flushing:
            self._flushing = True
            due = self._flushed_at + self._limits.min_interval_seconds
            self._timers.after(due - self._timers.now(), self._flush)

    def _flush(self) -> None:
        """Commits groups until no program has unflushed changes."""
        try:
            while self._unflushed:
                changes = self._next_group()
                if changes:
                    self._apply(self._committer.commit(changes))
                if self._unflushed:
                    self._timers.sleep(self._limits.min_interval_seconds)
        finally:
            self._flushing = False
            self._flushed_at = self._timers.now()

    def _next_group(self) -> list[commits.Change]:
        group: list[commits.Change] = []
        group_length = 0
        for stored in list(self._unflushed.values()):
            shard = _shard_of(stored)
            lease = self._shards.write_lease(shard, stored.epoch)
            if lease is None:
                self._give_up(stored)
                continue
            added_length = sum(
                turns_lib.text_length(turn) for turn in stored.uncommitted_turns
            )
            full = len(group) >= self._limits.max_programs
            if full or (
                group
                and group_length + added_length > self._limits.max_text_length
            ):
                break
            group_length += added_length
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
            self._handle_written(
                in_flight[change.row.program_id], change, result
            )
        for change in result.fenced:
            self._handle_fenced(in_flight[change.row.program_id], change)
        for change in result.lost:
            self._handle_lost(in_flight[change.row.program_id], change)
        self._release_replicas(result)

    def _handle_written(
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
            self._remove_unflushed(stored)
        stored.notify()

    def _handle_fenced(
        self, stored: stored_lib.StoredProgram, change: commits.Change
    ) -> None:
        """Gives up a program whose row another process has written."""
        self._metrics.count("fenced_programs")
        if stored.failure is None:
            self._give_up(stored)

    def _handle_lost(
        self, stored: stored_lib.StoredProgram, change: commits.Change
    ) -> None:
        """Gives up a program whose shard's row has changed."""
        shard = change.lease.shard
        lease = self._shards.write_lease(shard, stored.epoch)
        if lease is not None and lease != change.lease:
            # The lease was renewed or handed over during the commit. The
            # program stays unflushed and is written under the new lease.
            return
        self._metrics.count("lost_programs")
        if stored.failure is None:
            self._give_up(stored)
        self._shards.drop(shard, change.lease.epoch)

    def _remove_unflushed(self, stored: stored_lib.StoredProgram) -> None:
        program_id = stored.row.program_id
        if self._unflushed.get(program_id) is stored:
            self._unflushed.pop(program_id)

    def _give_up(self, stored: stored_lib.StoredProgram) -> None:
        """Marks a program as failed, so that nothing more of it is written."""
        self._remove_unflushed(stored)
        stored.failure = errors.Fenced(
            f"shard {_shard_of(stored)} has another owner now; send the "
            "request there"
        )
        stored.notify()

    def _replicate(self, stored: stored_lib.StoredProgram) -> None:
        """Sends the program's unflushed changes to a replica."""
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
        """Notifies replicas of programs that they need not hold any more."""
        flushed: dict[tuple[str, str], dict[str, int]] = {}
        shard_leases: dict[str, leases.Lease] = {}
        for change in result.written:
            program_id = change.row.program_id
            for address in self._holders.pop(program_id, ()):
                key = (address, change.lease.shard)
                flushed.setdefault(key, {})[program_id] = change.row.serial
                shard_leases[change.lease.shard] = change.lease
        for (address, shard), serials in flushed.items():
            self._replicas.notify_flushed(address, shard_leases[shard], serials)


def _shard_of(stored: stored_lib.StoredProgram) -> str:
    return ids_lib.parse_program(stored.row.program_id).shard_name
