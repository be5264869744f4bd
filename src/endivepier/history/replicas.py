"""Unflushed turns in the memory of sidecars in other data centres.

While the table can't be written, an owner sends what it could not flush to
the replicas that its shard's row names. A successor collects it before it
serves the shard. A replica that has answered a successor takes nothing more
from earlier epochs, so that a former owner that wakes up is never told that
its turn is safe.
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

HOLD_SECONDS = 1.0
COLLECT_SECONDS = 1.0
COLLECT_PAUSE_SECONDS = 0.1
GIVE_UP_SECONDS = 30.0
REPLICA_BYTES = 32 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Unflushed:
    """What a program has beyond the table.

    Attributes:
        row: the program's row as it shall be.
        turns: the turns that may not be in the table, in order.
    """

    row: records.ProgramRow
    turns: tuple[records.TurnRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Message: hold what a program has unflushed."""

    shard: str
    epoch: int
    unflushed: Unflushed


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Answer: it is held."""

    shard: str


@dataclasses.dataclass(frozen=True, slots=True)
class Flushed:
    """Message: the owner of `epoch` has flushed these programs up to serials.

    Attributes:
        shard: the shard.
        epoch: the epoch of the owner.
        programs: ids of the programs.
        serials: the serial of each program's row that is in the table.
    """

    shard: str
    epoch: int
    programs: tuple[str, ...]
    serials: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Collect:
    """Message: the owner of `epoch` asks for what is held of a shard."""

    shard: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Collected:
    """Answer: what is held of the shard."""

    unflushed: tuple[Unflushed, ...]


@dataclasses.dataclass(slots=True)
class _Shard:
    """What is held of one shard.

    Attributes:
        epoch: nothing from earlier epochs is taken.
        programs: by program id, with the size in bytes.
    """

    epoch: int
    programs: dict[str, tuple[Unflushed, int]]


class Replicas:
    """Holds for others, and has others hold for this process."""

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
        """Takes the messages of owners and successors."""
        inbox.register(Hold, Held, self.hold)
        inbox.register(Flushed, Held, self.flushed)
        inbox.register(Collect, Collected, self.collect)

    def shards(self) -> list[str]:
        """Returns the shards of which something is held."""
        return [name for name, held in self._shards.items() if held.programs]

    def snapshot(self, shard: str) -> dict[str, Unflushed]:
        """Returns what is held of a shard now, by program id."""
        held = self._shards.get(shard)
        if held is None:
            return {}
        return {name: item for name, (item, _) in held.programs.items()}

    def drop(self, shard: str, known: dict[str, Unflushed]) -> None:
        """Drops what has not changed since the snapshot `known`."""
        held = self._shards.get(shard)
        if held is None:
            return
        for name, (item, size) in list(held.programs.items()):
            if known.get(name) is item:
                held.programs.pop(name)
                self._bytes -= size

    def hold(self, req: Hold) -> Held:
        """Holds what a program has unflushed.

        Raises:
            errors.Refused: `WRONG_OWNER` if the epoch is old, `OVERLOADED`
                if there is no room.
        """
        shard = self._shards.setdefault(req.shard, _Shard(req.epoch, {}))
        if req.epoch < shard.epoch:
            raise errors.Refused(
                errors.Code.WRONG_OWNER, 421, "the epoch is old"
            )
        shard.epoch = req.epoch
        size = len(codec.encode(req.unflushed))
        program_id = req.unflushed.row.program_id
        known = shard.programs.get(program_id)
        grown = size - (known[1] if known else 0)
        if self._bytes + grown > REPLICA_BYTES:
            raise errors.Refused(
                errors.Code.OVERLOADED, 503, "the replica is full"
            )
        self._bytes += grown
        shard.programs[program_id] = (req.unflushed, size)
        self._metrics.set("replica_bytes", self._bytes)
        return Held(req.shard)

    def flushed(self, req: Flushed) -> Held:
        """Drops what the table has."""
        shard = self._shards.get(req.shard)
        if shard is not None and req.epoch >= shard.epoch:
            for name, serial in zip(req.programs, req.serials, strict=True):
                known = shard.programs.get(name)
                if known is not None and known[0].row.serial <= serial:
                    self._bytes -= known[1]
                    shard.programs.pop(name)
        return Held(req.shard)

    def collect(self, req: Collect) -> Collected:
        """Gives a successor what is held; refuses earlier epochs from now on.

        Raises:
            errors.Refused: `WRONG_OWNER` if a later owner has asked.
        """
        shard = self._shards.setdefault(req.shard, _Shard(req.epoch, {}))
        if req.epoch < shard.epoch:
            raise errors.Refused(
                errors.Code.WRONG_OWNER, 421, "the epoch is old"
            )
        shard.epoch = req.epoch
        return Collected(tuple(item for item, _ in shard.programs.values()))

    def any_reachable(self, lease: leases.Lease) -> bool:
        """Returns whether one of the shard's replicas answers others."""
        return any(
            self._view.find(address) is not None for address in lease.replicas
        )

    def replicate(self, lease: leases.Lease, unflushed: Unflushed) -> str:
        """Has one of the shard's replicas hold what a program has unflushed.

        Returns:
            The address of the replica; empty if none took it.
        """
        message = Hold(lease.shard, lease.epoch, unflushed)
        for address in lease.replicas:
            try:
                self._peers.call(address, message, Held, seconds=HOLD_SECONDS)
            except (errors.PeerUnreachable, errors.Refused):
                continue
            self._metrics.count("replicated_records")
            return address
        return ""

    def notify_flushed(
        self, address: str, lease: leases.Lease, done: dict[str, int]
    ) -> None:
        """Tells a replica what it need not hold any more."""
        message = Flushed(
            lease.shard, lease.epoch, tuple(done), tuple(done.values())
        )
        try:
            self._peers.call(address, message, Held, seconds=HOLD_SECONDS)
        except (errors.PeerUnreachable, errors.Refused):
            return

    def fetch_unflushed(
        self, lease: leases.Lease, former: tuple[str, ...]
    ) -> list[Unflushed]:
        """Returns what the former owner's replicas hold.

        A replica that refuses the connection is gone with its memory. One
        that does not answer may still hold something: it is asked again,
        until `GIVE_UP_SECONDS` have passed.
        """
        found: list[Unflushed] = []
        deadline = self._timers.now() + GIVE_UP_SECONDS
        message = Collect(lease.shard, lease.epoch)
        for address in former:
            while True:
                try:
                    answer = self._peers.call(
                        address, message, Collected, seconds=COLLECT_SECONDS
                    )
                    found.extend(answer.unflushed)
                    break
                except errors.Refused:
                    break
                except errors.PeerUnreachable as exc:
                    gone = not exc.sent and "refused" in str(exc)
                    if gone or self._timers.now() >= deadline:
                        self._metrics.count("replicas_not_collected")
                        break
                    self._timers.sleep(COLLECT_PAUSE_SECONDS)
        return found
