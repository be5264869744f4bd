"""Processes of the system in one real process, with the faults of hosts.

A `Host` gives the parts of one process their own view of time, of peers and
of the platform. It can be frozen (nothing of it runs, then it goes on late),
killed (nothing of it runs ever again) and cut off from others. Messages pass
through the codec, so that what works here works over HTTP.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any

import gevent
import gevent.event
import gevent.queue

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import codec
from endivepier.internal import peers as peers_lib
from endivepier.storage import ports

PLATFORM = "platform"


class Host:
    """One host of the network and the process of the system on it.

    Attributes:
        address: "ip:port", its name in the network.
        inbox: the handlers of its process.
        timers: the timer service of its process.
        peers: the way to other processes.
    """

    def __init__(self, network: Network, address: str) -> None:
        self.address = address
        self.network = network
        self.inbox = peers_lib.Inbox()
        self.timers = _HostTimers(self, network.timers)
        self.peers = _HostPeers(self)
        self.alive = True
        # In the order of their start, so that a seed ends them alike.
        self.serving: dict[gevent.Greenlet, None] = {}
        self._runs = gevent.event.Event()
        self._runs.set()

    @property
    def frozen(self) -> bool:
        """Whether nothing of the host runs for now."""
        return not self._runs.is_set()

    def freeze(self) -> None:
        """Suspends everything on the host."""
        self._runs.clear()

    def thaw(self) -> None:
        """Lets everything on the host go on; its timers fire late."""
        self._runs.set()

    def kill(self) -> None:
        """Ends the process at once; calls that it serves are cut off."""
        self.alive = False
        self._runs.set()
        self.network.hosts.pop(self.address, None)
        for task in list(self.serving):
            task.kill(block=False)

    def wait_until_running(self) -> None:
        """Blocks while the host is frozen.

        Raises:
            gevent.GreenletExit: the host is dead; ends the calling task.
        """
        self._runs.wait()
        if not self.alive:
            raise gevent.GreenletExit

    def table(self, table: ports.Table) -> ports.Table:
        """Returns the table service as this host reaches it."""
        return _HostTable(self, table)

    def objects(self, objects: ports.Objects) -> ports.Objects:
        """Returns the object store as this host reaches it."""
        return _HostObjects(self, objects)


class Network:
    """All hosts, and which of them can't reach each other."""

    def __init__(
        self, timers: timers_lib.Timers, *, latency_seconds: float = 0.001
    ) -> None:
        """Makes a network without hosts.

        Args:
            timers: the clock that all hosts share.
            latency_seconds: how long a message takes one way.
        """
        self.timers = timers
        self.latency_seconds = latency_seconds
        self.hosts: dict[str, Host] = {}
        self.messages = 0
        self.bytes = 0
        self._cuts: set[frozenset[str]] = set()

    def add(self, address: str) -> Host:
        """Adds a host; one that was killed before comes back empty."""
        host = Host(self, address)
        self.hosts[address] = host
        return host

    def cut(self, one: str, other: str) -> None:
        """Cuts two addresses off from each other; `PLATFORM` is one, too."""
        self._cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Mends what `cut` cut."""
        self._cuts.discard(frozenset((one, other)))

    def heal_all(self) -> None:
        """Mends all cuts."""
        self._cuts.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Returns whether the two can't reach each other."""
        return frozenset((one, other)) in self._cuts


class _GatedHandle(timers_lib.Handle):
    """A timer that was set on a host."""

    def __init__(self) -> None:
        self.inner: timers_lib.Handle | None = None
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True
        if self.inner is not None:
            self.inner.cancel()


class _HostTimers(timers_lib.Timers):
    """Time as a host's process sees it."""

    def __init__(self, host: Host, inner: timers_lib.Timers) -> None:
        self._host = host
        self._inner = inner

    def now(self) -> float:
        return self._inner.now()

    def wall(self) -> float:
        return self._inner.wall()

    def after(
        self, seconds: float, callback: Callable[[], object]
    ) -> timers_lib.Handle:
        handle = _GatedHandle()

        def fire() -> None:
            self._host.wait_until_running()
            if not handle.cancelled:
                callback()

        handle.inner = self._inner.after(seconds, fire)
        return handle


class _HostPeers:
    """The `peers.Peers` of a host."""

    def __init__(self, host: Host) -> None:
        self._host = host

    def call(
        self, address: str, req: Any, reply: type[Any], *, seconds: float
    ) -> Any:
        """Sends `req`; see `peers.Peers.call`."""
        exchange = _Exchange(self._host, address, req, seconds)
        return codec.decode(reply, exchange.first())

    def stream(
        self, address: str, req: Any, event: Any, *, seconds: float
    ) -> Iterator[Any]:
        """Sends `req` and yields events; see `peers.Peers.stream`."""
        exchange = _Exchange(self._host, address, req, seconds)
        try:
            for data in exchange.all():
                yield codec.decode(event, data)
        finally:
            exchange.close()


