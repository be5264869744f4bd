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
class LookUp:
    """Asks for the outcome of a non-idempotent request."""

    account: str
    idempotency_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What is known of a non-idempotent request.

    Attributes:
        ran: whether it took effect at the service.
        answer: the stored answer if it ran, else None.
    """

    ran: errors.Ran
    answer: ServiceAnswer | None = None
