"""What hosts tell each other about programs that begin without the store.

`Notice` and `Noted`, `Inquiry` and `Answer`, `Claim` and `Claimed` are messages
and their replies. `Assumption` is stored in the row of a program's budget.
"""

from __future__ import annotations

import dataclasses

from endivepier.internal import names

NOTICE = "opening-notice"
INQUIRY = "opening-inquiry"
CLAIM = "opening-claim"


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """Tells whether its sender may open programs without the store.

    Attributes:
        host: the sender.
        since: when its process started, Unix seconds by its own clock.
        number: of the notice; a later one of the process has a higher number.
        is_open: whether the process may have opened programs that are not
            recorded yet.
        is_clear: whether no lost process of the host can have opened any that
            are not recorded.
    """

    host: names.Name
    since: float
    number: int
    is_open: bool
    is_clear: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Noted:
    """The reply to `Notice`.

    Attributes:
        is_noted: whether its receiver will remember it.
    """

    is_noted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Inquiry:
    """Asks whether a host has opened no program that may still run.

    Attributes:
        host: the host.
        lost_at: when it was found that a process of the host had been lost,
            Unix seconds by that host's clock; 0 if none was lately.
        seconds: for how long back it matters.
        replaces: whether the sender grants from now on what that host may
            open, so that the receiver must note no further opening of it.
    """

    host: names.Name
    lost_at: float
    seconds: float
    replaces: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The reply to `Inquiry`.

    Attributes:
        rules_out: whether its sender would know of any opening, and knows of
            none.
        others: the number of hosts beside the one that was asked about, as
            known to its sender.
    """

    rules_out: bool
    others: int


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Asks a host never to open a program, which has begun elsewhere.

    Attributes:
        program: the program's id.
        seconds: how long ago it began.
    """

    program: names.Name
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The reply to `Claim`.

    Attributes:
        is_clear: whether neither its sender nor a lost process of its host has
            opened the program without recording it.
    """

    is_clear: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Assumption:
    """Tokens of a budget that other hosts may have granted without the store.

    Attributes:
        hosts: the hosts that may have; empty if they are unknown.
        at: when the program began at the host that assumes it, Unix seconds.
    """

    hosts: tuple[str, ...]
    at: float
