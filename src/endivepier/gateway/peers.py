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

ASK_SECONDS = 0.08  # some ten times the way between two data centres
AVOID_SECONDS = 1.0  # how long a silent peer is left alone at first
MAX_AVOID_SECONDS = 8.0  # a frozen or cut-off host is back after some seconds
PROBE_AFTER_SECONDS = 0.25  # most answers come within some milliseconds
PROBE = "probe"
FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0

# Who asks, and what it and its peer have under way at targets.
HOST_HEADER = b"entry-host"
LOAD_HEADER = b"load"

Answer = Callable[[bytes], bytes]


@dataclasses.dataclass(slots=True)
class Silence:
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
        self.heard_at = float("-inf")
        self._silent: dict[str, Silence] = {}
        self._pool = pool_lib.Pool(timers)
        self._answers: dict[str, Answer] = {PROBE: lambda _: b"{}"}
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

    def register(self, question: str, answer: Answer) -> None:
        """Has `answer` answer a question of other hosts."""
        self._answers[question] = answer

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
        key = rows.single_part_key(rows.HOSTS, self._host)
        try:
            self._table.transact(ports.Transaction((), (ports.Delete(key),)))
        except (errors.Unavailable, errors.OutcomeUnknown) as exc:
            eliot.log_message("peers.not_deleted", reason=str(exc))

    def stop(self) -> None:
        """Neither asks nor answers any longer."""
        self._follower.stop()
        gevent.killall(self._tasks)
        self._server.stop()

    def can_ask(self, host: str) -> bool:
        """Returns whether a host is known and has not just been silent."""
        if host not in self._listed or host == self._host:
            return False
        silence = self._silent.get(host)
        return silence is None or silence.until <= self._timers.now()

    def askable(self) -> list[str]:
        """Returns the hosts that may be asked now."""
        return [host for host in self._listed if self.can_ask(host)]

    def others(self) -> list[str]:
        """Returns all hosts on the list but this one, silent ones too."""
        return [host for host in self._listed if host != self._host]

    def ask(
        self,
        host: str,
        question: str,
        body: bytes,
        seconds: float = ASK_SECONDS,
    ) -> bytes:
        """Asks a host and returns its answer.

        Raises:
            errors.PeerUnreachable: it did not answer.
        """
        entry = self._entries.get(host)
        if entry is None:
            raise errors.PeerUnreachable(host, "not known", sent=False)
        try:
            return self._exchange(host, entry.address, question, body, seconds)
        except (http_errors.HttpError, ValueError) as exc:
            self._note_silence(host, exc)
            sent = not isinstance(exc, http_errors.ConnectFailed)
            raise errors.PeerUnreachable(host, str(exc), sent=sent) from exc

    def _note_silence(self, host: str, exc: Exception) -> None:
        now = self._timers.now()
        silence = self._silent.get(host)
        if silence is None:
            silence = self._silent[host] = Silence(now, AVOID_SECONDS / 2)
        if silence.until <= now:
            silence.seconds = min(silence.seconds * 2, MAX_AVOID_SECONDS)
            silence.until = now + silence.seconds
            eliot.log_message(
                "peer.silent",
                peer=host,
                reason=str(exc),
                avoided=silence.seconds,
            )
        self._pool.drop(host)

    def _note_answer(self, host: str) -> None:
        self.heard_at = self._timers.now()
        if self._silent.pop(host, None) is not None:
            eliot.log_message("peer.answers", peer=host)

    def _exchange(
        self,
        host: str,
        address: str,
        question: str,
        body: bytes,
        seconds: float,
    ) -> bytes:
        deadline = self._timers.now() + seconds
        headers = [
            (b"Host", address.encode()),
            (HOST_HEADER, self._host.encode()),
            (LOAD_HEADER, self._reports.encode()),
        ]
        target = f"/{question}".encode()
        data = client.encode_request(b"POST", target, headers, body)
        with self._pool.connection(
            host, address, connect_seconds=ASK_SECONDS
        ) as conn:
            probe: timers_lib.Handle | None = None
            if seconds > PROBE_AFTER_SECONDS and question != PROBE:
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
        self._note_answer(host)
        self._note_load(host, head.header(LOAD_HEADER))
        return answer

    def _probe(self, host: str, conn: client.Connection) -> None:
        """Breaks a connection that is silent if its peer is silent, too."""
        try:
            self.ask(host, PROBE, b"{}")
        except errors.PeerUnreachable:
            conn.close()

    def _note_load(self, host: str, report: bytes | None) -> None:
        if not report:
            return
        try:
            self._reports.note(host, report)
        except ValueError as exc:
            eliot.log_message("peer.bad_report", peer=host, reason=str(exc))

    def _serve(
        self, req: messages.Request, responder: server_lib.Responder
    ) -> None:
        answer = self._answers.get(req.target.decode("latin-1").strip("/"))
        if answer is None:
            responder.send(404, [], b"")
            return
        host = (req.header(HOST_HEADER) or b"").decode("latin-1")
        self._note_answer(host)
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
        key = rows.single_part_key(rows.HOSTS, self._host)
        txn = ports.Transaction((), (ports.Put(key, codec.encode(self._own)),))
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                self._table.transact(txn)
                return
            except (errors.Unavailable, errors.OutcomeUnknown) as exc:
                eliot.log_message("peers.not_announced", reason=str(exc))
            self._timers.sleep(backoff)
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

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
            self._silent.pop(host, None)
            self._pool.drop(host)
