"""What is known of the other processes of the system."""

from __future__ import annotations

import dataclasses
import enum


class MemberState(enum.StrEnum):
    """What a process says of itself."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Message: asks a process for its state, and tells the sender's.

    Attributes:
        sender: address of the sender.
        revision: the configuration revision in force at the sender.
    """

    sender: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A process of the system, as it describes itself.

    Attributes:
        address: "ip:port" where it takes messages.
        role: "entry" or "sidecar".
        data_centre: the data centre's name.
        target: name of the target beside it; empty for an entry host.
        pool: the pool of that target; empty for an entry host.
        state: what it says of itself.
        incarnation: unique for each start of the process.
        revision: the configuration revision in force there.
        queued: requests that wait in its queue.
        running: requests that run at its target.
        slots: requests that may run there at a time; 0 for an entry host.
        service_seconds: mean time that a request runs; 0 if unknown.
        token_seconds: an engine's time for one token; 0 if unknown.
    """

    address: str
    role: str
    data_centre: str
    target: str = ""
    pool: str = ""
    state: MemberState = MemberState.STARTING
    incarnation: str = ""
    revision: int = 0
    queued: int = 0
    running: int = 0
    slots: int = 0
    service_seconds: float = 0.0
    token_seconds: float = 0.0
