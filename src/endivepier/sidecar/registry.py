"""The programs in this sidecar's memory: loaded when asked for, then evicted.

What stands here can be read from the table again, except what a program has
unflushed; such programs stay.
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

IDLE_SECONDS = 600.0
MEMORY_BYTES = 64 * 1024 * 1024
PROGRAM_BYTES = 4096
RETRY_SECONDS = 0.5
RELEASE_POLL_SECONDS = 0.05


@dataclasses.dataclass(slots=True, eq=False)
class Program:
    """A program in memory.

    Attributes:
        stored: what the journal has of it.
        lock: held by the call that runs; calls wait in order of arrival.
        used: monotonic time of the last use, in seconds.
        counted: bytes of its history that the registry has counted.
    """

    stored: stored_lib.StoredProgram
    lock: gevent.lock.BoundedSemaphore
    used: float
    counted: int

    @property
    def running(self) -> bool:
        """Whether a call of it runs."""
        return bool(self.lock.locked())


@dataclasses.dataclass(frozen=True, slots=True)
class Finisher:
    """The process that still runs a call of a program handed over to us."""

    address: str
    incarnation: str


class Registry:
    """Finds the programs of the shards that this process owns."""

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
        self._loading: dict[str, gevent.lock.BoundedSemaphore] = {}
        self._finishers: dict[str, Finisher] = {}
        self._leaving: set[str] = set()
        self._abandoned: set[str] = set()
        self._bytes = 0
        shards.subscribe(self.recover, self.forget)

    def peek(self, program_id: str) -> Program | None:
        """Returns a program if it is in memory."""
        return self._programs.get(program_id)

    def current(self, program_id: str, lease: leases.Lease) -> Program | None:
        """Returns a program if memory has it as of this ownership."""
        return self._usable(program_id, lease)

    def programs(self, shard: str) -> list[tuple[str, Program]]:
        """Returns a shard's programs that are in memory."""
        prefix = shard + "."
        return [
            (name, program)
            for name, program in self._programs.items()
            if name.startswith(prefix)
        ]

    def lease(self, program_id: str) -> leases.Lease:
        """Returns the lease of a program's shard.

        Raises:
            errors.Refused: this process does not own it, or not for long.
        """
        program = ids_lib.parse_program(program_id)
        if program.shard_name in self._leaving:
            raise shards_lib.wrong_owner("", "it is being handed over")
        lease = self._shards.acquire(program)
        self._await_finisher(program_id)
        return lease

    def find(self, program_id: str, account: str) -> Program:
        """Returns a program of `account`; loads it if need be.

        Raises:
            errors.Refused: there is none, or it can't be read here.
        """
        lease = self.lease(program_id)
        program = self._loaded(program_id, lease)
        if program is None or program.stored.row.account != account:
            raise ids_lib.program_not_found(program_id)
        program.used = self._timers.now()
        self._programs.move_to_end(program_id)
        return program

    @contextlib.contextmanager
    def exclusive(self, program_id: str, account: str) -> Iterator[Program]:
        """Holds a program for one call; waits for the calls before it.

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
            program.used = self._timers.now()
            self._count_again(program_id, program)
            program.lock.release()

    def create(self, row: records.ProgramRow) -> Program:
        """Returns the program of `row`, which is written unless it is there.

        Raises:
            errors.Refused: it can't be read or written here.
        """
        lease = self.lease(row.program_id)
        program = self._loaded(row.program_id, lease)
        if program is None:
            stored = stored_lib.StoredProgram(row, 0, (), lease.epoch)
            program = self._add(row.program_id, stored)
            self._journal.append(stored, row)
        return program

    def is_there(self, program_id: str) -> bool:
        """Returns whether the program was created before."""
        lease = self.lease(program_id)
        return self._loaded(program_id, lease) is not None

    def reload(self, program_id: str, stored: stored_lib.StoredProgram) -> None:
        """Brings what memory has of a program to what the table has."""
        found = self._load(program_id, self.lease(program_id))
        if found is not None:
            stored.row = found.row
            stored.version = found.version
            stored.turns = found.turns
            stored.text_length = found.text_length
            stored.committed_serial = stored.durable_serial = found.row.serial

    def recover(self, lease: leases.Lease, former: tuple[str, ...]) -> None:
        """Takes over what the former owner of a shard had not flushed.

        Raises:
            errors.Refused: the table can't be read now.
        """
        for extra in self._replicas.fetch_unflushed(lease, former):
            program_id = extra.row.program_id
            stored = self._load(program_id, lease)
            if stored is None:
                stored = stored_lib.StoredProgram(
                    dataclasses.replace(extra.row, serial=0, turn=0, digest=""),
                    0,
                    (),
                    lease.epoch,
                )
            if self._journal.merge(stored, extra, former):
                self._write_off(stored, lease)
                self._add(program_id, stored)
                self._metrics.count("recovered_programs")

    def forget(self, shard: str) -> None:
        """Drops what memory has of a shard's programs."""
        self._journal.fail_shard(shard)
        for name, _ in self.programs(shard):
            self._remove(name)

    def leave(self, shard: str) -> list[str]:
        """Stops new calls of a shard; returns the programs still in use."""
        self._leaving.add(shard)
        return [
            name
            for name, program in self.programs(shard)
            if self.in_use(program)
        ]

    def left(self, shard: str) -> None:
        """Ends what `leave` began, whether the shard is gone or not."""
        self._leaving.discard(shard)

    def in_use(self, program: Program) -> bool:
        """Returns whether a call runs or something is unflushed."""
        return program.running or self._journal.has_unflushed(program.stored)

    def await_finishing(self, programs: list[str], finisher: Finisher) -> None:
        """Has calls of `programs` wait until `finisher` is done with them."""
        for name in programs:
            self._finishers[name] = finisher

    def finished(self, programs: tuple[str, ...]) -> None:
        """Lets calls of `programs` run here."""
        for name in programs:
            self._finishers.pop(name, None)

    def evict(self) -> None:
        """Drops programs that were not used for long, or for want of room."""
        horizon = self._timers.now() - IDLE_SECONDS
        for name, program in list(self._programs.items()):
            if program.used > horizon and self._bytes <= MEMORY_BYTES:
                break
            if not self.in_use(program):
                self._remove(name)
                self._metrics.count("evicted_programs")
        self._metrics.set("programs_in_memory", len(self._programs))

    def _is_current(self, program_id: str, program: Program) -> bool:
        """Returns whether what was found still holds after a wait."""
        if self._programs.get(program_id) is not program:
            return False
        if program.stored.failure is not None:
            return False
        shard = ids_lib.parse_program(program_id).shard_name
        lease = self._shards.current(shard)
        if lease is None or shard in self._leaving:
            return False
        return lease.epoch == program.stored.epoch

    def _loaded(self, program_id: str, lease: leases.Lease) -> Program | None:
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
        """Returns a program from memory if it can still be written."""
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
            self._write_off(stored, lease)
            self._metrics.count("loaded_programs")
        return stored

    def _write_off(
        self, stored: stored_lib.StoredProgram, lease: leases.Lease
    ) -> None:
        """Counts what a lost owner had reserved as used."""
        row = stored.row
        if not row.reserved_calls:
            return
        abandoned = row.program_id in self._abandoned
        self._abandoned.discard(row.program_id)
        inherited = lease.inherited <= row.reserved_epoch <= lease.epoch
        if inherited and not abandoned:
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
        self._bytes += PROGRAM_BYTES + stored.text_length
        return program

    def _remove(self, program_id: str) -> None:
        program = self._programs.pop(program_id, None)
        if program is not None:
            self._bytes -= PROGRAM_BYTES + program.counted

    def _count_again(self, program_id: str, program: Program) -> None:
        """Notes the size of a history that has grown."""
        if self._programs.get(program_id) is program:
            self._bytes += program.stored.text_length - program.counted
            program.counted = program.stored.text_length

    def _await_finisher(self, program_id: str) -> None:
        """Waits while the former owner runs a call of the program."""
        while True:
            finisher = self._finishers.get(program_id)
            if finisher is None:
                return
            member = self._view.find(finisher.address)
            if member is None or member.incarnation != finisher.incarnation:
                # What became of the call that ran there can't be known.
                self._abandoned.add(program_id)
                self._finishers.pop(program_id, None)
                return
            self._timers.sleep(RELEASE_POLL_SECONDS)


def store_unavailable(ran: errors.Ran) -> errors.Refused:
    """Returns the refusal while a history can't be read or written."""
    return errors.Refused(
        errors.Code.STORE_UNAVAILABLE,
        503,
        "the program's history can't be read or written now; retry later",
        ran=ran,
        retry_after=1.0,
    )


@contextlib.contextmanager
def writing(registry: Registry, program: Program) -> Iterator[None]:
    """Turns the loss of the shard or of the store into refusals."""
    row = program.stored.row
    try:
        yield
    except errors.Fenced:
        registry.finished((row.program_id,))
        raise errors.Refused(
            errors.Code.WRONG_OWNER,
            421,
            "another process took the shard over",
            ran=errors.Ran.UNKNOWN,
            retry_after=RETRY_SECONDS,
        ) from None
    except errors.OutcomeUnknown:
        raise store_unavailable(errors.Ran.UNKNOWN) from None
