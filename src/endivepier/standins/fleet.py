"""A whole fleet in one process, with HTTP over the loopback interface.

The daemons are the production ones; stand-ins replace the platform and the
targets. Used by the demo, by measurements and by end-to-end tests.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import secrets
from typing import Any

import gevent

from endivepier import settings
from endivepier import timers as timers_lib
from endivepier.configuration import keys as keys_lib
from endivepier.daemons import common
from endivepier.daemons import entry as entry_daemon
from endivepier.daemons import sidecar as sidecar_daemon
from endivepier.internal import web
from endivepier.standins import addresses
from endivepier.standins import engine as engine_lib
from endivepier.standins import hosts as hosts_lib
from endivepier.standins import objects as objects_lib
from endivepier.standins import servers
from endivepier.standins import service as service_lib
from endivepier.standins import table as table_lib
from endivepier.storage import ports as platform_ports

SECRET_BYTES = 24
DRAIN_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSpec:
    """A target to start.

    Attributes:
        name: the target's name.
        data_centre: name of its data centre.
        models: names of the models of an engine; empty for a plain service.
    """

    name: str
    data_centre: str
    models: tuple[str, ...] = ()


class Fleet:
    """Stand-ins and daemons that share one platform.

    Attributes:
        timers: the system clock.
        table: the table service.
        objects: the object store.
        hosts: the platform's list of hosts.
        engines: model engines, by target name.
        services: plain services, by target name.
        entries: daemons of the entry hosts.
        sidecars: daemons of the sidecars, by target name.
        caller_urls: URLs that clients call, one for each entry host.
        target_urls: URLs of the targets, by target name.
        operator_key: API key of an operator.
    """

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
        """Starts the platform's stand-ins; to be called first."""
        app = servers.platform_app(self.table, self.objects, self.hosts)
        self._platform_url = self._serve(app)

    def start_sidecar(
        self,
        target_spec: TargetSpec,
        profile: engine_lib.EngineProfile | None = None,
    ) -> common.Daemon:
        """Starts a target's stand-in and its sidecar."""
        if target_spec.models:
            kind = settings.TargetKind.ENGINE
            engine = engine_lib.MemoryEngine(
                self.timers, target_spec.name, target_spec.models, profile
            )
            self.engines[target_spec.name] = engine
            target_url = self._serve(servers.engine_app(engine))
        else:
            kind = settings.TargetKind.SERVICE
            service = service_lib.MemoryService(
                self.timers, target_spec.name, tells_outcome=True
            )
            self.services[target_spec.name] = service
            target_url = self._serve(servers.service_app(service))
        self.target_urls[target_spec.name] = target_url
        cfg = settings.SidecarSettings(
            **self._common_settings(target_spec.data_centre),
            target=target_spec.name,
            target_url=target_url,
            target_kind=kind,
        )
        daemon = sidecar_daemon.make(cfg)
        self._register_host(cfg, "sidecar", target_spec.name)
        daemon.start()
        self.sidecars[target_spec.name] = daemon
        return daemon

    def start_entry(self, data_centre: str) -> common.Daemon:
        """Starts an entry host."""
        caller_listen = addresses.free_address()
        cfg = settings.EntrySettings(
            **self._common_settings(data_centre),
            caller_listen=caller_listen,
            bootstrap_digest=keys_lib.digest_of(self.operator_key),
        )
        daemon = entry_daemon.make(cfg)
        self._register_host(cfg, "entry", "")
        daemon.start()
        self.entries.append(daemon)
        self.caller_urls.append(f"http://{caller_listen}")
        return daemon

    def stop(self) -> None:
        """Drains and stops the daemons, then stops the stand-ins."""
        for daemons in (self.entries, list(self.sidecars.values())):
            gevent.joinall([gevent.spawn(daemon.stop) for daemon in daemons])
        for server in self._servers:
            server.kill()

    def kill_sidecar(self, name: str) -> None:
        """Stops a sidecar without draining, like the loss of its host."""
        self.sidecars.pop(name).kill()

    def _common_settings(self, data_centre: str) -> dict[str, Any]:
        return {
            "listen": addresses.free_address(),
            "data_centre": data_centre,
            "table_url": self._platform_url,
            "objects_url": self._platform_url,
            "hosts_url": self._platform_url,
            "fleet_secret": self._secret,
            "drain_seconds": DRAIN_SECONDS,
        }

    def _register_host(
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
        server = web.Server(f"{addresses.LOOPBACK}:0", app)
        server.start()
        self._servers.append(server)
        return f"http://{server.address}"


def wait_until_ready(
    fleet: Fleet, timers: timers_lib.Timers, seconds: float
) -> None:
    """Waits until every daemon sees all daemons as ready.

    Raises:
        TimeoutError: after `seconds`, some daemon still does not.
    """
    daemons: Sequence[common.Daemon] = [
        *fleet.entries,
        *fleet.sidecars.values(),
    ]
    deadline = timers.now() + seconds
    while timers.now() < deadline:
        ready_counts = [
            len(daemon.base.view.ready("sidecar"))
            + len(daemon.base.view.ready("entry"))
            for daemon in daemons
        ]
        if all(count == len(daemons) for count in ready_counts):
            return
        timers.sleep(0.05)
    raise TimeoutError(
        f"after {seconds} s the daemons see {ready_counts} ready daemons"
    )
