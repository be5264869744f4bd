"""Which software version of a service began a stream.

The events of two software versions don't fit together, so a stream continues
only at the version that began it. Its client may resume it at any entry host,
and names the call that brought its first event.

Each host remembers the streams that it began. While a service has targets of
several versions, a host also sends each origin to some of its peers, chosen by
rendezvous hashing of the call's id, so that other hosts find it if this one is
lost. While a service has only one version, that one began all of its streams,
and nothing is sent, unless a route that leads to another service now, or did,
or its weights leave open which service began a stream. These records only help
to find an origin: a stream whose origin is not found is not resumed.
"""

from __future__ import annotations

import collections
import dataclasses

import eliot
import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.targets import catalog as catalog_lib
from endivepier.gateway.targets import route_history
from endivepier.gateway.targets import version_check
from endivepier.internal import bounded_map
from endivepier.internal import codec
from endivepier.internal import names
from endivepier.internal import rendezvous

MAX_ORIGINS = 20_000  # an entry takes some 300 bytes
REPLICAS = 2  # peers that get an origin: hosts are often lost in pairs
# The host that began the stream may be among the first in the ranking, and a
# host may have left it since.
PEERS_ASKED = REPLICAS + 2
# How long a peer may read from the store for its reply: half of the time after
# which it would count as unreachable.
CONFIRM_SECONDS = peers_lib.REQUEST_TIMEOUT_SECONDS / 2
RECORD = "origins-record"
FIND = "origins-find"


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where a stream began.

    Attributes:
        service: the service.
        version: the software version of the target.
    """

    service: names.Name
    version: names.Name


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Sends the origins of streams to a peer, by the ids of their calls."""

    origins: dict[names.Name, Origin]


@dataclasses.dataclass(frozen=True, slots=True)
class Recorded:
    """The reply to `Record`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Find:
    """Asks a peer for the origin of a stream.

    Attributes:
        call: id of the call that began the stream, or empty if unknown.
        service: the service that the request to resume is routed to.
        seconds: how long ago the stream may have begun at most.
    """

    call: names.Name
    service: names.Name
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The reply to `Find`.

    Attributes:
        origin: the recorded origin of the stream, or None.
        only_version: the only software version that the service has had in the
            period, as confirmed by the store, or None.
        versions: the versions that the peer has seen in the period.
    """

    origin: Origin | None
    only_version: str | None
    versions: tuple[str, ...] = ()


