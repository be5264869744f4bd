"""Checks that a model call continues the recorded history of its program."""

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
    """Compares model calls with the histories of this sidecar's programs."""

    def __init__(
        self,
        registry: registry_lib.Registry,
        journal: journal_lib.Journal,
        receipts: receipts_lib.Receipts,
    ) -> None:
        self._registry = registry
        self._journal = journal
        self._receipts = receipts

    def new_messages(
        self, stored: stored_lib.StoredProgram, req: messages.ModelCall
    ) -> tuple[target_ports.ChatMessage, ...]:
        """Returns the messages that the call adds to the history.

        Raises:
            errors.Refused: `HISTORY_MISMATCH` if the call's receipt or
                messages don't match the history.
        """
        if req.receipt:
            self._check_receipt(stored, req)
        if not req.whole:
            return req.messages
        history = turns_lib.conversation(stored.turns)
        if req.messages[: len(history)] != history:
            raise _mismatch(
                "the messages don't start with the program's history"
            )
        return req.messages[len(history) :]

    def _check_receipt(
        self, stored: stored_lib.StoredProgram, req: messages.ModelCall
    ) -> None:
        """Refuses a call whose receipt is not for the program's last turn.

        No call may run on a history that its caller has not seen.
        A receipt ahead of the history in memory means that another process
        has written turns, so the program is read from the table again.
        """
        receipt = self._receipts.check(req.receipt)
        if receipt.program_id != req.program_id:
            raise _mismatch("the receipt belongs to another program")
        row = stored.row
        if (receipt.turn, receipt.digest) == (row.turn, row.digest):
            return
        if receipt.turn > row.turn and not self._journal.has_unflushed(stored):
            self._registry.reload(req.program_id, stored)
            row = stored.row
            if (receipt.turn, receipt.digest) == (row.turn, row.digest):
                return
        raise _mismatch(
            f"the receipt is for turn {receipt.turn}, the history is at "
            f"turn {row.turn}"
        )


def completed_turn(
    stored: stored_lib.StoredProgram, req: messages.ModelCall
) -> records.TurnRow | None:
    """Returns the turn that has the call's id, or None."""
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
