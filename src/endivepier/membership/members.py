"""Descriptions of the system's processes, as exchanged by heartbeats."""

from __future__ import annotations

import dataclasses
import enum


class MemberState(enum.StrEnum):
    """The state of a process, as it reports it; `GONE` once it has stopped."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Message: requests the receiver's `Member`.

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
        address: "ip:port" where it accepts messages.
        role: "entry" or "sidecar".
        data_centre: the data centre's name.
        target: name of the target of a sidecar; empty for an entry host.
        pool: the pool of that target; empty for an entry host.
        state: its state.
        incarnation: unique for each start of the process.
        revision: the configuration revision in force in the process.
        queued: requests that wait in its queue.
        running: requests that run at its target.
        slots: most requests that run at its target at a time; 0 for an entry
            host.
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
