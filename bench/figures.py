"""Prints figures as JSON lines, in the form that all benches share."""

from __future__ import annotations

import argparse
import dataclasses
import json
from typing import Literal


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured value.

    Attributes:
        bench: name of the bench.
        name: what was measured.
        value: the value.
        unit: its unit.
        seed: the seed of the run.
        baseline: the same figure without what is measured, or None.
        bound: the stated target, or None.
        sense: "max" if the value may be at most the bound, else "min".
    """

    bench: str
    name: str
    value: float
    unit: str
    seed: int
    baseline: float | None = None
    bound: float | None = None
    sense: Literal["max", "min"] = "max"

    def emit(self) -> None:
        """Prints the figure as one JSON line."""
        document = dataclasses.asdict(self)
        for field in ("value", "baseline"):
            if isinstance(document[field], float):
                document[field] = float(f"{document[field]:.6g}")
        print(json.dumps(document), flush=True)


def parser(doc: str) -> argparse.ArgumentParser:
    """Returns a parser with the flags that all benches take."""
    result = argparse.ArgumentParser(description=doc.splitlines()[0])
    result.add_argument("--seed", type=int, default=1)
    result.add_argument("--full", action="store_true")
    return result
