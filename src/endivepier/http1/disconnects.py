"""Notices that a client disconnects while its request is being handled."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import socket as socket_lib

import gevent
from gevent import socket

from endivepier.http1 import errors


@contextlib.contextmanager
def cancel_on_disconnect(
    sock: socket.socket, task: gevent.Greenlet
) -> Iterator[None]:
    """Raises `ClientGone` in a task when its client disconnects.

    Once the client has sent more data, a disconnect is not noticed.
    """
    loop = gevent.get_hub().loop
    watcher = loop.io(sock.fileno(), 1)
    done = False

    def raise_in_task() -> None:
        if not done:
            task.throw(errors.ClientGone("the client closed the connection"))

    def check_for_eof() -> None:
        try:
            data = socket_lib.socket.recv(sock._sock, 1, socket_lib.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        watcher.stop()
        if not data:
            loop.run_callback(raise_in_task)

    watcher.start(check_for_eof)
    try:
        yield
    finally:
        done = True
        watcher.stop()
        watcher.close()
