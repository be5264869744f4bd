import gevent
import pytest

from endivepier import errors
from endivepier.gateway import turns
from endivepier.standins import clock
from endivepier.standins import table as table_lib


@pytest.fixture
def timers():
    return clock.VirtualTimers()


@pytest.fixture
def table(timers):
    return table_lib.MemoryTable(timers)


@pytest.mark.parametrize("size", [0, 1, turns.PIECE_BYTES, 2_000_000])
def test_a_turn_can_be_continued_at_any_host(timers, table, size):
    turn = turns.Turn("abc", "a", b"x\n" * (size // 2))
    timers.run(turns.TurnStore(table, timers).commit, turn, 60.0, 10.0)
    assert timers.run(turns.TurnStore(table, timers).find, "abc", "a") == turn


def test_a_turn_of_another_account_does_not_exist(timers, table):
    kept = turns.TurnStore(table, timers)
    timers.run(kept.commit, turns.Turn("abc", "a", b"x"), 60.0, 10.0)
    assert timers.run(kept.find, "abc", "b") is None
    assert timers.run(kept.find, "abcd", "a") is None


def test_a_lost_reply_is_no_reason_to_stop(timers, table):
    table.faults.lost_replies = 0.5
    kept = turns.TurnStore(table, timers)
    for number in range(20):
        turn = turns.Turn(f"t{number}", "a", b"x")
        timers.run(kept.commit, turn, 60.0, timers.now() + 10.0)


def test_a_turn_that_the_store_does_not_confirm_is_not_answered(timers, table):
    table.faults.outage = True
    kept = turns.TurnStore(table, timers)
    with pytest.raises(errors.OutcomeUnknown):
        timers.run(kept.commit, turns.Turn("abc", "a", b"x"), 60.0, 2.0)


def test_a_store_that_is_away_never_makes_a_turn_unknown(timers, table):
    table.faults.outage = True
    with pytest.raises(errors.Unavailable):
        timers.run(turns.TurnStore(table, timers).find, "abc", "a")


def test_turns_are_deleted_after_their_retention(timers, table):
    kept = turns.TurnStore(table, timers)
    kept.start()
    timers.run(kept.commit, turns.Turn("abc", "a", b"x"), 60.0, 10.0)
    timers.advance(60.0)
    assert len(table.peek("turns/")) == 1
    timers.advance(60.0)
    assert not table.peek("turns/")


def test_a_turn_is_there_as_a_whole_or_not_at_all(timers, table):
    kept = turns.TurnStore(table, timers)
    turn = turns.Turn("abc", "a", b"x" * 2_000_000)
    task = gevent.spawn(kept.commit, turn, 60.0, 10.0)
    while not task.ready():
        found = timers.run(turns.TurnStore(table, timers).find, "abc", "a")
        assert found in (None, turn)
