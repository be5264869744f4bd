"""Fits a straight line to measured points by least squares."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import math
import statistics


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A fitted line.

    Attributes:
        slope: change of y per unit of x.
        intercept: value at x = 0.
        residual: root mean square of the errors, divided by the mean of y.
    """

    slope: float
    intercept: float
    residual: float


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Returns the line fitted to at least two (x, y) points."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    errors = [y - (intercept + slope * x) for x, y in points]
    rms_error = math.sqrt(statistics.fmean(error * error for error in errors))
    mean = statistics.fmean(ys)
    return Line(slope, intercept, rms_error / mean if mean else 0.0)
