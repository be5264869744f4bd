"""Stored answers: small ones in the claim's row, large ones as objects."""

from __future__ import annotations

import dataclasses

import pydantic

from endivepier import errors
from endivepier.effects import messages
from endivepier.storage import ports

INLINE_BYTES = 8 * 1024
PREFIX = "answer/"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """An answer as a claim's row holds it.

    Attributes:
        status: HTTP status code.
        content_type: media type of the body.
        body: the content, unless it is an object.
        object_name: name of the object that holds the content, or empty.
    """

    status: int
    content_type: str
    body: pydantic.Base64Bytes
    object_name: str = ""


class AnswerStore:
    """Stores answers whole and gives them back."""

    def __init__(self, objects: ports.Objects) -> None:
        self._objects = objects

    def store(self, name: str, answer: messages.ServiceAnswer) -> StoredAnswer:
        """Returns what the row is to hold.

        Args:
            name: unique for the attempt whose answer it is.
            answer: the whole answer.

        Raises:
            errors.Unavailable: the object store took nothing; repeat.
        """
        if len(answer.body) <= INLINE_BYTES:
            return StoredAnswer(answer.status, answer.content_type, answer.body)
        object_name = PREFIX + name
        self._objects.put(object_name, answer.body)
        return StoredAnswer(
            answer.status, answer.content_type, b"", object_name
        )

    def load(self, stored: StoredAnswer) -> messages.ServiceAnswer:
        """Returns the answer, marked as a replay.

        Raises:
            errors.Refused: it can't be had now, although the request ran.
        """
        body: bytes | None = stored.body
        if stored.object_name:
            try:
                body = self._objects.get(stored.object_name)
            except errors.Unavailable:
                raise _not_now("can't be read now") from None
        if body is None:
            raise _not_now("is not in the object store any more")
        return messages.ServiceAnswer(
            stored.status, body, stored.content_type, replayed=True
        )


def _not_now(detail: str) -> errors.Refused:
    return errors.Refused(
        errors.Code.STORE_UNAVAILABLE,
        503,
        f"the request ran, and its stored answer {detail}; retry later",
        ran=errors.Ran.YES,
        retry_after=1.0,
    )
