"""Programs of a ledger that may have begun without the store.

Here or at another host: a program that another one may have opened has part of
its budget assumed to be held there, until that is ruled out (see `doubts`).
"""

from __future__ import annotations

import eliot
import gevent

from endivepier import timers as timers_lib
from endivepier.gateway.budgets import openers as openers_lib
from endivepier.gateway.budgets import opening_messages
from endivepier.gateway.budgets import state as budget_state

# How often other hosts are told not to open a program that runs here. They
# remember it for longer than a program's retention.
CLEARANCE_SECONDS = 30.0


class Unstored:
    """Opens programs without a row, and counts what others may have opened."""

    def __init__(
        self, openers: openers_lib.Openers, timers: timers_lib.Timers
    ) -> None:
        """Initializes.

        Args:
            openers: tells which host may open a program.
            timers: the timer service.
        """
        self._openers = openers
        self._timers = timers

    def track(self, program: budget_state.Program) -> None:
        """Sets what others may have granted to a program that comes here."""
        program.is_new = self._openers.is_new(program.name)
        if not program.is_new:
            return
        program.doubtful = self._openers.doubtful_hosts(program.name)
        program.cleared_at = self._timers.now()
        if program.doubtful is not None:
            assumption = opening_messages.Assumption(
                program.doubtful, self._timers.wall()
            )
            tokens = self._openers.tokens_assumed(
                program.budget, program.doubtful
            )
            program.assume(tokens, assumption)

    def spare(self, program: budget_state.Program) -> int:
        """Returns the tokens that may be granted without a write."""
        if program.opened and not self._openers.may_grant_opened():
            return 0
        return program.spare

    def open(self, program: budget_state.Program) -> bool:
        """Begins a program without the store, if this process may do so.

        Returns:
            Whether it has begun.
        """
        if program.opened:
            return False
        if not program.is_new or program.version is not None:
            return False
        part = self._openers.tokens_to_open(program.name, program.budget)
        if not part:
            return False
        # A write whose outcome is unknown may leave a row with fewer tokens.
        kept = [
            attempt.tokens + attempt.used
            for attempt in program.attempts.values()
        ]
        program.opened = min([part, *kept])
        program.is_unrecorded = True
        program.held_here = program.opened
        program.needs_write = True
        eliot.log_message(
            "budget.opened",
            program=program.name,
            tokens=program.opened,
            **self._openers.basis(),
        )
        return True

    def resolve(self, program: budget_state.Program) -> bool:
        """Releases what others were assumed to hold, if they hold nothing.

        Waits for replies of other hosts.

        Returns:
            Whether anything was released.
        """
        assumption = program.assumption
        if assumption is None:
            return False
        if not self._openers.is_resolved(program.name, assumption):
            return False
        if program.assumption is not assumption:  # the row was read meanwhile
            return False
        eliot.log_message(
            "budget.assumption_resolved",
            program=program.name,
            hosts=assumption.hosts,
            age=round(self._timers.wall() - assumption.at, 3),
            tokens=program.held_by_others,
        )
        program.clear_assumption()
        program.cleared_at = self._timers.now()
        program.needs_write = True
        return True

    def renew_clearance(self, program: budget_state.Program) -> None:
        """Has others know that a program still runs here, from time to time."""
        if not program.doubtful or program.assumption is not None:
            return
        if program.version is None:
            return
        if self._timers.now() - program.cleared_at < CLEARANCE_SECONDS:
            return
        program.cleared_at = self._timers.now()
        assumption = opening_messages.Assumption(
            program.doubtful, self._timers.wall()
        )
        gevent.spawn(self._openers.is_resolved, program.name, assumption)
