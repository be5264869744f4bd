"""A pool of idle keep-alive connections to servers."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

from endivepier import timers as timers_lib
from endivepier.http1 import client

# Fraction of a server's declared idle timeout after which a connection is no
# longer used. Servers declare whole seconds, some close a connection sooner,
# and a request needs time to arrive.
IDLE_TIMEOUT_FRACTION = 0.4
DEFAULT_IDLE_SECONDS = 2.0
# An address that answers neither of two SYN packets counts as down.
CONNECT_SECONDS = 0.4
USER_TIMEOUT_SECONDS = 2.0  # below the platform's contact_ms of 3 s


@dataclasses.dataclass(slots=True)
class Counts:
    """Counters of a pool, for the metrics.

    Attributes:
        opened: new connections, including failed attempts to connect.
        reused: requests for a connection that got an idle one.
        discarded: connections found to be expired or unusable when one was
            acquired or released.
    """

    opened: int = 0
    reused: int = 0
    discarded: int = 0


class Pool:
    """Idle connections by the name of their server.

    Where a server may restart, its name must change with each start, so that
    no connection is reused for another process at the same address.
    """

    def __init__(
        self,
        timers: timers_lib.Timers,
        connect: Callable[..., client.Connection] = client.connect,
        *,
        user_timeout: float = USER_TIMEOUT_SECONDS,
        idle_seconds: float = DEFAULT_IDLE_SECONDS,
    ) -> None:
        """Creates an empty pool.

        Args:
            timers: the timer service.
            connect: opens a connection; see `client.connect`.
            user_timeout: seconds after which unacknowledged data breaks a
                connection (TCP_USER_TIMEOUT).
            idle_seconds: how long an idle connection is kept if its server
                declares no idle timeout.
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
        """Returns an idle connection, or a new one.

        Args:
            name: the server's name.
            address: "ip:port" of the server.
            max_idle: maximum time that the connection may have been idle, in
                seconds; None for the limit that applies to the server.
            connect_seconds: timeout for opening a new connection.

        Raises:
            errors.ConnectFailed: no connection could be opened.
        """
        conn = self._pop_idle(name, max_idle)
        if conn is not None:
            self.counts.reused += 1
            return conn
        return self.open(address, connect_seconds)

    def open(self, address: str, seconds: float) -> client.Connection:
        """Opens a connection, which `release` may add to the pool.

        Args:
            address: "ip:port" of the server.
            seconds: timeout for opening it.

        Raises:
            errors.ConnectFailed: it could not be opened.
        """
        self.counts.opened += 1
        return self._connect(
            address,
            self._timers,
            seconds=seconds,
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
        """Provides a connection for one request and its response.

        The connection returns to the pool when the `with` block ends, and is
        closed if the block raises.

        Raises:
            errors.ConnectFailed: no connection could be opened.
        """
        conn = self.acquire(name, address, connect_seconds=connect_seconds)
        try:
            yield conn
        except BaseException:
            conn.close()
            raise
        self.release(name, conn)

    def release(self, name: str, conn: client.Connection) -> None:
        """Returns a connection to the pool after a complete response."""
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
        """Closes connections that have been idle beyond their limit."""
        for name, conns in list(self._idle.items()):
            kept = [conn for conn in conns if not self._expired(conn, None)]
            for conn in conns:
                if conn not in kept:
                    conn.close()
            if kept:
                self._idle[name] = kept
            else:
                del self._idle[name]

    def _pop_idle(
        self, name: str, max_idle: float | None
    ) -> client.Connection | None:
        conns = self._idle.get(name)
        while conns:
            # The most recently used one is the least likely to be closed.
            conn = conns.pop()
            if self._expired(conn, None) or not conn.reusable():
                self.counts.discarded += 1
                conn.close()
                continue
            if self._expired(conn, max_idle):
                conns.append(conn)
                return None
            return conn
        return None

    def _expired(self, conn: client.Connection, max_idle: float | None) -> bool:
        limit = self._idle_seconds
        if conn.idle_limit is not None:
            limit = conn.idle_limit * IDLE_TIMEOUT_FRACTION
        if max_idle is not None:
            limit = min(limit, max_idle)
        return self._timers.now() - conn.idle_since > limit
