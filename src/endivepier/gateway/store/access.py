"""Access of an entry host to the store: directly, or relayed by a peer.

The store may reject some hosts while it serves others. A host that can't reach
it has a peer relay its calls. Relayed calls also distinguish the three outcomes
done, certainly not done, and unknown.

In an outage for all hosts, a direct call would only wait for its timeout. A
circuit breaker therefore opens after several consecutive failures: one call at
a time is sent as a trial, and the others fail at once. Calls of feeds bypass
the breaker, and the first success of any call closes it.
"""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import TypeVar

import eliot
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.store import messages as store_messages
from endivepier.internal import codec
from endivepier.storage import ports
from endivepier.storage import wire

T = TypeVar("T")

# How long the direct path, or a peer, is avoided after a failed call.
SUSPECT_SECONDS = 0.5
# Consecutive failures that open the breaker: single responses may get lost.
OUTAGE_FAILURES = 3
# This many cut-off peers, without one that relays, count as an outage for all
# hosts. Fewer do not, since the store may reject a third of the hosts.
OUTAGE_PEERS = 3
# While a call succeeded so recently, only some parts of the store are refused.
SERVED_SECONDS = 0.25
MAX_RELAY_ATTEMPTS = OUTAGE_PEERS  # peers tried for one call
POLL_SECONDS = 0.1  # how often a waiting call checks for a working path
# Timeout of a relayed call, which usually takes a few milliseconds; shorter
# than the time that clients wait.
RELAY_SECONDS = 0.5
RELAY_MARGIN_SECONDS = 0.8  # added to the wait of a relayed feed call
GET = "store-get"
SCAN = "store-scan"
TRANSACT = "store-transact"
SNAPSHOT = "store-snapshot"
CHANGES = "store-changes"


