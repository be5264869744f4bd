"""Child programs: their budget comes out of the parent's, wherever it is."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import Protocol

import gevent

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.history import budgets
from endivepier.history import journal as journal_lib
from endivepier.history import messages
from endivepier.history import records
from endivepier.history import stored as stored_lib
from endivepier.internal import ids as ids_lib
from endivepier.internal import peers as peers_lib
from endivepier.sidecar import registry as registry_lib
from endivepier.telemetry import metrics as metrics_lib

DRAW_SECONDS = 10.0
RETURN_SECONDS = 30.0
RETURN_TRIES = 5
AHEAD = 3


class OwnerClient(Protocol):
    """The way to the owner of any program."""

    def call(
        self,
        program: ids_lib.ProgramId,
        req: Any,
        reply: type[Any],
        *,
        seconds: float,
        repeatable: bool = True,
    ) -> Any:
        """Sends `req` to the program's owner and returns its answer."""


class ChildBudgets:
    """Draws on parents' budgets, and lets children draw here."""

    def __init__(
        self,
        registry: registry_lib.Registry,
        journal: journal_lib.Journal,
        owners: OwnerClient,
        timers: timers_lib.Timers,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._registry = registry
        self._journal = journal
        self._owners = owners
        self._timers = timers
        self._metrics = metrics

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Takes the messages from the owners of children."""
        inbox.register(messages.DrawBudget, messages.Drawn, self.draw)
        inbox.register(messages.ReturnBudget, messages.Drawn, self.take_back)

    def draw(self, req: messages.DrawBudget) -> messages.Drawn:
        """Takes a child's draw out of the parent's budget.

        It does not wait for a call that runs: children are how a program
        does several things at once. A parent that is a child itself draws
        from its own parent first.
        """
        program = self._registry.find(req.program_id, req.account)
        stored = program.stored
        now = self._timers.wall()
        with registry_lib.writing(self._registry, program):
            budgets.check_open(stored.row, now)
            if stored.row.parent:
                grown = budgets.draw(stored.row, req.draw)
                self.cover(stored, budgets.needed(grown, 0, 0))
            row = budgets.draw(stored.row, req.draw)
            if row is not stored.row:
                self._journal.append(stored, row)
            self._journal.settle(stored)
        return messages.Drawn(budgets.left_seconds(stored.row, now))

    def cover(self, stored: stored_lib.Stored, wanted: records.Draw) -> None:
        """Makes sure that a child has drawn `wanted` from its parent.

        Takes a bit more if the parent has it, so that not every call asks.

        Raises:
            errors.Refused: the parent can't give it, or can't be reached.
        """
        have = stored.drawn
        if have is not None and (
            have.tokens >= wanted.tokens and have.calls >= wanted.calls
        ):
            return
        more = wanted
        if have is not None:
            more = records.Draw(
                wanted.child,
                wanted.tokens + AHEAD * max(0, wanted.tokens - have.tokens),
                wanted.calls + AHEAD,
            )
        try:
            self._draw(stored.row, more)
        except errors.Refused as exc:
            if exc.code is not errors.Code.BUDGET_EXHAUSTED or more == wanted:
                raise
            more = wanted
            self._draw(stored.row, more)
        stored.drawn = more

    def take_back(self, req: messages.ReturnBudget) -> messages.Drawn:
        """Counts what a child used and frees the rest."""
        program = self._registry.find(req.program_id, req.account)
        stored = program.stored
        with registry_lib.writing(self._registry, program):
            row = budgets.give_back(stored.row, req.used)
            if row is not stored.row:
                self._journal.append(stored, row)
            self._journal.settle(stored)
        now = self._timers.wall()
        return messages.Drawn(budgets.left_seconds(stored.row, now))

    def on_budget_of_parent(
        self, row: records.ProgramRow
    ) -> records.ProgramRow:
        """Returns a new child's row, once its parent knows of it.

        Raises:
            errors.Refused: the parent is over, or can't be reached.
        """
        drawn = self._draw(row, records.Draw(row.program_id, 0, 0))
        seconds = min(row.budget.seconds, drawn.seconds)
        budget = dataclasses.replace(row.budget, seconds=seconds)
        return dataclasses.replace(row, budget=budget)

    def child_ended(self, row: records.ProgramRow) -> None:
        """Gives back to the parent what an ended child has not used."""
        if row.parent:
            gevent.spawn(self._give_back, row)

    def _draw(
        self, row: records.ProgramRow, draw: records.Draw
    ) -> messages.Drawn:
        drawn: messages.Drawn = self._owners.call(
            ids_lib.parse_program(row.parent),
            messages.DrawBudget(row.parent, row.account, draw),
            messages.Drawn,
            seconds=DRAW_SECONDS,
        )
        return drawn

    def _give_back(self, row: records.ProgramRow) -> None:
        """Tries a few times; what is not given back stays spent."""
        used = budgets.total_used(row)
        message = messages.ReturnBudget(row.parent, row.account, used)
        for _ in range(RETURN_TRIES):
            try:
                self._owners.call(
                    ids_lib.parse_program(row.parent),
                    message,
                    messages.Drawn,
                    seconds=RETURN_SECONDS,
                )
                return
            except errors.Refused as exc:
                if exc.code in (
                    errors.Code.NOT_FOUND,
                    errors.Code.PROGRAM_ENDED,
                ):
                    return
        self._metrics.count("budgets_not_returned")
