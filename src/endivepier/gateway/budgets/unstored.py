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
from endivepier.gateway.hosts import rows as host_rows

# How often it is checked which other hosts may open a program that runs here.
CHECK_SECONDS = 2.0
# For so long a silent host is waited for; less than `ledger.FORGET_SECONDS`.
SILENT_SECONDS = 12.0


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
        program.told_all_at = self._timers.now()
        program.is_new = self._openers.is_new(program.name)
        if not program.is_new:
            return
        doubtful = self._openers.doubtful_hosts(program.name)
        if doubtful is not None:
            assumption = opening_messages.Assumption(
                doubtful, self._timers.wall()
            )
            tokens = self._openers.tokens_assumed(program.budget, doubtful)
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
        program.needs_write = True
        return True

    def note_use(self, program: budget_state.Program) -> None:
        """Remembers a program, so that it is not taken for new here."""
        self._openers.is_new(program.name)

    def check(self, program: budget_state.Program) -> None:
        """Has no other host take a program for new that runs here.

        Those that may be its first choice are told: each new process at once,
        all of them from time to time. For one that stays silent, the other
        hosts are asked to note no opening of it. To be called often.
        """
        now = self._timers.now()
        if program.version is None or program.assumption is not None:
            return  # what others may open counts, or is not known yet
        if now - program.checked_at < CHECK_SECONDS:
            return
        # A process that starts after the last use opens nothing for longer than
        # the program may come back.
        if program.told_all_at > program.used_at:
            return
        program.checked_at = now
        choices = self._openers.other_choices(program.name)
        untold = [
            host
            for host, process in choices.items()
            if not self._is_told(program, host, process)
        ]
        if not untold:
            program.told_all_at = now
            return
        is_late = now - program.told_all_at > SILENT_SECONDS
        for host in untold:
            if is_late or self._openers.is_available(host):
                gevent.spawn(self._tell, program, host, choices[host])

    def _is_told(
        self,
        program: budget_state.Program,
        host: str,
        process: host_rows.Entry | None,
    ) -> bool:
        told, at = program.told.get(host, (None, float("-inf")))
        age = self._timers.now() - at
        return told == process and age < openers_lib.CLEARANCE_SECONDS

    def _tell(
        self,
        program: budget_state.Program,
        host: str,
        process: host_rows.Entry | None,
    ) -> None:
        now = self._timers.now()
        assumption = opening_messages.Assumption((host,), self._timers.wall())
        if self._openers.is_resolved(program.name, assumption):
            program.told[host] = (process, now)
