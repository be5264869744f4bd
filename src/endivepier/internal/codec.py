"""JSON for data classes, validated when it comes in.

Any data class can be a message. Fields that hold raw bytes are declared as
`pydantic.Base64Bytes`, so that they survive the trip through JSON.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
from typing import Any

import pydantic

from endivepier import errors

_ADAPTERS: dict[Any, pydantic.TypeAdapter[Any]] = {}


def _adapter(kind: Any) -> pydantic.TypeAdapter[Any]:
    adapter = _ADAPTERS.get(kind)
    if adapter is None:
        adapter = pydantic.TypeAdapter(kind)
        _ADAPTERS[kind] = adapter
    return adapter


def encode(value: Any, kind: Any = None) -> bytes:
    """Returns `value` as JSON; `kind` is its type if that is a union."""
    return _adapter(kind or type(value)).dump_json(value)


def decode(kind: Any, data: bytes | str) -> Any:
    """Returns the `kind` that `data` describes.

    Raises:
        errors.Refused: if it does not describe one; the detail names the
            first wrong field.
    """
    return _validate(_adapter(kind), data)


def decoder(kind: Any) -> Callable[[bytes], Any]:
    """Returns a function that decodes one `kind` after the other.

    Finding the adapter of a union costs as much as decoding a token, so a
    stream does it only once.
    """
    return functools.partial(_validate, _adapter(kind))


def _validate(adapter: pydantic.TypeAdapter[Any], data: bytes | str) -> Any:
    try:
        return adapter.validate_json(data)
    except pydantic.ValidationError as exc:
        first = exc.errors(include_url=False, include_input=False)[0]
        where = ".".join(str(part) for part in first["loc"]) or "the body"
        raise errors.Refused(
            errors.Code.BAD_REQUEST, 400, f"{where}: {first['msg']}"
        ) from None