class Store:
    """A `storage.ports.Table` and `Feed` with a direct and a relayed path.

    Attributes:
        unreachable_since: when the direct path began to fail, monotonic
            seconds; None while it works.
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
        self._succeeded_at = float("-inf")
        # Until when peers that could not reach the store are avoided.
        self._cut_off: dict[str, float] = {}
        self._relayed_at = float("-inf")
        self.unreachable_since: float | None = None
        self._recovered = gevent.event.Event()
        self._consecutive_failures = 0
        self._probing = False

    def use_peers(self, peers: peers_lib.Peers) -> None:
        """Relays calls through `peers` from now on, and serves theirs."""
        self._peers = peers
        peers.register(GET, self._serve_get)
        peers.register(SCAN, self._serve_scan)
        peers.register(TRANSACT, self._serve_transact)
        peers.register(SNAPSHOT, self._serve_snapshot)
        peers.register(CHANGES, self._serve_changes)

    def is_unavailable(self) -> bool:
        """Returns whether neither path has worked recently."""
        now = self._timers.now()
        if self._served_recently():
            return False
        if self._direct_suspect_until <= now and not self._breaker_is_open():
            return False
        return not self._relay_hosts()

    def wait_until_available(self, seconds: float) -> bool:
        """Waits until the store is available; returns whether it is.

        Returns at once if no peer is known to be cut off, too: other hosts can
        then serve what this one can't.
        """
        if not self.is_unavailable():
            return True
        if not self._cut_off_peers():
            return False
        deadline = self._timers.now() + seconds
        while (remaining := deadline - self._timers.now()) > 0:
            self._timers.wait(self._recovered, min(remaining, POLL_SECONDS))
            if self.unreachable_since is None or self._relayed_recently():
                return True
        return False

    def is_failing(self) -> bool:
        """Returns whether the last calls failed, directly and by peers."""
        if self.is_unavailable():
            return True
        return self.unreachable_since is not None and not (
            self._relayed_recently()
        )

    def _relayed_recently(self) -> bool:
        """Returns whether a peer has relayed a call recently."""
        return self._timers.now() - self._relayed_at <= SUSPECT_SECONDS

    def outage_seconds(self) -> float:
        """Returns how long the direct path has failed; 0 if it works."""
        if self.unreachable_since is None:
            return 0.0
        return self._timers.now() - self.unreachable_since

    def _breaker_is_open(self) -> bool:
        """Returns whether the circuit breaker of the direct path is open."""
        return (
            self._consecutive_failures >= OUTAGE_FAILURES
            and not self._served_recently()
        )

    def _served_recently(self) -> bool:
        """Returns whether a direct call has succeeded very recently."""
        return self._timers.now() - self._succeeded_at < SERVED_SECONDS

    def get(self, key: str) -> ports.Row | None:
        """Returns a row; see `storage.ports.Table.get`."""
        return self._read(
            lambda: self._table.get(key),
            store_messages.Found.row,
            GET,
            codec.encode(wire.Get(key)),
        )

    def scan(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> ports.Page:
        """Returns rows in order; see `storage.ports.Table.scan`."""
        return self._read(
            lambda: self._table.scan(prefix, after=after, limit=limit),
            store_messages.Found.page,
            SCAN,
            codec.encode(wire.Scan(prefix, after, limit)),
        )

    def snapshot(self, table: str) -> ports.Changes:
        """Returns a whole table; see `storage.ports.Feed.snapshot`."""
        return self._read(
            lambda: self._feed.snapshot(table),
            store_messages.Found.changes,
            SNAPSHOT,
            codec.encode(store_messages.Table(table)),
        )

    def changes(self, table: str, after: int, wait: float) -> ports.Changes:
        """Returns the changes; see `storage.ports.Feed.changes`."""
        return self._read(
            lambda: self._feed.changes(table, after, wait),
            store_messages.Found.changes,
            CHANGES,
            codec.encode(store_messages.Since(table, after, wait)),
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
                raise errors.OutcomeUnknown(f"unexpected reply: {reply}")

    def _read(
        self,
        read: Callable[[], T],
        decode: Callable[[store_messages.Found], T],
        operation: str,
        body: bytes,
        seconds: float = RELAY_SECONDS,
        *,
        feed: bool = False,
    ) -> T:
        """Reads directly or through a peer; feeds bypass the breaker."""
        if not self._prefers_relay():
            try:
                return self._call(read) if feed else self._call_guarded(read)
            except errors.Unavailable:
                if not self._relay_hosts():
                    raise
        reply = self._relay(operation, body, seconds, at_most_once=False)
        if not isinstance(reply, store_messages.Found):
            raise errors.Unavailable(f"unexpected reply of a peer: {reply}")
        return decode(reply)

    def _call_guarded(self, call: Callable[[], T]) -> T:
        """Calls the store directly, subject to the circuit breaker.

        Raises:
            errors.Unavailable: the call was not sent, or had no effect.
        """
        if not self._breaker_is_open():
            return self._call(call)
        if self._probing or self._direct_suspect_until > self._timers.now():
            raise errors.Unavailable("the store has not responded for a while")
        self._probing = True
        try:
            return self._call(call)
        finally:
            self._probing = False

    def _call(self, call: Callable[[], T]) -> T:
        try:
            result = call()
        except (errors.Unavailable, errors.OutcomeUnknown) as exc:
            self._direct_suspect_until = self._timers.now() + SUSPECT_SECONDS
            self._consecutive_failures += 1
            self._recovered.clear()
            if self.unreachable_since is None:
                self.unreachable_since = self._timers.now()
                eliot.log_message("store.turned_away", reason=str(exc))
            raise
        self._direct_suspect_until = 0.0
        self._succeeded_at = self._timers.now()
        self._consecutive_failures = 0
        self._recovered.set()
        if self.unreachable_since is not None:
            seconds = self._timers.now() - self.unreachable_since
            self.unreachable_since = None
            eliot.log_message("store.reached_again", seconds=round(seconds, 3))
        return result

    def _prefers_relay(self) -> bool:
        """Returns whether to use a peer without a direct call first."""
        now = self._timers.now()
        return self._direct_suspect_until > now and self._relay_hosts() != []

    def _relay_hosts(self) -> list[str]:
        """Returns the peers that may relay a call now."""
        if self._peers is None:
            return []
        cut_off = self._cut_off_peers()
        if len(cut_off) >= OUTAGE_PEERS and not self._relayed_recently():
            return []
        # A relayed write may hold a request's body, which a route or an account
        # may keep in its region.
        return [
            host
            for host in self._peers.available_hosts()
            if host not in cut_off and self._peers.is_near(host)
        ]

    def _cut_off_peers(self) -> set[str]:
        """Returns the peers that recently could not reach the store either."""
        now = self._timers.now()
        self._cut_off = {
            host: until for host, until in self._cut_off.items() if until > now
        }
        return set(self._cut_off)

    def _relay(
        self, operation: str, body: bytes, seconds: float, *, at_most_once: bool
    ) -> store_messages.Reply:
        """Has a peer make a call, and returns its reply.

        With `at_most_once`, stops after a peer that may have made the call.

        Raises:
            errors.Unavailable: no peer made the call.
            errors.OutcomeUnknown: a peer may have made the call.
            errors.HistoryLost: the store no longer has the changes.
        """
        assert self._peers is not None
        hosts = self._relay_hosts()
        self._rng.shuffle(hosts)
        for host in hosts[:MAX_RELAY_ATTEMPTS]:
            try:
                response = self._peers.request(host, operation, body, seconds)
            except errors.PeerUnreachable as exc:
                if at_most_once and exc.sent:
                    raise errors.OutcomeUnknown(
                        f"no valid reply from {host} to a relayed call"
                    ) from exc
                continue
            try:
                reply: store_messages.Reply = codec.decode(
                    store_messages.Reply, response
                )
            except errors.Refused as exc:
                reply = store_messages.Failed("unknown", exc.detail)
            if not isinstance(reply, store_messages.Failed):
                self._relayed_at = self._timers.now()
                return reply
            if reply.reason == "history":
                raise errors.HistoryLost(reply.detail)
            self._cut_off[host] = self._timers.now() + SUSPECT_SECONDS
            if at_most_once and reply.reason == "unknown":
                raise errors.OutcomeUnknown(
                    f"relayed by {host}: {reply.detail}"
                )
        raise errors.Unavailable("no peer could relay the call to the store")

    def _serve_get(self, body: bytes) -> bytes:
        req = codec.decode(wire.Get, body)
        return self._serve(lambda: self._table.get(req.key))

    def _serve_scan(self, body: bytes) -> bytes:
        req = codec.decode(wire.Scan, body)
        return self._serve(
            lambda: self._table.scan(
                req.prefix, after=req.after, limit=req.limit
            )
        )

    def _serve_snapshot(self, body: bytes) -> bytes:
        req = codec.decode(store_messages.Table, body)
        return self._serve(lambda: self._feed.snapshot(req.table))

    def _serve_changes(self, body: bytes) -> bytes:
        req = codec.decode(store_messages.Since, body)
        return self._serve(
            lambda: self._feed.changes(req.table, req.after, req.wait)
        )

    def _serve_transact(self, body: bytes) -> bytes:
        txn = codec.decode(wire.Transact, body).transaction()
        return self._serve(lambda: self._table.transact(txn))

    def _serve(self, call: Callable[[], store_messages.Result]) -> bytes:
        """Makes a call for a peer, over the direct path only."""
        try:
            result = self._call_guarded(call)
        except errors.ConditionFailed as exc:
            return _encode(wire.Conflict(exc.key))
        except errors.HistoryLost as exc:
            return _encode(store_messages.Failed("history", str(exc)))
        except errors.Unavailable as exc:
            return _encode(store_messages.Failed("unavailable", str(exc)))
        except errors.OutcomeUnknown as exc:
            return _encode(store_messages.Failed("unknown", str(exc)))
        return _encode(store_messages.reply(result))


def _encode(reply: store_messages.Reply) -> bytes:
    return codec.encode(reply, store_messages.Reply)
