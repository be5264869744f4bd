"""Lists in the headers of messages between hosts.

Whoever reaches the port for other hosts can send them: what one message may
add is limited, and hosts remember no more than some of what they are told.
"""

from __future__ import annotations

from collections.abc import Iterable

from endivepier.internal import names

SEPARATOR = ","
ASSIGN = "="
MAX_STATEMENTS = 200  # hosts send 70 at most


def item(*fields: str) -> str:
    """Returns a statement with these fields, the first of which is a name."""
    return ASSIGN.join(fields)


def join(items: Iterable[str]) -> bytes:
    """Returns the value of a header with these statements."""
    return SEPARATOR.join(items).encode()


def split(encoded: bytes, field_count: int) -> list[list[str]]:
    """Returns the fields of each statement of a header.

    Args:
        encoded: the header's value.
        field_count: fields of each statement; the first one is a name.

    Raises:
        ValueError: the header is malformed, or has more or longer statements
            than hosts send.
    """
    items = encoded.decode("latin-1").split(SEPARATOR, MAX_STATEMENTS)
    if len(items) > MAX_STATEMENTS:
        raise ValueError(f"it has more than {MAX_STATEMENTS} statements")
    return [_split_item(text, field_count) for text in items]


def _split_item(text: str, field_count: int) -> list[str]:
    most = names.MAX_CHARACTERS
    fields = text.rsplit(ASSIGN, field_count - 1)
    if len(fields) != field_count or not fields[0]:
        raise ValueError(
            f"statement {text[:most]!r} has not {field_count} fields"
        )
    if max(map(len, fields)) > most:
        raise ValueError(
            f"statement {text[:most]!r} has a field of more than {most} "
            f"characters"
        )
    return fields
