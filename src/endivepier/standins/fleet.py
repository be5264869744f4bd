"""A whole fleet on loopback in one process, over real HTTP.

Stand-ins take the place of the platform and the targets; the daemons are the
real ones. For the demo, for measurements and for tests of the whole path.
"""

from __future__ import annotations

from collections.abc import Sequence
import contextlib
import dataclasses
import secrets
from typing import Any

import gevent
from gevent import socket

from endivepier import settings
from endivepier import timers as timers_lib
from endivepier.configuration import keys as keys_lib
from endivepier.daemons import common
from endivepier.daemons import entry as entry_daemon
from endivepier.daemons import sidecar as sidecar_daemon
from endivepier.internal import web
from endivepier.standins import engine as engine_lib
from endivepier.standins import hosts as hosts_lib
from endivepier.standins import objects as objects_lib
from endivepier.standins import servers
from endivepier.standins import service as service_lib
from endivepier.standins import table as table_lib
from endivepier.storage import ports as platform_ports

LOOPBACK = "127.0.0.1"
SECRET_BYTES = 24
DRAIN_SECONDS = 0.3
# Below 32768, where Linux begins to take ports for outgoing connections.
FIRST_PORT = 20_000
LAST_PORT = 32_767
_given: set[int] = set()


def free_address() -> str:
    """Returns a loopback address whose port is free until it is used.

    The system gives ports above these to outgoing connections. One that was
    free would be taken by any connection that is made before it is used.
    """
    while True:
        port = FIRST_PORT + secrets.randbelow(LAST_PORT - FIRST_PORT + 1)
        if port in _given:
            continue
        _given.add(port)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((LOOPBACK, port))
            return f"{LOOPBACK}:{port}"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSpec:
    """A target to set up.

    Attributes:
        name: the target's name.
        data_centre: where it stands.
        models: the models of an engine; empty for a plain service.
    """

    name: str
    data_centre: str
    models: tuple[str, ...] = ()


class Fleet:
    """Stand-ins and daemons, started one by one."""

    def __init__(self) -> None:
        self.timers = timers_lib.SystemTimers()
        self.table = table_lib.MemoryTable(self.timers)
        self.objects = objects_lib.MemoryObjects(self.timers)
        self.hosts = hosts_lib.MemoryHostList(self.timers)
        self.engines: dict[str, engine_lib.MemoryEngine] = {}
        self.services: dict[str, service_lib.MemoryService] = {}
        self.entries: list[common.Daemon] = []
        self.sidecars: dict[str, common.Daemon] = {}
        self.caller_urls: list[str] = []
        self.target_urls: dict[str, str] = {}
        self.operator_key = keys_lib.new_key()
        self._secret = secrets.token_urlsafe(SECRET_BYTES)
        self._servers: list[web.Server] = []
        self._platform_url = ""

    def start_platform(self) -> None:
        """Starts the stand-ins for the platform."""
        app = servers.platform_app(self.table, self.objects, self.hosts)
        self._platform_url = self._serve(app)

    def start_sidecar(
        self,
        site: TargetSpec,
        profile: engine_lib.EngineProfile | None = None,
    ) -> common.Daemon:
        """Starts a target's stand-in and the sidecar beside it."""
        if site.models:
            kind = settings.TargetKind.ENGINE
            engine = engine_lib.MemoryEngine(
                self.timers, site.name, site.models, profile
            )
            self.engines[site.name] = engine
            target_url = self._serve(servers.engine_app(engine))
        else:
            kind = settings.TargetKind.SERVICE
            service = service_lib.MemoryService(
                self.timers, site.name, tells_outcome=True
            )
            self.services[site.name] = service
            target_url = self._serve(servers.service_app(service))
        self.target_urls[site.name] = target_url
        cfg = settings.SidecarSettings(
            **self._common(site.data_centre),
            target=site.name,
            target_url=target_url,
            target_kind=kind,
        )
        daemon = sidecar_daemon.make(cfg)
        self._list(cfg, "sidecar", site.name)
        daemon.start()
        self.sidecars[site.name] = daemon
        return daemon

    def start_entry(self, data_centre: str) -> common.Daemon:
        """Starts an entry host."""
        caller_listen = free_address()
        cfg = settings.EntrySettings(
            **self._common(data_centre),
            caller_listen=caller_listen,
            bootstrap_digest=keys_lib.digest_of(self.operator_key),
        )
        daemon = entry_daemon.make(cfg)
        self._list(cfg, "entry", "")
        daemon.start()
        self.entries.append(daemon)
        self.caller_urls.append(f"http://{caller_listen}")
        return daemon

    def stop(self) -> None:
        """Stops the daemons gracefully, then the stand-ins."""
        for group in (self.entries, list(self.sidecars.values())):
            gevent.joinall([gevent.spawn(daemon.stop) for daemon in group])
        for server in self._servers:
            server.kill()

    def kill_sidecar(self, name: str) -> None:
        """Ends a sidecar at once, as a lost host does."""
        self.sidecars.pop(name).kill()

    def _common(self, data_centre: str) -> dict[str, Any]:
        return {
            "listen": free_address(),
            "data_centre": data_centre,
            "table_url": self._platform_url,
            "objects_url": self._platform_url,
            "hosts_url": self._platform_url,
            "fleet_secret": self._secret,
            "drain_seconds": DRAIN_SECONDS,
        }

    def _list(
        self, cfg: settings.ProcessSettings, role: str, target: str
    ) -> None:
        host = platform_ports.Host(
            address=cfg.listen,
            data_centre=cfg.data_centre,
            role=role,
            target=target,
            state=platform_ports.HostState.LIVE,
        )
        self.hosts.put(host, at_once=True)

    def _serve(self, app: web.App) -> str:
        server = web.Server(f"{LOOPBACK}:0", app)
        server.start()
        self._servers.append(server)
        return f"http://{server.address}"


def wait_until_ready(
    fleet: Fleet, timers: timers_lib.Timers, seconds: float
) -> None:
    """Waits until every daemon knows every other one as ready.

    Raises:
        TimeoutError: if that takes longer than `seconds`.
    """
    daemons: Sequence[common.Daemon] = [
        *fleet.entries,
        *fleet.sidecars.values(),
    ]
    deadline = timers.now() + seconds
    while timers.now() < deadline:
        seen = [
            len(daemon.base.view.ready("sidecar"))
            + len(daemon.base.view.ready("entry"))
            for daemon in daemons
        ]
        if all(count == len(daemons) for count in seen):
            return
        timers.sleep(0.05)
    raise TimeoutError(f"after {seconds} s the daemons see {seen}")
