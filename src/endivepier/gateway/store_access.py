"""The store as an entry host reaches it: directly, or by way of a peer.

The store may turn some hosts away while it serves the others. A host that is
turned away asks a peer to make the call. A call by way of a peer keeps the
three outcomes apart: done, certainly not done, and unknown.

While the store is silent for all, a call would only wait for its time-out. So
once several calls in a row have failed, one at a time tries; the others fail
at once. Feeds are not held back: they try all the time, and the first answer
of any call ends this.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random
from typing import Literal
from typing import TypeVar

import eliot
import gevent.event
import pydantic

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import peers as peers_lib
from endivepier.internal import codec
from endivepier.storage import ports
from endivepier.storage import wire

T = TypeVar("T")

# How long a way that failed is left alone before it is tried again.
SUSPECT_SECONDS = 0.5
# Answers of writes may be lost one by one; so many in a row are an outage.
OUTAGE_FAILURES = 3
# So many peers that lack the store, and none that has it, are an outage for
# all: the store may turn a third of the hosts away.
OUTAGE_PEERS = 3
MAX_RELAY_ATTEMPTS = OUTAGE_PEERS  # for one call
POLL_SECONDS = 0.1  # how often a waiting call checks whether a path works
# Timeout of a relayed call: a call takes a few milliseconds, and a client
# waits longer than this.
RELAY_SECONDS = 0.5
RELAY_MARGIN_SECONDS = 0.8  # what a relayed feed may take beyond its wait
GET = "store-get"
SCAN = "store-scan"
TRANSACT = "store-transact"
SNAPSHOT = "store-snapshot"
CHANGES = "store-changes"


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Asks for a whole table."""

    table: str


@dataclasses.dataclass(frozen=True, slots=True)
class Since:
    """Asks for what has changed in a table."""

    table: str
    after: int
    wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The answer to a read."""

    rows: tuple[wire.RowDocument, ...]
    removed: tuple[str, ...] = ()
    version: int = 0
    kind: Literal["found"] = "found"


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The answer to a call that the peer could not make."""

    reason: Literal["unavailable", "unknown", "history"]
    detail: str
    kind: Literal["failed"] = "failed"


Reply = Found | Failed | wire.Committed | wire.Conflict


