"""Figures of the benches, and tables of what follows from them."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import json
import pathlib

FIGURES = pathlib.Path(__file__).parents[1] / "docs" / "figures"


class Figures:
    """Measured figures by name."""

    def __init__(self, folder: pathlib.Path = FIGURES) -> None:
        self._values: dict[str, float] = {}
        self._baselines: dict[str, float] = {}
        for path in sorted(folder.glob("*.jsonl")):
            for line in path.read_text().splitlines():
                document = json.loads(line)
                name = document["name"]
                self._values[name] = float(document["value"])
                if document["baseline"] is not None:
                    self._baselines[name] = float(document["baseline"])

    def __getitem__(self, name: str) -> float:
        """Returns a figure.

        Raises:
            KeyError: no bench has printed it; run the benches again.
        """
        return self._values[name]

    def baseline(self, name: str) -> float:
        """Returns what a figure was before the change that it measures.

        Raises:
            KeyError: no bench has printed it; run the benches again.
        """
        return self._baselines[name]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One line of a table of the page.

    Attributes:
        what: what is counted.
        how: the arithmetic.
        value: the result, with its unit.
        budget: what is allowed, or empty.
        mechanism: what carries it.
    """

    what: str
    how: str
    value: str
    budget: str
    mechanism: str


def table(rows: Sequence[Row]) -> str:
    """Returns a Markdown table."""
    lines = [
        "| what | arithmetic | value | budget | carried by |",
        "| --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {r.what} | {r.how} | {r.value} | {r.budget} | {r.mechanism} |"
        for r in rows
    ]
    return "\n".join(lines)


def number(value: float, unit: str = "") -> str:
    """Returns a number with three digits that count, and its unit."""
    text = f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"
    return f"{text} {unit}".strip()


def size(value: float) -> str:
    """Returns a number of bytes in a unit that fits."""
    for unit, factor in (("GB", 1e9), ("MB", 1e6), ("KB", 1e3)):
        if value >= factor:
            return f"{value / factor:.3g} {unit}"
    return f"{value:.3g} B"
