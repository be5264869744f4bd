"""Budgets of child programs, which are drawn from the parent's budget.

The parent may be owned by another sidecar, so draws and returns are messages
to the parent's owner.
"""

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

DRAW_TIMEOUT_SECONDS = 10.0
RETURN_TIMEOUT_SECONDS = 30.0
RETURN_ATTEMPTS = 5
DRAW_AHEAD_CALLS = 3  # spares most calls the round trip to the parent's owner


class OwnerClient(Protocol):
    """Sends messages to the owner of a program."""

    def call(
        self,
        program: ids_lib.ProgramId,
        req: Any,
        reply: type[Any],
        *,
        seconds: float,
        repeatable: bool = True,
    ) -> Any:
        """Sends `req` to the program's owner and returns the reply."""


class ChildBudgets:
    """Draws budget from parents elsewhere and grants draws to children."""

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
        """Registers the handlers of messages from the children's owners."""
        inbox.register(messages.DrawBudget, messages.Drawn, self.handle_draw)
        inbox.register(
            messages.ReturnBudget, messages.Drawn, self.handle_return
        )

    def handle_draw(self, req: messages.DrawBudget) -> messages.Drawn:
        """Reserves part of the parent's budget for a child.

        This does not wait for the parent's running call, because children
        exist to work in parallel with it. A parent that is itself a child
        first draws from its own parent.
        """
        program = self._registry.find(req.program_id, req.account)
        stored = program.stored
        now = self._timers.wall()
        with registry_lib.map_write_errors(self._registry, program):
            budgets.check_open(stored.row, now)
            if stored.row.parent:
                row_with_draw = budgets.raise_draw(stored.row, req.draw)
                self.ensure_drawn(
                    stored, budgets.required_draw(row_with_draw, 0, 0)
                )
            # The row may have changed while its own parent was contacted.
            row = budgets.raise_draw(stored.row, req.draw)
            if row is not stored.row:
                self._journal.append(stored, row)
            self._journal.wait_durable(stored)
        return messages.Drawn(budgets.remaining_seconds(stored.row, now))

    def ensure_drawn(
        self, stored: stored_lib.StoredProgram, wanted: records.Draw
    ) -> None:
        """Ensures that a child has drawn at least `wanted` from its parent.

        Draws enough for `DRAW_AHEAD_CALLS` more calls if the parent's budget
        allows it, so that most calls need no message to the parent's owner.

        Raises:
            errors.Refused: the parent's budget is exhausted, or its owner
                can't be reached.
        """
        already_drawn = stored.granted_draw
        if already_drawn is not None and (
            already_drawn.tokens >= wanted.tokens
            and already_drawn.calls >= wanted.calls
        ):
            return
        requested = wanted
        if already_drawn is not None:
            requested = records.Draw(
                wanted.child,
                wanted.tokens
                + DRAW_AHEAD_CALLS
                * max(0, wanted.tokens - already_drawn.tokens),
                wanted.calls + DRAW_AHEAD_CALLS,
            )
        try:
            self._draw(stored.row, requested)
        except errors.Refused as exc:
            if (
                exc.code is not errors.Code.BUDGET_EXHAUSTED
                or requested == wanted
            ):
                raise
            requested = wanted
            self._draw(stored.row, requested)
        stored.granted_draw = requested

    def handle_return(self, req: messages.ReturnBudget) -> messages.Drawn:
        """Charges an ended child's usage and releases the rest of its draw."""
        program = self._registry.find(req.program_id, req.account)
        stored = program.stored
        with registry_lib.map_write_errors(self._registry, program):
            row = budgets.close_draw(stored.row, req.used)
            if row is not stored.row:
                self._journal.append(stored, row)
            self._journal.wait_durable(stored)
        now = self._timers.wall()
        return messages.Drawn(budgets.remaining_seconds(stored.row, now))

    def register_with_parent(
        self, row: records.ProgramRow
    ) -> records.ProgramRow:
        """Registers a new child with its parent; returns the child's row.

        The child's wall time is limited to what the parent has left.

        Raises:
            errors.Refused: the parent has ended or is out of budget, or its
                owner can't be reached.
        """
        drawn = self._draw(row, records.Draw(row.program_id, 0, 0))
        seconds = min(row.budget.seconds, drawn.seconds)
        budget = dataclasses.replace(row.budget, seconds=seconds)
        return dataclasses.replace(row, budget=budget)

    def return_unused(self, row: records.ProgramRow) -> None:
        """Starts to return an ended child's unused budget to its parent."""
        if row.parent:
            gevent.spawn(self._return_budget, row)

    def _draw(
        self, row: records.ProgramRow, draw: records.Draw
    ) -> messages.Drawn:
        drawn: messages.Drawn = self._owners.call(
            ids_lib.parse_program(row.parent),
            messages.DrawBudget(row.parent, row.account, draw),
            messages.Drawn,
            seconds=DRAW_TIMEOUT_SECONDS,
        )
        return drawn

    def _return_budget(self, row: records.ProgramRow) -> None:
        """Returns unused budget; after the last attempt it stays drawn."""
        used = budgets.total_used(row)
        req = messages.ReturnBudget(row.parent, row.account, used)
        for _ in range(RETURN_ATTEMPTS):
            try:
                self._owners.call(
                    ids_lib.parse_program(row.parent),
                    req,
                    messages.Drawn,
                    seconds=RETURN_TIMEOUT_SECONDS,
                )
                return
            except errors.Refused as exc:
                if exc.code in (
                    errors.Code.NOT_FOUND,
                    errors.Code.PROGRAM_ENDED,
                ):
                    return
        self._metrics.count("budgets_not_returned")
