"""Unique ids for requests, writes, programs and processes."""

from __future__ import annotations

import dataclasses
import random
import re

from endivepier import errors

RANDOM_BITS = 96  # 24 hexadecimal digits
PROGRAM_PATTERN = re.compile(r"([a-z0-9-]{1,40})\.(\d{1,6})\.([0-9a-f]{24})")


class Ids:
    """Generates unique ids from one source of random numbers."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.SystemRandom()

    def unique(self) -> str:
        """Returns a new id of 24 hexadecimal digits."""
        return f"{self._rng.getrandbits(RANDOM_BITS):024x}"

    def program(self, pool: str, shards: int) -> ProgramId:
        """Returns an id for a new program, in a random shard of `pool`."""
        return ProgramId(pool, self._rng.randrange(shards), self.unique())


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramId:
    """The id of a program, which contains the program's shard.

    The shard is part of the id instead of a hash of it. A pool can therefore
    change its number of shards without moving existing programs.

    Attributes:
        pool: the pool of engines that runs its model calls.
        shard: number of the shard within the pool.
        unique: 24 hexadecimal digits.
    """

    pool: str
    shard: int
    unique: str

    def __str__(self) -> str:
        return f"{self.pool}.{self.shard}.{self.unique}"

    @property
    def shard_name(self) -> str:
        """The name of the shard, unique across all pools."""
        return f"{self.pool}.{self.shard}"


def parse_program(text: str) -> ProgramId:
    """Parses a program id.

    Raises:
        errors.Refused: `NOT_FOUND` if `text` is malformed, since no program has
            such an id.
    """
    match = PROGRAM_PATTERN.fullmatch(text)
    if match is None:
        raise program_not_found(text)
    return ProgramId(match[1], int(match[2]), match[3])


def program_not_found(text: str) -> errors.Refused:
    """Returns the refusal for a missing program.

    Programs of other client accounts get the same refusal, which does not
    reveal that they exist.
    """
    return errors.Refused(
        errors.Code.NOT_FOUND, 404, f"there is no program {text[:80]!r}"
    )
