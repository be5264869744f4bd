"""Digests that tell whether a request comes again."""

import pytest

from endivepier.gateway.suspects import fingerprints
from tests.common import gateway_parts


def test_a_retry_by_the_client_has_the_same_digest():
    first = gateway_parts.call("c1", last_event=None, received=1.0, body=b"in")
    retry = gateway_parts.call("c2", last_event=7, received=2.0, body=b"in")
    assert fingerprints.fingerprints(
        first, "acme"
    ) == fingerprints.fingerprints(retry, "acme")


@pytest.mark.parametrize(
    ("changes", "account", "body"),
    [
        ({"path": b"/a/2"}, "acme", b"in"),
        ({"host": "b.example"}, "acme", b"in"),
        ({"method": b"PUT"}, "acme", b"in"),
        ({}, "other", b"in"),
        ({}, "", b"in"),
        ({}, "acme", b"in "),
    ],
)
def test_other_requests_have_other_digests(changes, account, body):
    one = fingerprints.fingerprints(gateway_parts.call(body=b"in"), "acme")
    call = gateway_parts.call(body=body, **changes)
    assert fingerprints.fingerprints(call, account) != one


def test_parts_of_a_request_are_not_confused_with_each_other():
    digests = {
        fingerprints.fingerprints(
            gateway_parts.call(path=path, body=body), account
        )
        for path, account, body in [
            (b"/a", "bc", b""),
            (b"/ab", "c", b""),
            (b"/a", "b", b"c"),
            (b"/", "abc", b""),
        ]
    }
    assert len(digests) == 4


# A request ended one target after the other, each time with a longer prompt.
def test_bodies_that_begin_alike_have_one_digest_in_common():
    start = b"s" * fingerprints.START_BYTES
    one, other, third = (
        fingerprints.fingerprints(gateway_parts.call(body=body), "acme")
        for body in (start + b"a", start + b"ab", b"t" + start)
    )
    assert one[0] != other[0]
    assert one[1] == other[1] != third[1]
