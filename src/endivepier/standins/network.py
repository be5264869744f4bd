"""Simulated hosts in one process, connected by a network with faults.

A `Host` gives a simulated process its own timers, peers and platform clients.
It can be frozen (tasks block at their next timer, message or platform call
until it thaws), killed (tasks end there) and cut off from other hosts. Messages
are encoded and decoded as for HTTP, so that what works here works over HTTP.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import gevent
import gevent.event
import gevent.queue

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import codec
from endivepier.internal import peers as peers_lib
from endivepier.storage import ports

PLATFORM = "platform"  # the address of the platform's services in links


class Host:
    """A host of the network and its process.

    Attributes:
        address: "ip:port", unique in the network.
        network: the network that the host belongs to.
        inbox: message handlers of its process.
        timers: timer service of its process.
        peers: client for calls to other processes.
        alive: whether the host has not been killed.
        serving: tasks that serve calls of other hosts, as an ordered set.
    """

    def __init__(self, network: Network, address: str) -> None:
        self.address = address
        self.network = network
        self.inbox = peers_lib.Inbox()
        self.timers = _HostTimers(self, network.timers)
        self.peers = _HostPeers(self)
        self.alive = True
        # In order of start: `kill` ends them in the same order for a seed.
        self.serving: dict[gevent.Greenlet, None] = {}
        self._thawed = gevent.event.Event()
        self._thawed.set()

    @property
    def frozen(self) -> bool:
        """Whether the host is frozen."""
        return not self._thawed.is_set()

    def freeze(self) -> None:
        """Suspends the tasks of the host."""
        self._thawed.clear()

    def thaw(self) -> None:
        """Resumes the tasks of the host; its overdue timers fire."""
        self._thawed.set()

    def kill(self) -> None:
        """Ends the process without draining and aborts the calls it serves."""
        self.alive = False
        self._thawed.set()
        self.network.hosts.pop(self.address, None)
        for task in list(self.serving):
            task.kill(block=False)

    def wait_until_running(self) -> None:
        """Blocks while the host is frozen.

        Raises:
            gevent.GreenletExit: the host was killed; ends the calling task.
        """
        self._thawed.wait()
        if not self.alive:
            raise gevent.GreenletExit

    def table(self, table: ports.Table) -> ports.Table:
        """Returns the table service with this host's faults."""
        return _HostTable(self, table)

    def objects(self, objects: ports.Objects) -> ports.Objects:
        """Returns the object store with this host's faults."""
        return _HostObjects(self, objects)


class Network:
    """All hosts, and the links between them that are cut.

    Attributes:
        timers: the clock that all hosts share.
        latency_seconds: one-way latency of a message.
        hosts: hosts that have not been killed, by address.
        messages: total number of messages sent.
        bytes: total size of the messages sent.
    """

    def __init__(
        self, timers: timers_lib.Timers, *, latency_seconds: float = 0.001
    ) -> None:
        """Initializes a network without hosts."""
        self.timers = timers
        self.latency_seconds = latency_seconds
        self.hosts: dict[str, Host] = {}
        self.messages = 0
        self.bytes = 0
        self._cut_links: set[frozenset[str]] = set()

    def add(self, address: str) -> Host:
        """Adds a host, or replaces it by one without its previous state."""
        host = Host(self, address)
        self.hosts[address] = host
        return host

    def cut(self, one: str, other: str) -> None:
        """Cuts the link between two addresses; one may be `PLATFORM`."""
        self._cut_links.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Restores a link that `cut` has cut."""
        self._cut_links.discard(frozenset((one, other)))

    def heal_all(self) -> None:
        """Restores all links."""
        self._cut_links.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Returns whether the link between two addresses is cut."""
        return frozenset((one, other)) in self._cut_links


class _HostTimer(timers_lib.Handle):
    """A timer that waits while its host is frozen."""

    def __init__(self) -> None:
        self.inner: timers_lib.Handle | None = None
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True
        if self.inner is not None:
            self.inner.cancel()


class _HostTimers(timers_lib.Timers):
    """Timers of a host, which stop while it is frozen or killed."""

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
        handle = _HostTimer()

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
        return codec.decode(reply, exchange.only_reply())

    def stream(
        self, address: str, req: Any, event: Any, *, seconds: float
    ) -> Iterator[Any]:
        """Sends `req` and yields events; see `peers.Peers.stream`."""
        exchange = _Exchange(self._host, address, req, seconds)
        try:
            for data in exchange.replies():
                yield codec.decode(event, data)
        finally:
            exchange.close()


