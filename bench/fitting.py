"""Slopes: a straight line through measured points, by least squares."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import math
import statistics


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A fitted line.

    Attributes:
        slope: rise for each unit.
        intercept: value at 0.
        residual: root mean square of the errors, as a share of the mean.
    """

    slope: float
    intercept: float
    residual: float


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Returns the line through (x, y) points; at least two are needed."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    errors = [y - (intercept + slope * x) for x, y in points]
    root = math.sqrt(statistics.fmean(error * error for error in errors))
    mean = statistics.fmean(ys)
    return Line(slope, intercept, root / mean if mean else 0.0)
