"""Witnesses, which confirm the current epoch while the table can't be read.

A holder that can't read the table must make sure that no other process has
changed the epoch. A change needs consents from so many witnesses that any
majority includes one of them, and a witness that has consented to the end of
an epoch never vouches for that epoch again. So a majority of vouches is as
good as a read of the table: no later epoch was written before the holder sent
its requests.

A witness keeps its consents in memory only. It vouches only for epochs whose
row names its own incarnation, so a restart can't make it forget a consent that
matters.
"""

from __future__ import annotations

from collections.abc import Callable

from endivepier.internal import peers as peers_lib
from endivepier.limits import messages
from endivepier.limits import rows


class Witness:
    """Vouches for epochs and consents to their end; one in every process."""

    def __init__(
        self,
        incarnation: str,
        is_reachable: Callable[[rows.Process], bool],
    ) -> None:
        """Creates a witness that has not consented to anything.

        Args:
            incarnation: this process's incarnation.
            is_reachable: returns whether a holder answers this process.
        """
        self._incarnation = incarnation
        self._is_reachable = is_reachable
        self._ended_epoch = 0

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Registers the handlers for messages of holders and proposers."""
        inbox.register(messages.Vouch, messages.Verdict, self.vouch)
        inbox.register(messages.Consent, messages.Verdict, self.consent)

    def vouch(self, req: messages.Vouch) -> messages.Verdict:
        """Vouches for an epoch unless this witness consented to its end.

        A request for an earlier incarnation of the witness is refused, since
        the earlier one may have consented.
        """
        if (
            req.incarnation != self._incarnation
            or req.epoch <= self._ended_epoch
        ):
            return messages.Verdict(False)
        return messages.Verdict(True)

    def consent(self, req: messages.Consent) -> messages.Verdict:
        """Consents to the end of an epoch, unless a removed holder answers.

        Two processes that can't reach each other thus can't remove each other
        while the witnesses still reach both.
        """
        if any(self._is_reachable(holder) for holder in req.removed):
            return messages.Verdict(False)
        self._ended_epoch = max(self._ended_epoch, req.epoch)
        return messages.Verdict(True)
