"""What both daemons do: servers, signals, waiting for the end."""

from __future__ import annotations

import dataclasses
import random
import signal

import eliot
import gevent
import gevent.event

from endivepier import settings
from endivepier import timers as timers_lib
from endivepier.internal import http_peers
from endivepier.internal import peers as peers_lib
from endivepier.internal import process
from endivepier.internal import web
from endivepier.storage import clients as storage_clients
from endivepier.telemetry import spans

INTERNAL_BODY_BYTES = 256 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Shell:
    """What surrounds a process as a daemon.

    Attributes:
        env: the process's environment, over HTTP.
        tracer: makes its spans.
        app: the application for other processes.
    """

    env: process.Environment
    tracer: spans.Tracer
    app: web.App


def make_shell(cfg: settings.ProcessSettings) -> Shell:
    """Returns the surroundings that the settings describe."""
    address = cfg.advertise or cfg.listen
    tracer = spans.Tracer(address, cfg.trace_export, cfg.trace_endpoint)
    secret = cfg.fleet_secret.get_secret_value()
    inbox = peers_lib.Inbox()
    app = web.App(body_limit=INTERNAL_BODY_BYTES)
    timers = timers_lib.SystemTimers()
    http_peers.InboxRoute(inbox, secret, tracer, timers).add_to(app)
    env = process.Environment(
        address=address,
        data_centre=cfg.data_centre,
        timers=timers,
        peers=http_peers.HttpPeers(secret, tracer),
        inbox=inbox,
        platform=storage_clients.make_http_platform(cfg, tracer),
        rng=random.SystemRandom(),
        fleet_secret=secret,
    )
    return Shell(env, tracer, app)


class Daemon:
    """A process with its servers.

    Attributes:
        base: the process.
        peers: the server for other processes.
        callers: the servers for callers, if it has any.
    """

    def __init__(
        self,
        base: process.Base,
        peers: web.Server,
        callers: list[web.Server],
        shell: Shell,
        cfg: settings.ProcessSettings,
    ) -> None:
        self.base = base
        self.peers = peers
        self.callers = callers
        self._shell = shell
        self._cfg = cfg

    def start(self) -> None:
        """Listens, then starts the parts."""
        for server in (self.peers, *self.callers):
            server.start()
        self.base.start()
        eliot.log_message("daemon:ready", address=self._shell.env.address)

    def stop(self) -> None:
        """Stops gracefully: what runs ends, nothing new begins.

        For the first seconds the process still listens, since the balancer
        and other processes may not have noticed yet; then it waits until no
        request runs.
        """
        timers = self._shell.env.timers
        eliot.log_message("daemon:draining", address=self._shell.env.address)
        started = timers.now()
        self.base.drain()
        left = started + self._cfg.drain_seconds - timers.now()
        timers.sleep(max(0.0, left))
        seconds = self._cfg.stop_seconds
        for server in self.callers:
            server.stop(timers, seconds)
        # Others ask for heartbeats until the last request is done; without
        # an answer they would take this process for lost, and its requests.
        self.peers.stop(timers, seconds, listen_on=True)
        self.base.stop()
        self._shell.tracer.stop()

    def kill(self) -> None:
        """Ends at once, as a lost host does; for the demo and tests."""
        for server in (self.peers, *self.callers):
            server.kill()
        self.base.kernel.stop()

    def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then stops gracefully."""
        ended = gevent.event.Event()
        gevent.signal_handler(signal.SIGTERM, ended.set)
        gevent.signal_handler(signal.SIGINT, ended.set)
        self.start()
        ended.wait()
        self.stop()
