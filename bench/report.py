"""Generates docs/MEASUREMENTS.md from the figures in docs/figures.

Run `python -m bench.X --seed 1 > docs/figures/X.jsonl` for each benchmark X,
then `python -m bench.report > docs/MEASUREMENTS.md`.
"""

from __future__ import annotations

import json
from typing import Any

from bench import capacity_tables

HEAD = """# Measurements

Figures of the last run of each bench, seed 1 where no other is named, on one
machine with small stand-ins. Times of policies are simulated time, so that a
seed gives the same figure again; CPU, memory and what the name calls loopback
are of this machine. `python -m bench.report > docs/MEASUREMENTS.md` makes this
page from `docs/figures/`; a commit's body has the figures before and after it.

A bound is a stated target. Where the last column says **missed**, it is.

What the users' bench printed is in
[MEASUREMENTS-platform.md](MEASUREMENTS-platform.md).

The series of scheduling and routing, with what did not help, is in
[MEASUREMENTS-scheduling.md](MEASUREMENTS-scheduling.md). Tries elsewhere that
did not help:

- Cheaper timers, stream decoding by the lines' kind, and a precomputed frame
  of events: 1.9% fewer function calls a streamed token, no gain in CPU that
  could be told from noise.
- Six heartbeats each half second rather than two a second: nothing was learnt
  sooner that mattered, and control bytes were four times as many."""


def main() -> None:
    """Prints the page in Markdown."""
    print(HEAD)
    for path in sorted(capacity_tables.FIGURES.glob("*.jsonl")):
        print(f"\n## {path.stem.replace('_', ' ')}\n")
        print("| figure | value | unit | baseline | bound | |")
        print("| --- | --- | --- | --- | --- | --- |")
        for line in path.read_text().splitlines():
            print(_row(json.loads(line)))


def _row(figure: dict[str, Any]) -> str:
    bound = "" if figure["bound"] is None else f"{figure['bound']:g}"
    if bound:
        bound = ("≤ " if figure["sense"] == "max" else "≥ ") + bound
    baseline = figure["baseline"]
    baseline_text = "" if baseline is None else f"{baseline:g}"
    return (
        f"| {figure['name']} | {figure['value']:g} | {figure['unit']} "
        f"| {baseline_text} | {bound} | {_verdict(figure)} |"
    )


def _verdict(figure: dict[str, Any]) -> str:
    """Returns the last column: "kept", "**missed**", or "" without a bound."""
    value, bound = figure["value"], figure["bound"]
    if bound is None:
        return ""
    kept = value <= bound if figure["sense"] == "max" else value >= bound
    return "kept" if kept else "**missed**"


if __name__ == "__main__":
    main()