class StreamOrigins:
    """Records where streams began, and finds it for those to be resumed."""

    def __init__(
        self,
        host: str,
        catalog: catalog_lib.Catalog,
        check: version_check.VersionCheck,
        routes: route_history.RouteHistory,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
    ) -> None:
        self._host = host
        self._catalog = catalog
        self._check = check
        self._routes = routes
        self._peers = peers
        self._timers = timers
        self._origins: bounded_map.BoundedMap[Origin] = bounded_map.BoundedMap(
            MAX_ORIGINS
        )
        # Origins that only this host has, with the time of their recording.
        self._unpublished: collections.deque[tuple[float, str, Origin]] = (
            collections.deque(maxlen=MAX_ORIGINS)
        )
        # Origins to be sent, by peer. A peer in it has a task that sends them.
        self._unsent: dict[str, dict[str, Origin]] = {}
        peers.register(RECORD, self._handle_record)
        peers.register(FIND, self._handle_find)

    def record(
        self,
        call: str,
        origin: Origin,
        seconds: float,
        *,
        one_service: bool = True,
    ) -> None:
        """Records that a stream began; peers may get it a little later.

        Args:
            call: id of the call that brings the stream's first event.
            origin: the origin of the stream.
            seconds: how long its client may resume the stream at most.
            one_service: whether its route leads to this service only.
        """
        now = self._timers.now()
        self._origins.put(call, origin)
        self._unpublished.append((now, call, origin))
        while self._unpublished[0][0] < now - seconds:
            self._unpublished.popleft()
        only_version = self._only_version(origin.service, seconds)
        if only_version is None or not one_service:
            while self._unpublished:
                _, call, origin = self._unpublished.popleft()
                self._publish(call, origin)

    def find(
        self,
        call: str,
        service: str,
        seconds: float,
        *,
        one_service: bool = True,
    ) -> Origin | None:
        """Returns the origin of a stream, or None if it can't be found.

        Args:
            call: id of the call that began the stream, or empty if unknown.
            service: the service that the request to resume is routed to.
            seconds: how long ago the stream may have begun at most.
            one_service: whether the request's route leads to this service only.
        """
        origin = self._origins.get(call)
        if origin is not None:
            return origin
        replies = self._ask_peers(Find(call, service, seconds))
        for reply in replies:
            if reply.origin is not None:
                return reply.origin
        if not one_service:
            return None
        # A host that has just started does not know former versions, but peers
        # may. Any of them may not know yet of a version just added.
        only_versions = {reply.only_version for reply in replies}
        only_versions.add(self._only_version(service, seconds))
        only_versions.discard(None)
        seen = self._catalog.recent_versions(service, seconds)
        for reply in replies:
            seen.update(reply.versions)
        if not only_versions or len(seen | only_versions) != 1:
            return None
        version = only_versions.pop() or ""
        # All hosts that knew of a later version may be lost.
        if not self._check.has_only(service, version):
            eliot.log_message(
                "origins.not_certain",
                call=call,
                service=service,
                version=version,
                replies=len(replies),
            )
            return None
        return Origin(service, version)

    def _only_version(self, service: str, seconds: float) -> str | None:
        """Returns the version that began all streams of late, or None."""
        if not self._routes.covers(service, seconds):
            return None
        return self._catalog.only_version(service, seconds)

    def _publish(self, call: str, origin: Origin) -> None:
        """Sends an origin to the peers that are asked for it."""
        hosts = [*self._peers.available_hosts(), self._host]
        ranking = rendezvous.rank(call, hosts, REPLICAS + 1)
        for peer in [host for host in ranking if host != self._host][:REPLICAS]:
            if peer not in self._unsent:
                self._unsent[peer] = {}
                gevent.spawn(self._send_to, peer)
            self._unsent[peer][call] = origin

    def _send_to(self, peer: str) -> None:
        """Sends origins to a peer until none is left."""
        try:
            while origins := self._unsent[peer]:
                self._unsent[peer] = {}
                body = codec.encode(Record(origins))
                self._peers.request(peer, RECORD, body)
        except errors.PeerUnreachable as exc:
            eliot.log_message(
                "origins.not_sent",
                peer=peer,
                streams=len(origins) + len(self._unsent[peer]),
                reason=str(exc),
            )
        finally:
            del self._unsent[peer]

    def _ask_peers(self, request: Find) -> list[Found]:
        """Asks the peers that may have an origin, and returns their replies."""
        ranking = rendezvous.rank(
            request.call, self._peers.available_hosts(), PEERS_ASKED
        )
        body = codec.encode(request)
        tasks = [gevent.spawn(self._ask, peer, body) for peer in ranking]
        try:
            gevent.joinall(tasks)
        finally:
            gevent.killall(tasks, block=False)
        return [task.value for task in tasks if task.value is not None]

    def _ask(self, peer: str, body: bytes) -> Found | None:
        try:
            reply = self._peers.request(peer, FIND, body)
        except errors.PeerUnreachable as exc:
            eliot.log_message("origins.not_asked", peer=peer, reason=str(exc))
            return None
        found: Found = codec.decode(Found, reply)
        return found

    def _handle_record(self, body: bytes) -> bytes:
        record: Record = codec.decode(Record, body)
        for call, origin in record.origins.items():
            self._origins.put(call, origin)
        return codec.encode(Recorded())

    def _handle_find(self, body: bytes) -> bytes:
        request: Find = codec.decode(Find, body)
        period = (request.service, request.seconds)
        origin = self._origins.get(request.call)
        only_version = None
        if origin is None:
            only_version = self._confirmed_version(*period)
        found = Found(
            origin,
            only_version,
            tuple(self._catalog.recent_versions(*period)),
        )
        return codec.encode(found)

    def _confirmed_version(self, service: str, seconds: float) -> str | None:
        """Returns the only version that a service has had, or None.

        A host that has just started asks for it. What it reads from the store
        itself begins after its start, so it can't tell what this host has
        missed before.
        """
        version = self._only_version(service, seconds)
        if version is None:
            return None
        done = gevent.event.Event()
        task = gevent.spawn(self._check.has_only, service, version)
        task.link(lambda _: done.set())
        if not self._timers.wait(done, CONFIRM_SECONDS) or not task.value:
            eliot.log_message(
                "origins.not_confirmed",
                service=service,
                version=version,
                in_time=done.is_set(),
            )
            return None
        return version
