"""Token budgets of programs, held over all entry hosts.

One row a program says what was spent and what each process holds: tokens that
it may hand out without asking again. A turn runs within what its process
holds. What a process holds counts as spent until it says otherwise, so that a
process that is lost never makes tokens come back.

A process holds one turn more than it needs while the budget has room for it,
so that most turns find their tokens without a write, also while the store is
away. What was spent is written with the next reservation, or when the program
has paused.

A budget is spent once nothing of it is left, and the last turn may go beyond
it by its own length. A turn that only lacks what other turns might still
generate waits for those to end.
"""

from __future__ import annotations

import itertools

import eliot
import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import budget_state
from endivepier.gateway import rows
from endivepier.internal import codec
from endivepier.storage import ports

# A process that has heard nothing of a program for so long writes what was
# spent and gives back the rest, before another one gives up waiting for it.
IDLE_SECONDS = 0.5
# How long a turn waits for other processes to give back what they hold.
RELEASE_WAIT_SECONDS = 1.2
FIRST_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 1.0
# A program sends its next turn well within this time; after it the store
# alone remembers.
FORGET_SECONDS = 20.0


class Ledger:
    """The budgets of all programs at this process."""

    def __init__(
        self, holder: str, table: ports.Table, timers: timers_lib.Timers
    ) -> None:
        """Makes a ledger.

        Args:
            holder: name of this process, another one after a restart.
            table: keeps the rows.
            timers: the timer service.
        """
        self.store_down = False
        self._holder = holder
        self._table = table
        self._timers = timers
        self._programs: dict[str, budget_state.Program] = {}
        self._numbers = itertools.count(1)
        self._regained = gevent.event.Event()

    def start(self) -> None:
        """Begins to look after programs that are over."""
        self._timers.every(IDLE_SECONDS / 4, self._tend)

    def stop(self) -> None:
        """Does nothing: what is held counts as spent."""

    def begin(
        self, program: str, budget: int, most: int, *, first: bool = False
    ) -> budget_state.Reservation:
        """Reserves the tokens of a turn; may still be pending on return.

        Args:
            program: the program's id.
            budget: tokens that it may generate in all.
            most: tokens that this turn may generate.
            first: whether the turn is its program's first, so that nothing
                can have been spent.
        """
        found = self._programs.get(program)
        if found is None:
            found = self._programs[program] = budget_state.Program(
                program, budget
            )
        found.touched = self._timers.now()
        found.budget = budget
        found.release = False
        found.largest = max(found.largest, most)
        reservation = budget_state.Reservation(most, found)
        if found.spare >= most:
            found.active += most
            reservation.decide(budget_state.State.GRANTED)
            return reservation
        reservation.likely = self._is_likely(found, most, first)
        found.pending.append(reservation)
        self._kick(found)
        return reservation

    def end(self, reservation: budget_state.Reservation, used: int) -> None:
        """Settles a turn: `used` tokens were handed to the client."""
        program = reservation.program
        program.touched = self._timers.now()
        if reservation.state is not budget_state.State.GRANTED:
            if reservation in program.pending:
                program.pending.remove(reservation)
                reservation.decide(budget_state.State.UNAVAILABLE)
            return
        program.active -= reservation.most
        program.used += used
        self._grant_spare(program)
        program.changed.set()

    def _grant_spare(self, program: budget_state.Program) -> None:
        """Grants what waits from what is held already."""
        for reservation in list(program.pending):
            if program.spare < reservation.most:
                return
            program.pending.remove(reservation)
            program.active += reservation.most
            reservation.decide(budget_state.State.GRANTED)

    def _is_likely(
        self, program: budget_state.Program, most: int, first: bool
    ) -> bool:
        if self.store_down:
            return False
        if program.version is None:
            return first
        if program.is_spent:
            return False
        return program.left >= most + sum(r.most for r in program.pending)

    def _kick(self, program: budget_state.Program) -> None:
        if not program.busy and (program.pending or program.settle):
            program.busy = True
            gevent.spawn(self._write_all, program)

    def _write_all(self, program: budget_state.Program) -> None:
        backoff = FIRST_BACKOFF_SECONDS
        waited = self._timers.now()
        try:
            while program.pending or program.settle:
                try:
                    blocked = self._write(program)
                    self._note(program, None)
                    backoff = FIRST_BACKOFF_SECONDS
                except (errors.Unavailable, errors.OutcomeUnknown) as exc:
                    self._note(program, exc)
                    self._timers.wait(self._regained, backoff)
                    backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
                    continue
                if blocked:
                    if self._timers.now() - waited > RELEASE_WAIT_SECONDS:
                        self._deny(program)
                    else:
                        program.changed.clear()
                        self._timers.wait(
                            program.changed, RELEASE_WAIT_SECONDS / 8
                        )
        finally:
            program.busy = False
            for reservation in program.pending:
                reservation.decide(budget_state.State.UNAVAILABLE)
            program.pending.clear()

    def _note(
        self, program: budget_state.Program, exc: Exception | None
    ) -> None:
        if exc is not None and not self.store_down:
            self._regained.clear()
            eliot.log_message(
                "budgets.store_lost", program=program.name, reason=str(exc)
            )
        if exc is None and self.store_down:
            self._regained.set()
            eliot.log_message("budgets.store_regained", program=program.name)
        self.store_down = exc is not None

    def _deny(self, program: budget_state.Program) -> None:
        """Denies what waits; the store has just been read."""
        for reservation in program.pending:
            reservation.decide(budget_state.State.DENIED)
        eliot.log_message(
            "budget.spent",
            program=program.name,
            budget=program.budget,
            spent=program.spent,
            held_elsewhere=program.held_by_others,
            row_version=program.version,
            denied=len(program.pending),
        )
        program.pending.clear()

    def _write(self, program: budget_state.Program) -> bool:
        """Writes once what is to be written.

        Returns:
            Whether reservations still wait for what other processes hold.

        Raises:
            errors.Unavailable: nothing was written.
            errors.OutcomeUnknown: it may have been written.
        """
        looked = bool(program.attempts)
        if looked:
            self._read(program)
        granted = self._fitting(program)
        if len(granted) < len(program.pending) and not looked:
            # What is known may be old, or only assumed: look before a no.
            self._read(program)
            granted = self._fitting(program)
        if granted or program.settle:
            # An earlier write may hold them already, with its reply lost.
            program.promised = sum(each.most for each in granted)
            try:
                self._commit(program, granted)
            finally:
                program.promised = 0
            return False
        if program.pending and program.is_spent:
            self._deny(program)
        return bool(program.pending)

    def _fitting(
        self, program: budget_state.Program
    ) -> list[budget_state.Reservation]:
        """Returns the pending reservations that the budget has room for."""
        granted: list[budget_state.Reservation] = []
        if program.is_spent:
            return granted
        left = program.left
        for reservation in program.pending:
            if reservation.most <= left:
                left -= reservation.most
                granted.append(reservation)
        return granted

    def _commit(
        self,
        program: budget_state.Program,
        granted: list[budget_state.Reservation],
    ) -> None:
        used = program.used
        taken = program.active + sum(r.most for r in granted)
        left = program.budget - program.spent - used
        left -= program.held_by_others + taken
        tokens = taken + self._ahead(program, left)
        number = next(self._numbers)
        program.settle = False
        key = rows.key(rows.BUDGETS, program.name)
        usage = budget_state.Usage(
            program.spent + used,
            {**program.others, self._holder: budget_state.Held(tokens, number)},
        )
        condition: ports.Condition = ports.Absent(key)
        if program.version:
            condition = ports.VersionIs(key, program.version)
        program.attempts[number] = budget_state.Attempt(
            program.version or 0, used, tokens
        )
        # While the outcome is open, only what is held in both cases is held.
        program.mine = min(program.mine, tokens + used)
        try:
            version = self._table.transact(
                ports.Transaction(
                    (condition,), (ports.Put(key, codec.encode(usage)),)
                )
            )
        except errors.OutcomeUnknown:
            program.settle = True
            raise
        except (errors.ConditionFailed, errors.Unavailable) as exc:
            program.settle = True
            del program.attempts[number]
            if isinstance(exc, errors.Unavailable):
                raise
            self._read(program)
            return
        self._applied(program, number, version, usage.spent)
        eliot.log_message(
            "budget.written",
            program=program.name,
            budget=program.budget,
            spent=program.spent,
            held=program.mine,
            held_elsewhere=program.held_by_others,
            running=program.active,
            granted=len(granted),
            row_version=version,
        )
        for reservation in granted:
            if reservation in program.pending:
                program.pending.remove(reservation)
                program.active += reservation.most
                reservation.decide(budget_state.State.GRANTED)

    def _applied(
        self,
        program: budget_state.Program,
        number: int,
        version: int,
        spent: int,
    ) -> None:
        attempt = program.attempts[number]
        # The row has a new version, so that no other write can take effect.
        program.attempts.clear()
        program.version = version
        program.spent = spent
        program.used -= attempt.used
        program.mine = attempt.tokens

    def _ahead(self, program: budget_state.Program, left: int) -> int:
        """Returns how many tokens to hold in advance."""
        if program.release or left < program.largest:
            return 0
        return program.largest

    def _read(self, program: budget_state.Program) -> None:
        """Reads the row; finds out what became of an open write.

        Raises:
            errors.Unavailable: it can't be read now.
        """
        row = self._table.get(rows.key(rows.BUDGETS, program.name))
        if row is None:
            self._adopt(program, 0, budget_state.Usage(0, {}), None)
            program.others = {}
            return
        usage: budget_state.Usage = codec.decode(budget_state.Usage, row.value)
        mine = usage.held.get(self._holder)
        if mine is not None and mine.write in program.attempts:
            self._applied(program, mine.write, row.version, usage.spent)
        else:
            self._adopt(program, row.version, usage, mine)
        program.others = {
            holder: held
            for holder, held in usage.held.items()
            if holder != self._holder
        }

    def _adopt(
        self,
        program: budget_state.Program,
        version: int,
        usage: budget_state.Usage,
        mine: budget_state.Held | None,
    ) -> None:
        """Takes over a row that none of the open writes has written."""
        program.version = version
        program.spent = usage.spent
        program.mine = 0 if mine is None else mine.tokens
        for number, attempt in list(program.attempts.items()):
            if attempt.version != version:
                del program.attempts[number]
            else:
                program.mine = min(program.mine, attempt.tokens + attempt.used)

    def _tend(self) -> None:
        """Gives back what idle programs hold, and forgets old ones."""
        now = self._timers.now()
        for name, program in list(self._programs.items()):
            if program.busy or program.active or program.pending:
                continue
            if now - program.touched > FORGET_SECONDS and not program.used:
                del self._programs[name]
            elif now - program.touched > IDLE_SECONDS and (
                program.used or program.spare > 0
            ):
                program.release = True
                program.settle = True
                self._kick(program)
