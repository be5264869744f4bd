"""Other entry hosts: who they are, and short questions to them.

Each process writes a row with its address when it starts and deletes it when
it is told to stop. The row of a lost process stays until its host starts
again; a peer that does not answer is left alone, longer each time.

Some questions may take long for good reasons. If one does, a short one on
another connection tells whether the peer still answers at all.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import eliot
import gevent

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import follower as follower_lib
from endivepier.gateway import load_reports
from endivepier.gateway import rows
from endivepier.http1 import client
from endivepier.http1 import errors as http_errors
from endivepier.http1 import messages
from endivepier.http1 import pool as pool_lib
from endivepier.http1 import server as server_lib
from endivepier.internal import codec
from endivepier.storage import ports

REQUEST_TIMEOUT_SECONDS = (
    0.08  # some ten times the way between two data centres
)
FIRST_AVOID_SECONDS = 1.0  # how long a silent peer is left alone at first
MAX_AVOID_SECONDS = 8.0  # a frozen or cut-off host is back after some seconds
PROBE_AFTER_SECONDS = 0.25  # most answers come within some milliseconds
PROBE = "probe"
FIRST_ANNOUNCE_BACKOFF_SECONDS = 0.1
MAX_ANNOUNCE_BACKOFF_SECONDS = 2.0

# Who asks, and what it and its peer have under way at targets.
HOST_HEADER = b"entry-host"
LOAD_HEADER = b"load"

Handler = Callable[[bytes], bytes]


@dataclasses.dataclass(slots=True)
class Backoff:
    """A peer that did not answer.

    Attributes:
        until: until when it is left alone, monotonic seconds.
        seconds: how long that was.
    """

    until: float
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The row of a process: where other entry hosts reach it."""

    address: str
    data_centre: str


