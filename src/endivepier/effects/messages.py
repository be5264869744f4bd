"""Messages to the sidecar beside a plain service, and its replies."""

from __future__ import annotations

import dataclasses

import pydantic

from endivepier import errors


@dataclasses.dataclass(frozen=True, slots=True)
class CallService:
    """A request to the service beside the receiving sidecar.

    Attributes:
        account: the client account that makes the request.
        program_id: the program that makes the request, or empty.
        kind: the kind of request, by which the service's queue weights it.
        method: HTTP method.
        path: path and query at the service.
        body: the request body.
        content_type: media type of the body.
        idempotent: whether the request may be sent more than once.
        idempotency_key: the caller's key; empty for an idempotent request.
        seconds: time that remains until the caller's timeout.
        after: version that the claim row must have for this attempt to claim
            the request; None if there must be no row. After any other write
            of the row, the message has no effect, however late it arrives.
        round: number of earlier attempts that the target reported as not run
            and whose key it refuses since; see `claims.target_key`.
        sent: Unix time at which the entry host sent the message, in seconds.
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
    """A service's complete HTTP response.

    Attributes:
        status: HTTP status code.
        body: the response body.
        content_type: media type of the body.
        replayed: whether this is the stored answer to an earlier request
            with the same idempotency key.
    """

    status: int
    body: pydantic.Base64Bytes
    content_type: str
    replayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AskTarget:
    """Has a sidecar query its target for the outcome of an open claim.

    Attributes:
        account: the client account that made the request.
        idempotency_key: the caller's key.
    """

    account: str
    idempotency_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The known outcome of a non-idempotent request.

    Attributes:
        ran: whether the request took effect at the service.
        answer: the service's answer if the request ran; None if it did not
            run, or if its answer is unknown.
    """

    ran: errors.Ran
    answer: ServiceAnswer | None = None
