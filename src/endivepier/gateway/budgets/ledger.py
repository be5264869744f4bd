"""Token budgets of programs, enforced over all entry hosts by the store.

A program's row stores the tokens spent and the tokens that each process
holds. A process grants tokens that it holds to turns without another write.
Held tokens count as spent until the process writes what its turns used, so
the loss of a process never returns tokens to the budget.

A process holds up to half of what is left of the budget in advance. So most
turns are granted without a write, also while the store is unavailable. The
tokens used are written with the next reservation, or once the program has been
idle for some time.

In an outage of the store, a program that has no row yet may be opened with a
part of its budget, which is recorded when the store is back; `budgets.openers`
decides which programs.

A budget is exhausted once the turns that have ended used it up; the last turn
may exceed it by its own length. If a turn does not fit only because of tokens
that running turns have reserved, it waits for them to end.
"""

from __future__ import annotations

import eliot
import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.budgets import openers as openers_lib
from endivepier.gateway.budgets import row_expiry
from endivepier.gateway.budgets import rows as budget_rows
from endivepier.gateway.budgets import state as budget_state
from endivepier.gateway.budgets import unstored as unstored_lib
from endivepier.storage import ports

# When a program has been idle for this time, its process writes the tokens
# used and releases the rest. Programs pause for some tenths of a second.
IDLE_SECONDS = 2.0
# The time if few tokens are left for other processes. Shorter than
# RELEASE_WAIT_SECONDS, so that a turn there can use the released tokens.
SCARCE_IDLE_SECONDS = 0.5
IDLE_CHECK_SECONDS = 0.125
# How long a turn waits for tokens that running turns or other processes hold.
RELEASE_WAIT_SECONDS = 1.2
FIRST_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 1.0
# Idle programs are dropped from memory after this time, since a program sends
# its next turn well before it. The row stays in the store.
FORGET_SECONDS = 20.0


