"""Numbers for what a process gives out and other processes refer to later.

A message that refers to such a number may arrive after the process has been
replaced by another one at the same host. Were the numbers of each process to
begin at 1, the new process would take it for one of its own.
"""

from __future__ import annotations

from collections.abc import Iterator
import itertools
import random

FIRST_BITS = 62  # two processes count up from places that are far apart


def numbers(rng: random.Random) -> Iterator[int]:
    """Returns positive numbers, in sequence from a random one.

    Args:
        rng: must differ between the processes of a host.
    """
    return itertools.count(rng.getrandbits(FIRST_BITS) + 1)
