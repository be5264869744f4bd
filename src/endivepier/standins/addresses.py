"""Choice of the loopback addresses that processes under test listen on."""

from __future__ import annotations

import contextlib
import itertools
import random
import socket

LOOPBACK = "127.0.0.1"
# Ports below 32768, the start of Linux' default range of ephemeral ports.
PORTS = range(20_000, 32_768)
_ports = itertools.cycle(random.SystemRandom().sample(PORTS, len(PORTS)))


def free_port(host: str = LOOPBACK) -> int:
    """Returns a port that nobody listens on.

    The port is outside the range of ephemeral ports: a port in that range may
    become the source port of another connection before the caller listens on
    it. A process gets each port once before any of them again.

    Args:
        host: the loopback address to listen on.

    Raises:
        OSError: no port is free.
    """
    for port in itertools.islice(_ports, len(PORTS)):
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((host, port))
            return port
    raise OSError(f"no port of {host} from {PORTS[0]} to {PORTS[-1]} is free")


def free_address(host: str = LOOPBACK) -> str:
    """Returns a loopback address, as `host:port`, with a free port."""
    return f"{host}:{free_port(host)}"
