"""The process of an entry host that connects to targets directly."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import os
import random
import signal

import eliot
import gevent
import gevent.event

from endivepier import kernel as kernel_lib
from endivepier import timers as timers_lib
from endivepier.gateway import checks as checks_lib
from endivepier.gateway import dialect as dialect_lib
from endivepier.gateway import exchange
from endivepier.gateway import handler as handler_lib
from endivepier.gateway import unary_calls
from endivepier.gateway.accounts import renewals as share_renewals
from endivepier.gateway.accounts import shares as shares_lib
from endivepier.gateway.budgets import assembly as budget_assembly
from endivepier.gateway.budgets import ledger as ledger_lib
from endivepier.gateway.budgets import owners as budget_owners
from endivepier.gateway.budgets import row_expiry
from endivepier.gateway.budgets import turn_tokens
from endivepier.gateway.choice import homes as homes_lib
from endivepier.gateway.choice import load_check
from endivepier.gateway.choice import load_inquiries
from endivepier.gateway.choice import load_reports
from endivepier.gateway.choice import placement as placement_lib
from endivepier.gateway.choice import target_choice
from endivepier.gateway.hosts import isolation
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.hosts import rows as host_rows_lib
from endivepier.gateway.store import access as store_access
from endivepier.gateway.streams import origins as stream_origins
from endivepier.gateway.streams import stream_calls
from endivepier.gateway.streams import turns as turns_lib
from endivepier.gateway.streams import versions as stream_versions
from endivepier.gateway.suspects import guard as suspect_guard
from endivepier.gateway.suspects import suspects as suspects_lib
from endivepier.gateway.suspects import trials as suspect_trials
from endivepier.gateway.targets import catalog as catalog_lib
from endivepier.gateway.targets import cold as cold_targets
from endivepier.gateway.targets import decoding
from endivepier.gateway.targets import departures as departures_lib
from endivepier.gateway.targets import ends as target_ends
from endivepier.gateway.targets import limit_reports
from endivepier.gateway.targets import liveness as target_liveness
from endivepier.gateway.targets import rates as target_rates
from endivepier.gateway.targets import route_history
from endivepier.gateway.targets import tokens as rate_tokens
from endivepier.gateway.targets import version_check
from endivepier.http1 import capacity as capacity_lib
from endivepier.http1 import pool as pool_lib
from endivepier.http1 import server as server_lib
from endivepier.internal import ids as ids_lib
from endivepier.storage import ports
from endivepier.telemetry import metrics as metrics_lib

MAINTENANCE_INTERVAL_SECONDS = 0.5
# The load balancer checks readiness every second and removes a host after two
# failed checks. New connections may arrive until then.
DEREGISTRATION_SECONDS = 3.0
# The end of the grace period that is reserved for closing connections and for
# the exit.
EXIT_SECONDS = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The settings of an entry host, fixed at its start.

    Attributes:
        host: name of the host, the same after a restart.
        data_centre: the data centre of the host.
        listen: "ip:port" for clients.
        peer_listen: "ip:port" for other entry hosts.
        ready_listen: "ip:port" for the load balancer's readiness check.
        ready_path: path of the readiness check.
        metrics_listen: "ip:port" for the metrics.
        grace_seconds: time from SIGTERM until the process is killed.
        rate_tolerance: how many requests beyond its burst the operators
            accept for an account, over all hosts.
        is_first_start: whether the whole fleet starts for the first time.
        regions: the region of each data centre; empty if there is only one
            region.
        memory_bytes: memory that the process may use.
        sockets: how many sockets it may have.
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
    is_first_start: bool = False
    regions: Mapping[str, str] = dataclasses.field(default_factory=dict)
    memory_bytes: int = capacity_lib.DEFAULT_MEMORY_BYTES
    sockets: int = capacity_lib.DEFAULT_SOCKETS


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
    """The adapters to the store and to the deployment's formats."""

    table: ports.Table
    feed: ports.Feed
    decoder: decoding.Decoder
    dialect: dialect_lib.Dialect


