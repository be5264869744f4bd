"""Encodes data classes as JSON, and decodes and validates them.

Any data class can be encoded. A field that holds raw bytes must be declared as
`pydantic.Base64Bytes`, since JSON strings can't hold them.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
from typing import Any

import pydantic

from endivepier import errors

# Of the path of an invalid field, which may hold keys that a client chose.
MAX_FIELD_CHARACTERS = 200
_ADAPTERS: dict[Any, pydantic.TypeAdapter[Any]] = {}


def _adapter(kind: Any) -> pydantic.TypeAdapter[Any]:
    adapter = _ADAPTERS.get(kind)
    if adapter is None:
        adapter = pydantic.TypeAdapter(kind)
        _ADAPTERS[kind] = adapter
    return adapter


def encode(value: Any, kind: Any = None) -> bytes:
    """Returns `value` as JSON.

    Args:
        value: the data class instance, or another value of type `kind`.
        kind: the type to encode it as; needed if that is a union.
    """
    return _adapter(kind or type(value)).dump_json(value)


def decode(kind: Any, data: bytes | str) -> Any:
    """Returns the value of type `kind` that `data` encodes.

    Raises:
        errors.Refused: `BAD_REQUEST`, if `data` is invalid; the detail names
            the first invalid field.
    """
    return _validate(_adapter(kind), data)


def decoder(kind: Any) -> Callable[[bytes], Any]:
    """Returns a function that decodes values of type `kind`.

    Looking up the adapter of a union takes as long as decoding one token
    event, so a stream looks it up once.
    """
    return functools.partial(_validate, _adapter(kind))


def _validate(adapter: pydantic.TypeAdapter[Any], data: bytes | str) -> Any:
    try:
        return adapter.validate_json(data)
    except pydantic.ValidationError as exc:
        first = exc.errors(include_url=False, include_input=False)[0]
        field = ".".join(str(part) for part in first["loc"]) or "the body"
        field = field[:MAX_FIELD_CHARACTERS]
        raise errors.Refused(
            errors.Code.BAD_REQUEST, 400, f"{field}: {first['msg']}"
        ) from None
