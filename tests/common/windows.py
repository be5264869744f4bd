"""Judges recorded admissions by every window; shares no code with limits."""

import dataclasses

ROUNDING = 1e-6


@dataclasses.dataclass(frozen=True)
class Allowance:
    """What holds from `since` on: a rate in requests/s and a burst."""

    since: float
    rate: float
    burst: float


def excess(times, allowances):
    """Returns by how many admissions the worst window exceeds its bound.

    A debt that grows by one with each admission and shrinks with the rate,
    never below nothing, is the maximum over all windows that end there of
    admitted - rate * length. A window is bounded by the largest burst that
    holds anywhere in it; so the windows that begin under each allowance are
    judged by a debt of their own.
    """
    times = sorted(times)
    worst = 0.0
    for first in range(len(allowances)):
        since = allowances[first].since
        own = [time for time in times if time >= since]
        worst = max(worst, _excess_from(own, allowances[first:]))
    return worst if worst > ROUNDING else 0.0


def _excess_from(times, allowances):
    debt, worst, before = 0.0, 0.0, allowances[0].since
    for time in times:
        debt = max(0.0, debt - _gained(before, time, allowances)) + 1.0
        before = time
        burst = max(item.burst for item in allowances if item.since <= time)
        worst = max(worst, debt - burst)
    return worst


def _gained(start, end, allowances):
    ends = [item.since for item in allowances[1:]] + [float("inf")]
    return sum(
        item.rate * max(0.0, min(end, after) - max(start, item.since))
        for item, after in zip(allowances, ends, strict=True)
    )
