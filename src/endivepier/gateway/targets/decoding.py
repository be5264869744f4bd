"""The port through which the gateway reads a deployment's rows.

Any process may have written a row. `CheckedDecoder` rejects a row that an
adapter fails on, and what it decodes if the gateway could not compute with it.
"""

from __future__ import annotations

from collections.abc import Callable
import ipaddress
import math
import re
import reprlib
from typing import Protocol
from typing import TypeVar

import eliot

from endivepier.gateway import model
from endivepier.http1 import client
from endivepier.internal import failures
from endivepier.storage import ports

T = TypeVar("T")

MAX_SLOTS = 100_000  # of one target
MAX_STARTED = 2**53  # Unix milliseconds; floats hold all integers up to this
MAX_PORT = 65535
MAX_TEXT_LENGTH = 200
# Names are sent to targets in a header, and to other hosts in lists of names
# and numbers that "," and "=" separate.
NAME = re.compile(r"[^\x00-\x20,/=\x7f-\U0010ffff]+")


class Decoder(Protocol):
    """Decodes a deployment's rows. Implemented by an adapter."""

    declaration_table: str
    target_table: str

    def decode_declaration(self, row: ports.Row) -> model.Declaration | None:
        """Returns the declaration in a row, or None if there is none."""

    def decode_target(self, row: ports.Row) -> model.Target | None:
        """Returns the target in a row, or None if it isn't usable."""

    def decode_evacuated(self, key: str) -> str | None:
        """Returns the data centre that a row with this key evacuates.

        The row is one of the declaration table; its value doesn't matter.

        Returns:
            The data centre, or None if the row declares something else.
        """


class CheckedDecoder:
    """A `Decoder` that returns only targets that calls can be sent to."""

    def __init__(self, decoder: Decoder) -> None:
        self._decoder = decoder
        self.declaration_table = decoder.declaration_table
        self.target_table = decoder.target_table
        self.decode_evacuated = decoder.decode_evacuated

    def decode_declaration(self, row: ports.Row) -> model.Declaration | None:
        """Returns the declaration in a row, or None if there is none."""
        return _decode(self._decoder.decode_declaration, row)

    def decode_target(self, row: ports.Row) -> model.Target | None:
        """Returns the target in a row, or None if it isn't usable."""
        target = _decode(self._decoder.decode_target, row)
        if target is None:
            return None
        fault = _find_fault(target)
        if not fault:
            return target
        _log_dropped(row, fault)
        return None


def _decode(
    decode: Callable[[ports.Row], T | None], row: ports.Row
) -> T | None:
    """Returns what an adapter decodes from a row; None if it fails."""
    try:
        return decode(row)
    except Exception as exc:
        failures.log(exc)
        _log_dropped(row, f"{type(exc).__name__}: {exc}")
        return None


def _log_dropped(row: ports.Row, reason: str) -> None:
    eliot.log_message(
        "row.dropped", row=row.key, row_version=row.version, reason=reason
    )


def _find_fault(target: model.Target) -> str:
    """Returns why no call can be sent to a target, or an empty string."""
    texts = {
        "name": target.name,
        "service": target.service,
        "data_centre": target.data_centre,
        "software_version": target.software_version,
    }
    for field, text in texts.items():
        if len(text) > MAX_TEXT_LENGTH:
            return f"{field}: {len(text)} characters, not {MAX_TEXT_LENGTH}"
    if not NAME.fullmatch(target.name):
        return f"name: {target.name!r} can't be sent in a header or a list"
    if not _is_address(target.address):
        return f"address: {reprlib.repr(target.address)} is not ip:port"
    if not 0 <= target.slots <= MAX_SLOTS:
        return f"slots: {reprlib.repr(target.slots)}, not 0 to {MAX_SLOTS}"
    if not 0 <= target.started <= MAX_STARTED:
        return f"started: {reprlib.repr(target.started)} is not a time"
    seconds = target.cold_seconds
    if not math.isfinite(seconds) or seconds < 0:
        return f"cold_seconds: {seconds!r} is not a duration"
    return ""


def _is_address(text: str) -> bool:
    """Returns whether a text is the address and the port of one process."""
    host, _, port = text.rpartition(":")
    if not port.isdecimal() or len(port) > client.MAX_PORT_DIGITS:
        return False
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    if address.is_unspecified or address.is_multicast:
        return False
    return 0 < int(port) <= MAX_PORT
