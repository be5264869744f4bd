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
MAX_PENDING = 10_000
MAX_PENDING_BYTES = 64 * 1024 * 1024


class Recorder:
    """Writes outcomes; an answer waits for its own only a short time.

    Attributes:
        pending: how many outcomes are not written yet.
        pending_bytes: bytes of answers that they hold in memory.
    """

    def __init__(
        self, claims: claims_lib.Claims, timers: timers_lib.Timers
    ) -> None:
        self.pending = 0
        self.pending_bytes = 0
        self._claims = claims
        self._timers = timers

    def has_room(self) -> bool:
        """Returns whether the outcomes of more requests may be held."""
        return (
            self.pending < MAX_PENDING
            and self.pending_bytes < MAX_PENDING_BYTES
        )

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
        size = 0 if answer is None else len(answer.body)
        written = self._go_on(
            lambda: self._claims.record(claim, state, answer), size
        )
        self._timers.wait(written, WAIT_SECONDS)

    def take_back(self, row: claims_lib.ClaimRow, after: int | None) -> None:
        """Turns a claim that may stand, and is never sent, into "not run"."""
        self._go_on(lambda: self._take_back(row, after), 0)

    def _take_back(
        self, row: claims_lib.ClaimRow, after: int | None
    ) -> claims_lib.Claim:
        """Makes sure of the claim, so that no late write can bring it back."""
        known = self._claims.write(
            row, after, seconds=claims_lib.RECORD_TIMEOUT_SECONDS
        )
        return self._claims.record(known, claims_lib.ClaimState.NOT_RUN)

    def _go_on(
        self, write: Callable[[], claims_lib.Claim], size: int
    ) -> gevent.event.Event:
        """Repeats `write` until it is decided; returns what tells so."""
        written = gevent.event.Event()
        self.pending += 1
        self.pending_bytes += size
        gevent.spawn(self._repeat, write, size, written)
        return written

    def _repeat(
        self,
        write: Callable[[], claims_lib.Claim],
        size: int,
        written: gevent.event.Event,
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
            self.pending_bytes -= size
            written.set()
