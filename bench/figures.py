"""The figures that all benchmarks print as JSON lines, and their flags."""

from __future__ import annotations

import argparse
import dataclasses
import json
from typing import Literal


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured value.

    Attributes:
        bench: name of the benchmark.
        name: what was measured.
        value: the value, in `unit`.
        unit: unit of the value, the baseline and the bound.
        seed: the seed of the run.
        baseline: value to compare with, such as the same measurement without
            the feature, or None.
        bound: the stated target, or None.
        sense: "max" if the bound is an upper bound, "min" if a lower one.
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
        """Prints a JSON line; value and baseline have 6 significant digits."""
        document = dataclasses.asdict(self)
        for field in ("value", "baseline"):
            if isinstance(document[field], float):
                document[field] = float(f"{document[field]:.6g}")
        print(json.dumps(document), flush=True)


def parser(doc: str) -> argparse.ArgumentParser:
    """Returns a parser with the flags that all benchmarks take.

    Args:
        doc: docstring of the benchmark; its first line is the description.
    """
    result = argparse.ArgumentParser(description=doc.splitlines()[0])
    result.add_argument("--seed", type=int, default=1)
    result.add_argument("--full", action="store_true")
    return result
