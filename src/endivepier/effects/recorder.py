"""Records outcomes for as long as it takes, while the process lives."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.effects import claims as claims_lib
from endivepier.effects import messages

WAIT_SECONDS = 1.0
RETRY_SECONDS = 1.0


class Recorder:
    """Writes outcomes; an answer waits for its own only a short time."""

    def __init__(
        self, claims: claims_lib.Claims, timers: timers_lib.Timers
    ) -> None:
        self.pending = 0
        self._claims = claims
        self._timers = timers

    def record(
        self,
        claim: claims_lib.Claim,
        state: claims_lib.ClaimState,
        answer: messages.ServiceAnswer | None = None,
    ) -> None:
        """Records an outcome, and goes on in the background after a while.

        What is at stake is only what a later request with the same key is
        told, so that the answer need not wait for a store that is down.
        """
        written = self._go_on(lambda: self._claims.record(claim, state, answer))
        self._timers.wait(written, WAIT_SECONDS)

    def take_back(self, row: claims_lib.ClaimRow, after: int | None) -> None:
        """Turns a claim that may stand, and is never sent, into "not run"."""
        self._go_on(lambda: self._take_back(row, after))

    def _take_back(
        self, row: claims_lib.ClaimRow, after: int | None
    ) -> claims_lib.Claim:
        """Makes sure of the claim, so that no late write can bring it back."""
        known = self._claims.write(
            row, after, seconds=claims_lib.RECORD_SECONDS
        )
        return self._claims.record(known, claims_lib.ClaimState.NOT_RUN)

    def _go_on(
        self, write: Callable[[], claims_lib.Claim]
    ) -> gevent.event.Event:
        """Repeats `write` until it is decided; returns what tells so."""
        written = gevent.event.Event()
        self.pending += 1
        gevent.spawn(self._repeat, write, written)
        return written

    def _repeat(
        self, write: Callable[[], claims_lib.Claim], written: gevent.event.Event
    ) -> None:
        try:
            while True:
                try:
                    write()
                except errors.ConditionFailed:
                    return
                except (errors.Unavailable, errors.OutcomeUnknown):
                    self._timers.sleep(RETRY_SECONDS)
                    continue
                return
        finally:
            self.pending -= 1
            written.set()
