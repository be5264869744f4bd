"""Idle connections to servers, and how many there are in all."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

from endivepier import timers as timers_lib
from endivepier.http1 import client

# A server states its idle time-out in whole seconds, if it states one; some
# drop connections sooner. Half of it leaves room for that and for the way.
IDLE_TIMEOUT_FRACTION = 0.4
DEFAULT_IDLE_SECONDS = 2.0
CONNECT_SECONDS = 0.4  # two lost opening packets are a dead address here
USER_TIMEOUT_SECONDS = 2.0  # below the pages' contact_ms of 3 s


@dataclasses.dataclass(slots=True)
class Counts:
    """What the pool did, for the metrics."""

    opened: int = 0
    reused: int = 0
    discarded: int = 0


class Pool:
    """Connections by the name of their server.

    A name stands for one start of a server, so that a connection is never
    used for another server at the same address.
    """

    def __init__(
        self,
        timers: timers_lib.Timers,
        connect: Callable[..., client.Connection] = client.connect,
        *,
        user_timeout: float = USER_TIMEOUT_SECONDS,
        idle_seconds: float = DEFAULT_IDLE_SECONDS,
    ) -> None:
        """Makes an empty pool.

        Args:
            timers: the timer service.
            connect: makes a connection; see `client.connect`.
            user_timeout: seconds after which data that a server does not
                acknowledge breaks its connection.
            idle_seconds: how long a connection is kept whose server does not
                say how long it does.
        """
        self.counts = Counts()
        self._timers = timers
        self._connect = connect
        self._user_timeout = user_timeout
        self._idle_seconds = idle_seconds
        self._idle: dict[str, list[client.Connection]] = (
            collections.defaultdict(list)
        )

    def acquire(
        self,
        name: str,
        address: str,
        *,
        max_idle: float | None = None,
        connect_seconds: float = CONNECT_SECONDS,
    ) -> client.Connection:
        """Returns a connection that is idle, or a new one.

        Args:
            name: the server's name.
            address: "ip:port" of the server.
            max_idle: longest time that it may have been idle, in seconds;
                None for what the server allows.
            connect_seconds: longest time to make a new one.

        Raises:
            errors.ConnectFailed: no new one could be made.
        """
        found = self._take_idle(name, max_idle)
        if found is not None:
            self.counts.reused += 1
            return found
        self.counts.opened += 1
        return self._connect(
            address,
            self._timers,
            seconds=connect_seconds,
            user_timeout=self._user_timeout,
        )

    @contextlib.contextmanager
    def connection(
        self,
        name: str,
        address: str,
        *,
        connect_seconds: float = CONNECT_SECONDS,
    ) -> Iterator[client.Connection]:
        """Lends a connection for one whole exchange.

        It is kept if the body of the `with` ends, and closed if that raises.

        Raises:
            errors.ConnectFailed: no new one could be made.
        """
        conn = self.acquire(name, address, connect_seconds=connect_seconds)
        try:
            yield conn
        except BaseException:
            conn.close()
            raise
        self.release(name, conn)

    def release(self, name: str, conn: client.Connection) -> None:
        """Gives a connection back after a whole answer."""
        if conn.reusable():
            self._idle[name].append(conn)
        else:
            self.counts.discarded += 1
            conn.close()

    def has_idle(self, name: str) -> bool:
        """Returns whether there is an idle connection to a server."""
        return bool(self._idle.get(name))

    def close_idle(self, name: str) -> None:
        """Closes all idle connections to a server."""
        for conn in self._idle.pop(name, ()):
            conn.close()

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        for name, conns in list(self._idle.items()):
            kept = [conn for conn in conns if not self._too_old(conn, None)]
            for conn in conns:
                if conn not in kept:
                    conn.close()
            if kept:
                self._idle[name] = kept
            else:
                del self._idle[name]

    def _take_idle(
        self, name: str, max_idle: float | None
    ) -> client.Connection | None:
        conns = self._idle.get(name)
        while conns:
            # The one used last is the least likely to be dead.
            conn = conns.pop()
            if self._too_old(conn, None) or not conn.reusable():
                self.counts.discarded += 1
                conn.close()
                continue
            if self._too_old(conn, max_idle):
                conns.append(conn)
                return None
            return conn
        return None

    def _too_old(self, conn: client.Connection, max_idle: float | None) -> bool:
        limit = self._idle_seconds
        if conn.idle_limit is not None:
            limit = conn.idle_limit * IDLE_TIMEOUT_FRACTION
        if max_idle is not None:
            limit = min(limit, max_idle)
        return self._timers.now() - conn.idle_since > limit
