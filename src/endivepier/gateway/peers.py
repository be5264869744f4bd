"""Other entry hosts: who they are, and short questions to them.

Each process writes a row with its address when it starts and deletes it when
it stops. The row of a lost process stays until its host starts again; a peer
that does not answer is left alone for a while.
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
AVOID_SECONDS = 2.0  # how long a silent peer is left alone: a restart's time
FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0

# Who asks, and what it and its peer have under way at targets.
HOST_HEADER = b"entry-host"
LOAD_HEADER = b"load"

Answer = Callable[[bytes], bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The row of a process: where other entry hosts reach it."""

    address: str
    data_centre: str


class Peers:
    """The other entry hosts."""

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
        self._entries: dict[str, Entry] = {}
        self._avoided: dict[str, float] = {}
        self._pool = pool_lib.Pool(timers)
        self._answers: dict[str, Answer] = {}
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

    def start(self) -> None:
        """Listens, and makes this process known."""
        self._server.start()
        self._follower.start()
        self._tasks.append(gevent.spawn(self._announce))

    def stop(self) -> None:
        """Takes this process off the list."""
        self._follower.stop()
        for task in self._tasks:
            task.kill()
        key = rows.single(rows.HOSTS, self._host)
        try:
            self._table.transact(ports.Transaction((), (ports.Delete(key),)))
        except (errors.Unavailable, errors.OutcomeUnknown) as exc:
            eliot.log_message("peers.not_deleted", reason=str(exc))
        self._server.stop()

    def can_ask(self, host: str) -> bool:
        """Returns whether a host is known and has not just been silent."""
        if host not in self._entries or host == self._host:
            return False
        return self._avoided.get(host, 0.0) <= self._timers.now()

    def askable(self) -> list[str]:
        """Returns the hosts that may be asked now."""
        return [host for host in self._entries if self.can_ask(host)]

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
            raise errors.PeerUnreachable(host, "not on the list", sent=False)
        try:
            return self._exchange(host, entry.address, question, body, seconds)
        except (http_errors.HttpError, ValueError) as exc:
            self._avoided[host] = self._timers.now() + AVOID_SECONDS
            self._pool.drop(host)
            eliot.log_message("peer.silent", peer=host, reason=str(exc))
            sent = not isinstance(exc, http_errors.ConnectFailed)
            raise errors.PeerUnreachable(host, str(exc), sent=sent) from exc

    def _exchange(
        self,
        host: str,
        address: str,
        question: str,
        body: bytes,
        seconds: float,
    ) -> bytes:
        deadline = self._timers.now() + seconds
        conn = self._pool.take(host, address, connect_seconds=ASK_SECONDS)
        whole = False
        try:
            conn.send(
                client.encode_request(
                    b"POST",
                    f"/{question}".encode(),
                    [
                        (b"Host", address.encode()),
                        (HOST_HEADER, self._host.encode()),
                        (LOAD_HEADER, self._reports.encode()),
                    ],
                    body,
                ),
                deadline,
            )
            head, answer = client.read_whole(conn, deadline)
            whole = True
        finally:
            if whole:
                self._pool.put(host, conn)
            else:
                conn.close()
        if head.status != 200:
            raise ValueError(f"it answered {head.status}")
        self._note_load(host, head.header(LOAD_HEADER))
        return answer

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
        self._entries.clear()
        self._change(changes)

    def _change(self, changes: ports.Changes) -> None:
        for key in changes.removed:
            self._entries.pop(key.rpartition("/")[2], None)
        for row in changes.rows:
            host = row.key.rpartition("/")[2]
            self._entries[host] = codec.decode(Entry, row.value)
            self._avoided.pop(host, None)
            self._pool.drop(host)
