"""Durations and rates in messages of other processes."""

from __future__ import annotations

import math


def parse(text: str) -> float:
    """Returns the duration or rate that a text holds.

    Raises:
        ValueError: it is not a number, not finite or negative.
    """
    number = float(text)
    if not math.isfinite(number) or number < 0:
        raise ValueError(f"{text!r} is not a number from 0 on")
    return number
