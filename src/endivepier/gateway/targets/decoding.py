"""The port through which the gateway reads a deployment's rows."""

from __future__ import annotations

from typing import Protocol

from endivepier.gateway import model
from endivepier.storage import ports


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
