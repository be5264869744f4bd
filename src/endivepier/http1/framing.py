"""Limits the bytes of a message that are not part of its body.

These are the start line, headers, interim responses, chunk sizes, chunk
extensions and trailers. The parser keeps or skips them without a limit.
"""

from __future__ import annotations

MAX_FRAMING_BYTES = 65536  # hosts tell each other their load in headers
# Framing that a byte of the body allows: a chunk of five bytes has as many
# bytes of framing. Many smaller ones keep the parser busy for hardly any data.
FRAMING_PER_BODY_BYTE = 1
HEADER_BYTES = 250  # of a header that is kept, beside its name and its value


class FramingCounter:
    """Counts the framing bytes of the current message.

    Those that the body received so far allows are left out.
    """

    def __init__(self) -> None:
        self._excess = 0

    @property
    def exceeded(self) -> bool:
        """Whether the message has more framing bytes than allowed."""
        return self._excess > MAX_FRAMING_BYTES

    def add_received(self, size: int) -> None:
        """Counts received bytes, before they are parsed."""
        self._excess += size

    def add_header(self) -> None:
        """Counts the memory of a header that is kept."""
        self._excess += HEADER_BYTES

    def subtract_body(self, size: int) -> None:
        """Records that some of the received bytes belong to the body."""
        allowed = size * (1 + FRAMING_PER_BODY_BYTE)
        self._excess = max(self._excess - allowed, 0)

    def reset(self) -> None:
        """Begins a new message."""
        self._excess = 0