class Store:
    """A `storage.ports.Table` and `storage.ports.Feed` over two ways.

    Attributes:
        lost_at: since when the direct way does not work, monotonic seconds,
            or None.
    """

    def __init__(
        self,
        table: ports.Table,
        feed: ports.Feed,
        timers: timers_lib.Timers,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._feed = feed
        self._timers = timers
        self._rng = rng
        self._peers: peers_lib.Peers | None = None
        self._direct_suspect_until = 0.0
        # Until when peers that lack the store are not asked, and when one
        # last made a call.
        self._cut_off: dict[str, float] = {}
        self._relayed_at = float("-inf")
        self.unreachable_since: float | None = None
        self._direct_success = gevent.event.Event()
        self._failures = 0
        self._probing = False

    def use_peers(self, peers: peers_lib.Peers) -> None:
        """Uses peers from now on, and answers them."""
        self._peers = peers
        peers.register(GET, self._serve_get)
        peers.register(SCAN, self._serve_scan)
        peers.register(TRANSACT, self._serve_transact)
        peers.register(SNAPSHOT, self._serve_snapshot)
        peers.register(CHANGES, self._serve_changes)

    def is_unavailable(self) -> bool:
        """Returns whether neither way has worked a moment ago."""
        now = self._timers.now()
        if self._direct_suspect_until <= now and not self._is_outage():
            return False
        return not self._relay_hosts()

    def wait_until_available(self, seconds: float) -> bool:
        """Waits until the store is not away; returns whether it is not.

        It waits only if a peer lacks the store, too: else other hosts can
        serve what this one can't.
        """
        if not self.is_unavailable():
            return True
        if not self._cut_off_peers():
            return False
        end = self._timers.now() + seconds
        while (left := end - self._timers.now()) > 0:
            self._timers.wait(self._direct_success, min(left, POLL_SECONDS))
            if self.unreachable_since is None or self._relayed_recently():
                return True
        return False

    def _relayed_recently(self) -> bool:
        """Returns whether a peer made a call a moment ago."""
        return self._timers.now() - self._relayed_at <= SUSPECT_SECONDS

    def outage_seconds(self) -> float:
        """Returns for how long the direct way has not worked; 0 if it does."""
        if self.unreachable_since is None:
            return 0.0
        return self._timers.now() - self.unreachable_since

    def _is_outage(self) -> bool:
        """Returns whether the direct way is left to one call at a time."""
        return self._failures >= OUTAGE_FAILURES

    def get(self, key: str) -> ports.Row | None:
        """Returns a row; see `storage.ports.Table.get`."""
        rows = self._read(
            lambda: _as_rows([self._table.get(key)]),
            GET,
            codec.encode(wire.Get(key)),
        ).rows
        return rows[0] if rows else None

    def scan(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> Sequence[ports.Row]:
        """Returns rows in order; see `storage.ports.Table.scan`."""
        return self._read(
            lambda: _as_rows(
                self._table.scan(prefix, after=after, limit=limit)
            ),
            SCAN,
            codec.encode(wire.Scan(prefix, after, limit)),
        ).rows

    def snapshot(self, table: str) -> ports.Changes:
        """Returns a whole table; see `storage.ports.Feed.snapshot`."""
        return self._read(
            lambda: self._feed.snapshot(table),
            SNAPSHOT,
            codec.encode(Table(table)),
        )

    def changes(self, table: str, after: int, wait: float) -> ports.Changes:
        """Returns what changed; see `storage.ports.Feed.changes`."""
        return self._read(
            lambda: self._feed.changes(table, after, wait),
            CHANGES,
            codec.encode(Since(table, after, wait)),
            wait + RELAY_MARGIN_SECONDS,
            feed=True,
        )

    def transact(self, txn: ports.Transaction) -> int:
        """Commits a transaction; see `storage.ports.Table.transact`."""
        if not self._prefers_relay():
            try:
                return self._call_guarded(lambda: self._table.transact(txn))
            except errors.Unavailable:
                if not self._relay_hosts():
                    raise
        body = codec.encode(wire.transact_document(txn))
        reply = self._relay(TRANSACT, body, RELAY_SECONDS, at_most_once=True)
        match reply:
            case wire.Committed(version=version):
                return version
            case wire.Conflict(key=key):
                raise errors.ConditionFailed(key)
            case _:
                raise errors.OutcomeUnknown(f"a peer answered {reply}")

    def _read(
        self,
        read: Callable[[], ports.Changes],
        operation: str,
        body: bytes,
        seconds: float = RELAY_SECONDS,
        *,
        feed: bool = False,
    ) -> ports.Changes:
        if not self._prefers_relay():
            try:
                return self._call(read) if feed else self._call_guarded(read)
            except errors.Unavailable:
                if not self._relay_hosts():
                    raise
        reply = self._relay(operation, body, seconds, at_most_once=False)
        if not isinstance(reply, Found):
            raise errors.Unavailable(f"a peer answered {reply}")
        rows = tuple(row.row() for row in reply.rows)
        return ports.Changes(rows, reply.removed, reply.version)

    def _call_guarded(self, call: Callable[[], T]) -> T:
        """Makes a call directly, unless others find the store silent.

        Raises:
            errors.Unavailable: it was not made, or certainly had no effect.
        """
        if not self._is_outage():
            return self._call(call)
        if self._probing or self._direct_suspect_until > self._timers.now():
            raise errors.Unavailable("the store has been silent for some time")
        self._probing = True
        try:
            return self._call(call)
        finally:
            self._probing = False

    def _call(self, call: Callable[[], T]) -> T:
        try:
            found = call()
        except (errors.Unavailable, errors.OutcomeUnknown) as exc:
            self._direct_suspect_until = self._timers.now() + SUSPECT_SECONDS
            self._failures += 1
            self._direct_success.clear()
            if self.unreachable_since is None:
                self.unreachable_since = self._timers.now()
                eliot.log_message("store.turned_away", reason=str(exc))
            raise
        self._direct_suspect_until = 0.0
        self._failures = 0
        self._direct_success.set()
        if self.unreachable_since is not None:
            seconds = self._timers.now() - self.unreachable_since
            self.unreachable_since = None
            eliot.log_message("store.reached_again", seconds=round(seconds, 3))
        return found

    def _prefers_relay(self) -> bool:
        """Returns whether a peer is to be asked before the store itself."""
        now = self._timers.now()
        return self._direct_suspect_until > now and self._relay_hosts() != []

    def _relay_hosts(self) -> list[str]:
        """Returns the peers that may be asked now."""
        if self._peers is None:
            return []
        cut_off = self._cut_off_peers()
        if len(cut_off) >= OUTAGE_PEERS and not self._relayed_recently():
            return []
        return [h for h in self._peers.available_hosts() if h not in cut_off]

    def _cut_off_peers(self) -> set[str]:
        """Returns the peers that lacked the store, too, a moment ago."""
        now = self._timers.now()
        self._cut_off = {
            host: until for host, until in self._cut_off.items() if until > now
        }
        return set(self._cut_off)

    def _relay(
        self, operation: str, body: bytes, seconds: float, *, at_most_once: bool
    ) -> Reply:
        """Has a peer make a call.

        Raises:
            errors.Unavailable: no peer made it.
            errors.OutcomeUnknown: a peer may have made it.
            errors.HistoryLost: the store said so.
        """
        assert self._peers is not None
        hosts = self._relay_hosts()
        self._rng.shuffle(hosts)
        for host in hosts[:MAX_RELAY_ATTEMPTS]:
            try:
                answer = self._peers.request(host, operation, body, seconds)
            except errors.PeerUnreachable as exc:
                if at_most_once and exc.sent:
                    raise errors.OutcomeUnknown(f"by way of {host}") from exc
                continue
            reply: Reply = codec.decode(Reply, answer)
            if not isinstance(reply, Failed):
                self._relayed_at = self._timers.now()
                return reply
            if reply.reason == "history":
                raise errors.HistoryLost(reply.detail)
            self._cut_off[host] = self._timers.now() + SUSPECT_SECONDS
            if at_most_once and reply.reason == "unknown":
                raise errors.OutcomeUnknown(f"by way of {host}: {reply.detail}")
        raise errors.Unavailable("neither the store nor a peer makes the call")

    def _serve_get(self, body: bytes) -> bytes:
        req = codec.decode(wire.Get, body)
        return self._serve(lambda: _as_rows([self._table.get(req.key)]))

    def _serve_scan(self, body: bytes) -> bytes:
        req = codec.decode(wire.Scan, body)
        return self._serve(
            lambda: _as_rows(
                self._table.scan(req.prefix, after=req.after, limit=req.limit)
            )
        )

    def _serve_snapshot(self, body: bytes) -> bytes:
        req = codec.decode(Table, body)
        return self._serve(lambda: self._feed.snapshot(req.table))

    def _serve_changes(self, body: bytes) -> bytes:
        req = codec.decode(Since, body)
        return self._serve(
            lambda: self._feed.changes(req.table, req.after, req.wait)
        )

    def _serve_transact(self, body: bytes) -> bytes:
        txn = codec.decode(wire.Transact, body).transaction()
        return self._serve(lambda: self._table.transact(txn))

    def _serve(self, call: Callable[[], ports.Changes | int]) -> bytes:
        """Makes a call for a peer, over the direct way only."""
        try:
            found = self._call_guarded(call)
        except errors.ConditionFailed as exc:
            return _encode(wire.Conflict(exc.key))
        except errors.HistoryLost as exc:
            return _encode(Failed("history", str(exc)))
        except errors.Unavailable as exc:
            return _encode(Failed("unavailable", str(exc)))
        except errors.OutcomeUnknown as exc:
            return _encode(Failed("unknown", str(exc)))
        if isinstance(found, int):
            return _encode(wire.Committed(found))
        rows = tuple(
            wire.RowDocument(row.key, _base64(row.value), row.version)
            for row in found.rows
        )
        return _encode(Found(rows, found.removed, found.version))


def _as_rows(rows: Sequence[ports.Row | None]) -> ports.Changes:
    return ports.Changes(tuple(row for row in rows if row is not None), (), 0)


def _base64(value: bytes) -> pydantic.Base64Bytes:
    """Returns the value as the field that becomes base64 in a document."""
    return value


def _encode(reply: Reply) -> bytes:
    return codec.encode(reply, Reply)
