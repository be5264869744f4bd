"""Reads and writes the row of a program's budget.

After a write whose outcome is unknown, only the tokens that the process holds
in either case count, until a read or a later write shows the outcome.
"""

from __future__ import annotations

import itertools

import eliot

from endivepier import errors
from endivepier.gateway.budgets import state as budget_state
from endivepier.gateway.store import rows
from endivepier.internal import codec
from endivepier.storage import ports


class BudgetRows:
    """The rows of all programs, as one process reads and writes them."""

    def __init__(self, holder: str, table: ports.Table) -> None:
        """Initializes.

        Args:
            holder: name of this process, a new one after each restart.
            table: stores the rows.
        """
        self._holder = holder
        self._table = table
        self._write_numbers = itertools.count(1)

    def commit(
        self,
        program: budget_state.Program,
        granted: list[budget_state.Reservation],
    ) -> bool:
        """Writes what was used, and what this process holds from now on.

        Args:
            program: the program.
            granted: pending reservations that the tokens held cover as well.

        Returns:
            Whether it was written; otherwise another process had written the
            row, which was then read.

        Raises:
            errors.Unavailable: the row was not written.
            errors.OutcomeUnknown: the row may have been written.
        """
        used = program.unwritten
        reserved = program.active + sum(r.max_tokens for r in granted)
        available = program.budget - program.spent - used
        available -= program.held_by_others + reserved
        tokens = reserved + program.tokens_ahead(available)
        number = next(self._write_numbers)
        program.needs_write = False
        key = rows.key(rows.BUDGETS, program.name)
        usage = budget_state.Usage(
            program.spent + used,
            {
                **program.others,
                self._holder: budget_state.Held(tokens, number),
            },
            program.assumption,
        )
        # Without a known row, none is assumed. If there is one, the write
        # fails and the row is read.
        condition: ports.Condition = ports.Absent(key)
        if program.version:
            condition = ports.VersionIs(key, program.version)
        program.attempts[number] = budget_state.WriteAttempt(
            program.version or 0, used, tokens
        )
        # Until the outcome is known, count only the tokens that this process
        # holds whether or not the write takes effect.
        program.held_here = min(program.held_here, tokens + used)
        try:
            version = self._table.transact(
                ports.Transaction(
                    (condition,), (ports.Put(key, codec.encode(usage)),)
                )
            )
        except errors.OutcomeUnknown:
            program.needs_write = True
            raise
        except (errors.ConditionFailed, errors.Unavailable) as exc:
            program.needs_write = True
            del program.attempts[number]
            if isinstance(exc, errors.Unavailable):
                raise
            self.read(program)
            return False
        self._apply(program, number, version, usage.spent)
        eliot.log_message(
            "budget.written",
            program=program.name,
            budget=program.budget,
            spent=program.spent,
            held=program.held_here,
            held_elsewhere=program.held_by_others,
            running=program.active,
            granted=len(granted),
            row_version=version,
        )
        return True

    def _apply(
        self,
        program: budget_state.Program,
        number: int,
        version: int,
        spent: int,
    ) -> None:
        attempt = program.attempts[number]
        # The row has a new version, so no earlier write can take effect.
        program.attempts.clear()
        program.version = version
        program.spent = spent
        program.unwritten -= attempt.used
        program.held_here = attempt.tokens
        program.opened = 0
        program.is_unrecorded = False

    def read(self, program: budget_state.Program) -> None:
        """Reads the row, which also tells whether a write took effect.

        Raises:
            errors.Unavailable: the row can't be read now.
        """
        row = self._table.get(rows.key(rows.BUDGETS, program.name))
        if row is None:
            self._use_row(program, 0, budget_state.Usage(0, {}), None)
            program.others = {}
            if program.assumption is not None:
                program.assume(program.assumed, program.assumption)
            return
        usage: budget_state.Usage = codec.decode(budget_state.Usage, row.value)
        own = usage.held.get(self._holder)
        if own is not None and own.write in program.attempts:
            self._apply(program, own.write, row.version, usage.spent)
        else:
            self._use_row(program, row.version, usage, own)
        program.others = {
            holder: held
            for holder, held in usage.held.items()
            if holder != self._holder
        }
        program.assumption = usage.assumption

    def _use_row(
        self,
        program: budget_state.Program,
        version: int,
        usage: budget_state.Usage,
        own: budget_state.Held | None,
    ) -> None:
        """Updates the state from a row that none of the attempts wrote.

        Attempts on a former version can't take effect any more.
        """
        program.version = version
        program.spent = usage.spent
        if version:
            program.opened = 0
        program.held_here = program.opened if own is None else own.tokens
        for number, attempt in list(program.attempts.items()):
            if attempt.version != version:
                del program.attempts[number]
            else:
                program.held_here = min(
                    program.held_here, attempt.tokens + attempt.used
                )
