"""An HTTP/1.1 server that runs one gevent task per client connection."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import itertools
import socket as socket_lib
import ssl

import gevent
from gevent import socket
import gevent.server

from endivepier import timers as timers_lib
from endivepier.http1 import buffers as buffers_lib
from endivepier.http1 import capacity as capacity_lib
from endivepier.http1 import connections
from endivepier.http1 import messages
from endivepier.http1 import responding
from endivepier.http1 import screening
from endivepier.http1 import shares

BACKLOG = 512  # a SYN packet that meets a full queue is resent after seconds
# Connections that are accepted before one of them is counted.
MAX_ACCEPTED = 4

Handler = Callable[[messages.Request, responding.Responder], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Clients:
    """What a server has for its clients; see the attributes of `Server`."""

    capacity: capacity_lib.Capacity
    unknown: shares.Share
    known: shares.Share
    unknown_bodies: buffers_lib.Buffers
    known_bodies: buffers_lib.Buffers
    screen: screening.Screen = screening.admit_all
    part_bytes: int = 0


def for_callers(
    capacity: capacity_lib.Capacity,
    screen: screening.Screen = screening.admit_all,
) -> Clients:
    """Returns what a server for callers has."""
    known = (capacity.callers, capacity.caller_bodies)
    return _for_known(capacity, *known, screen)


def for_peers(
    capacity: capacity_lib.Capacity, screen: screening.Screen
) -> Clients:
    """Returns what a server for other hosts has."""
    return _for_known(capacity, capacity.peers, capacity.peer_bodies, screen)


def for_operators(capacity: capacity_lib.Capacity) -> Clients:
    """Returns what a server for checks of the process has."""
    return Clients(
        capacity,
        capacity.operators,
        capacity.operators,
        capacity.stranger_bodies,
        capacity.stranger_bodies,
    )


def _for_known(
    capacity: capacity_lib.Capacity,
    known: shares.Share,
    known_bodies: buffers_lib.Buffers,
    screen: screening.Screen,
) -> Clients:
    return Clients(
        capacity,
        capacity.strangers,
        known,
        capacity.stranger_bodies,
        known_bodies,
        screen,
    )


def _run_now(function: Callable[..., None], *args: object) -> None:
    """Runs a connection's task until it waits for the first time.

    Tasks that are only scheduled would let accepted connections pile up before
    any of them is counted.
    """
    gevent.Greenlet(function, *args).switch()


class Server:
    """A listening socket and its client connections.

    Attributes:
        timers: the timer service.
        handler: handles one request.
        limits: returns the current limits for requests.
        cancel_on_disconnect: whether `ClientGone` is raised in the handler of
            a client that disconnects.
        closing: whether each connection is closed after its next response.
        active_requests: number of requests that are being handled.
        idle_connections: connections that wait for a request.
        connections: all open connections.
        capacity: what the process has for the clients of all its servers.
        unknown: share of connections whose client has not shown who it is.
        known: share of the others.
        unknown_bodies: space for the bodies of unknown clients.
        known_bodies: space for the bodies of known ones.
        screen: tells from the head of a request whose it is.
        part_bytes: what the handler holds for each header and entry of a list,
            besides the bytes that were received.
    """

    def __init__(
        self,
        listen: str,
        handler: Handler,
        timers: timers_lib.Timers,
        limits: Callable[[], messages.ClientLimits],
        *,
        clients: Clients | None = None,
        cancel_on_disconnect: bool = True,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
            listen: "ip:port"; port 0 selects a free one.
            handler: handles one request. If it returns before the response is
                finished, the connection is closed.
            timers: the timer service.
            limits: returns the current limits for requests.
            clients: what it has for its clients; None for the default.
            cancel_on_disconnect: whether `ClientGone` is raised in the handler
                of a client that disconnects.
            tls: the context for TLS, or None for plain TCP.
        """
        clients = clients or for_callers(capacity_lib.Capacity())
        self.capacity = clients.capacity
        self.unknown = clients.unknown
        self.known = clients.known
        self.unknown_bodies = clients.unknown_bodies
        self.known_bodies = clients.known_bodies
        self.screen = clients.screen
        self.part_bytes = clients.part_bytes
        self.cancel_on_disconnect = cancel_on_disconnect
        self.timers = timers
        self.handler = handler
        self.limits = limits
        self.closing = False
        self.active_requests = 0
        self.idle_connections: set[connections.ClientConnection] = set()
        self.connections: set[connections.ClientConnection] = set()
        self._tls = tls
        self._numbers = itertools.count(1)
        host, _, port = listen.rpartition(":")
        self._server = gevent.server.StreamServer(
            (host, int(port)), self._accept, backlog=BACKLOG, spawn=_run_now
        )
        self._server.max_accept = MAX_ACCEPTED

    @property
    def address(self) -> str:
        """The "ip:port" that the server listens on, once started."""
        return f"{self._server.server_host}:{self._server.server_port}"

    def start(self) -> None:
        """Starts to listen and to serve requests."""
        self._server.init_socket()
        # Connections inherit them.
        for option in (socket_lib.SO_RCVBUF, socket_lib.SO_SNDBUF):
            self._server.socket.setsockopt(
                socket_lib.SOL_SOCKET, option, capacity_lib.SOCKET_BUFFER_BYTES
            )
        self._server.start()

    def stop(self) -> None:
        """Stops listening; open connections continue."""
        self._server.close()

    def kill(self) -> None:
        """Stops listening and closes all connections."""
        self._server.close()
        for conn in list(self.connections):
            conn.close()

    def close_idle(self) -> None:
        """Closes the connections that wait for a request.

        One whose request has arrived and is about to be read stays open.
        """
        for conn in list(self.idle_connections):
            if not conn.has_unread_data():
                conn.close()

    def _accept(self, sock: socket.socket, peer: object) -> None:
        del peer
        sock.setsockopt(socket_lib.IPPROTO_TCP, socket_lib.TCP_NODELAY, 1)
        conn = connections.ClientConnection(self, sock, next(self._numbers))
        self.connections.add(conn)
        try:
            conn.run(self._tls)
        finally:
            self.connections.discard(conn)
            conn.socket.close()
