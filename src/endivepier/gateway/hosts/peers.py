"""Discovery of the other entry hosts, and requests to them.

Hosts are known by their rows (see `hosts.rows`). The row of a crashed process
stays until its host starts again, so a peer that fails a request is avoided,
for longer each time.

Some operations may take long to complete. If the response to one is late, a
short probe on another connection tells whether the peer still responds at all.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import contextlib

import eliot
import gevent

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.choice import homes as homes_lib
from endivepier.gateway.choice import load_reports
from endivepier.gateway.hosts import backoffs as backoffs_lib
from endivepier.gateway.hosts import introductions as introductions_lib
from endivepier.gateway.hosts import rows as host_rows_lib
from endivepier.gateway.suspects import suspects as suspects_lib
from endivepier.gateway.targets import departures as departures_lib
from endivepier.gateway.targets import limit_reports as limit_reports_lib
from endivepier.gateway.targets import rates as target_rates
from endivepier.http1 import capacity as capacity_lib
from endivepier.http1 import client
from endivepier.http1 import errors as http_errors
from endivepier.http1 import headers as headers_lib
from endivepier.http1 import messages
from endivepier.http1 import pool as pool_lib
from endivepier.http1 import responding
from endivepier.http1 import screening
from endivepier.http1 import server as server_lib
from endivepier.internal import failures

# Some ten times the latency between two data centres.
REQUEST_TIMEOUT_SECONDS = 0.08
PROBE_AFTER_SECONDS = 0.25  # most responses come within a few milliseconds
PROBE = "probe"
# News that can't wait for the next message are collected for this long.
NEWS_DELAY_SECONDS = 0.02
MAX_HOST_NAME = 200  # the longest key of a row
MAX_TOLD = 100  # hosts that get such news at once; they pass it on

# Headers with the name of the host that sends a request, and with the load
# report, the known departures, the targets that exceeded a limit, the rates
# that targets named, the cold targets, and the requests that ended targets, at
# the host that
# sends a request or a response.
HOST_HEADER = b"entry-host"
LOAD_HEADER = b"load"
DEPARTURES_HEADER = b"leaving"
LIMITS_HEADER = b"limits-exceeded"
RATES_HEADER = b"target-rates"
COLD_HEADER = b"cold-targets"
SUSPECTS_HEADER = b"suspects"

Handler = Callable[[bytes], bytes]


class Peers:
    """Sends requests to the other entry hosts, and serves theirs.

    Attributes:
        last_contact_at: when a request or a response of a peer last arrived,
            monotonic seconds.
        rows: the rows of all hosts.
        introductions: which hosts know this process.
    """

    def __init__(
        self,
        host: str,
        host_rows: host_rows_lib.HostRows,
        timers: timers_lib.Timers,
        reports: load_reports.LoadReports,
        departures: departures_lib.Departures,
        limit_reports: limit_reports_lib.LimitReports,
        rates: target_rates.TargetRates,
        suspects: suspects_lib.Suspects,
        homes: homes_lib.Homes,
        capacity: capacity_lib.Capacity,
    ) -> None:
        self._host = host
        self._reports = reports
        self._departures = departures
        self._limit_reports = limit_reports
        self._rates = rates
        self._suspects = suspects
        self._homes = homes
        self.rows = host_rows
        self._timers = timers
        self.last_contact_at = float("-inf")
        self._backoffs = backoffs_lib.Backoffs(timers)
        self._pool = pool_lib.Pool(timers)
        self._buffers = capacity.peer_response_bodies
        self._is_telling = False
        self._newcomers: set[str] = set()  # started, and not told all yet
        self.introductions = introductions_lib.Introductions(
            self.request, self.available_hosts
        )
        self._handlers: dict[str, Handler] = {
            PROBE: lambda _: b"{}",
            introductions_lib.INTRODUCE: lambda _: b"{}",
        }
        host_rows.subscribe(self._reset)
        self._server = server_lib.Server(
            host_rows.own.address,
            self._serve,
            timers,
            messages.ClientLimits,
            clients=server_lib.for_peers(capacity, self._screen),
        )

    def register(self, operation: str, handler: Handler) -> None:
        """Has `handler` serve an operation that other hosts request."""
        self._handlers[operation] = handler

    @property
    def address(self) -> str:
        """Address at which this process listens for other hosts."""
        return self._server.address

    @property
    def is_leaving(self) -> bool:
        """Whether this process has been told to stop."""
        return self.rows.is_leaving

    @property
    def is_settled(self) -> bool:
        """Whether this process is listed and knows the other hosts."""
        return self.rows.is_settled

    def start(self) -> None:
        """Starts the server, and to follow and write the rows of hosts."""
        self._server.start()
        self.rows.start()

    def drain(self) -> None:
        """Withdraws this process's row; requests are still sent and served."""
        self.rows.leave()

    def stop(self) -> None:
        """Stops the server and the follower of the rows."""
        self.rows.stop()
        self._server.stop()

    def is_available(self, host: str) -> bool:
        """Returns whether `host` is another host, listed and not avoided."""
        if host not in self.rows.listed or host == self._host:
            return False
        return not self._backoffs.is_avoided(host)

    def has_failed(self, host: str) -> bool:
        """Returns whether no message of a host came since a failed request.

        It may be available again without a sign that it responds.
        """
        return self._backoffs.has_failed(host)

    def available_hosts(self) -> list[str]:
        """Returns the other hosts that are listed and not avoided."""
        return [host for host in self.rows.listed if self.is_available(host)]

    def is_near(self, host: str) -> bool:
        """Returns whether a listed host is in this host's region."""
        entry = self.rows.entries.get(host)
        return entry is not None and self._homes.is_near(entry.data_centre)

    def process(self, host: str) -> host_rows_lib.Entry | None:
        """Returns the row of a host's current process; None if unknown."""
        return self.rows.entries.get(host)

    def other_hosts(self) -> list[str]:
        """Returns all listed hosts but this one, including avoided ones."""
        return [host for host in self.rows.listed if host != self._host]

    def request(
        self,
        host: str,
        operation: str,
        body: bytes,
        seconds: float = REQUEST_TIMEOUT_SECONDS,
    ) -> bytes:
        """Requests an operation of a host and returns the response body.

        Raises:
            errors.PeerUnreachable: the host is unknown, or its response was
                missing, late or unsuccessful.
        """
        entry = self.rows.entries.get(host)
        if entry is None:
            raise errors.PeerUnreachable(host, "unknown host", sent=False)
        try:
            return self._exchange(host, entry.address, operation, body, seconds)
        except (http_errors.HttpError, ValueError) as exc:
            self._note_failure(host, exc)
            sent = not isinstance(exc, http_errors.ConnectFailed)
            raise errors.PeerUnreachable(host, str(exc), sent=sent) from exc

    def tell_news(self) -> None:
        """Sends what hosts tell each other to other hosts, shortly."""
        if not self._is_telling:
            self._is_telling = True
            self._timers.after(NEWS_DELAY_SECONDS, self._tell_news)

    def _tell_news(self) -> None:
        self._is_telling = False
        for host in self.available_hosts()[:MAX_TOLD]:
            gevent.spawn(self._tell, host)

    def _tell(self, host: str) -> None:
        # A failure is logged, and the host avoided, by `request`.
        with contextlib.suppress(errors.PeerUnreachable):
            self.request(host, PROBE, b"{}")
        self._newcomers.discard(host)

    def _note_failure(self, host: str, exc: Exception) -> None:
        self._backoffs.note_failure(host, str(exc))
        self._pool.close_idle(host)

    def _note_contact(self, host: str) -> None:
        self.last_contact_at = self._timers.now()
        self._backoffs.note_contact(host)

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
            *self._news(host),
        ]
        path = f"/{operation}".encode()
        data = client.encode_request(b"POST", path, headers, body)
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
                head, response = client.read_whole(
                    conn, deadline, self._buffers, host
                )
            finally:
                if probe is not None:
                    probe.cancel()
        if head.until_close:
            raise http_errors.ExchangeBroken(
                f"a response of {address} without a length may be truncated"
            )
        self._note_contact(host)
        self._receive_news(host, head.headers)
        if head.status != 200:
            raise errors.PeerUnreachable(
                host, f"the response has status {head.status}", sent=True
            )
        return response

    def _probe(self, host: str, conn: client.Connection) -> None:
        """Closes a connection if its peer does not respond to a probe."""
        try:
            self.request(host, PROBE, b"{}")
        except errors.PeerUnreachable:
            conn.close()

    def _news(self, host: str) -> list[messages.Header]:
        """Returns the headers by which hosts inform each other."""
        load = (LOAD_HEADER, self._reports.encode())
        return [load, *self._news_of_targets(host)]

    def _news_of_targets(self, host: str) -> list[messages.Header]:
        """Returns the headers about targets that a host may not know."""
        headers = []
        departures = self._departures.encode()
        if departures:
            headers.append((DEPARTURES_HEADER, departures))
        exceeded = self._limit_reports.encode()
        if host in self._newcomers:
            exceeded = self._limit_reports.encode_all()
        if exceeded:
            headers.append((LIMITS_HEADER, exceeded))
        rates = self._rates.encode()
        if rates:
            headers.append((RATES_HEADER, rates))
        cold = self._rates.encode_cold()
        if cold:
            headers.append((COLD_HEADER, cold))
        suspects = self._suspects.encode()
        if suspects:
            headers.append((SUSPECTS_HEADER, suspects))
        return headers

    def _receive_news(
        self, host: str, headers: Iterable[messages.Header]
    ) -> None:
        receivers: dict[bytes, Callable[[str, bytes], None]] = {
            DEPARTURES_HEADER: self._departures.receive,
            SUSPECTS_HEADER: self._suspects.receive,
            RATES_HEADER: self._rates.receive,
            COLD_HEADER: lambda _, value: self._rates.receive_cold(value),
            LIMITS_HEADER: self._limit_reports.receive,
            LOAD_HEADER: self._receive_load,
        }
        for name, receive in receivers.items():
            value = messages.find(headers, name)
            if not value:
                continue
            try:
                receive(host, value)
            except (ValueError, RecursionError) as exc:
                eliot.log_message(
                    "peer.bad_report",
                    peer=host,
                    header=name.decode(),
                    reason=str(exc),
                )

    def _receive_load(self, host: str, encoded: bytes) -> None:
        is_listed = host in self.rows.listed
        self._reports.receive(host, encoded, is_listed=is_listed)

    def _screen(
        self, target: bytes, headers: headers_lib.Headers
    ) -> screening.Screening:
        """Tells whether a request is a listed host's."""
        del target
        host = (headers.find(HOST_HEADER) or b"").decode("latin-1")
        if host not in self.rows.listed:
            return screening.UNKNOWN
        return screening.Screening(host)

    def _serve(
        self, req: messages.Request, responder: responding.Responder
    ) -> None:
        operation = req.target.decode("latin-1").strip("/")
        handler = self._handlers.get(operation)
        if handler is None:
            responder.send(404, [], b"")
            return
        host = (req.header(HOST_HEADER) or b"").decode("latin-1")
        if len(host) > MAX_HOST_NAME:
            responder.send(400, [], b"")
            return
        if host:
            self.rows.hear(
                host, introduces_itself=operation == introductions_lib.INTRODUCE
            )
        self._note_contact(host)
        self._receive_news(host, req.headers)
        try:
            body = handler(req.body)
        except errors.Refused as exc:
            responder.send(exc.status, [], exc.detail.encode())
            return
        except http_errors.ClientGone:
            raise
        except Exception as exc:
            failures.log(exc)
            responder.send(500, [], b"")  # without it, this host looks silent
            return
        headers = [
            (b"Content-Type", b"application/json"),
            *self._news(host),
        ]
        responder.send(200, headers, body)

    def _reset(self, host: str) -> None:
        """Forgets what was found of a host that has started again.

        Its new process is told what it may not know, if there is anything.
        """
        self._backoffs.forget(host)
        self.introductions.forget(host)
        self._pool.close_idle(host)
        if host == self._host:
            return
        self._newcomers.add(host)
        if self._news_of_targets(host):
            gevent.spawn(self._tell, host)
        else:
            self._newcomers.discard(host)
