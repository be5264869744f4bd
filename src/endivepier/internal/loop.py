"""The event loop that the daemons run on."""

from __future__ import annotations

import gevent

LOOP = "libev-cext"
BACKEND = "epoll"


def configure() -> None:
    """Has gevent use libev on epoll.

    Newer event libraries can use io_uring, which the hosts don't allow, so
    the back end is set rather than left to the library. Call this before
    anything else of gevent.
    """
    gevent.config.loop = LOOP
    gevent.config.libev_backend = BACKEND