class Gateway:
    """Creates, connects and runs the components of an entry host."""

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
        self.capacity = capacity_lib.Capacity(cfg.memory_bytes, cfg.sockets)
        homes = homes_lib.Homes(cfg.data_centre, cfg.regions)
        reports = load_reports.LoadReports(timers)
        limits_exceeded = limit_reports.LimitReports(timers)
        rates = target_rates.TargetRates(timers, self.metrics)
        self.suspects = suspects_lib.Suspects(timers, self.metrics)
        departures = departures_lib.Departures(timers, self.metrics)
        store = store_access.Store(adapters.table, adapters.feed, timers, rng)
        decoder = decoding.CheckedDecoder(adapters.decoder)
        self.catalog = self.kernel.register(
            "catalog",
            catalog_lib.Catalog(store, decoder, timers, departures),
        )
        host_rows = host_rows_lib.HostRows(
            cfg.host,
            host_rows_lib.Entry(
                cfg.peer_listen,
                cfg.data_centre,
                tells_openings=True,
                lost_told=True,
                confirms_terms=True,
            ),
            adapters.table,
            adapters.feed,
            timers,
            is_first_start=cfg.is_first_start,
        )
        self.peers = self.kernel.register(
            "peers",
            peers_lib.Peers(
                cfg.host,
                host_rows,
                timers,
                reports,
                departures,
                limits_exceeded,
                rates,
                self.suspects,
                homes,
                self.capacity,
            ),
        )
        store.use_peers(self.peers)
        self.suspects.subscribe(self.peers.tell_news)
        self.isolation = isolation.Isolation(store, self.peers, timers, rng)
        self.renewals = self.kernel.register(
            "share_renewals",
            share_renewals.Renewals(
                cfg.host,
                self.catalog,
                store,
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
            "budgets",
            ledger_lib.Ledger(
                self.incarnation,
                store,
                timers,
                budget_assembly.create_openers(
                    cfg.host,
                    self.peers,
                    store,
                    timers,
                    self.catalog.retention,
                ),
                row_expiry.RowExpiry(store, timers, self.catalog.retention),
            ),
        )
        host_rows.has_unrecorded = self.ledger.has_unrecorded
        self.budgets = self.kernel.register(
            "budget_owners",
            budget_owners.Budgets(
                cfg.host, self.ledger, self.peers, timers, rng
            ),
        )
        self.turns = self.kernel.register(
            "turns", turns_lib.TurnStore(store, timers)
        )
        routes = route_history.RouteHistory(self.catalog, timers)
        origins = stream_origins.StreamOrigins(
            cfg.host,
            self.catalog,
            version_check.VersionCheck(self.catalog, store, decoder, timers),
            routes,
            self.peers,
            timers,
        )
        self.pool = pool_lib.Pool(timers)
        self.placement = placement_lib.Placement(
            cfg.data_centre, timers, rng, reports, self.pool.has_idle
        )
        limits_exceeded.set_sink(self.placement.avoid)
        self.dispatcher = exchange.Dispatcher(
            adapters.dialect,
            self.pool,
            self.placement,
            departures,
            limits_exceeded,
            rates,
            rate_tokens.RateTokens(
                cfg.host, rates, self.peers, timers, self.metrics
            ),
            cold_targets.ColdTargets(self.catalog, rates, timers),
            target_liveness.TargetLiveness(
                adapters.dialect,
                self.pool,
                self.catalog.service,
                timers,
            ),
            self.capacity.response_bodies,
            timers,
            self.metrics,
        )
        self.catalog.subscribe_removed(self.dispatcher.drop_target)
        guard = suspect_guard.SuspectGuard(
            self.suspects,
            suspect_trials.SuspectTrials(cfg.host, self.peers, timers),
            target_ends.TargetEnds(self.pool, departures, timers),
            self.placement,
            timers,
        )
        choice = target_choice.TargetChoice(
            self.catalog, self.dispatcher, guard, homes, timers
        )
        self.handler = handler_lib.Handler(
            self.catalog,
            shares,
            unary_calls.UnaryCalls(self.dispatcher, choice, guard, timers),
            stream_calls.StreamCalls(
                self.catalog,
                self.dispatcher,
                choice,
                load_check.LoadCheck(
                    self.dispatcher,
                    choice,
                    load_inquiries.LoadInquiries(
                        self.peers, reports, timers, rng
                    ),
                    timers,
                ),
                guard,
                turn_tokens.TurnTokens(self.budgets, store, timers),
                stream_versions.StreamVersions(self.catalog, origins, routes),
                self.turns,
                store,
                timers,
            ),
            adapters.dialect,
            timers,
            self.metrics,
        )
        self.server = server_lib.Server(
            cfg.listen,
            self.handler,
            timers,
            self.catalog.limits,
            clients=server_lib.for_callers(self.capacity, self.handler.screen),
        )
        self.checks = checks_lib.Checks(
            cfg.ready_listen,
            cfg.ready_path,
            cfg.metrics_listen,
            self.is_ready,
            self.metrics,
            self.catalog.limits,
            self.capacity,
            timers,
        )

    def is_ready(self) -> bool:
        """Returns whether the load balancer may send new connections here."""
        return (
            not self.draining
            and not self.isolation.isolated
            and self.catalog.is_complete()
            and self.renewals.ready
        )

    def start(self) -> None:
        """Starts all components and servers."""
        eliot.log_message(
            "process.start",
            host=self.cfg.host,
            incarnation=self.incarnation,
            data_centre=self.cfg.data_centre,
            listen=self.cfg.listen,
            pid=os.getpid(),
            is_first_start=self.cfg.is_first_start,
        )
        self.checks.start()
        self.kernel.start()
        self.server.start()
        self.timers.every(MAINTENANCE_INTERVAL_SECONDS, self._run_maintenance)

    def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then drains the host."""
        terminated = gevent.event.Event()
        gevent.signal_handler(signal.SIGTERM, terminated.set)
        gevent.signal_handler(signal.SIGINT, terminated.set)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        self.start()
        terminated.wait()
        self.drain()

    def drain(self) -> None:
        """Leaves the load balancer, finishes running requests and stops."""
        drain_started = self.timers.now()
        self.draining = True
        self.server.closing = True
        gevent.spawn(self.kernel.drain)
        eliot.log_message(
            "process.draining",
            running=self.server.active_requests,
            idle=len(self.server.idle_connections),
        )
        self.timers.sleep(
            min(DEREGISTRATION_SECONDS, self.cfg.grace_seconds / 2)
        )
        # If few hosts are ready, the load balancer keeps sending connections to
        # a draining host. Without a listener they are refused, and clients
        # connect to another host at once.
        self.server.stop()
        self.server.close_idle()
        drain_deadline = drain_started + self.cfg.grace_seconds - EXIT_SECONDS
        # A connection that is not idle has a request that is being received or
        # served.
        while self.server.connections and self.timers.now() < drain_deadline:
            self.timers.sleep(0.05)
            self.server.close_idle()
        self.kernel.stop()
        eliot.log_message(
            "process.stop",
            cut_off=self.server.active_requests,
            connections=len(self.server.connections),
        )
        # Gives the task that writes the log time for the last messages.
        self.timers.sleep(0.1)

    def _reload(self) -> None:
        eliot.log_message(
            "process.reload", action="settings are read at the next start"
        )

    def _run_maintenance(self) -> None:
        self.pool.close_expired()
        self.isolation.check()
        self.server.closing = self.draining or self.isolation.isolated
        self.placement.reports.host_count = self.renewals.host_count
        counts = self.pool.counts
        self.metrics.set("connections_opened", counts.opened)
        self.metrics.set("connections_reused", counts.reused)
        self.metrics.set("requests_running", self.server.active_requests)
        for share in self.capacity.shares:
            labels = {"share": share.name}
            self.metrics.set("client_connections", len(share), **labels)
            self.metrics.set("client_bytes", share.held_bytes, **labels)
            self.metrics.set("clients_evicted", share.evicted, **labels)
