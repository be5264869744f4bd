"""The settings of the stand-in of a model server."""

from __future__ import annotations

import dataclasses
import enum

ARM_PATH = "/soak/kill"  # see `target`


class Framing(enum.StrEnum):
    """How a response ends: in chunks, by its length, or by its connection."""

    CHUNKS = "chunks"
    LENGTH = "length"
    CLOSE = "close"


class Moment(enum.StrEnum):
    """When an armed target kills itself."""

    BEFORE = "before"  # before the first event
    INSIDE = "inside"  # inside an event
    BETWEEN = "between"  # between two events
    AFTER = "after"  # after the last event, before the end of the response


@dataclasses.dataclass
class Settings:
    """The settings of a target.

    Attributes:
        id: its id.
        service: name of its service.
        address: where it listens.
        zone: its data centre.
        store: where targets write to the store.
        record: path of its record.
        version: version of its software.
        slots: how many runs it works on at once.
        queue: how many more wait; further ones are rejected.
        framings: how its responses end, of which each draws one.
        seed: of its draws.
        exit_seconds: how long its runs may go on after SIGTERM.
    """

    id: str
    service: str
    address: str
    zone: str
    store: str
    record: str
    version: str
    slots: int
    queue: int
    framings: list[str]
    seed: str
    exit_seconds: float