class Ledger:
    """The budgets of all programs, as one process holds them.

    Attributes:
        store_down: whether the last access to the store failed.
    """

    def __init__(
        self,
        holder: str,
        table: ports.Table,
        timers: timers_lib.Timers,
        openers: openers_lib.Openers | None = None,
        expiry: row_expiry.RowExpiry | None = None,
    ) -> None:
        """Initializes without any budgets.

        Args:
            holder: name of this process, a new one after each restart.
            table: stores the rows.
            timers: the timer service.
            openers: tells which programs may begin in an outage of the store;
                None if none may, at any process.
            expiry: deletes the rows of programs that have expired; None if
                they stay.
        """
        self._expiry = expiry
        self.store_down = False
        self._openers = openers
        self._rows = budget_rows.BudgetRows(holder, table)
        self._timers = timers
        self._programs: dict[str, budget_state.Program] = {}
        self._store_back = gevent.event.Event()
        self._unstored: unstored_lib.Unstored | None = None
        if openers is not None:
            self._unstored = unstored_lib.Unstored(openers, timers)
            openers.use_ledger(self._open_pending, self._forgo)

    def start(self) -> None:
        """Starts to release the tokens of idle programs."""
        self._timers.every(IDLE_CHECK_SECONDS, self._release_idle)
        if self._expiry is not None:
            self._expiry.start()

    def stop(self) -> None:
        """Does nothing: held tokens count as spent."""

    def begin(
        self, program: str, budget: int, max_tokens: int, *, first: bool = False
    ) -> budget_state.Reservation:
        """Reserves the tokens of a turn; may still be pending on return.

        Args:
            program: the program's id.
            budget: tokens that the program may generate in all.
            max_tokens: tokens that this turn may generate.
            first: whether the turn is its program's first, so that nothing
                can have been spent.
        """
        tracked = self._programs.get(program)
        if tracked is None:
            tracked = self._programs[program] = self._track(program, budget)
        tracked.used_at = self._timers.now()
        tracked.budget = budget
        tracked.release_spare = False
        tracked.largest_turn = max(tracked.largest_turn, max_tokens)
        if self._unstored is not None:
            self._unstored.note_use(tracked)
        reservation = budget_state.Reservation(max_tokens, tracked)
        if self.store_down:
            self._open(tracked)
        if self._spare(tracked) >= max_tokens:
            tracked.active += max_tokens
            reservation.decide(budget_state.State.GRANTED)
            self._start_writing(tracked)
            return reservation
        reservation.likely = self._is_likely(tracked, max_tokens, first)
        tracked.pending.append(reservation)
        self._start_writing(tracked)
        return reservation

    def end(self, reservation: budget_state.Reservation, used: int) -> None:
        """Settles a turn of which `used` tokens were sent to the client."""
        program = reservation.program
        program.used_at = self._timers.now()
        if self._unstored is not None:
            self._unstored.note_use(program)
        if reservation.state is not budget_state.State.GRANTED:
            if reservation in program.pending:
                program.pending.remove(reservation)
                reservation.decide(budget_state.State.UNAVAILABLE)
            return
        program.active -= reservation.max_tokens
        program.unwritten += used
        self._grant_spare(program)
        program.turn_ended.set()

    def _grant_spare(self, program: budget_state.Program) -> None:
        """Grants pending reservations from tokens that are held already."""
        for reservation in list(program.pending):
            if self._spare(program) < reservation.max_tokens:
                return
            program.pending.remove(reservation)
            program.active += reservation.max_tokens
            reservation.decide(budget_state.State.GRANTED)

    def has_unrecorded(self) -> bool:
        """Returns whether any program was opened and is not recorded yet."""
        return any(program.is_unrecorded for program in self._programs.values())

    def _spare(self, program: budget_state.Program) -> int:
        """Returns the tokens that may be granted without a write."""
        if self._unstored is None:
            return program.spare
        return self._unstored.spare(program)

    def _open_pending(self) -> None:
        """Begins the programs that wait for it, if the store is away."""
        if not self.store_down:
            return
        for program in list(self._programs.values()):
            if program.pending:
                self._open(program)

    def _forgo(self, name: str) -> bool:
        """Has a program never begin here without the store.

        Returns:
            Whether everything that was granted here is recorded.
        """
        program = self._programs.get(name)
        if program is None:
            return True
        if not program.opened:
            program.is_new = False
        return not program.is_unrecorded

    def _track(self, name: str, budget: int) -> budget_state.Program:
        program = budget_state.Program(name, budget)
        if self._unstored is not None:
            self._unstored.track(program)
        return program

    def _open(self, program: budget_state.Program) -> None:
        """Begins a program without the store, if this process may do so."""
        if self._unstored is not None and self._unstored.open(program):
            self._grant_spare(program)

    def _resolve(self, program: budget_state.Program) -> bool:
        """Releases what others were assumed to hold, if they hold nothing."""
        return self._unstored is not None and self._unstored.resolve(program)

    def _is_likely(
        self, program: budget_state.Program, max_tokens: int, first: bool
    ) -> bool:
        if self.store_down:
            return False
        if program.version is None:
            return first
        if program.is_spent:
            return False
        return program.available >= max_tokens + sum(
            r.max_tokens for r in program.pending
        )

    def _start_writing(self, program: budget_state.Program) -> None:
        if not program.is_writing and (program.pending or program.needs_write):
            program.is_writing = True
            gevent.spawn(self._write_all, program)

    def _write_all(self, program: budget_state.Program) -> None:
        backoff = FIRST_BACKOFF_SECONDS
        started = self._timers.now()
        try:
            while program.pending or program.needs_write:
                try:
                    blocked = self._write(program)
                    self._set_store_down(program, None)
                    backoff = FIRST_BACKOFF_SECONDS
                except (errors.Unavailable, errors.OutcomeUnknown) as exc:
                    self._set_store_down(program, exc)
                    self._open(program)
                    self._timers.wait(self._store_back, backoff)
                    backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
                    continue
                if blocked:
                    if self._timers.now() - started > RELEASE_WAIT_SECONDS:
                        self._deny(program)
                    else:
                        program.turn_ended.clear()
                        self._timers.wait(
                            program.turn_ended, RELEASE_WAIT_SECONDS / 8
                        )
        finally:
            program.is_writing = False
            for reservation in program.pending:
                reservation.decide(budget_state.State.UNAVAILABLE)
            program.pending.clear()

    def _set_store_down(
        self, program: budget_state.Program, exc: Exception | None
    ) -> None:
        if exc is not None and not self.store_down:
            self._store_back.clear()
            eliot.log_message(
                "budgets.store_lost", program=program.name, reason=str(exc)
            )
        if exc is None and self.store_down:
            self._store_back.set()
            eliot.log_message("budgets.store_regained", program=program.name)
        self.store_down = exc is not None

    def _deny(self, program: budget_state.Program) -> None:
        """Refuses all pending reservations; the row has just been read.

        Only what turns have used, or may use that run here, is spent for sure.
        Tokens that others hold may have been lost with their process.
        """
        state = budget_state.State.DENIED
        if program.held_by_others and not program.is_spent:
            state = budget_state.State.UNAVAILABLE
        for reservation in program.pending:
            reservation.decide(state)
        eliot.log_message(
            "budget.spent"
            if state is budget_state.State.DENIED
            else "budget.held_elsewhere",
            program=program.name,
            budget=program.budget,
            spent=program.spent,
            held_elsewhere=program.held_by_others,
            assumed=program.assumption is not None,
            row_version=program.version,
            denied=len(program.pending),
        )
        program.pending.clear()

    def _write(self, program: budget_state.Program) -> bool:
        """Writes the row once, if a reservation or a settlement needs it.

        Returns:
            Whether nothing was written, since all pending reservations wait
            for tokens held by running turns or other processes.

        Raises:
            errors.Unavailable: the row was not written.
            errors.OutcomeUnknown: the row may have been written.
        """
        was_read = bool(program.attempts)
        if was_read:
            self._rows.read(program)
        granted = self._affordable(program)
        if len(granted) < len(program.pending) and not was_read:
            # The known state may be stale or assumed, so the row is read
            # before any reservation is denied.
            self._rows.read(program)
            granted = self._affordable(program)
        if len(granted) < len(program.pending) and self._resolve(program):
            granted = self._affordable(program)
        if granted or program.needs_write:
            # An earlier write whose reply was lost may hold these tokens
            # already. Unless they are marked, `_grant_spare` would grant them
            # to another turn during this write.
            program.promised = sum(r.max_tokens for r in granted)
            try:
                if self._rows.commit(program, granted):
                    self._grant(program, granted)
            finally:
                program.promised = 0
            return False
        if program.pending and program.is_spent:
            self._deny(program)
        return bool(program.pending)

    def _grant(
        self,
        program: budget_state.Program,
        granted: list[budget_state.Reservation],
    ) -> None:
        for reservation in granted:
            if reservation in program.pending:
                program.pending.remove(reservation)
                program.active += reservation.max_tokens
                reservation.decide(budget_state.State.GRANTED)

    def _affordable(
        self, program: budget_state.Program
    ) -> list[budget_state.Reservation]:
        """Returns the pending reservations that fit into the budget."""
        granted: list[budget_state.Reservation] = []
        if program.is_spent:
            return granted
        available = program.available
        for reservation in program.pending:
            if reservation.max_tokens <= available:
                available -= reservation.max_tokens
                granted.append(reservation)
        return granted

    def _release_idle(self) -> None:
        """Releases tokens of idle programs and drops old programs.

        Not in an outage: after a write that may have taken effect, only what is
        held in either case can be granted.
        """
        if self._openers is not None:
            is_recorded = not self.store_down and not self.has_unrecorded()
            self._openers.tick(all_recorded=is_recorded)
        if self._unstored is not None:
            for program in list(self._programs.values()):
                self._unstored.check(program)
        if self.store_down:
            return
        now = self._timers.now()
        for name, program in list(self._programs.items()):
            if program.is_writing or program.active or program.pending:
                continue
            idle_seconds = (
                SCARCE_IDLE_SECONDS if program.is_scarce else IDLE_SECONDS
            )
            if now - program.used_at > FORGET_SECONDS and not program.unwritten:
                del self._programs[name]
                if self._expiry is not None and program.version:
                    self._expiry.add(name, program.version, program.used_at)
            elif now - program.used_at > idle_seconds and (
                program.unwritten or program.spare > 0
            ):
                program.release_spare = True
                program.needs_write = True
                self._start_writing(program)
