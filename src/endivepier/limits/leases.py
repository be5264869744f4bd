"""Times that all limiters rely on.

Clocks are monotonic and only compared with themselves. Rights are used for a
little less than their time and waited out for a little longer, so that clocks
may run fast or slow by `MAX_CLOCK_DRIFT`.
"""

from __future__ import annotations

LEASE_SECONDS = 4.0
ABANDON_SECONDS = 1800.0
MAX_CLOCK_DRIFT = 0.001


def usable(seconds: float) -> float:
    """Returns how long a right may be used, by the user's clock."""
    return seconds * (1.0 - MAX_CLOCK_DRIFT)


def expired_after(seconds: float) -> float:
    """Returns after how long a right is over at others, by our clock."""
    return seconds * (1.0 + MAX_CLOCK_DRIFT)
