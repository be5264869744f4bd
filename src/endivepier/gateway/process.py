"""An entry host that reaches targets directly, as one process."""

from __future__ import annotations

import dataclasses
import os
import random
import signal

import eliot
import gevent
import gevent.event

from endivepier import kernel as kernel_lib
from endivepier import timers as timers_lib
from endivepier.gateway import budget_owners
from endivepier.gateway import budgets
from endivepier.gateway import catalog as catalog_lib
from endivepier.gateway import dialect as dialect_lib
from endivepier.gateway import exchange
from endivepier.gateway import handler as handler_lib
from endivepier.gateway import isolation
from endivepier.gateway import load_reports
from endivepier.gateway import peers as peers_lib
from endivepier.gateway import placement as placement_lib
from endivepier.gateway import plain
from endivepier.gateway import reach
from endivepier.gateway import share_renewals
from endivepier.gateway import shares as shares_lib
from endivepier.gateway import streams
from endivepier.gateway import turn_tokens
from endivepier.gateway import turns as turns_lib
from endivepier.http1 import messages
from endivepier.http1 import pool as pool_lib
from endivepier.http1 import server as server_lib
from endivepier.internal import ids as ids_lib
from endivepier.storage import ports
from endivepier.telemetry import metrics as metrics_lib

PRUNE_SECONDS = 0.5
# The balancer asks each second and takes a host out after two misses; new
# connections may come until then.
LEAVE_SECONDS = 3.0
# Time kept of the grace period for closing connections and for the exit.
EXIT_SECONDS = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What an entry host is told at its start.

    Attributes:
        host: name of the host, the same after a restart.
        data_centre: where it stands.
        listen: "ip:port" for clients.
        peer_listen: "ip:port" for other entry hosts.
        ready_listen: "ip:port" for the balancer's question.
        ready_path: path of that question.
        metrics_listen: "ip:port" for the metrics.
        grace_seconds: from SIGTERM until the process is killed.
        rate_tolerance: requests of an account beyond its burst that the
            operators allow for.
    """

    host: str
    data_centre: str
    listen: str
    peer_listen: str
    ready_listen: str
    ready_path: str
    metrics_listen: str
    grace_seconds: float
    rate_tolerance: float


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
    """What connects an entry host to its surroundings."""

    table: ports.Table
    feed: ports.Feed
    decoder: catalog_lib.Decoder
    dialect: dialect_lib.Dialect


class Gateway:
    """The parts of the process, put together."""

    def __init__(
        self,
        cfg: Settings,
        adapters: Adapters,
        timers: timers_lib.Timers,
        rng: random.Random,
    ) -> None:
        self.cfg = cfg
        self.draining = False
        self.timers = timers
        self.metrics = metrics_lib.Metrics()
        self.kernel = kernel_lib.Kernel()
        self.incarnation = ids_lib.Ids(rng).unique()[:12]
        reports = load_reports.LoadReports(timers)
        table = reach.Store(adapters.table, adapters.feed, timers, rng)
        self.catalog = self.kernel.register(
            "catalog", catalog_lib.Catalog(table, adapters.decoder, timers)
        )
        self.peers = self.kernel.register(
            "peers",
            peers_lib.Peers(
                cfg.host,
                peers_lib.Entry(cfg.peer_listen, cfg.data_centre),
                adapters.table,
                adapters.feed,
                timers,
                reports,
            ),
        )
        table.join(self.peers)
        self.isolation = isolation.Isolation(table, self.peers, timers, rng)
        self.renewals = self.kernel.register(
            "share_renewals",
            share_renewals.Renewals(
                cfg.host,
                self.catalog,
                table,
                timers,
                rng,
                self.peers,
                cfg.rate_tolerance,
            ),
        )
        shares = shares_lib.Shares(
            self.renewals, self.catalog, self.peers, timers
        )
        self.ledger = self.kernel.register(
            "budgets", budgets.Ledger(self.incarnation, table, timers)
        )
        self.budgets = self.kernel.register(
            "budget_owners",
            budget_owners.Budgets(cfg.host, self.ledger, self.peers, timers),
        )
        self.turns = self.kernel.register(
            "turns", turns_lib.Turns(table, timers)
        )
        self.pool = pool_lib.Pool(timers)
        self.placement = placement_lib.Placement(
            cfg.data_centre, timers, rng, reports, self.pool.has_idle
        )
        self.links = exchange.Links(
            adapters.dialect, self.pool, self.placement, timers
        )
        self.catalog.subscribe_gone(self.links.forget)
        self.handler = handler_lib.Handler(
            self.catalog,
            shares,
            plain.PlainCalls(self.catalog, self.links, timers),
            streams.Streams(
                self.catalog,
                self.links,
                turn_tokens.TurnTokens(self.budgets, table, timers),
                self.turns,
                table,
                timers,
            ),
            adapters.dialect,
            timers,
            self.metrics,
        )
        limits = self.catalog.limits
        self.server = server_lib.Server(
            cfg.listen, self.handler, timers, limits
        )
        self.ready_server = server_lib.Server(
            cfg.ready_listen, self._answer_ready, timers, limits
        )
        self.metrics_server = server_lib.Server(
            cfg.metrics_listen, self._answer_metrics, timers, limits
        )

    def is_ready(self) -> bool:
        """Returns whether this host takes new connections."""
        return (
            not self.draining
            and not self.isolation.isolated
            and self.catalog.is_complete()
            and self.renewals.ready
        )

    def start(self) -> None:
        """Starts all parts."""
        eliot.log_message(
            "process.start",
            host=self.cfg.host,
            incarnation=self.incarnation,
            data_centre=self.cfg.data_centre,
            listen=self.cfg.listen,
            pid=os.getpid(),
        )
        self.ready_server.start()
        self.metrics_server.start()
        self.kernel.start()
        self.server.start()
        self.timers.every(PRUNE_SECONDS, self._tend)

    def run(self) -> None:
        """Runs until SIGTERM has been dealt with."""
        terminated = gevent.event.Event()
        gevent.signal_handler(signal.SIGTERM, terminated.set)
        gevent.signal_handler(signal.SIGINT, terminated.set)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        self.start()
        terminated.wait()
        self.drain()

    def drain(self) -> None:
        """Stops taking new work and finishes what runs."""
        began = self.timers.now()
        self.draining = True
        self.server.closing = True
        gevent.spawn(self.kernel.drain)
        eliot.log_message(
            "process.draining",
            running=self.server.active,
            idle=len(self.server.idle),
        )
        self.timers.sleep(min(LEAVE_SECONDS, self.cfg.grace_seconds / 2))
        # The balancer may use a host that leaves to the end, if few others are
        # ready; a client that finds no listener goes elsewhere at once.
        self.server.stop()
        self.server.close_idle()
        end = began + self.cfg.grace_seconds - EXIT_SECONDS
        while self.server.active and self.timers.now() < end:
            self.timers.sleep(0.05)
            self.server.close_idle()
        self.kernel.stop()
        eliot.log_message("process.stop", cut_off=self.server.active)
        # The last lines are written by a task of their own.
        self.timers.sleep(0.1)

    def _reload(self) -> None:
        eliot.log_message(
            "process.reload", action="settings are read at the next start"
        )

    def _tend(self) -> None:
        self.pool.prune()
        self.isolation.look()
        self.server.closing = self.draining or self.isolation.isolated
        self.placement.reports.hosts = self.renewals.host_count
        counts = self.pool.counts
        self.metrics.set("connections_opened", counts.opened)
        self.metrics.set("connections_reused", counts.reused)
        self.metrics.set("requests_running", self.server.active)

    def _answer_ready(
        self, req: messages.Request, responder: server_lib.Responder
    ) -> None:
        known = req.target.partition(b"?")[0] == self.cfg.ready_path.encode()
        status = 404 if not known else 200 if self.is_ready() else 503
        responder.send(status, [], b"")

    def _answer_metrics(
        self, req: messages.Request, responder: server_lib.Responder
    ) -> None:
        del req
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        responder.send(200, headers, self.metrics.render())
