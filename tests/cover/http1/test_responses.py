import pytest

from endivepier.http1 import errors
from endivepier.http1 import messages
from endivepier.http1 import responses

SHORT = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"


def parts_of(*pieces, end=False):
    reader = responses.ResponseReader()
    for piece in pieces:
        reader.feed(piece)
    if end:
        reader.feed_eof()
    return reader


def body_of(reader):
    found = b""
    while True:
        part = reader.next_part()
        match part:
            case responses.Data(content=content):
                found += content
            case responses.End():
                return found
            case None:
                raise AssertionError("the answer is not whole")


def test_an_answer_with_a_length_is_whole():
    reader = parts_of(SHORT)
    assert reader.next_part().status == 200
    assert body_of(reader) == b"abc"
    assert not reader.trailing


def test_a_second_answer_in_the_same_packet_is_not_joined_to_the_first():
    # geventhttpclient 2.6.1 gave b"abcBAD" for such an answer.
    reader = parts_of(SHORT + b"BAD")
    reader.next_part()
    assert body_of(reader) == b"abc"
    assert reader.trailing


def test_an_answer_that_no_request_asked_for_is_noticed():
    reader = parts_of(SHORT + SHORT)
    reader.next_part()
    assert body_of(reader) == b"abc"
    assert reader.trailing


def test_a_connection_may_carry_many_answers_one_for_each_request():
    # Each connection was closed after its second answer, since that one
    # counted as unasked for: 2,331 new connections for 4,550 requests.
    reader = responses.ResponseReader()
    for _ in range(5):
        reader.expect_response()
        reader.feed(SHORT)
        reader.next_part()
        assert body_of(reader) == b"abc"
        assert not reader.trailing


def test_an_answer_that_is_cut_is_not_whole():
    reader = parts_of(SHORT[:-1], end=True)
    reader.next_part()
    reader.next_part()
    with pytest.raises(errors.ExchangeBroken):
        reader.next_part()


def test_a_chunked_answer_that_is_cut_is_not_whole():
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    reader = parts_of(head + b"3\r\nabc\r\n", end=True)
    reader.next_part()
    assert reader.next_part() == responses.Data(b"abc")
    with pytest.raises(errors.ExchangeBroken):
        reader.next_part()


def test_the_end_of_the_connection_ends_an_answer_without_a_length():
    reader = parts_of(b"HTTP/1.1 200 OK\r\n\r\nab", b"c", end=True)
    head = reader.next_part()
    assert isinstance(head, messages.Head)
    assert head.until_close and not head.keep_alive
    assert body_of(reader) == b"abc"


def test_bytes_that_are_no_answer_break_the_connection():
    reader = parts_of(b"\x00\x01nonsense\r\n\r\n")
    with pytest.raises(errors.ExchangeBroken):
        reader.next_part()


def test_an_interim_answer_is_skipped():
    reader = parts_of(b"HTTP/1.1 100 Continue\r\n\r\n" + SHORT)
    assert reader.next_part().status == 200
    assert body_of(reader) == b"abc"