class _Exchange:
    """One message and what comes back for it."""

    def __init__(
        self, host: Host, address: str, req: Any, seconds: float
    ) -> None:
        host.wait_until_running()
        self._host = host
        self._address = address
        self._seconds = seconds
        self._network = host.network
        self._queue: gevent.queue.Queue = gevent.queue.Queue()
        self._network.timers.sleep(self._network.latency_seconds)
        peer = self._network.hosts.get(address)
        if peer is None:
            raise self._lost("connection refused", sent=False)
        if self._network.is_cut(host.address, address):
            self._network.timers.sleep(seconds)
            raise self._lost("timeout while connecting", sent=False)
        body = codec.encode(req)
        self._network.messages += 1
        self._network.bytes += len(body)
        self._peer = peer
        self._task = gevent.spawn(self._serve, peer, type(req), body)
        peer.serving[self._task] = None
        self._task.link(lambda task: peer.serving.pop(task, None))
        self._task.link(lambda task: self._queue.put(_END))

    def first(self) -> bytes:
        """Returns the only answer."""
        for data in self.all():
            return data
        raise self._lost("the connection broke", sent=True)

    def all(self) -> Iterator[bytes]:
        """Yields the answers until the peer says that there are no more."""
        while True:
            item = self._next()
            match item:
                case _End():
                    raise self._lost("the connection broke", sent=True)
                case _Whole():
                    return
                case errors.Refused():
                    raise item
                case _:
                    yield item

    def close(self) -> None:
        """Ends the peer's work for this call if it still goes on."""
        self._task.kill(block=False)

    def _next(self) -> Any:
        item: Any = None
        ready = gevent.event.Event()

        def take() -> None:
            nonlocal item
            item = self._queue.get()
            ready.set()

        taker = gevent.spawn(take)
        try:
            done = self._network.timers.wait(ready, self._seconds)
        finally:
            taker.kill(block=False)
        self._host.wait_until_running()
        cut = self._network.is_cut(self._host.address, self._address)
        if not done or (cut and not isinstance(item, _End)):
            self._task.kill(block=False)
            raise self._lost("timeout", sent=True)
        return item

    def _serve(self, peer: Host, kind: type[Any], body: bytes) -> None:
        peer.wait_until_running()
        try:
            endpoint = peer.inbox.find(peers_lib.name_of(kind))
            message = codec.decode(endpoint.request, body)
            result = endpoint.handler(message)
            if endpoint.streams:
                self._serve_stream(peer, endpoint, result)
            else:
                self._put(peer, codec.encode(result))
            self._put(peer, _WHOLE)
        except errors.Refused as exc:
            self._put(peer, exc)
        except errors.EndivepierError:
            # As over HTTP, the connection ends without a whole answer.
            return

    def _serve_stream(
        self, peer: Host, endpoint: peers_lib.Endpoint, result: Any
    ) -> None:
        try:
            for event in result:
                self._put(peer, codec.encode(event, endpoint.reply))
        finally:
            result.close()

    def _put(self, peer: Host, item: Any) -> None:
        peer.wait_until_running()
        self._network.timers.sleep(self._network.latency_seconds)
        if isinstance(item, bytes):
            self._network.messages += 1
            self._network.bytes += len(item)
        self._queue.put(item)

    def _lost(self, detail: str, *, sent: bool) -> errors.PeerUnreachable:
        return errors.PeerUnreachable(self._address, detail, sent=sent)


class _End:
    """The peer's task has ended."""


class _Whole:
    """The peer has said all."""


_END = _End()
_WHOLE = _Whole()


class _HostTable:
    """The table service as one host reaches it."""

    def __init__(self, host: Host, inner: ports.Table) -> None:
        self._host = host
        self._inner = inner

    def get(self, key: str) -> ports.Row | None:
        """Returns a row; see `storage.ports.Table.get`."""
        self._reach()
        row = self._inner.get(key)
        self._reach()
        return row

    def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Sequence[ports.Row]:
        """Returns rows; see `storage.ports.Table.scan`."""
        self._reach()
        rows = self._inner.scan(prefix, after=after, limit=limit)
        self._reach()
        return rows

    def transact(self, txn: ports.Transaction) -> int:
        """Commits a transaction; see `storage.ports.Table.transact`."""
        self._reach()
        version = self._inner.transact(txn)
        self._host.wait_until_running()
        if self._is_cut():
            raise errors.OutcomeUnknown("cut off before the reply")
        return version

    def _reach(self) -> None:
        self._host.wait_until_running()
        if self._is_cut():
            self._host.network.timers.sleep(self._host.network.latency_seconds)
            self._host.wait_until_running()
            raise errors.Unavailable("cut off from the table service")

    def _is_cut(self) -> bool:
        return self._host.network.is_cut(self._host.address, PLATFORM)


class _HostObjects:
    """The object store as one host reaches it."""

    def __init__(self, host: Host, inner: ports.Objects) -> None:
        self._host = host
        self._inner = inner

    def put(self, name: str, body: bytes) -> None:
        """Stores a body; see `storage.ports.Objects.put`."""
        self._reach()
        self._inner.put(name, body)
        self._reach()

    def get(self, name: str) -> bytes | None:
        """Returns a body; see `storage.ports.Objects.get`."""
        self._reach()
        body = self._inner.get(name)
        self._reach()
        return body

    def _reach(self) -> None:
        self._host.wait_until_running()
        if self._host.network.is_cut(self._host.address, PLATFORM):
            self._host.network.timers.sleep(self._host.network.latency_seconds)
            raise errors.Unavailable("cut off from the object store")
