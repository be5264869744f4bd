"""Budgets of programs: reserved before dispatch, settled after.

What a call may use is reserved in the program's row before it is dispatched.
Once its outcome is known, the reservation is replaced by what was used. A
successor that finds a reservation can't know what became of the call, so it
counts all of it as used. A child has a budget of its own as a cap, and draws
what it uses, bit by bit, from the parent's; what it drew and did not use goes
back when it ends.
"""

from __future__ import annotations

import dataclasses

from endivepier import errors
from endivepier.history import records

RESERVE_AHEAD_FACTOR = 16


def remaining_tokens(row: records.ProgramRow) -> int:
    """Returns how many tokens are neither used, reserved nor drawn."""
    drawn = sum(draw.tokens for draw in row.draws)
    return row.budget.tokens - row.tokens - row.reserved_tokens - drawn


def remaining_calls(row: records.ProgramRow) -> int:
    """Returns how many calls are neither used, reserved nor drawn."""
    drawn = sum(draw.calls for draw in row.draws)
    return row.budget.calls - row.calls - row.reserved_calls - drawn


def remaining_seconds(row: records.ProgramRow, now: float) -> float:
    """Returns how much of the wall time is left at Unix time `now`."""
    return row.created + row.budget.seconds - now


def is_closed(row: records.ProgramRow, now: float) -> bool:
    """Returns whether the program takes no more calls."""
    ended = row.status is records.Status.ENDED
    return ended or remaining_seconds(row, now) <= 0


def check_open(row: records.ProgramRow, now: float) -> None:
    """Refuses calls of programs that have ended or whose time is over.

    Raises:
        errors.Refused: `PROGRAM_ENDED` or `BUDGET_EXHAUSTED`.
    """
    if row.status is records.Status.ENDED:
        raise errors.Refused(
            errors.Code.PROGRAM_ENDED, 409, "the program has ended"
        )
    if remaining_seconds(row, now) <= 0:
        raise _exhausted(f"its {row.budget.seconds:.0f} s are over")


def has_reservation(row: records.ProgramRow, tokens: int, epoch: int) -> bool:
    """Returns whether the owner of `epoch` has reserved enough for a call."""
    own = row.reserved_calls > 0 and row.reserved_epoch == epoch
    return own and row.reserved_tokens >= tokens


def reserve(
    row: records.ProgramRow, tokens: int, epoch: int
) -> records.ProgramRow:
    """Returns the row with room for one call; replaces a reservation.

    Raises:
        errors.Refused: `BUDGET_EXHAUSTED`.
    """
    free = dataclasses.replace(row, reserved_tokens=0, reserved_calls=0)
    if remaining_calls(free) < 1:
        raise _exhausted(f"all {row.budget.calls} calls are used")
    if remaining_tokens(free) < tokens:
        raise _exhausted(
            f"{remaining_tokens(free)} tokens are left of {row.budget.tokens}"
        )
    return dataclasses.replace(
        row, reserved_tokens=tokens, reserved_calls=1, reserved_epoch=epoch
    )


def settle(
    row: records.ProgramRow, tokens: int, next_tokens: int, epoch: int
) -> records.ProgramRow:
    """Returns the row once a call's outcome is known.

    While there is plenty left, room for the next call is reserved with the
    same write. A lost owner then costs the program at most that room; near
    the end of the budget each call writes its own reservation instead.

    Args:
        row: the row with the call's reservation.
        tokens: what the call used.
        next_tokens: what the next call is likely to ask for; 0 to reserve
            nothing. A child reserves nothing ahead.
        epoch: the epoch of the owner.
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
    roomy = remaining_tokens(settled) >= RESERVE_AHEAD_FACTOR * next_tokens
    if roomy and remaining_calls(settled) >= RESERVE_AHEAD_FACTOR:
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
    """Returns the parent's row after a child's draw was raised to `wanted`.

    The same or a smaller draw again changes nothing.

    Raises:
        errors.Refused: `BUDGET_EXHAUSTED`.
    """
    known = next(
        (item for item in row.draws if item.child == wanted.child), None
    )
    before = known or records.Draw(wanted.child, 0, 0)
    after = records.Draw(
        wanted.child,
        max(before.tokens, wanted.tokens),
        max(before.calls, wanted.calls),
    )
    if after == known:
        return row
    tokens = after.tokens - before.tokens
    calls = after.calls - before.calls
    if remaining_tokens(row) < tokens or remaining_calls(row) < calls:
        raise _exhausted(
            f"the parent has {remaining_tokens(row)} tokens and "
            f"{remaining_calls(row)} calls left for its child"
        )
    rest = tuple(item for item in row.draws if item.child != wanted.child)
    return dataclasses.replace(row, draws=(*rest, after))


def required_draw(
    row: records.ProgramRow, tokens: int, calls: int
) -> records.Draw:
    """Returns what a child has to have drawn to use that much more."""
    used = total_used(row)
    return records.Draw(
        row.program_id, used.tokens + tokens, used.calls + calls
    )


def close_draw(
    row: records.ProgramRow, used: records.Draw
) -> records.ProgramRow:
    """Returns the parent's row after a child ended; `used` counts as used."""
    rest = tuple(known for known in row.draws if known.child != used.child)
    if len(rest) == len(row.draws):
        return row
    return dataclasses.replace(
        row,
        draws=rest,
        tokens=row.tokens + used.tokens,
        calls=row.calls + used.calls,
    )


def total_used(row: records.ProgramRow) -> records.Draw:
    """Returns what a program that ends has used, open draws included."""
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
