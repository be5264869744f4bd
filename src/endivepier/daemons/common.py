"""What the daemons have in common: their servers, start and stop."""

from __future__ import annotations

import dataclasses
import random
import signal

import eliot
import gevent
import gevent.event

from endivepier import settings
from endivepier import timers as timers_lib
from endivepier.http1 import buffers as buffers_lib
from endivepier.http1 import capacity as capacity_lib
from endivepier.http1 import server as server_lib
from endivepier.internal import http_peers
from endivepier.internal import peers as peers_lib
from endivepier.internal import process
from endivepier.internal import web
from endivepier.storage import clients as storage_clients
from endivepier.telemetry import spans

MAX_INTERNAL_BODY_BYTES = 256 * 1024 * 1024
MEGABYTE = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Runtime:
    """The external dependencies of a process that runs as a daemon.

    Attributes:
        env: the environment of the process, with clients over HTTP.
        tracer: the tracer that records and exports its spans.
        app: the web application for other processes' messages.
        capacity: what the process has for the clients of all its servers.
    """

    env: process.Environment
    tracer: spans.Tracer
    app: web.App
    capacity: capacity_lib.Capacity

    def make_peer_server(self, listen: str) -> web.Server:
        """Returns the server for other processes' messages."""
        screen = http_peers.SecretScreen(self.env.fleet_secret)
        return web.Server(
            listen,
            self.app,
            clients=server_lib.for_peers(self.capacity, screen),
        )


def make_runtime(
    cfg: settings.ProcessSettings, body_bytes: int = buffers_lib.MAX_BODY_BYTES
) -> Runtime:
    """Returns the dependencies that the settings describe.

    Args:
        cfg: the settings.
        body_bytes: the largest body of a caller's request.
    """
    address = cfg.advertise or cfg.listen
    tracer = spans.Tracer(address, cfg.trace_export, cfg.trace_endpoint)
    secret = cfg.fleet_secret.get_secret_value()
    inbox = peers_lib.Inbox()
    app = web.App(body_limit=MAX_INTERNAL_BODY_BYTES)
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
    capacity = capacity_lib.Capacity(
        int(cfg.memory_mb * MEGABYTE),
        cfg.max_sockets,
        peer_body_bytes=MAX_INTERNAL_BODY_BYTES,
        body_bytes=body_bytes,
    )
    return Runtime(env, tracer, app, capacity)


class Daemon:
    """A process with its servers.

    Attributes:
        base: the process's components.
        peer_server: the server for other processes' messages.
        caller_servers: the servers for callers; empty for a sidecar.
    """

    def __init__(
        self,
        base: process.Base,
        peer_server: web.Server,
        caller_servers: list[web.Server],
        runtime: Runtime,
        cfg: settings.ProcessSettings,
    ) -> None:
        self.base = base
        self.peer_server = peer_server
        self.caller_servers = caller_servers
        self._runtime = runtime
        self._cfg = cfg

    def start(self) -> None:
        """Starts the servers, then the components of the process."""
        for server in (self.peer_server, *self.caller_servers):
            server.start()
        self.base.start()
        eliot.log_message("daemon:ready", address=self._runtime.env.address)

    def stop(self) -> None:
        """Stops gracefully, after running requests had time to end.

        The process keeps listening for `drain_seconds`, because the balancer
        and other processes may not have noticed that it is draining. After
        that it waits at most `stop_seconds` per server for its requests.
        """
        timers = self._runtime.env.timers
        eliot.log_message("daemon:draining", address=self._runtime.env.address)
        started = timers.now()
        self.base.drain()
        remaining = started + self._cfg.drain_seconds - timers.now()
        timers.sleep(max(0.0, remaining))
        seconds = self._cfg.stop_seconds
        for server in self.caller_servers:
            server.stop(timers, seconds)
        # New connections are accepted until the last request is done. They
        # carry heartbeats: a peer without replies to them would consider this
        # process dead and abandon its requests here.
        self.peer_server.stop(timers, seconds, keep_listening=True)
        self.base.stop()
        self._runtime.tracer.stop()

    def kill(self) -> None:
        """Stops at once, like a host that fails; for the demo and tests."""
        for server in (self.peer_server, *self.caller_servers):
            server.kill()
        self.base.kernel.stop()

    def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then stops gracefully."""
        stop_requested = gevent.event.Event()
        gevent.signal_handler(signal.SIGTERM, stop_requested.set)
        gevent.signal_handler(signal.SIGINT, stop_requested.set)
        self.start()
        stop_requested.wait()
        self.stop()
