"""Rows of budgets are deleted when their programs can't come back."""

import pytest

from endivepier.gateway.budgets import ledger as ledger_lib
from endivepier.gateway.budgets import row_expiry
from endivepier.gateway.budgets import state as budget_state
from endivepier.standins import clock
from endivepier.standins import table as table_lib

RETENTION_SECONDS = 60.0
BUDGET = 1000
EXPIRED_SECONDS = (
    RETENTION_SECONDS
    + row_expiry.MARGIN_SECONDS
    + row_expiry.INTERVAL_SECONDS
    + 1.0
)


class World:
    """Two processes that share a table, in simulated time."""

    def __init__(self):
        self.timers = clock.VirtualTimers()
        self.table = table_lib.MemoryTable(self.timers)
        self.ledgers = [self.make(name) for name in ("a", "b")]

    def make(self, name):
        expiry = row_expiry.RowExpiry(
            self.table, self.timers, lambda: RETENTION_SECONDS
        )
        ledger = ledger_lib.Ledger(name, self.table, self.timers, expiry=expiry)
        ledger.start()
        return ledger

    def turn(self, process, used, program="p"):
        """Runs a turn and returns whether its tokens were granted."""
        ledger = self.ledgers[process]
        reservation = ledger.begin(program, BUDGET, 100)
        self.timers.wait(reservation.decided, 3.0)
        ledger.end(reservation, used)
        return reservation.state is budget_state.State.GRANTED

    def rows(self):
        return [row.key for row in self.table.peek("budgets/")]


@pytest.fixture
def world():
    return World()


def test_a_row_is_deleted_once_its_program_has_expired(world):
    world.timers.run(lambda: world.turn(0, 40))
    world.timers.advance(RETENTION_SECONDS)
    assert len(world.rows()) == 1
    world.timers.advance(EXPIRED_SECONDS - RETENTION_SECONDS)
    assert world.rows() == []


def test_a_program_that_came_back_elsewhere_keeps_its_row(world):
    def spend(process, turns):
        return sum(world.turn(process, 100) for _ in range(turns))

    assert world.timers.run(lambda: spend(0, 8)) == 8
    world.timers.advance(RETENTION_SECONDS - 5.0)
    assert world.timers.run(lambda: spend(1, 8)) <= 3
    world.timers.advance(RETENTION_SECONDS)
    assert len(world.rows()) == 1
    assert world.timers.run(lambda: spend(0, 1)) == 0
    world.timers.advance(2 * EXPIRED_SECONDS)
    assert world.rows() == []


def test_rows_that_expire_in_an_outage_are_deleted_after_it(world):
    def begin():
        for number in range(20):
            world.turn(0, 40, f"p{number}")

    world.timers.run(begin)
    world.timers.advance(RETENTION_SECONDS)
    world.table.faults.outage = True
    world.timers.advance(EXPIRED_SECONDS)
    assert len(world.table.peek("budgets/")) == 20
    world.table.faults.outage = False
    world.timers.advance(3 * row_expiry.INTERVAL_SECONDS)
    assert world.rows() == []


def test_rows_of_a_lost_process_stay(world):
    world.timers.run(lambda: world.turn(0, 40))
    world.ledgers[0]._programs.clear()
    world.timers.advance(2 * EXPIRED_SECONDS)
    assert len(world.rows()) == 1
