"""Encodes refusals as problem documents (RFC 9457) and decodes them."""

from __future__ import annotations

import dataclasses

from endivepier import errors
from endivepier.internal import codec

MEDIA_TYPE = "application/problem+json"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """The problem document of a refusal, as sent to callers and peers.

    Attributes:
        status: the HTTP status code.
        code: one of `errors.Code`.
        detail: one sentence for people.
        ran: one of `errors.Ran`.
        retry_after: seconds after which a retry makes sense, or None.
        location: address of the process to call instead; empty for callers.
        title: the code with spaces for underscores.
        type: a URI reference that identifies the code.
    """

    status: int
    code: errors.Code
    detail: str
    ran: errors.Ran
    retry_after: float | None = None
    location: str = ""
    title: str = ""
    type: str = "about:blank"


def from_refusal(exc: errors.Refused) -> Problem:
    """Returns the problem document of a refusal."""
    return Problem(
        status=exc.status,
        code=exc.code,
        detail=exc.detail,
        ran=exc.ran,
        retry_after=exc.retry_after,
        location=exc.location,
        title=exc.code.value.replace("_", " "),
        type=f"urn:endivepier:problem:{exc.code.value}",
    )


def decode_refusal(data: bytes) -> errors.Refused:
    """Returns the refusal that an encoded problem document describes.

    Raises:
        errors.Refused: `BAD_REQUEST`, if `data` is not a problem document.
    """
    return to_refusal(codec.decode(Problem, data))


def to_refusal(problem: Problem) -> errors.Refused:
    """Returns the refusal that a problem document describes."""
    return errors.Refused(
        problem.code,
        problem.status,
        problem.detail,
        ran=problem.ran,
        retry_after=problem.retry_after,
        location=problem.location,
    )
