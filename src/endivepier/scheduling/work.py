"""What is scheduled: a request for a target, with all that order needs."""

from __future__ import annotations

import dataclasses

import pydantic

from endivepier.targets import ports as target_ports


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A request that waits for its target.

    Attributes:
        account: the client account that pays for it.
        weight: share of that account.
        program_id: the program that it belongs to, or empty.
        attained: service that the program has had so far, in tokens.
        cost: expected service of this request, in tokens.
        worth: weight of its kind in the contract.
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
        work: what order needs to know.
        request: what the engine gets.
        prefix_at: address of the sidecar whose engine holds the prefix, if it
            should be moved here first; else empty.
    """

    work: Work
    request: target_ports.Generate
    prefix_at: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchPrefix:
    """Message: asks for a session's prefix, which is released there.

    Attributes:
        session: the program id.
    """

    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasePrefix:
    """Message: frees the memory that a session holds at the engine.

    Attributes:
        session: the program id.
    """

    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """Says that the session holds no memory any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class Prefix:
    """A session's exported prefix; None if the engine holds none."""

    blob: pydantic.Base64Bytes | None
