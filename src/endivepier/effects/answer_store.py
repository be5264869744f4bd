"""Stores the answers of services, so that retries can replay them.

Small answers are part of the claim's row, large ones are objects in the
object store.
"""

from __future__ import annotations

import dataclasses

import pydantic

from endivepier import errors
from endivepier.effects import messages
from endivepier.storage import ports

MAX_INLINE_BYTES = 8 * 1024
OBJECT_PREFIX = "answer/"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A service's answer in the form in which a claim's row holds it.

    Attributes:
        status: HTTP status code.
        content_type: media type of the body.
        body: the response body; empty if an object holds it.
        object_name: name of the object that holds the body; empty if the
            row holds it.
    """

    status: int
    content_type: str
    body: pydantic.Base64Bytes
    object_name: str = ""


class AnswerStore:
    """Stores and loads complete answers."""

    def __init__(self, objects: ports.Objects) -> None:
        self._objects = objects

    def store(self, name: str, answer: messages.ServiceAnswer) -> StoredAnswer:
        """Stores a large body as an object; returns what the row holds.

        Args:
            name: unique to the attempt that received the answer.
            answer: the complete answer.

        Raises:
            errors.Unavailable: the object store did not respond; repeat the
                call.
        """
        if len(answer.body) <= MAX_INLINE_BYTES:
            return StoredAnswer(answer.status, answer.content_type, answer.body)
        object_name = OBJECT_PREFIX + name
        self._objects.put(object_name, answer.body)
        return StoredAnswer(
            answer.status, answer.content_type, b"", object_name
        )

    def load(self, stored: StoredAnswer) -> messages.ServiceAnswer:
        """Returns the stored answer, marked as replayed.

        Raises:
            errors.Refused: the request ran, but its answer can't be read
                from the object store.
        """
        body: bytes | None = stored.body
        if stored.object_name:
            try:
                body = self._objects.get(stored.object_name)
            except errors.Unavailable:
                raise _unreadable("can't be read now") from None
        if body is None:
            raise _unreadable("is no longer in the object store")
        return messages.ServiceAnswer(
            stored.status, body, stored.content_type, replayed=True
        )


def _unreadable(detail: str) -> errors.Refused:
    return errors.Refused(
        errors.Code.STORE_UNAVAILABLE,
        503,
        f"the request ran, and its stored answer {detail}; retry later",
        ran=errors.Ran.YES,
        retry_after=1.0,
    )