class Peers:
    """The other entry hosts.

    Attributes:
        heard_at: when one last asked or answered, monotonic seconds.
    """

    def __init__(
        self,
        host: str,
        own: Entry,
        table: ports.Table,
        feed: ports.Feed,
        timers: timers_lib.Timers,
        reports: load_reports.LoadReports,
    ) -> None:
        self._host = host
        self._reports = reports
        self._own = own
        self._table = table
        self._timers = timers
        self._leaving = False
        self._listed: set[str] = set()
        # Also of hosts that have left: they answer until their end.
        self._entries: dict[str, Entry] = {}
        self.last_contact_at = float("-inf")
        self._backoffs: dict[str, Backoff] = {}
        self._pool = pool_lib.Pool(timers)
        self._handlers: dict[str, Handler] = {PROBE: lambda _: b"{}"}
        self._tasks: list[gevent.Greenlet] = []
        self._follower = follower_lib.Follower(
            feed,
            timers,
            rows.HOSTS,
            self._replace,
            self._change,
            wait=follower_lib.SLOW_WAIT_SECONDS,
        )
        self._server = server_lib.Server(
            own.address, self._serve, timers, messages.ClientLimits
        )

    def register(self, operation: str, answer: Handler) -> None:
        """Has `answer` answer a question of other hosts."""
        self._handlers[operation] = answer

    @property
    def address(self) -> str:
        """Where this process listens for other hosts."""
        return self._server.address

    def start(self) -> None:
        """Listens, and makes this process known."""
        self._server.start()
        self._follower.start()
        self._tasks.append(gevent.spawn(self._announce))

    def drain(self) -> None:
        """Takes this process off the list; it still asks and answers."""
        self._leaving = True
        gevent.killall(self._tasks)
        key = rows.single(rows.HOSTS, self._host)
        try:
            self._table.transact(ports.Transaction((), (ports.Delete(key),)))
        except (errors.Unavailable, errors.OutcomeUnknown) as exc:
            eliot.log_message("peers.not_deleted", reason=str(exc))

    def stop(self) -> None:
        """Neither asks nor answers any longer."""
        self._follower.stop()
        gevent.killall(self._tasks)
        self._server.stop()

    def is_available(self, host: str) -> bool:
        """Returns whether a host is known and has not just been silent."""
        if host not in self._listed or host == self._host:
            return False
        backoff = self._backoffs.get(host)
        return backoff is None or backoff.until <= self._timers.now()

    def available_hosts(self) -> list[str]:
        """Returns the hosts that may be asked now."""
        return [host for host in self._listed if self.is_available(host)]

    def other_hosts(self) -> list[str]:
        """Returns all hosts on the list but this one, silent ones too."""
        return [host for host in self._listed if host != self._host]

    def request(
        self,
        host: str,
        operation: str,
        body: bytes,
        seconds: float = REQUEST_TIMEOUT_SECONDS,
    ) -> bytes:
        """Asks a host and returns its answer.

        Raises:
            errors.PeerUnreachable: it did not answer.
        """
        entry = self._entries.get(host)
        if entry is None:
            raise errors.PeerUnreachable(host, "not known", sent=False)
        try:
            return self._exchange(host, entry.address, operation, body, seconds)
        except (http_errors.HttpError, ValueError) as exc:
            self._note_failure(host, exc)
            sent = not isinstance(exc, http_errors.ConnectFailed)
            raise errors.PeerUnreachable(host, str(exc), sent=sent) from exc

    def _note_failure(self, host: str, exc: Exception) -> None:
        now = self._timers.now()
        backoff = self._backoffs.get(host)
        if backoff is None:
            backoff = self._backoffs[host] = Backoff(
                now, FIRST_AVOID_SECONDS / 2
            )
        if backoff.until <= now:
            backoff.seconds = min(backoff.seconds * 2, MAX_AVOID_SECONDS)
            backoff.until = now + backoff.seconds
            eliot.log_message(
                "peer.silent",
                peer=host,
                reason=str(exc),
                avoided=backoff.seconds,
            )
        self._pool.drop(host)

    def _note_contact(self, host: str) -> None:
        self.last_contact_at = self._timers.now()
        if self._backoffs.pop(host, None) is not None:
            eliot.log_message("peer.answers", peer=host)

    def _exchange(
        self,
        host: str,
        address: str,
        operation: str,
        body: bytes,
        seconds: float,
    ) -> bytes:
        deadline = self._timers.now() + seconds
        headers = [
            (b"Host", address.encode()),
            (HOST_HEADER, self._host.encode()),
            (LOAD_HEADER, self._reports.encode()),
        ]
        target = f"/{operation}".encode()
        data = client.encode_request(b"POST", target, headers, body)
        with self._pool.connection(
            host, address, connect_seconds=REQUEST_TIMEOUT_SECONDS
        ) as conn:
            probe: timers_lib.Handle | None = None
            if seconds > PROBE_AFTER_SECONDS and operation != PROBE:
                probe = self._timers.after(
                    PROBE_AFTER_SECONDS, lambda: self._probe(host, conn)
                )
            try:
                conn.send(data, deadline)
                head, answer = client.read_whole(conn, deadline)
            finally:
                if probe is not None:
                    probe.cancel()
        if head.status != 200:
            raise ValueError(f"it answered {head.status}")
        self._note_contact(host)
        self._note_load(host, head.header(LOAD_HEADER))
        return answer

    def _probe(self, host: str, conn: client.Connection) -> None:
        """Breaks a connection that is silent if its peer is silent, too."""
        try:
            self.request(host, PROBE, b"{}")
        except errors.PeerUnreachable:
            conn.close()

    def _note_load(self, host: str, report: bytes | None) -> None:
        if not report:
            return
        try:
            self._reports.receive(host, report)
        except ValueError as exc:
            eliot.log_message("peer.bad_report", peer=host, reason=str(exc))

    def _serve(
        self, req: messages.Request, responder: server_lib.Responder
    ) -> None:
        answer = self._handlers.get(req.target.decode("latin-1").strip("/"))
        if answer is None:
            responder.send(404, [], b"")
            return
        host = (req.header(HOST_HEADER) or b"").decode("latin-1")
        self._note_contact(host)
        self._note_load(host, req.header(LOAD_HEADER))
        try:
            body = answer(req.body)
        except errors.Refused as exc:
            responder.send(exc.status, [], exc.detail.encode())
            return
        headers = [
            (b"Content-Type", b"application/json"),
            (LOAD_HEADER, self._reports.encode()),
        ]
        responder.send(200, headers, body)

    def _announce(self) -> None:
        key = rows.single(rows.HOSTS, self._host)
        txn = ports.Transaction((), (ports.Put(key, codec.encode(self._own)),))
        backoff = FIRST_ANNOUNCE_BACKOFF_SECONDS
        while True:
            try:
                self._table.transact(txn)
                return
            except (errors.Unavailable, errors.OutcomeUnknown) as exc:
                eliot.log_message("peers.not_announced", reason=str(exc))
            self._timers.sleep(backoff)
            backoff = min(backoff * 2, MAX_ANNOUNCE_BACKOFF_SECONDS)

    def _replace(self, changes: ports.Changes) -> None:
        self._listed.clear()
        self._change(changes)

    def _change(self, changes: ports.Changes) -> None:
        for key in changes.removed:
            host = key.rpartition("/")[2]
            self._listed.discard(host)
            if host == self._host and not self._leaving:
                # A former process's row was deleted late.
                self._tasks.append(gevent.spawn(self._announce))
        for row in changes.rows:
            host = row.key.rpartition("/")[2]
            self._listed.add(host)
            self._entries[host] = codec.decode(Entry, row.value)
            self._backoffs.pop(host, None)
            self._pool.drop(host)
