"""Commits a transaction for certain, although replies can be lost.

The caller gives a proof: the key of a row that the transaction puts, and the
write id that stands in it. The transaction must be conditional on a row that
it changes, so that it can take effect only once; then it is safe to submit it
again after a lost reply: either it takes effect now, or its condition fails
and the row tells whether the first try had taken effect.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import random

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.storage import ports

FIRST_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """How to recognize that a transaction took effect.

    Attributes:
        key: a row that the transaction puts.
        is_ours: tells from that row's value whether this transaction, and no
            other, wrote it.
    """

    key: str
    is_ours: Callable[[bytes], bool]


class Committer:
    """Submits transactions until their outcome is known."""

    def __init__(
        self,
        table: ports.Table,
        timers: timers_lib.Timers,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._timers = timers
        self._rng = rng

    def commit(
        self, txn: ports.Transaction, proof: Proof, *, seconds: float
    ) -> int:
        """Commits `txn`, resolving lost replies, within `seconds`.

        Returns:
            The version that the rows put by it have.

        Raises:
            errors.ConditionFailed: a condition does not hold, and the
                transaction certainly has not taken effect.
            errors.Unavailable: it certainly has not taken effect in time.
            errors.OutcomeUnknown: it may have taken effect, and the table
                did not answer in time.
        """
        deadline = self._timers.now() + seconds
        unsure = False
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                return self._table.transact(txn)
            except errors.ConditionFailed:
                if not unsure:
                    raise
                version = self._read_back(proof, deadline)
                if version is None:
                    raise
                return version
            except errors.OutcomeUnknown:
                unsure = True
            except errors.Unavailable:
                pass
            if self._timers.now() + backoff >= deadline:
                raise self._give_up(unsure, proof)
            self._timers.sleep(backoff * self._rng.uniform(0.5, 1.0))
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    def _read_back(self, proof: Proof, deadline: float) -> int | None:
        """Returns the version of our row, or None if it is not ours."""
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                row = self._table.get(proof.key)
            except errors.Unavailable:
                if self._timers.now() + backoff >= deadline:
                    raise self._give_up(True, proof) from None
                self._timers.sleep(backoff)
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
                continue
            if row is not None and proof.is_ours(row.value):
                return row.version
            return None

    def _give_up(self, unsure: bool, proof: Proof) -> errors.EndivepierError:
        """Returns the error that tells what is known."""
        if unsure:
            return errors.OutcomeUnknown(
                f"no answer about row {proof.key!r}; read it later"
            )
        return errors.Unavailable(
            f"the table did not take row {proof.key!r} in time; retry later"
        )