class _Exchange:
    """One call to a peer: a request and its replies."""

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
            raise self._error("connection refused", sent=False)
        if self._network.is_cut(host.address, address):
            self._network.timers.sleep(seconds)
            raise self._error("timeout while connecting", sent=False)
        body = codec.encode(req)
        self._network.messages += 1
        self._network.bytes += len(body)
        self._peer = peer
        self._task = gevent.spawn(self._serve, peer, type(req), body)
        peer.serving[self._task] = None
        self._task.link(lambda task: peer.serving.pop(task, None))
        self._task.link(lambda task: self._queue.put(_ENDED))

    def only_reply(self) -> bytes:
        """Returns the only reply."""
        for data in self.replies():
            return data
        raise self._error("the connection broke", sent=True)

    def replies(self) -> Iterator[bytes]:
        """Yields the replies until the peer has sent all of them."""
        while True:
            item = self._next_item()
            match item:
                case _Ended():
                    raise self._error("the connection broke", sent=True)
                case _Complete():
                    return
                case errors.Refused():
                    raise item
                case _:
                    yield item

    def close(self) -> None:
        """Ends the peer's task for this call if it still runs."""
        self._task.kill(block=False)

    def _next_item(self) -> Any:
        """Waits for the next queue item; fails if the link is cut by then."""
        item: Any = None
        item_ready = gevent.event.Event()

        def get_item() -> None:
            nonlocal item
            item = self._queue.get()
            item_ready.set()

        getter = gevent.spawn(get_item)
        try:
            received = self._network.timers.wait(item_ready, self._seconds)
        finally:
            getter.kill(block=False)
        self._host.wait_until_running()
        link_cut = self._network.is_cut(self._host.address, self._address)
        if not received or (link_cut and not isinstance(item, _Ended)):
            self._task.kill(block=False)
            raise self._error("timeout", sent=True)
        return item

    def _serve(self, peer: Host, request_type: type[Any], body: bytes) -> None:
        peer.wait_until_running()
        try:
            endpoint = peer.inbox.find(peers_lib.name_of(request_type))
            message = codec.decode(endpoint.request, body)
            result = endpoint.handler(message)
            if endpoint.streams:
                self._serve_stream(peer, endpoint, result)
            else:
                self._send(peer, codec.encode(result))
            self._send(peer, _COMPLETE)
        except errors.Refused as exc:
            self._send(peer, exc)
        except errors.EndivepierError:
            # As over HTTP, the connection ends before the reply is complete.
            return

    def _serve_stream(
        self, peer: Host, endpoint: peers_lib.Endpoint, result: Any
    ) -> None:
        try:
            for event in result:
                self._send(peer, codec.encode(event, endpoint.reply))
        finally:
            result.close()

    def _send(self, peer: Host, item: Any) -> None:
        peer.wait_until_running()
        self._network.timers.sleep(self._network.latency_seconds)
        if isinstance(item, bytes):
            self._network.messages += 1
            self._network.bytes += len(item)
        self._queue.put(item)

    def _error(self, detail: str, *, sent: bool) -> errors.PeerUnreachable:
        return errors.PeerUnreachable(self._address, detail, sent=sent)


class _Ended:
    """Queue item: the peer's task has ended."""


class _Complete:
    """Queue item: the peer has sent the complete reply."""


_ENDED = _Ended()
_COMPLETE = _Complete()


class _HostTable:
    """The table service as a host reaches it, with the host's faults."""

    def __init__(self, host: Host, inner: ports.Table) -> None:
        self._host = host
        self._inner = inner

    def get(self, key: str) -> ports.Row | None:
        """Returns a row; see `storage.ports.Table.get`."""
        self._check_reachable()
        row = self._inner.get(key)
        self._check_reachable()
        return row

    def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> ports.Page:
        """Returns rows; see `storage.ports.Table.scan`."""
        self._check_reachable()
        page = self._inner.scan(prefix, after=after, limit=limit)
        self._check_reachable()
        return page

    def transact(self, txn: ports.Transaction) -> int:
        """Commits a transaction; see `storage.ports.Table.transact`."""
        self._check_reachable()
        version = self._inner.transact(txn)
        self._host.wait_until_running()
        if self._is_cut():
            raise errors.OutcomeUnknown("cut off before the reply")
        return version

    def _check_reachable(self) -> None:
        self._host.wait_until_running()
        if self._is_cut():
            self._host.network.timers.sleep(self._host.network.latency_seconds)
            self._host.wait_until_running()
            raise errors.Unavailable("cut off from the table service")

    def _is_cut(self) -> bool:
        return self._host.network.is_cut(self._host.address, PLATFORM)


class _HostObjects:
    """The object store as a host reaches it, with the host's faults."""

    def __init__(self, host: Host, inner: ports.Objects) -> None:
        self._host = host
        self._inner = inner

    def put(self, name: str, body: bytes) -> None:
        """Stores a body; see `storage.ports.Objects.put`."""
        self._check_reachable()
        self._inner.put(name, body)
        self._check_reachable()

    def get(self, name: str) -> bytes | None:
        """Returns a body; see `storage.ports.Objects.get`."""
        self._check_reachable()
        body = self._inner.get(name)
        self._check_reachable()
        return body

    def _check_reachable(self) -> None:
        self._host.wait_until_running()
        if self._host.network.is_cut(self._host.address, PLATFORM):
            self._host.network.timers.sleep(self._host.network.latency_seconds)
            raise errors.Unavailable("cut off from the object store")
