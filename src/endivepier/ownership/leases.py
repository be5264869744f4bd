"""The table's row of a shard, and the lease that proves ownership."""

from __future__ import annotations

import dataclasses

from endivepier.storage import ports

ROW_PREFIX = "shard/"


@dataclasses.dataclass(frozen=True, slots=True)
class ShardRow:
    """The table's row of a shard.

    Attributes:
        owner: address of the owning process.
        incarnation: id of the start of that process; a restart gets a new one.
        epoch: 1 for the first owner; raised by each change of owner.
        write_id: unique for each write of the row.
        inherited: the epoch since which the shard has only changed owners by
            graceful handover, so that a reservation made since then is known
            to be unused.
        replicas: addresses of the sidecars that may hold unflushed changes.
    """

    owner: str
    incarnation: str
    epoch: int
    write_id: str
    inherited: int = 0
    replicas: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Proof of ownership; writes are made conditional on it.

    A lease does not expire: it holds until the shard's row changes.

    Attributes:
        shard: name of the shard.
        epoch: the epoch of this ownership.
        version: version of the shard's row.
        inherited: see `ShardRow`.
        replicas: see `ShardRow`.
        taken: monotonic time at which the lease was written, in seconds.
    """

    shard: str
    epoch: int
    version: int
    inherited: int = 0
    replicas: tuple[str, ...] = ()
    taken: float = 0.0

    def condition(self) -> ports.Condition:
        """Returns a condition that fails once the shard's row has changed."""
        return ports.VersionIs(ROW_PREFIX + self.shard, self.version)


def pool_of(shard: str) -> str:
    """Returns the pool that a shard belongs to."""
    return shard.rpartition(".")[0]
