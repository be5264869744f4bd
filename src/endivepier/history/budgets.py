"""Program budgets: reserved before a call is dispatched, settled afterwards.

The most that a call may use is reserved in the program's row before the call
is dispatched. Once its outcome is known, the amount that was used replaces
the reservation. A successor that reads a reservation of a lost owner can't
know the outcome of the call, so it counts the whole reservation as used.

A child program has a budget of its own as an upper limit. In addition it draws
what it uses from its parent's budget, in steps. When the child ends, the part
of its draw that it has not used is returned to the parent.
"""

from __future__ import annotations

import dataclasses

from endivepier import errors
from endivepier.history import records

# The next call is reserved ahead while the budget covers this many more calls.
RESERVE_AHEAD_FACTOR = 16


def remaining_tokens(row: records.ProgramRow) -> int:
    """Returns the tokens that are neither used, reserved nor drawn."""
    drawn = sum(draw.tokens for draw in row.draws)
    return row.budget.tokens - row.tokens - row.reserved_tokens - drawn


def remaining_calls(row: records.ProgramRow) -> int:
    """Returns the calls that are neither used, reserved nor drawn."""
    drawn = sum(draw.calls for draw in row.draws)
    return row.budget.calls - row.calls - row.reserved_calls - drawn


def remaining_seconds(row: records.ProgramRow, now: float) -> float:
    """Returns the wall time that remains at Unix time `now`."""
    return row.created + row.budget.seconds - now


def is_closed(row: records.ProgramRow, now: float) -> bool:
    """Returns whether the program has ended or has used up its wall time."""
    ended = row.status is records.Status.ENDED
    return ended or remaining_seconds(row, now) <= 0


def check_open(row: records.ProgramRow, now: float) -> None:
    """Refuses calls of programs that have ended or have no wall time left.

    Raises:
        errors.Refused: `PROGRAM_ENDED` or `BUDGET_EXHAUSTED`.
    """
    if row.status is records.Status.ENDED:
        raise errors.Refused(
            errors.Code.PROGRAM_ENDED, 409, "the program has ended"
        )
    if remaining_seconds(row, now) <= 0:
        raise _exhausted(
            f"its wall time of {row.budget.seconds:.0f} s has passed"
        )


def has_reservation(row: records.ProgramRow, tokens: int, epoch: int) -> bool:
    """Returns whether `epoch` reserved a call of at least `tokens` tokens."""
    reserved = row.reserved_calls > 0 and row.reserved_epoch == epoch
    return reserved and row.reserved_tokens >= tokens


def reserve(
    row: records.ProgramRow, tokens: int, epoch: int
) -> records.ProgramRow:
    """Returns the row with one call reserved, in place of any earlier one.

    Raises:
        errors.Refused: `BUDGET_EXHAUSTED`.
    """
    unreserved = dataclasses.replace(row, reserved_tokens=0, reserved_calls=0)
    if remaining_calls(unreserved) < 1:
        raise _exhausted(f"all {row.budget.calls} calls are used")
    if remaining_tokens(unreserved) < tokens:
        raise _exhausted(
            f"{remaining_tokens(unreserved)} of {row.budget.tokens} tokens "
            "remain"
        )
    return dataclasses.replace(
        row, reserved_tokens=tokens, reserved_calls=1, reserved_epoch=epoch
    )


def settle(
    row: records.ProgramRow, tokens: int, next_tokens: int, epoch: int
) -> records.ProgramRow:
    """Replaces a call's reservation by what the call has used.

    While the budget covers `RESERVE_AHEAD_FACTOR` more calls, the same write
    reserves the next call. If the owner is lost, the program loses at most
    that reservation. Near the end of the budget, each call writes its own
    reservation before it is dispatched.

    Args:
        row: the row with the call's reservation.
        tokens: the tokens that the call used.
        next_tokens: the tokens to reserve for the next call; 0 to reserve
            nothing. A child program never reserves ahead, since its parent
            must grant the draw first.
        epoch: the epoch of the owner.

    Returns:
        The settled row.
    """
    settled = dataclasses.replace(
        row,
        tokens=row.tokens + tokens,
        calls=row.calls + 1,
        reserved_tokens=0,
        reserved_calls=0,
    )
    if not next_tokens or settled.parent:
        return settled
    enough = remaining_tokens(settled) >= RESERVE_AHEAD_FACTOR * next_tokens
    if enough and remaining_calls(settled) >= RESERVE_AHEAD_FACTOR:
        return reserve(settled, next_tokens, epoch)
    return settled


def write_off(row: records.ProgramRow) -> records.ProgramRow:
    """Returns the row with its reservation counted as used."""
    return dataclasses.replace(
        row,
        tokens=row.tokens + row.reserved_tokens,
        calls=row.calls + row.reserved_calls,
        reserved_tokens=0,
        reserved_calls=0,
    )


def raise_draw(
    row: records.ProgramRow, wanted: records.Draw
) -> records.ProgramRow:
    """Returns the parent's row with a child's draw raised to `wanted`.

    A draw that is not larger than the present one changes nothing.

    Raises:
        errors.Refused: `BUDGET_EXHAUSTED`.
    """
    current = next(
        (item for item in row.draws if item.child == wanted.child), None
    )
    before = current or records.Draw(wanted.child, 0, 0)
    after = records.Draw(
        wanted.child,
        max(before.tokens, wanted.tokens),
        max(before.calls, wanted.calls),
    )
    if after == current:
        return row
    tokens = after.tokens - before.tokens
    calls = after.calls - before.calls
    if remaining_tokens(row) < tokens or remaining_calls(row) < calls:
        raise _exhausted(
            f"the parent has {remaining_tokens(row)} tokens and "
            f"{remaining_calls(row)} calls left for its child program"
        )
    others = tuple(item for item in row.draws if item.child != wanted.child)
    return dataclasses.replace(row, draws=(*others, after))


def required_draw(
    row: records.ProgramRow, tokens: int, calls: int
) -> records.Draw:
    """Returns the draw that a child needs in order to use that much more."""
    used = total_used(row)
    return records.Draw(
        row.program_id, used.tokens + tokens, used.calls + calls
    )


def close_draw(
    row: records.ProgramRow, used: records.Draw
) -> records.ProgramRow:
    """Returns the parent's row after a child has ended with usage `used`.

    A child without a draw changes nothing, so the call can be repeated.
    """
    others = tuple(item for item in row.draws if item.child != used.child)
    if len(others) == len(row.draws):
        return row
    return dataclasses.replace(
        row,
        draws=others,
        tokens=row.tokens + used.tokens,
        calls=row.calls + used.calls,
    )


def total_used(row: records.ProgramRow) -> records.Draw:
    """Returns the usage of a program, with all draws of its children."""
    return records.Draw(
        row.program_id,
        row.budget.tokens - remaining_tokens(row) - row.reserved_tokens,
        row.budget.calls - remaining_calls(row) - row.reserved_calls,
    )


def _exhausted(detail: str) -> errors.Refused:
    return errors.Refused(
        errors.Code.BUDGET_EXHAUSTED,
        409,
        f"the program's budget does not allow the call: {detail}",
    )
