"""Records the outcomes of claimed requests, in the background if need be.

The writes are retried without a limit, but only in this process: an outcome
that is pending when the process ends is lost, and its claim stays open.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.effects import claims as claims_lib
from endivepier.effects import messages

RECORD_WAIT_SECONDS = 1.0
RETRY_INTERVAL_SECONDS = 1.0
MAX_PENDING_OUTCOMES = 10_000
MAX_PENDING_BYTES = 64 * 1024 * 1024


class Recorder:
    """Writes outcomes; delays an answer only for a short time.

    Attributes:
        pending: number of outcomes that are not recorded yet.
        pending_bytes: total size of the answers of pending outcomes, which
            are kept in memory.
    """

    def __init__(
        self, claims: claims_lib.Claims, timers: timers_lib.Timers
    ) -> None:
        self.pending = 0
        self.pending_bytes = 0
        self._claims = claims
        self._timers = timers

    def has_capacity(self) -> bool:
        """Returns whether the outcome of another request may become pending."""
        return (
            self.pending < MAX_PENDING_OUTCOMES
            and self.pending_bytes < MAX_PENDING_BYTES
        )

    def record(
        self,
        claim: claims_lib.Claim,
        state: claims_lib.ClaimState,
        answer: messages.ServiceAnswer | None = None,
    ) -> None:
        """Records an outcome; retries in the background after a short wait.

        Only later requests and look-ups with the same key depend on the
        record, so the answer is not delayed while a store is unavailable.
        """
        size = 0 if answer is None else len(answer.body)
        written = self._write_in_background(
            lambda: self._claims.record(claim, state, answer), size
        )
        self._timers.wait(written, RECORD_WAIT_SECONDS)

    def cancel_claim(self, row: claims_lib.ClaimRow, after: int | None) -> None:
        """Marks a claim as "not run" whose write has an unknown outcome.

        The caller must not send the request of this claim.

        Args:
            row: the row that may have been written.
            after: version that the write required; None for no row.
        """
        self._write_in_background(lambda: self._write_not_run(row, after), 0)

    def _write_not_run(
        self, row: claims_lib.ClaimRow, after: int | None
    ) -> claims_lib.Claim:
        """Writes the claim again, then "not run".

        After the second write the first one, if it is still in transit, can't
        take effect: it requires a version that the row no longer has.
        """
        claim = self._claims.write(
            row, after, seconds=claims_lib.RECORD_TIMEOUT_SECONDS
        )
        return self._claims.record(claim, claims_lib.ClaimState.NOT_RUN)

    def _write_in_background(
        self, write: Callable[[], claims_lib.Claim], size: int
    ) -> gevent.event.Event:
        """Retries `write` until it succeeds or its condition fails.

        Args:
            write: writes the outcome.
            size: size of the answer, in bytes.

        Returns:
            An event that is set once the retries have ended.
        """
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
                    self._timers.sleep(RETRY_INTERVAL_SECONDS)
                    continue
                return
        finally:
            self.pending -= 1
            self.pending_bytes -= size
            written.set()
