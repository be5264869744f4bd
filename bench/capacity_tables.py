"""Reads the figures of the benchmarks and formats Markdown tables."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import json
import pathlib

FIGURES = pathlib.Path(__file__).parents[1] / "docs" / "figures"


class Figures:
    """The figures in the .jsonl files of a folder, by name.

    If a name occurs repeatedly, its last line in the last file applies.
    """

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
        """Returns the value of a figure.

        Raises:
            KeyError: no file has this figure; run the benchmarks again.
        """
        return self._values[name]

    def baseline(self, name: str) -> float:
        """Returns the baseline of a figure.

        Raises:
            KeyError: no file has a baseline for it; run the benchmarks again.
        """
        return self._baselines[name]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of a table of the capacity page.

    Attributes:
        quantity: the resource or rate that is computed.
        arithmetic: the formula, as shown to the reader.
        value: the result with its unit.
        budget: the target as text; empty or "none stated" if there is none.
        mechanism: the part of the design that determines the value.
    """

    quantity: str
    arithmetic: str
    value: str
    budget: str
    mechanism: str


def table(rows: Sequence[Row]) -> str:
    """Returns a Markdown table, whose `budget` column holds the targets."""
    lines = [
        "| what | arithmetic | value | budget | carried by |",
        "| --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {r.quantity} | {r.arithmetic} | {r.value} | {r.budget} "
        f"| {r.mechanism} |"
        for r in rows
    ]
    return "\n".join(lines)


def number(value: float, unit: str = "") -> str:
    """Formats a number with its unit; below 1,000 with 3 significant digits."""
    text = f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"
    return f"{text} {unit}".strip()


def size(value: float) -> str:
    """Formats a number of bytes in the largest unit that it reaches."""
    for unit, factor in (("GB", 1e9), ("MB", 1e6), ("KB", 1e3)):
        if value >= factor:
            return f"{value / factor:.3g} {unit}"
    return f"{value:.3g} B"
