"""Tells whether a call continues the history that its program has."""

from __future__ import annotations

from endivepier import errors
from endivepier.history import journal as journal_lib
from endivepier.history import messages
from endivepier.history import receipts as receipts_lib
from endivepier.history import records
from endivepier.history import stored as stored_lib
from endivepier.history import turns as turns_lib
from endivepier.sidecar import registry as registry_lib
from endivepier.targets import ports as target_ports


class Matcher:
    """Compares calls with the histories of this sidecar's programs."""

    def __init__(
        self,
        registry: registry_lib.Registry,
        journal: journal_lib.Journal,
        receipts: receipts_lib.Receipts,
    ) -> None:
        self._registry = registry
        self._journal = journal
        self._receipts = receipts

    def added(
        self, stored: stored_lib.Stored, req: messages.ModelCall
    ) -> tuple[target_ports.ChatMessage, ...]:
        """Returns what the call adds to the history.

        Raises:
            errors.Refused: `HISTORY_MISMATCH`, if it continues another
                history, or one that is not known here.
        """
        if req.receipt:
            self._check_receipt(stored, req)
        if not req.whole:
            return req.messages
        known = turns_lib.conversation(stored.turns)
        if req.messages[: len(known)] != known:
            raise _mismatch("the messages don't start with the history")
        return req.messages[len(known) :]

    def _check_receipt(
        self, stored: stored_lib.Stored, req: messages.ModelCall
    ) -> None:
        """Refuses to run on a history that the caller has not seen.

        If the receipt is ahead of the history here, some other process has
        written it: the shard is given up, and who asks next reads the table.
        """
        receipt = self._receipts.check(req.receipt)
        if receipt.program_id != req.program_id:
            raise _mismatch("the receipt is of another program")
        row = stored.row
        if (receipt.turn, receipt.digest) == (row.turn, row.digest):
            return
        if receipt.turn > row.turn and not self._journal.is_open(stored):
            self._registry.reload(req.program_id, stored)
            row = stored.row
            if (receipt.turn, receipt.digest) == (row.turn, row.digest):
                return
        raise _mismatch(
            f"the receipt is of turn {receipt.turn}, the history is at "
            f"turn {row.turn}"
        )


def completed_turn(
    stored: stored_lib.Stored, req: messages.ModelCall
) -> records.TurnRow | None:
    """Returns the turn that the same call made before, or None."""
    for turn in stored.turns:
        if turn.call_id == req.call_id:
            return turn
    return None


def _mismatch(detail: str) -> errors.Refused:
    return errors.Refused(
        errors.Code.HISTORY_MISMATCH,
        409,
        f"{detail}; read the history and send the call again",
    )
