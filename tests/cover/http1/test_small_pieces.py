"""Responses in pieces so small that objects outweigh their bytes."""

import tracemalloc

import pytest

from endivepier import timers as timers_lib
from endivepier.gateway.streams import events
from endivepier.http1 import buffers as buffers_lib
from endivepier.http1 import client
from endivepier.http1 import errors
from endivepier.http1 import framing
from endivepier.http1 import messages
from endivepier.http1 import responses

MEGABYTE = 1024 * 1024


class Pieces:
    """A connection whose body arrives in pieces of two bytes."""

    address = "127.0.0.1:1"
    received_bytes = 0

    def __init__(self, size):
        self._left = size // 2
        self._timers = timers_lib.SystemTimers()

    def now(self):
        return self._timers.now()

    def read(self, deadline):
        if not self._left:
            return responses.End()
        self._left -= 1
        return responses.Data(b"%02d" % (self._left % 100))


def peak_bytes(function):
    """Returns the most memory that was allocated during a call."""
    tracemalloc.start()
    try:
        function()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


# A body of 4 MB, which is allowed, took 90 MB of a host's 170.
def test_a_body_in_small_pieces_takes_little_more_than_its_bytes():
    buffers = buffers_lib.Buffers()
    head = messages.Head(200, [])

    def read():
        with buffers.open("t") as body:
            content = client.read_body(
                Pieces(MEGABYTE), head, float("inf"), buffers, body
            )
        assert len(content) == MEGABYTE

    assert peak_bytes(read) < 4 * MEGABYTE


# Each comment was kept as an object of some 130 bytes.
def test_comments_before_an_event_take_little_more_than_their_bytes():
    sequence = events.Sequence(None, begun=False)
    splitter = events.Splitter()

    def add():
        for _ in range(events.MAX_COMMENT_BYTES // 4 // 64):
            assert sequence.add(splitter.feed(b":\n\n\n" * 64)) == []

    assert peak_bytes(add) < 8 * events.MAX_COMMENT_BYTES
    [event] = sequence.held
    assert event.is_comment


# A head is kept until the end of its stream, and has 64 KB at most: that is
# some 16,000 headers, of 150 bytes and more each.
@pytest.mark.parametrize("header", [b"a:\r\n", b"a: b\r\n", b"ab: cdef\r\n"])
def test_a_response_of_very_many_headers_is_refused(header):
    reader = responses.ResponseReader()
    reader.expect_response()
    count = framing.MAX_FRAMING_BYTES // len(header) // 2
    data = b"HTTP/1.1 200 OK\r\n" + header * count + b"\r\n"

    def feed():
        for start in range(0, len(data), 4096):
            reader.feed(data[start : start + 4096])
        with pytest.raises(errors.LimitExceeded, match="framing"):
            reader.next_part()

    assert peak_bytes(feed) < MEGABYTE


def test_a_response_of_many_headers_is_read():
    reader = responses.ResponseReader()
    reader.expect_response()
    headers = b"".join(b"Header-%d: value\r\n" % n for n in range(100))
    reader.feed(b"HTTP/1.1 200 OK\r\n" + headers + b"\r\n")
    part = reader.next_part()
    assert isinstance(part, messages.Head)
    assert len(part.headers) == 100
