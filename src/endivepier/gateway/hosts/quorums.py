"""How many of a host's witnesses must agree before it, or another host, acts.

One host may do something only while enough witnesses know of it, and another
one may take its place once enough of them have ruled that out. Both numbers
together exceed the number of witnesses, so that one of them is asked by both.
Each is reached while fewer than half of all hosts are lost.
"""

from __future__ import annotations


def to_act(witnesses: int) -> int:
    """Returns how many witnesses must know of it before a host acts."""
    return (witnesses + 1) // 2


def to_replace(witnesses: int) -> int:
    """Returns how many witnesses must rule out that a silent host acts."""
    return witnesses // 2 + 1
