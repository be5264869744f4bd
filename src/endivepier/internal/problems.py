"""Refusals as problem documents (RFC 9457), on the wire in both directions."""

from __future__ import annotations

import dataclasses

from endivepier import errors
from endivepier.internal import codec

MEDIA_TYPE = "application/problem+json"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A refusal as callers and peers see it.

    Attributes:
        status: the HTTP status code.
        code: one of `errors.Code`.
        detail: one sentence for a person.
        ran: one of `errors.Ran`.
        retry_after: seconds, or None.
        location: address of the process to ask instead; empty for callers.
        title: the code in words.
        type: a URI reference that names the kind of problem.
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
    """Returns the document for a refusal."""
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


def to_refusal(data: bytes) -> errors.Refused:
    """Returns the refusal that a document describes.

    Raises:
        errors.Refused: `BAD_REQUEST`, if `data` is not such a document.
    """
    return refusal_of(codec.decode(Problem, data))


def refusal_of(problem: Problem) -> errors.Refused:
    """Returns the refusal for a document."""
    return errors.Refused(
        problem.code,
        problem.status,
        problem.detail,
        ran=problem.ran,
        retry_after=problem.retry_after,
        location=problem.location,
    )
