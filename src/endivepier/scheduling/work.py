"""The requests that are scheduled, and the messages between sidecars."""

from __future__ import annotations

import dataclasses

import pydantic

from endivepier.targets import ports as target_ports


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """The properties of a request that determine its place in a queue.

    Attributes:
        account: the client account that pays for it.
        weight: weight of that account in fair queueing.
        program_id: the program that it belongs to, or empty.
        attained: service that the program has received so far, in tokens.
        cost: expected service of this request, in tokens.
        worth: weight of the request's kind in the configuration.
        seconds: time left until the caller's deadline.
    """

    account: str
    weight: float
    program_id: str
    attained: float
    cost: float
    worth: float
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Generate:
    """Message: a model call for the engine beside the receiving sidecar.

    Attributes:
        work: the call's properties for the queue.
        request: the request to the engine.
        prefix_at: address of the sidecar from which the prefix is moved to
            the receiver's engine before the call runs; empty for no move.
    """

    work: Work
    request: target_ports.Generate
    prefix_at: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchPrefix:
    """Message: exports a session's prefix and releases it at the receiver.

    Attributes:
        session: the program id.
    """

    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasePrefix:
    """Message: releases a session's prefix from the engine's cache.

    Attributes:
        session: the program id.
    """

    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """Reply: the engine holds no prefix of the session any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class Prefix:
    """Reply: a session's exported prefix.

    Attributes:
        blob: the prefix; None if the engine has none or failed to export it.
    """

    blob: pydantic.Base64Bytes | None
