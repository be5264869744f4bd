"""Selects the event loop of the daemons."""

from __future__ import annotations

import gevent

LOOP = "libev-cext"
BACKEND = "epoll"


def configure() -> None:
    """Configures gevent to use libev with the epoll backend.

    The backend is set explicitly because newer event libraries may choose
    io_uring, which the hosts don't allow. Call this before any other use of
    gevent.
    """
    gevent.config.loop = LOOP
    gevent.config.libev_backend = BACKEND
