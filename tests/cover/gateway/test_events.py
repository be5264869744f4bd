import hypothesis
from hypothesis import strategies

from endivepier.gateway import events

STREAM = (
    b"id: 1\ndata: one\n\nid: 2\ndata: two\ndata: more\n\n: note\n\nid: 3\n"
)


@hypothesis.given(strategies.lists(strategies.integers(1, 9), max_size=30))
def test_events_are_whole_however_the_bytes_are_cut(sizes):
    splitter = events.Splitter()
    found, rest = [], STREAM
    for size in [*sizes, len(rest)]:
        found += splitter.feed(rest[:size])
        rest = rest[size:]
    assert [event.id for event in found] == [1, 2, None]
    assert [event.data for event in found] == [b"one", b"two\nmore", b""]
    assert (
        b"".join(event.raw for event in found) + splitter.partial_event
        == STREAM
    )
