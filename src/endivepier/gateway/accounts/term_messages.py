"""What hosts tell each other about the terms in which they use their shares.

`Confirm` and `Confirmed`, `End` and `Ended` are messages and their replies.
"""

from __future__ import annotations

import dataclasses

from endivepier.internal import names
from endivepier.limits import leases

CONFIRM = "share-term-confirm"
END = "share-term-end"
# For so long a confirmation counts at the holder, from when it asked for it.
CONFIRMED_SECONDS = 1.5
MAX_WITNESSES = 7


def holder_may_use(age: float) -> bool:
    """Returns whether a confirmation still counts at the holder.

    Args:
        age: seconds since the holder asked for it.
    """
    return age <= leases.usable(CONFIRMED_SECONDS)


def is_unused(age: float) -> bool:
    """Returns whether a confirmation no longer counts at the holder.

    Args:
        age: seconds since the witness gave it.
    """
    return age > leases.expired_after(CONFIRMED_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """A time in which a host uses shares, as long as its witnesses confirm it.

    Attributes:
        id: random; empty if there are no witnesses.
        witnesses: the hosts that do; if there are none, shares may be used
            until their leases end.
    """

    id: names.Name = ""
    witnesses: tuple[names.Name, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Confirm:
    """Asks a witness to confirm terms.

    Attributes:
        host: the sender, which holds shares.
        terms: ids of its terms.
    """

    host: names.Name
    terms: tuple[names.Name, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed:
    """The reply to `Confirm`.

    Attributes:
        process: random id of the process of the witness. Another one does not
            know which terms this one has ended.
        ended: the ids among those asked for that are not confirmed any more.
    """

    process: names.Name
    ended: tuple[names.Name, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """Asks a witness not to confirm a term any more.

    Attributes:
        host: the holder, which does not respond to the sender.
        term: id of the term.
    """

    host: names.Name
    term: names.Name


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The reply to `End`.

    Attributes:
        is_ended: whether the holder uses no confirmation of the sender, and
            gets none any more.
    """

    is_ended: bool
