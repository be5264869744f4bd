"""Addresses that the stand-ins listen on."""

import socket

from endivepier.standins import fleet


def test_a_free_address_is_not_one_that_a_connection_may_take():
    # A port that the system had named as free was the source of another
    # connection when the entry host began to listen on it: "Address already in
    # use" in one run of .ci/run beside three busy processes.
    for _ in range(50):
        host, _, port = fleet.free_address().rpartition(":")
        with socket.socket() as sock:
            sock.bind((host, 0))
            assert int(port) < sock.getsockname()[1]


def test_no_address_is_given_twice():
    found = [fleet.free_address() for _ in range(300)]
    assert len(set(found)) == len(found)
