"""What the table has of a shard, and the proof of owning it."""

from __future__ import annotations

import dataclasses

from endivepier.storage import ports

ROW_PREFIX = "shard/"


@dataclasses.dataclass(frozen=True, slots=True)
class ShardRow:
    """The table's row of a shard.

    Attributes:
        owner: address of the owning process.
        incarnation: which start of that process.
        epoch: how often the shard changed owners.
        write_id: unique for each write of the row.
        inherited: the first epoch since which each owner handed the shard
            over gracefully, so that its reservations are known to be unused.
        replicas: addresses of the sidecars that may hold unflushed turns.
    """

    owner: str
    incarnation: str
    epoch: int
    write_id: str
    inherited: int = 0
    replicas: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Proof of ownership, to make writes conditional on.

    Attributes:
        shard: name of the shard.
        epoch: the epoch of this ownership.
        version: version of the shard's row.
        inherited: see `ShardRow`.
        replicas: see `ShardRow`.
        taken: monotonic time at which it was taken, in seconds.
    """

    shard: str
    epoch: int
    version: int
    inherited: int = 0
    replicas: tuple[str, ...] = ()
    taken: float = 0.0

    def condition(self) -> ports.Condition:
        """Returns the condition that fails once somebody else has taken it."""
        return ports.VersionIs(ROW_PREFIX + self.shard, self.version)


def pool_of(shard: str) -> str:
    """Returns the pool that a shard belongs to."""
    return shard.rpartition(".")[0]
