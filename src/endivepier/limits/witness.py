"""Witnesses: they stand in for a table that can't be read.

A holder that can't read the table must know that nobody changes the epoch.
Every change needs the consent of so many witnesses that it meets every
majority, and a witness that has consented to an epoch's end never vouches for
it again. So a majority of vouches tells the same as reading the table would:
no later epoch was written before it was asked for.

A witness keeps its word in memory only. It vouches just for epochs whose row
names its own incarnation; about those it has forgotten nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from endivepier.internal import peers as peers_lib
from endivepier.limits import messages
from endivepier.limits import rows


class Witness:
    """Vouches for epochs and consents to their end; every process has one."""

    def __init__(
        self,
        incarnation: str,
        sees: Callable[[rows.Process], bool],
    ) -> None:
        """Makes a witness that has promised nothing.

        Args:
            incarnation: this process's incarnation.
            sees: tells whether a holder answers this process.
        """
        self._incarnation = incarnation
        self._sees = sees
        self._closed = 0

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Answers holders and proposers."""
        inbox.register(messages.Vouch, messages.Verdict, self.vouch)
        inbox.register(messages.Consent, messages.Verdict, self.consent)

    def vouch(self, req: messages.Vouch) -> messages.Verdict:
        """Says whether the epoch's end was not consented to until now."""
        if req.incarnation != self._incarnation or req.epoch <= self._closed:
            return messages.Verdict(False)
        return messages.Verdict(True)

    def consent(self, req: messages.Consent) -> messages.Verdict:
        """Lets an epoch end; it is never vouched for again.

        A holder that answers this witness is not removed, so that two
        processes which can't reach each other do not depose each other.
        """
        if any(self._sees(holder) for holder in req.removed):
            return messages.Verdict(False)
        self._closed = max(self._closed, req.epoch)
        return messages.Verdict(True)
