"""Witnesses: they stand in for a table that can't be read.

A holder that can't read the table must know that nobody changes the epoch.
Every change needs the consent of so many witnesses that it meets every
majority, and a witness that has vouched for an epoch consents to its end only
after what it vouched for has lapsed. So a majority of vouches is as good as
having read the table.

A witness keeps its word in memory only. One that restarted vouches for no
epoch that names its earlier incarnation, and consents to the end of such an
epoch only after all that the earlier one may have vouched for has lapsed.
This rests on an address belonging to one process at a time.
"""

from __future__ import annotations

from collections.abc import Callable
import math

from endivepier import timers as timers_lib
from endivepier.internal import peers as peers_lib
from endivepier.limits import leases
from endivepier.limits import messages
from endivepier.limits import rows


class Witness:
    """Vouches for epochs and consents to their end; every process has one."""

    def __init__(
        self,
        timers: timers_lib.Timers,
        incarnation: str,
        sees: Callable[[rows.Process], bool],
    ) -> None:
        """Makes a witness that has promised nothing.

        Args:
            timers: the timer service.
            incarnation: this process's incarnation.
            sees: tells whether a holder answers this process.
        """
        self._timers = timers
        self._incarnation = incarnation
        self._sees = sees
        self._started = timers.now()
        self._vouched = -math.inf
        self._closed = 0

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Answers holders and proposers."""
        inbox.register(messages.Vouch, messages.Verdict, self.vouch)
        inbox.register(messages.Consent, messages.Verdict, self.consent)

    def vouch(self, req: messages.Vouch) -> messages.Verdict:
        """Promises not to consent to the epoch's end for a lease time."""
        if req.incarnation != self._incarnation or req.epoch <= self._closed:
            return messages.Verdict(False)
        self._vouched = self._timers.now()
        return messages.Verdict(True)

    def consent(self, req: messages.Consent) -> messages.Verdict:
        """Lets an epoch end; it is never vouched for again.

        A holder that answers this witness is not removed, so that two
        processes which can't reach each other do not depose each other.
        """
        if any(self._sees(holder) for holder in req.removed):
            return messages.Verdict(False)
        promised = self._vouched
        if req.incarnation != self._incarnation:
            promised = max(promised, self._started)
        lapse = leases.certainly_over(leases.LEASE_SECONDS)
        if self._timers.now() < promised + lapse:
            return messages.Verdict(False)
        self._closed = max(self._closed, req.epoch)
        return messages.Verdict(True)
