"""Messages to the sidecar of a plain service."""

from __future__ import annotations

import dataclasses

import pydantic

from endivepier import errors


@dataclasses.dataclass(frozen=True, slots=True)
class CallService:
    """A request for the service beside the receiving sidecar.

    Attributes:
        account: the client account that asks.
        program_id: the program that asks, or empty.
        kind: the kind of request, for fairness.
        method: HTTP method.
        path: path and query at the service.
        body: the content.
        content_type: media type of the body.
        idempotent: whether it may be repeated.
        idempotency_key: the caller's key, if it is not idempotent.
        seconds: how long the caller waits.
        after: version of the claim row on which this attempt builds; None
            if there must be no row. Once the row has moved on, the message can
            have no effect any more, however late it arrives.
        round: how often the target itself has ruled an earlier attempt out.
        sent: Unix time at which it was sent, in seconds.
    """

    account: str
    program_id: str
    kind: str
    method: str
    path: str
    body: pydantic.Base64Bytes
    content_type: str
    idempotent: bool
    idempotency_key: str
    seconds: float
    after: int | None = None
    round: int = 0
    sent: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """The whole answer of a service.

    Attributes:
        status: HTTP status code.
        body: the content.
        content_type: media type of the body.
        replayed: whether it is the stored answer of an earlier request with
            the same idempotency key.
    """

    status: int
    body: pydantic.Base64Bytes
    content_type: str
    replayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AskTarget:
    """Asks a sidecar to learn an open claim's outcome from its target.

    Attributes:
        account: the client account that made the request.
        idempotency_key: the caller's key.
    """

    account: str
    idempotency_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What is known of a non-idempotent request.

    Attributes:
        ran: whether it took effect at the service.
        answer: the stored answer if it ran and the answer is known.
    """

    ran: errors.Ran
    answer: ServiceAnswer | None = None
