"""Checks recorded admissions against rate and burst in every time window.

It shares no code with endivepier.limits, so that a fault there can't hide
itself.
"""

import dataclasses

ROUNDING_TOLERANCE = 1e-6


@dataclasses.dataclass(frozen=True)
class Allowance:
    """Rate, in requests a second, and burst that apply from `since` on."""

    since: float
    rate: float
    burst: float


def excess(times, allowances):
    """Returns by how many admissions the worst window exceeds its bound.

    The check keeps a debt, which grows by one with each admission and shrinks
    at the rate, but not below zero. At an admission, the debt is the maximum
    of admitted - rate * length over all windows that end there. The bound of
    a window is the largest burst that applies anywhere in it. So the windows
    that begin under one allowance are checked with a separate debt.
    """
    times = sorted(times)
    worst = 0.0
    for index in range(len(allowances)):
        since = allowances[index].since
        later_times = [time for time in times if time >= since]
        worst = max(worst, _excess_from(later_times, allowances[index:]))
    return worst if worst > ROUNDING_TOLERANCE else 0.0


def _excess_from(times, allowances):
    debt, worst, previous = 0.0, 0.0, allowances[0].since
    for time in times:
        debt = max(0.0, debt - _refill(previous, time, allowances)) + 1.0
        previous = time
        burst = max(item.burst for item in allowances if item.since <= time)
        worst = max(worst, debt - burst)
    return worst


def _refill(start, end, allowances):
    ends = [item.since for item in allowances[1:]] + [float("inf")]
    return sum(
        item.rate * max(0.0, min(end, after) - max(start, item.since))
        for item, after in zip(allowances, ends, strict=True)
    )
