import gevent
import pytest

from endivepier import errors
from endivepier.gateway.store import rows
from endivepier.gateway.streams import turns
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
    turn_store = turns.TurnStore(table, timers)
    timers.run(turn_store.commit, turns.Turn("abc", "a", b"x"), 60.0, 10.0)
    assert timers.run(turn_store.find, "abc", "b") is None
    assert timers.run(turn_store.find, "abcd", "a") is None


def test_commit_retries_after_a_lost_reply(timers, table):
    table.faults.lost_replies = 0.5
    turn_store = turns.TurnStore(table, timers)
    for number in range(20):
        turn = turns.Turn(f"t{number}", "a", b"x")
        timers.run(turn_store.commit, turn, 60.0, timers.now() + 10.0)


def test_commit_fails_if_the_store_does_not_confirm_the_turn(timers, table):
    table.faults.outage = True
    turn_store = turns.TurnStore(table, timers)
    with pytest.raises(errors.OutcomeUnknown):
        timers.run(turn_store.commit, turns.Turn("abc", "a", b"x"), 60.0, 2.0)


def test_a_store_outage_is_not_reported_as_a_missing_turn(timers, table):
    table.faults.outage = True
    with pytest.raises(errors.Unavailable):
        timers.run(turns.TurnStore(table, timers).find, "abc", "a")


def test_turns_are_deleted_after_their_retention(timers, table):
    turn_store = turns.TurnStore(table, timers)
    turn_store.start()
    timers.run(turn_store.commit, turns.Turn("abc", "a", b"x"), 60.0, 10.0)
    timers.advance(60.0)
    assert len(table.peek("turns/")) == 1
    timers.advance(60.0)
    assert not table.peek("turns/")


def test_readers_see_a_turn_as_a_whole_or_not_at_all(timers, table):
    turn_store = turns.TurnStore(table, timers)
    turn = turns.Turn("abc", "a", b"x" * 2_000_000)
    task = gevent.spawn(turn_store.commit, turn, 60.0, 10.0)
    while not task.ready():
        stored = timers.run(turns.TurnStore(table, timers).find, "abc", "a")
        assert stored in (None, turn)


# One transaction deleted 100 rows of many parts, which the store rejects; the
# other rows were never deleted.
def test_many_turns_that_expire_together_are_deleted_part_by_part(
    timers, table, monkeypatch
):
    turn_store = turns.TurnStore(table, timers)
    turn_store.start()
    for number in range(150):
        turn = turns.Turn(f"t{number}", "a", b"x")
        timers.run(turn_store.commit, turn, 60.0, timers.now() + 10.0)
    commit = table.transact

    def commit_one_part(txn):
        parts = {write.key.split("/")[1] for write in txn.writes}
        if len(parts) != 1 or len(txn.writes) > 100:
            raise errors.OutcomeUnknown("the store returned status 400")
        return commit(txn)

    monkeypatch.setattr(table, "transact", commit_one_part)
    timers.advance(120.0)
    assert not table.peek("turns/")


class PartlyBusyTable:
    """Refuses all calls to some parts of a table."""

    def __init__(self, table, refused):
        self.table = table
        self.refused = refused

    def _check(self, key):
        if key.split("/")[1] in self.refused:
            raise errors.Unavailable("status 503")

    def transact(self, txn):
        self._check(txn.writes[0].key)
        return self.table.transact(txn)

    def scan(self, prefix, **options):
        self._check(prefix)
        return self.table.scan(prefix, **options)


# While a third of the store was busy, a third of the turns broke off at their
# end, after two seconds.
def test_turns_are_stored_while_parts_of_the_store_are_busy(timers, table):
    parts = [f"{part:02x}" for part in range(rows.PARTS)]
    busy = PartlyBusyTable(table, set(parts[: rows.PARTS // 2 : 2]))
    for number in range(50):
        turn = turns.Turn(f"t{number}", "a", b"x")
        deadline = timers.now() + 0.5
        timers.run(turns.TurnStore(busy, timers).commit, turn, 60.0, deadline)
        found = timers.run(turns.TurnStore(busy, timers).find, turn.id, "a")
        assert found == turn
    for refused in (set(), set(parts[rows.PARTS // 2 :])):
        busy.refused = refused
        for number in range(50):
            store = turns.TurnStore(busy, timers)
            try:
                found = timers.run(store.find, f"t{number}", "a")
            except errors.Unavailable:
                assert refused
            else:
                assert found is not None


def test_a_turn_does_not_exist_if_neither_part_has_it(timers, table):
    busy = PartlyBusyTable(table, set())
    store = turns.TurnStore(busy, timers)
    assert timers.run(store.find, "no", "a") is None
    first, second = (key.split("/")[1] for key in turns._prefixes("no"))
    for part in (first, second):
        busy.refused = {part}
        with pytest.raises(errors.Unavailable):
            timers.run(store.find, "no", "a")
