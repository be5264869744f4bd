import pytest

from endivepier.configuration import snapshots
from endivepier.configuration import state
from endivepier.standins import clock
from endivepier.standins import objects
from endivepier.standins import table


# A snapshot beyond the revision ended the search before the older ones were
# read, so that all changes since the first revision were applied again.
@pytest.mark.parametrize(
    ("upto", "newest"), [(499, 0), (500, 500), (4000, 500), (5000, 5000)]
)
def test_the_newest_snapshot_up_to_a_revision_is_found(upto, newest):
    timers = clock.VirtualTimers()
    store = snapshots.Snapshots(
        table.MemoryTable(timers), objects.MemoryObjects(timers)
    )
    for revision in (500, 5000):
        timers.run(store.write, state.State(revision=revision))
    assert timers.run(store.newest_revision, upto) == newest
