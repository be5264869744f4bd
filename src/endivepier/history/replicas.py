"""Copies of unflushed changes in the memory of sidecars in other data centres.

While the table can't be written, a shard's owner sends its unflushed changes
to one of the replicas that the shard's row names. A successor collects them
from the replicas before it serves the shard. A replica that has answered a
successor accepts no changes from earlier epochs, so a former owner that
resumes after a pause never takes a turn for durable that the successor lacks.
"""

from __future__ import annotations

import dataclasses

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.history import records
from endivepier.internal import codec
from endivepier.internal import peers as peers_lib
from endivepier.membership import view as view_lib
from endivepier.ownership import leases
from endivepier.telemetry import metrics as metrics_lib

HOLD_CALL_SECONDS = 1.0
COLLECT_CALL_SECONDS = 1.0
COLLECT_RETRY_SECONDS = 0.1
COLLECT_TIMEOUT_SECONDS = 30.0
MAX_REPLICA_BYTES = 32 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Unflushed:
    """The changes of a program that may not be in the table.

    Attributes:
        row: the program's row with all changes.
        turns: the turns that may not be in the table, in order.
    """

    row: records.ProgramRow
    turns: tuple[records.TurnRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Message: asks a replica to hold a program's unflushed changes."""

    shard: str
    epoch: int
    unflushed: Unflushed


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Reply to `Hold` and `Flushed`: the replica has processed the message."""

    shard: str


@dataclasses.dataclass(frozen=True, slots=True)
class Flushed:
    """Message: tells a replica which serials of programs the table has.

    Attributes:
        shard: name of the shard.
        epoch: the epoch of the shard's owner, which sends the message.
        programs: ids of the programs.
        serials: for each program, the serial of its row in the table.
    """

    shard: str
    epoch: int
    programs: tuple[str, ...]
    serials: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Collect:
    """Message: requests the changes held of a shard, for owner `epoch`."""

    shard: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Collected:
    """Reply to `Collect`: the changes that the replica holds of the shard."""

    unflushed: tuple[Unflushed, ...]


@dataclasses.dataclass(slots=True)
class _Shard:
    """The changes that this replica holds of one shard.

    Attributes:
        epoch: the latest epoch seen; earlier ones can't change `programs`.
        programs: by program id, the changes and their encoded size in bytes.
    """

    epoch: int
    programs: dict[str, tuple[Unflushed, int]]


class Replicas:
    """Holds changes of other owners, and sends own changes to replicas."""

    def __init__(
        self,
        peers: peers_lib.Peers,
        view: view_lib.View,
        timers: timers_lib.Timers,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._peers = peers
        self._view = view
        self._timers = timers
        self._metrics = metrics
        self._shards: dict[str, _Shard] = {}
        self._bytes = 0

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Registers the handlers for messages of owners and successors."""
        inbox.register(Hold, Held, self.hold)
        inbox.register(Flushed, Held, self.flushed)
        inbox.register(Collect, Collected, self.collect)

    def shards(self) -> list[str]:
        """Returns the names of the shards of which changes are held."""
        return [name for name, held in self._shards.items() if held.programs]

    def snapshot(self, shard: str) -> dict[str, Unflushed]:
        """Returns the changes now held of a shard, by program id."""
        held = self._shards.get(shard)
        if held is None:
            return {}
        return {name: item for name, (item, _) in held.programs.items()}

    def drop(self, shard: str, before: dict[str, Unflushed]) -> None:
        """Drops the changes that have not been replaced since `before`.

        Call it once the shard's owner, asked after the snapshot `before`, has
        reported that nothing is unflushed.
        """
        held = self._shards.get(shard)
        if held is None:
            return
        for name, (item, size) in list(held.programs.items()):
            if before.get(name) is item:
                held.programs.pop(name)
                self._bytes -= size

    def hold(self, req: Hold) -> Held:
        """Holds a program's unflushed changes in place of earlier ones.

        Raises:
            errors.Refused: `WRONG_OWNER` if a later epoch is known,
                `OVERLOADED` if the replica's memory limit is reached.
        """
        shard = self._shards.setdefault(req.shard, _Shard(req.epoch, {}))
        if req.epoch < shard.epoch:
            raise errors.Refused(
                errors.Code.WRONG_OWNER, 421, "the shard has a later epoch"
            )
        shard.epoch = req.epoch
        size = len(codec.encode(req.unflushed))
        program_id = req.unflushed.row.program_id
        previous = shard.programs.get(program_id)
        added_bytes = size - (previous[1] if previous else 0)
        if self._bytes + added_bytes > MAX_REPLICA_BYTES:
            raise errors.Refused(
                errors.Code.OVERLOADED,
                503,
                "the replica's memory limit is reached",
            )
        self._bytes += added_bytes
        shard.programs[program_id] = (req.unflushed, size)
        self._metrics.set("replica_bytes", self._bytes)
        return Held(req.shard)

    def flushed(self, req: Flushed) -> Held:
        """Drops the changes that the table has; ignores earlier epochs."""
        shard = self._shards.get(req.shard)
        if shard is not None and req.epoch >= shard.epoch:
            for name, serial in zip(req.programs, req.serials, strict=True):
                entry = shard.programs.get(name)
                if entry is not None and entry[0].row.serial <= serial:
                    self._bytes -= entry[1]
                    shard.programs.pop(name)
        return Held(req.shard)

    def collect(self, req: Collect) -> Collected:
        """Returns a shard's changes; earlier epochs are refused from then on.

        Raises:
            errors.Refused: `WRONG_OWNER` if a later epoch is known.
        """
        shard = self._shards.setdefault(req.shard, _Shard(req.epoch, {}))
        if req.epoch < shard.epoch:
            raise errors.Refused(
                errors.Code.WRONG_OWNER, 421, "the shard has a later epoch"
            )
        shard.epoch = req.epoch
        return Collected(tuple(item for item, _ in shard.programs.values()))

    def any_reachable(self, lease: leases.Lease) -> bool:
        """Returns whether a replica of the shard answers heartbeats."""
        return any(
            self._view.find(address) is not None for address in lease.replicas
        )

    def replicate(self, lease: leases.Lease, unflushed: Unflushed) -> str:
        """Sends a program's changes to the first replica that accepts them.

        Returns:
            The address of the replica; empty if none accepted.
        """
        message = Hold(lease.shard, lease.epoch, unflushed)
        for address in lease.replicas:
            try:
                self._peers.call(
                    address, message, Held, seconds=HOLD_CALL_SECONDS
                )
            except (errors.PeerUnreachable, errors.Refused):
                continue
            self._metrics.count("replicated_records")
            return address
        return ""

    def notify_flushed(
        self, address: str, lease: leases.Lease, flushed: dict[str, int]
    ) -> None:
        """Tells a replica which changes it need not hold any more.

        If the replica can't be reached, it keeps them until the shard's owner
        reports that nothing is unflushed; see `drop`.

        Args:
            address: address of the replica.
            lease: the lease of the shard.
            flushed: by program id, the serial of the row in the table.
        """
        message = Flushed(
            lease.shard, lease.epoch, tuple(flushed), tuple(flushed.values())
        )
        try:
            self._peers.call(address, message, Held, seconds=HOLD_CALL_SECONDS)
        except (errors.PeerUnreachable, errors.Refused):
            return

    def fetch_unflushed(
        self, lease: leases.Lease, former: tuple[str, ...]
    ) -> list[Unflushed]:
        """Returns the changes that the former owner's replicas hold.

        A replica that refuses the connection has stopped and lost its memory.
        One that does not answer may still hold changes, so the call is
        repeated until `COLLECT_TIMEOUT_SECONDS` have passed for all replicas
        together; after that, its changes are missing from the result.

        Args:
            lease: the new owner's lease of the shard.
            former: addresses of the replicas that the shard's row named.
        """
        collected: list[Unflushed] = []
        deadline = self._timers.now() + COLLECT_TIMEOUT_SECONDS
        message = Collect(lease.shard, lease.epoch)
        for address in former:
            while True:
                try:
                    answer = self._peers.call(
                        address,
                        message,
                        Collected,
                        seconds=COLLECT_CALL_SECONDS,
                    )
                    collected.extend(answer.unflushed)
                    break
                except errors.Refused:
                    break
                except errors.PeerUnreachable as exc:
                    # "connection refused" is the operating system's text.
                    stopped = not exc.sent and "refused" in str(exc)
                    if stopped or self._timers.now() >= deadline:
                        self._metrics.count("replicas_not_collected")
                        break
                    self._timers.sleep(COLLECT_RETRY_SECONDS)
        return collected
