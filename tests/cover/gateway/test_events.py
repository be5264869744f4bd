import hypothesis
from hypothesis import strategies

from endivepier.gateway.streams import events

STREAM = (
    b"id: 1\ndata: one\n\nid: 2\ndata: two\ndata: more\n\n: note\n\nid: 3\n"
)


@hypothesis.given(
    sizes=strategies.lists(strategies.integers(1, 9), max_size=30),
    line_end=strategies.sampled_from([b"\n", b"\r\n"]),
)
def test_only_complete_events_are_returned_however_the_bytes_are_split(
    sizes, line_end
):
    stream = STREAM.replace(b"\n", line_end)
    splitter = events.Splitter()
    parsed, remaining = [], stream
    for size in [*sizes, len(remaining)]:
        parsed += splitter.feed(remaining[:size])
        remaining = remaining[size:]
    assert [event.id for event in parsed] == [1, 2, None]
    assert [event.data for event in parsed] == [b"one", b"two\nmore", b""]
    assert (
        b"".join(event.raw for event in parsed) + splitter.partial_event
        == stream
    )
