"""A proxy in front of the store that can leave calls without a response."""

from __future__ import annotations

import contextlib
import socket
import threading

READ_BYTES = 65_536


class Proxy:
    """Forwards connections, unless it is silent or they are.

    While it is silent it accepts connections and reads what comes, and neither
    forwards nor answers anything. Connections that it left without a response
    deliver nothing later either.
    """

    def __init__(self, ip: str, upstream: str) -> None:
        self._upstream = upstream
        self._listener = socket.create_server((ip, 0))
        self.address = f"{ip}:{self._listener.getsockname()[1]}"
        self._silent = False
        self._accepted = 0  # connections so far
        self._silenced = 0  # how many of them, the first ones, are silent
        threading.Thread(target=self._accept, daemon=True).start()

    def be_silent(self) -> None:
        """Stops forwarding, also on open connections."""
        self._silent = True

    def silence_open(self) -> None:
        """Makes the open connections silent for good; new ones work."""
        self._silenced = self._accepted

    def go_on(self) -> None:
        """Forwards new connections again."""
        self._silent = False

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self._accepted += 1
            threading.Thread(
                target=self._serve, args=(sock, self._accepted), daemon=True
            ).start()

    def _serve(self, sock: socket.socket, number: int) -> None:
        host, _, port = self._upstream.rpartition(":")
        try:
            upstream = socket.create_connection((host, int(port)))
        except OSError:
            sock.close()
            return
        threading.Thread(
            target=self._copy, args=(upstream, sock, number), daemon=True
        ).start()
        self._copy(sock, upstream, number)

    def _copy(
        self, source: socket.socket, sink: socket.socket, number: int
    ) -> None:
        is_lost = False
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                is_lost = is_lost or self._silent or number <= self._silenced
                if not is_lost:
                    sink.sendall(data)
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
