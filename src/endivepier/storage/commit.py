"""Commits transactions and determines their outcome despite lost responses.

A transaction must have a condition on a row that it changes, so that it can
take effect only once. After a lost response it is therefore safe to submit it
again: either it takes effect now, or its condition fails. In the second case,
a row that the transaction writes shows whether an earlier attempt took effect;
the caller provides a `Proof` that recognizes this row by its value, such as by
a unique write id in it.
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
    """Determines whether a transaction took effect.

    Attributes:
        key: key of a row that the transaction writes.
        is_ours: returns, given the value of that row, whether it was written
            by this transaction and no other.
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
        """Commits `txn`, retrying until its outcome is known.

        Args:
            txn: the transaction.
            proof: determines whether an earlier attempt took effect.
            seconds: time after which it stops retrying.

        Returns:
            The version of the rows that the transaction wrote.

        Raises:
            errors.ConditionFailed: a condition does not hold, and the
                transaction has not taken effect.
            errors.Unavailable: the transaction was not committed before the
                timeout.
            errors.OutcomeUnknown: the transaction may have taken effect, and
                the table service did not respond before the timeout.
        """
        deadline = self._timers.now() + seconds
        maybe_committed = False
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                return self._table.transact(txn)
            except errors.ConditionFailed:
                if not maybe_committed:
                    raise
                version = self._committed_version(proof, deadline)
                if version is None:
                    raise
                return version
            except errors.OutcomeUnknown:
                maybe_committed = True
            except errors.Unavailable:
                pass
            if self._timers.now() + backoff >= deadline:
                raise self._timeout_error(maybe_committed, proof)
            self._timers.sleep(backoff * self._rng.uniform(0.5, 1.0))
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    def _committed_version(self, proof: Proof, deadline: float) -> int | None:
        """Returns the version that an earlier attempt committed, or None."""
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                row = self._table.get(proof.key)
            except errors.Unavailable:
                if self._timers.now() + backoff >= deadline:
                    raise self._timeout_error(True, proof) from None
                self._timers.sleep(backoff)
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
                continue
            if row is not None and proof.is_ours(row.value):
                return row.version
            return None

    def _timeout_error(
        self, maybe_committed: bool, proof: Proof
    ) -> errors.EndivepierError:
        """Returns the error for a commit that has timed out."""
        if maybe_committed:
            return errors.OutcomeUnknown(
                f"row {proof.key!r} may have been written; read it later"
            )
        return errors.Unavailable(
            f"row {proof.key!r} was not written before the timeout; retry later"
        )
