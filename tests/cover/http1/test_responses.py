import pytest

from endivepier.http1 import errors
from endivepier.http1 import messages
from endivepier.http1 import responses

SHORT = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"


def make_reader(*pieces, eof=False):
    reader = responses.ResponseReader()
    for piece in pieces:
        reader.feed(piece)
    if eof:
        reader.feed_eof()
    return reader


def read_body(reader):
    body = b""
    while True:
        part = reader.next_part()
        match part:
            case responses.Data(content=content):
                body += content
            case responses.End():
                return body
            case None:
                raise AssertionError("the response is incomplete")


def test_a_response_ends_after_its_content_length():
    reader = make_reader(SHORT)
    assert reader.next_part().status == 200
    assert read_body(reader) == b"abc"
    assert not reader.trailing


def test_bytes_after_a_response_are_not_added_to_its_body():
    # geventhttpclient 2.6.1 returned the body b"abcBAD" for such a response.
    reader = make_reader(SHORT + b"BAD")
    reader.next_part()
    assert read_body(reader) == b"abc"
    assert reader.trailing


def test_a_response_without_a_request_is_detected():
    reader = make_reader(SHORT + SHORT)
    reader.next_part()
    assert read_body(reader) == b"abc"
    assert reader.trailing


def test_a_connection_may_carry_one_response_per_request():
    # If the second response on a connection counts as one without a request,
    # the connection is closed: 4,550 requests opened 2,331 connections.
    reader = responses.ResponseReader()
    for _ in range(5):
        reader.expect_response()
        reader.feed(SHORT)
        reader.next_part()
        assert read_body(reader) == b"abc"
        assert not reader.trailing


def test_a_truncated_response_is_an_error():
    reader = make_reader(SHORT[:-1], eof=True)
    reader.next_part()
    reader.next_part()
    with pytest.raises(errors.ExchangeBroken):
        reader.next_part()


def test_a_truncated_chunked_response_is_an_error():
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    reader = make_reader(head + b"3\r\nabc\r\n", eof=True)
    reader.next_part()
    assert reader.next_part() == responses.Data(b"abc")
    with pytest.raises(errors.ExchangeBroken):
        reader.next_part()


def test_the_end_of_the_connection_ends_a_response_without_a_length():
    reader = make_reader(b"HTTP/1.1 200 OK\r\n\r\nab", b"c", eof=True)
    head = reader.next_part()
    assert isinstance(head, messages.Head)
    assert head.until_close and not head.keep_alive
    assert read_body(reader) == b"abc"


def test_invalid_http_is_an_error():
    reader = make_reader(b"\x00\x01nonsense\r\n\r\n")
    with pytest.raises(errors.ExchangeBroken):
        reader.next_part()


def test_an_interim_response_is_skipped():
    reader = make_reader(b"HTTP/1.1 100 Continue\r\n\r\n" + SHORT)
    assert reader.next_part().status == 200
    assert read_body(reader) == b"abc"
