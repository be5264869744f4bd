"""Lease times of the limiters, with a margin for clock drift.

All clocks are monotonic, and no time of one process is compared with that of
another. A process uses its rights for slightly less than the lease time, and
others wait slightly longer for them to end. So every clock may run fast or
slow by `MAX_CLOCK_DRIFT`.
"""

from __future__ import annotations

LEASE_SECONDS = 4.0
# Witnesses can renew a holder's rights up to this time after its last read of
# the table. Once it is over, an epoch may end without the witnesses' consent.
MAX_VOUCHED_SECONDS = 1800.0
MAX_CLOCK_DRIFT = 0.001


def usable(seconds: float) -> float:
    """Returns how long a holder may use a lease, by its own clock."""
    return seconds * (1.0 - MAX_CLOCK_DRIFT)


def expired_after(seconds: float) -> float:
    """Returns after how long another's lease is over, by our own clock."""
    return seconds * (1.0 + MAX_CLOCK_DRIFT)
