"""Framings that a lenient server ran as two requests, and other bad ones."""

import contextlib

import hypothesis
from hypothesis import strategies
import pytest

from endivepier.http1 import messages
from endivepier.http1 import requests

LIMITS = messages.ClientLimits(header_bytes=1024, body_bytes=100)
HOST = b"Host: a.example\r\n"
HIDDEN = b"GET /hidden HTTP/1.1\r\nHost: a.example\r\n\r\n"


def read(data, limits=LIMITS):
    reader = requests.RequestReader(limits)
    reader.feed(data)
    return reader.next_request()


def post(headers, body=b""):
    return b"POST /a HTTP/1.1\r\n" + HOST + headers + b"\r\n" + body


@pytest.mark.parametrize(
    "data",
    [
        post(b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", b"0\r\n"),
        post(b"Content-Length: 3\r\nContent-Length: 4\r\n", b"abcd"),
        post(b"Content-Length: 3\r\nContent-Length: 3\r\n", b"abc"),
        post(b"Content-Length: 3, 3\r\n", b"abc"),
        post(b"Content-Length: +3\r\n", b"abc"),
        post(b"Content-Length: 1_0\r\n", b"abc"),
        post(b"Content-Length : 3\r\n", b"abc"),
        post(b"Transfer-Encoding: \x0bchunked\r\n", b"0\r\n\r\n"),
        post(b"Transfer-Encoding: chunked, gzip\r\n", b"0\r\n\r\n"),
        post(b"X: a\r\n b\r\n"),
        post(b"X: a\nY: b\r\n"),
        post(b"X: a\rY: b\r\n"),
        b"GET /a HTTP/1.1\n" + HOST + b"\r\n",
    ],
)
def test_an_ambiguous_framing_is_refused(data):
    with pytest.raises(requests.BadRequest) as caught:
        read(data + HIDDEN)
    assert caught.value.status == 400


@pytest.mark.parametrize(
    "data",
    [
        b"GET /a HTTP/1.1\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        b"GET http://b.example/a HTTP/1.1\r\n" + HOST + b"\r\n",
        b"CONNECT b.example:80 HTTP/1.1\r\n" + HOST + b"\r\n",
        b"GET /a HTTP/1.1\r\n"
        + HOST
        + b"Authorization: Bearer a\r\nAuthorization: Bearer b\r\n\r\n",
    ],
)
def test_a_request_must_name_one_host_and_a_path(data):
    with pytest.raises(requests.BadRequest):
        read(data)


def test_names_repeats_and_the_undecoded_path_are_kept():
    data = (
        b"GET /a%2Fb?c=%20 HTTP/1.1\r\nHost: A.example\r\n"
        b"X_Y: 1\r\nX-Y: 2\r\nX-Y: 3\r\n\r\n"
    )
    req = read(data)
    assert req.target == b"/a%2Fb?c=%20"
    assert req.headers[1:] == [(b"X_Y", b"1"), (b"X-Y", b"2"), (b"X-Y", b"3")]


def test_a_chunked_body_is_put_together():
    req = read(
        post(
            b"Transfer-Encoding: chunked\r\n",
            b"3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n",
        )
    )
    assert req.body == b"abcd"


def test_requests_that_follow_each_other_stay_apart():
    reader = requests.RequestReader(LIMITS)
    reader.feed(post(b"Content-Length: 3\r\n", b"abc") + HIDDEN)
    assert reader.next_request().body == b"abc"
    assert reader.next_request().target == b"/hidden"
    assert reader.next_request() is None


def test_headers_over_the_limit_are_refused_before_they_end():
    reader = requests.RequestReader(LIMITS)
    with pytest.raises(requests.BadRequest) as caught:
        reader.feed(b"GET /a HTTP/1.1\r\nX: " + b"a" * 2000)
    assert caught.value.status == 431


@pytest.mark.parametrize(
    "data",
    [
        post(b"Content-Length: 101\r\n"),
        post(b"Transfer-Encoding: chunked\r\n", b"65\r\n" + b"a" * 101),
    ],
)
def test_a_body_over_the_limit_is_refused(data):
    with pytest.raises(requests.BadRequest) as caught:
        read(data)
    assert caught.value.status == 413


@hypothesis.given(
    strategies.binary(max_size=300),
    strategies.lists(strategies.integers(1, 40), max_size=8),
)
def test_any_bytes_give_requests_or_a_refusal_however_they_are_cut(data, cuts):
    outcomes = []
    for sizes in ([], cuts):
        reader = requests.RequestReader(LIMITS)
        rest, taken = post(b"Content-Length: 2\r\n", b"ok") + data, []
        try:
            for size in [*sizes, len(rest)]:
                reader.feed(rest[:size])
                rest = rest[size:]
        except requests.BadRequest:
            pass
        with contextlib.suppress(requests.BadRequest):  # told once all is taken
            while (req := reader.next_request()) is not None:
                taken.append((req.method, req.target, req.body))
        outcomes.append(taken)
    assert outcomes[0][:1] == outcomes[1][:1] == [(b"POST", b"/a", b"ok")]
    assert outcomes[0] == outcomes[1]


def test_a_whole_request_before_a_bad_one_is_taken_first():
    # Found by tests/cover/gateway/test_edge_fuzz.py: the 400 of the second
    # came in the place of the first one's answer.
    reader = requests.RequestReader(LIMITS)
    reader.feed(post(b"Content-Length: 2\r\n", b"in") + post(b"X: a\nY: b\r\n"))
    found = reader.next_request()
    assert found is not None
    assert found.body == b"in"
    with pytest.raises(requests.BadRequest):
        reader.next_request()
