"""Headers of a request, held in little more memory than was received.

As a list of pairs of bytes objects, a header of four bytes takes more than a
hundred. Here all headers are one bytes object.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import overload

Header = tuple[bytes, bytes]


class Headers(Sequence[Header]):
    """An immutable sequence of names and values, as received.

    Spelling, order and repetitions are kept. Neither a name nor a value
    contains a line feed, and a name contains no colon.
    """

    __slots__ = ("_lines",)

    def __init__(self, headers: Iterable[Header] = ()) -> None:
        builder = HeadersBuilder()
        for name, value in headers:
            builder.append(name, value)
        self._lines = builder.lines

    @classmethod
    def from_lines(cls, lines: bytes) -> Headers:
        """Returns headers from the form in which a `HeadersBuilder` has them.

        Args:
            lines: a line feed, and `name:value` with a line feed for each.
        """
        headers = cls.__new__(cls)
        headers._lines = lines
        return headers

    @property
    def size(self) -> int:
        """Bytes that the headers take."""
        return len(self._lines)

    @property
    def part_count(self) -> int:
        """Number of headers, and of further entries of lists in them."""
        return len(self) + self._lines.count(b",")

    def find(self, name: bytes) -> bytes | None:
        """Returns the first value of a header by its lowercase name."""
        start = self._lines.lower().find(b"\n" + name + b":")
        if start < 0:
            return None
        start += len(name) + 2
        return self._lines[start : self._lines.index(b"\n", start)]

    def count(self, name: bytes) -> int:  # type: ignore[override]
        """Returns how many headers have this lowercase name."""
        return self._lines.lower().count(b"\n" + name + b":")

    def __len__(self) -> int:
        return self._lines.count(b"\n") - 1

    def __iter__(self) -> Iterator[Header]:
        for line in self._lines[1:-1].split(b"\n") if len(self) else ():
            name, _, value = line.partition(b":")
            yield name, value

    @overload
    def __getitem__(self, index: int) -> Header: ...

    @overload
    def __getitem__(self, index: slice) -> list[Header]: ...

    def __getitem__(self, index: int | slice) -> Header | list[Header]:
        return list(self)[index]

    def __eq__(self, other: object) -> bool:
        if isinstance(other, Headers):
            return self._lines == other._lines
        return list(self) == other

    __hash__ = None  # type: ignore[assignment]

    def __repr__(self) -> str:
        return f"Headers({list(self)!r})"


class HeadersBuilder:
    """Collects headers as they are received."""

    __slots__ = ("_lines",)

    def __init__(self) -> None:
        self._lines = bytearray(b"\n")

    def append(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._lines += b"%b:%b\n" % (name, value)

    @property
    def size(self) -> int:
        """Bytes that the headers take so far."""
        return len(self._lines)

    @property
    def lines(self) -> bytes:
        """The headers so far, for `Headers.from_lines`."""
        return bytes(self._lines)

    def build(self) -> Headers:
        """Returns the headers so far."""
        return Headers.from_lines(self.lines)
