import random

import hypothesis
from hypothesis import strategies as st
import pytest

from endivepier import errors
from endivepier.standins import clock
from endivepier.standins import table as table_lib
from endivepier.storage import commit
from endivepier.storage import ports


def _txn(value):
    return ports.Transaction((ports.Absent("k"),), (ports.Put("k", value),))


@hypothesis.given(
    seed=st.integers(0, 10**6),
    lost=st.floats(0.0, 0.9),
    dropped=st.floats(0.0, 0.9),
)
@hypothesis.settings(max_examples=100)
def test_commit_returns_only_after_success_although_responses_are_lost(
    seed, lost, dropped
):
    timers = clock.VirtualTimers()
    table = table_lib.MemoryTable(timers, random.Random(seed))
    table.faults.lost_replies = lost
    table.faults.lost_requests = dropped
    committer = commit.Committer(table, timers, random.Random(seed))
    proof = commit.Proof("k", lambda value: value == b"mine")
    try:
        version = timers.run(
            lambda: committer.commit(_txn(b"mine"), proof, seconds=5.0)
        )
    except errors.OutcomeUnknown:
        return
    row = table.peek("k")[0]
    assert (row.value, row.version) == (b"mine", version)


def test_a_lost_race_is_reported_after_a_lost_request():
    timers = clock.VirtualTimers()
    table = table_lib.MemoryTable(timers)
    committer = commit.Committer(table, timers, random.Random(1))
    table.faults.lost_requests = 1.0

    def commit_other():
        timers.sleep(0.05)
        table.faults.lost_requests = 0.0
        table.transact(_txn(b"other"))

    def main():
        timers.after(0.0, commit_other)
        proof = commit.Proof("k", lambda value: value == b"mine")
        with pytest.raises(errors.ConditionFailed):
            committer.commit(_txn(b"mine"), proof, seconds=5.0)

    timers.run(main)
    assert [row.value for row in table.peek()] == [b"other"]


def test_unavailable_is_raised_only_if_nothing_was_committed():
    timers = clock.VirtualTimers()
    table = table_lib.MemoryTable(timers)
    committer = commit.Committer(table, timers, random.Random(1))
    proof = commit.Proof("k", lambda value: value == b"mine")
    table.faults.outage = True
    with pytest.raises(errors.Unavailable):
        timers.run(lambda: committer.commit(_txn(b"mine"), proof, seconds=1.0))
    table.faults.outage = False
    table.faults.lost_replies = 1.0
    with pytest.raises(errors.OutcomeUnknown):
        timers.run(lambda: committer.commit(_txn(b"mine"), proof, seconds=0.01))
