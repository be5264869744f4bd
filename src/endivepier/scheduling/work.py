"""What is scheduled: a request for a target, with all that order needs."""

from __future__ import annotations

import dataclasses

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
    """Message: a model call for the engine beside the receiving sidecar."""

    work: Work
    request: target_ports.Generate
