"""Cache of the programs that this sidecar owns.

A program is loaded from the table at its first use. It is evicted when idle or
when memory is full, but never while a call uses it or changes are unflushed.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
import contextlib
import dataclasses

import gevent.lock

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.history import budgets
from endivepier.history import journal as journal_lib
from endivepier.history import records
from endivepier.history import replicas as replicas_lib
from endivepier.history import stored as stored_lib
from endivepier.internal import ids as ids_lib
from endivepier.membership import view as view_lib
from endivepier.ownership import leases
from endivepier.ownership import shards as shards_lib
from endivepier.telemetry import metrics as metrics_lib

IDLE_EVICTION_SECONDS = 600.0
MAX_MEMORY_BYTES = 64 * 1024 * 1024
PROGRAM_OVERHEAD_BYTES = 4096
RETRY_AFTER_SECONDS = 0.5
FORMER_OWNER_POLL_SECONDS = 0.05


@dataclasses.dataclass(slots=True, eq=False)
class Program:
    """A program in memory.

    Attributes:
        stored: its row, its turns and the state of its writes.
        lock: held by the running call; others wait in order of arrival.
        last_used: monotonic time of the last use, in seconds.
        counted_bytes: size of its history in the registry's memory total.
    """

    stored: stored_lib.StoredProgram
    lock: gevent.lock.BoundedSemaphore
    last_used: float
    counted_bytes: int

    @property
    def running(self) -> bool:
        """Whether a call of the program is running."""
        return bool(self.lock.locked())


@dataclasses.dataclass(frozen=True, slots=True)
class FormerOwner:
    """A process that still uses programs of a shard that it handed over."""

    address: str
    incarnation: str


class Registry:
    """Finds programs of the shards that this process owns, by program id."""

    def __init__(
        self,
        shards: shards_lib.Shards,
        journal: journal_lib.Journal,
        replicas: replicas_lib.Replicas,
        view: view_lib.View,
        timers: timers_lib.Timers,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._shards = shards
        self._journal = journal
        self._replicas = replicas
        self._view = view
        self._timers = timers
        self._metrics = metrics
        self._programs: collections.OrderedDict[str, Program] = (
            collections.OrderedDict()
        )
        # By program id: held while a program is read from the table.
        self._loading: dict[str, gevent.lock.BoundedSemaphore] = {}
        # By program id: calls wait while there is an entry.
        self._former_owners: dict[str, FormerOwner] = {}
        # Names of shards that are being handed over to another sidecar.
        self._in_handover: set[str] = set()
        # Ids of programs whose former owner was lost while using them.
        self._interrupted: set[str] = set()
        self._bytes = 0
        shards.subscribe(self.recover, self.drop_shard)

    def peek(self, program_id: str) -> Program | None:
        """Returns a program if it is in memory, even if it is outdated."""
        return self._programs.get(program_id)

    def loaded(self, program_id: str, lease: leases.Lease) -> Program | None:
        """Returns a program if it was loaded or created under `lease`."""
        return self._usable(program_id, lease)

    def programs(self, shard: str) -> list[tuple[str, Program]]:
        """Returns the ids and programs of a shard that are in memory."""
        prefix = shard + "."
        return [
            (program_id, program)
            for program_id, program in self._programs.items()
            if program_id.startswith(prefix)
        ]

    def lease(self, program_id: str) -> leases.Lease:
        """Returns the lease of a program's shard.

        Waits while the shard's former owner still uses the program.

        Raises:
            errors.Refused: `WRONG_OWNER`, or the table is unavailable.
        """
        program = ids_lib.parse_program(program_id)
        if program.shard_name in self._in_handover:
            raise shards_lib.wrong_owner("", "it is being handed over")
        lease = self._shards.acquire(program)
        self._await_former_owner(program_id)
        return lease

    def find(self, program_id: str, account: str) -> Program:
        """Returns a program of a client account, loading it if necessary.

        Raises:
            errors.Refused: the account has no such program; see also `lease`.
        """
        lease = self.lease(program_id)
        program = self._fetch(program_id, lease)
        if program is None or program.stored.row.account != account:
            raise ids_lib.program_not_found(program_id)
        program.last_used = self._timers.now()
        self._programs.move_to_end(program_id)
        return program

    @contextlib.contextmanager
    def exclusive(self, program_id: str, account: str) -> Iterator[Program]:
        """Locks a program for one call; waits for the calls before it.

        Raises:
            errors.Refused: see `find`.
        """
        while True:
            program = self.find(program_id, account)
            program.lock.acquire()
            if self._is_current(program_id, program):
                break
            program.lock.release()
        try:
            yield program
        finally:
            program.last_used = self._timers.now()
            self._update_size(program_id, program)
            program.lock.release()

    def create(self, row: records.ProgramRow) -> Program:
        """Returns the program that has the id of `row`; creates it if absent.

        Raises:
            errors.Refused: it can't be read here; see `lease`.
        """
        lease = self.lease(row.program_id)
        program = self._fetch(row.program_id, lease)
        if program is None:
            stored = stored_lib.StoredProgram(row, 0, (), lease.epoch)
            program = self._add(row.program_id, stored)
            self._journal.append(stored, row)
        return program

    def exists(self, program_id: str) -> bool:
        """Returns whether the program exists in memory or in the table."""
        lease = self.lease(program_id)
        return self._fetch(program_id, lease) is not None

    def reload(self, program_id: str, stored: stored_lib.StoredProgram) -> None:
        """Replaces a program's state in memory by that in the table."""
        loaded = self._load(program_id, self.lease(program_id))
        if loaded is not None:
            stored.row = loaded.row
            stored.version = loaded.version
            stored.turns = loaded.turns
            stored.text_length = loaded.text_length
            stored.committed_serial = stored.durable_serial = loaded.row.serial

    def recover(self, lease: leases.Lease, replicas: tuple[str, ...]) -> None:
        """Collects from `replicas` what a former owner had not flushed.

        Raises:
            errors.Refused: `STORE_UNAVAILABLE` if the table can't be read.
        """
        for extra in self._replicas.fetch_unflushed(lease, replicas):
            program_id = extra.row.program_id
            stored = self._load(program_id, lease)
            if stored is None:
                stored = stored_lib.StoredProgram(
                    dataclasses.replace(extra.row, serial=0, turn=0, digest=""),
                    0,
                    (),
                    lease.epoch,
                )
            if self._journal.merge(stored, extra, replicas):
                self._resolve_reservation(stored, lease)
                self._add(program_id, stored)
                self._metrics.count("recovered_programs")

    def drop_shard(self, shard: str) -> None:
        """Removes a shard's programs from memory; fails pending writes."""
        self._journal.fail_shard(shard)
        for program_id, _ in self.programs(shard):
            self._remove(program_id)

    def begin_handover(self, shard: str) -> list[str]:
        """Refuses new calls of a shard; returns ids of programs in use."""
        self._in_handover.add(shard)
        return [
            program_id
            for program_id, program in self.programs(shard)
            if self.in_use(program)
        ]

    def end_handover(self, shard: str) -> None:
        """Ends `begin_handover`, whether or not the handover succeeded."""
        self._in_handover.discard(shard)

    def in_use(self, program: Program) -> bool:
        """Returns whether a call is running or changes are unflushed."""
        return program.running or self._journal.has_unflushed(program.stored)

    def block_calls(self, programs: list[str], owner: FormerOwner) -> None:
        """Makes calls wait until `unblock_calls` or until `owner` is lost."""
        for program_id in programs:
            self._former_owners[program_id] = owner

    def unblock_calls(self, programs: tuple[str, ...]) -> None:
        """Lets calls proceed that `block_calls` made wait."""
        for program_id in programs:
            self._former_owners.pop(program_id, None)

    def evict(self) -> None:
        """Removes idle programs, and more in LRU order if memory is full."""
        cutoff = self._timers.now() - IDLE_EVICTION_SECONDS
        for program_id, program in list(self._programs.items()):
            if program.last_used > cutoff and self._bytes <= MAX_MEMORY_BYTES:
                break
            if not self.in_use(program):
                self._remove(program_id)
                self._metrics.count("evicted_programs")
        self._metrics.set("programs_in_memory", len(self._programs))

    def _is_current(self, program_id: str, program: Program) -> bool:
        """Returns whether a program is still valid once its lock is held."""
        if self._programs.get(program_id) is not program:
            return False
        if program.stored.failure is not None:
            return False
        shard = ids_lib.parse_program(program_id).shard_name
        lease = self._shards.current(shard)
        if lease is None or shard in self._in_handover:
            return False
        return lease.epoch == program.stored.epoch

    def _fetch(self, program_id: str, lease: leases.Lease) -> Program | None:
        """Returns a program from memory or from the table, or None."""
        program = self._usable(program_id, lease)
        if program is not None:
            return program
        lock = self._loading.setdefault(
            program_id, gevent.lock.BoundedSemaphore()
        )
        try:
            with lock:
                program = self._usable(program_id, lease)
                if program is not None:
                    return program
                stored = self._load(program_id, lease)
                return None if stored is None else self._add(program_id, stored)
        finally:
            if not lock.locked():
                self._loading.pop(program_id, None)

    def _usable(self, program_id: str, lease: leases.Lease) -> Program | None:
        """Returns a program from memory if it is writable under `lease`."""
        program = self._programs.get(program_id)
        if program is None or program.stored.failure is not None:
            return None
        return program if program.stored.epoch == lease.epoch else None

    def _load(
        self, program_id: str, lease: leases.Lease
    ) -> stored_lib.StoredProgram | None:
        try:
            stored = self._journal.load(program_id, lease.epoch)
        except errors.Unavailable:
            raise store_unavailable(errors.Ran.NO) from None
        if stored is not None:
            self._resolve_reservation(stored, lease)
            self._metrics.count("loaded_programs")
        return stored

    def _resolve_reservation(
        self, stored: stored_lib.StoredProgram, lease: leases.Lease
    ) -> None:
        """Takes over or charges a reservation made by a former owner.

        If every owner since has handed the shard over gracefully, no call
        was lost and the reservation is kept for the next one. Otherwise the
        call's outcome is unknown and the reservation is charged in full.
        """
        row = stored.row
        if not row.reserved_calls:
            return
        interrupted = row.program_id in self._interrupted
        self._interrupted.discard(row.program_id)
        inherited = lease.inherited <= row.reserved_epoch <= lease.epoch
        if inherited and not interrupted:
            epoch = lease.epoch
            stored.row = dataclasses.replace(row, reserved_epoch=epoch)
            return
        stored.row = budgets.write_off(row)

    def _add(
        self, program_id: str, stored: stored_lib.StoredProgram
    ) -> Program:
        self._remove(program_id)
        program = Program(
            stored,
            gevent.lock.BoundedSemaphore(),
            self._timers.now(),
            stored.text_length,
        )
        self._programs[program_id] = program
        self._bytes += PROGRAM_OVERHEAD_BYTES + stored.text_length
        return program

    def _remove(self, program_id: str) -> None:
        program = self._programs.pop(program_id, None)
        if program is not None:
            self._bytes -= PROGRAM_OVERHEAD_BYTES + program.counted_bytes

    def _update_size(self, program_id: str, program: Program) -> None:
        """Updates the memory total after a history has grown."""
        if self._programs.get(program_id) is program:
            self._bytes += program.stored.text_length - program.counted_bytes
            program.counted_bytes = program.stored.text_length

    def _await_former_owner(self, program_id: str) -> None:
        """Waits until the former owner no longer uses the program."""
        while True:
            former_owner = self._former_owners.get(program_id)
            if former_owner is None:
                return
            member = self._view.find(former_owner.address)
            if member is None or member.incarnation != former_owner.incarnation:
                # The outcome of the call that ran there is unknown.
                self._interrupted.add(program_id)
                self._former_owners.pop(program_id, None)
                return
            self._timers.sleep(FORMER_OWNER_POLL_SECONDS)


def store_unavailable(ran: errors.Ran) -> errors.Refused:
    """Returns the refusal of a call whose history is not accessible."""
    return errors.Refused(
        errors.Code.STORE_UNAVAILABLE,
        503,
        "the program's history can't be read or written now; retry later",
        ran=ran,
        retry_after=1.0,
    )


@contextlib.contextmanager
def map_write_errors(registry: Registry, program: Program) -> Iterator[None]:
    """Converts errors of the journal's writes into refusals of the call."""
    row = program.stored.row
    try:
        yield
    except errors.Fenced:
        registry.unblock_calls((row.program_id,))
        raise errors.Refused(
            errors.Code.WRONG_OWNER,
            421,
            "another process took the shard over",
            ran=errors.Ran.UNKNOWN,
            retry_after=RETRY_AFTER_SECONDS,
        ) from None
    except errors.OutcomeUnknown:
        raise store_unavailable(errors.Ran.UNKNOWN) from None
