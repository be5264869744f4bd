"""What a process has for its clients, from the memory and sockets it may use.

All servers of a process share one `Capacity`. Clients that have shown a key,
other hosts, and those that check and measure the process have shares of their
own, so that a crowd without a key takes nothing from them.
"""

from __future__ import annotations

from endivepier.http1 import buffers as buffers_lib
from endivepier.http1 import refusals as refusals_lib
from endivepier.http1 import shares
from endivepier.http1 import turns as turns_lib

MIB = 1024 * 1024
DEFAULT_MEMORY_BYTES = 128 * MIB  # of the smallest hosts
DEFAULT_SOCKETS = 3900  # of the smallest hosts

# What is charged for a connection: its task, parser and socket; in addition,
# while a request is received or handled, what its socket may hold unread and
# unsent, and the frames of the handler. Heads are held twice: as received, and
# as sent on.
CONNECTION_BYTES = 16 * 1024
REQUEST_BYTES = 24 * 1024
HEAD_FACTOR = 2
# The kernel takes twice as much for its own overhead.
SOCKET_BUFFER_BYTES = 16 * 1024


class Capacity:
    """Shares of memory and sockets, space for bodies, and turns.

    Attributes:
        strangers: share of clients that have shown no key.
        callers: share of those that have.
        peers: share of the other hosts.
        operators: share of the checks of readiness and metrics.
        stranger_bodies: space for bodies of strangers.
        caller_bodies: space for bodies of callers.
        peer_bodies: space for bodies of the other hosts.
        response_bodies: space for bodies of targets' responses.
        peer_response_bodies: space for those of other hosts' responses.
        turns: turns for long work.
        refusals: logs the clients that were refused.
    """

    def __init__(
        self,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
        sockets: int = DEFAULT_SOCKETS,
        body_bytes: int = buffers_lib.MAX_BODY_BYTES,
        peer_body_bytes: int = buffers_lib.MAX_BODY_BYTES,
    ) -> None:
        """Divides what a process has.

        The process itself and its state take up to half of the memory.

        Args:
            memory_bytes: memory of the process.
            sockets: how many sockets it may have, in both directions. Three of
                eight remain for those that it opens.
            body_bytes: the largest body of a client.
            peer_body_bytes: the largest body of another host.
        """

        def share(name: str, memory: int, connections: int) -> shares.Share:
            return shares.Share(
                name,
                memory_bytes * memory // 64,
                max(sockets * connections // 64, 1),
            )

        def bodies(
            small: int, large: int, most: int = body_bytes
        ) -> buffers_lib.Buffers:
            return buffers_lib.Buffers(
                body_bytes=most,
                small_bytes=memory_bytes * small // 128,
                large_bytes=max(memory_bytes * large // 128, most),
            )

        self.strangers = share("strangers", 4, 12)
        self.callers = share("callers", 8, 16)
        self.peers = share("peers", 4, 8)
        self.operators = share("operators", 1, 4)
        self.stranger_bodies = bodies(1, 4)
        self.caller_bodies = bodies(4, 8)
        self.peer_bodies = bodies(1, 4, peer_body_bytes)
        self.response_bodies = bodies(4, 8)
        self.peer_response_bodies = bodies(1, 4, peer_body_bytes)
        self.turns = turns_lib.Turns()
        self.refusals = refusals_lib.RefusalLog()

    @property
    def shares(self) -> tuple[shares.Share, ...]:
        """All shares."""
        return self.strangers, self.callers, self.peers, self.operators
