"""The processes of a run: the store, targets and entry hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import dataclasses
import functools
import json
import os
import pathlib
import random
import shlex
import subprocess
import sys
import tomllib
import types
from typing import Any

from endivepier.standins import addresses
from soak import proxy
from soak import readiness
from soak import records
from soak import settings as settings_lib
from soak import shapes
from soak import wire

ROOT = pathlib.Path(__file__).resolve().parent.parent
DATA_CENTRES = ("luz-a", "luz-b", "luz-c")
REGION = "ph-luzon"
GRACE_SECONDS = 8
RATE_TOLERANCE = 20
STORE_SECONDS = 3.0
SETTLE_SECONDS = 1.0  # until the hosts know each other
MAX_PROXIED = 8  # hosts whose connections go by proxies, of the first ones


@dataclasses.dataclass
class Host:
    """An entry host; the same one after a restart of its process."""

    name: str
    ip: str
    data_centre: str
    clients: str
    ready: str
    port: int
    log: pathlib.Path
    view: int = 0  # its own view of the store, if any
    store: proxy.Proxy | None = None
    process: subprocess.Popen[bytes] | None = None
    is_busy: bool = False  # a fault ends and starts it
    is_first_start: bool = True

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None


@dataclasses.dataclass
class Target:
    """A run of a target."""

    settings: settings_lib.Settings
    process: subprocess.Popen[bytes]
    is_leaving: bool = False  # a fault ends it

    def signal(self, number: int) -> None:
        """Sends a signal, if it still runs."""
        self.process.send_signal(number)


class Fleet:
    """Starts and ends the processes; keeps their logs and records.

    Attributes:
        hosts: the entry hosts.
        targets: the targets, also some that are ending.
        versions: number of the newest software version of each service.
        shape: the deployment.
        links: the proxies between two hosts, by the names of the one that
            opens the connections and the other one.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        tree: pathlib.Path,
        shape: shapes.Shape,
        seed: str,
        framings: list[str],
        *,
        uses_build: bool,
        host_limits: Mapping[str, float] = types.MappingProxyType({}),
    ) -> None:
        self.hosts: list[Host] = []
        self.targets: list[Target] = []
        self.versions = dict.fromkeys(shapes.SERVICES, 1)
        self.shape = shape
        self.links: dict[tuple[str, str], proxy.Proxy] = {}
        self._folder = folder
        self._log = folder / "stand-ins.log"
        self._tree = tree
        self._framings = framings
        self._uses_build = uses_build
        self._host_limits = host_limits
        self._seed = seed
        self._ids = random.Random(f"{seed}/ids")
        self._network = f"127.{os.getpid() % 200 + 20}"
        self._host_count = 0
        self._target_count = 0
        self._config = 0
        self._services = {
            route.name: shapes.SERVICES[0] for route in shape.routes
        }
        ip = f"{self._network}.250.1"
        # The address of the store for all hosts, and for each proxied one.
        self._stores = [
            addresses.free_address(ip) for _ in range(MAX_PROXIED + 1)
        ]
        self._writers = addresses.free_address(ip)
        self._processes: list[subprocess.Popen[bytes]] = []
        self._proxies: list[proxy.Proxy] = []

    async def start(self, host_count: int, target_counts: list[int]) -> None:
        """Starts everything, and waits until the hosts are ready.

        Args:
            host_count: how many entry hosts.
            target_counts: how many targets each service has.
        """
        store = self._start_module(
            "soak.store", self._writers, self._network, *self._stores
        )
        await self._wait_for_stand_in("the store", self._writers, store)
        await self.write_config({})
        for service, count in zip(shapes.SERVICES, target_counts, strict=True):
            for _ in range(count):
                self.start_target(service, "v1")
        for one in self.targets:
            address = one.settings.address
            await self._wait_for_stand_in("a target", address, one.process)
        for _ in range(host_count):
            await self.add_host()
        for host in self.hosts:
            self.start_host(host)
        for host in self.hosts:
            assert host.process is not None
            is_ready = functools.partial(readiness.is_ready, host.ready)
            await readiness.wait_until(
                is_ready, host.name, host.process, host.log
            )
        await asyncio.sleep(SETTLE_SECONDS)

    async def _wait_for_stand_in(
        self, name: str, address: str, process: subprocess.Popen[bytes]
    ) -> None:
        is_listening = functools.partial(readiness.is_listening, address)
        await readiness.wait_until(is_listening, name, process, self._log)

    async def end_proxies(self) -> None:
        """Ends the proxies, which run in the event loop."""
        for one in self._proxies:
            await one.end()

    def end(self) -> None:
        """Ends all processes."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
        for process in self._processes:
            process.wait()

    async def add_host(self) -> Host:
        """Adds an entry host, which is not started yet."""
        number = self._host_count
        self._host_count += 1
        zone = DATA_CENTRES[number % len(DATA_CENTRES)]
        name = f"edge-{zone}-{number // len(DATA_CENTRES) + 1}"
        ip = f"{self._network}.0.{number + 1}"
        host = Host(
            name=name,
            ip=ip,
            data_centre=zone,
            clients=addresses.free_address(ip),
            ready=addresses.free_address(ip),
            port=addresses.free_port(ip),
            log=self._folder / f"{name}.log",
        )
        if number < MAX_PROXIED:
            # It reads the store's rows at an address of its own.
            host.view = number + 1
            host.store = await self._start_proxy(
                self._stores[host.view], host.ip
            )
        for other in self.hosts:
            await self._link(host, other)
            await self._link(other, host)
        self.hosts.append(host)
        return host

    async def _link(self, host: Host, other: Host) -> None:
        """Starts the proxy for the connections that a host opens to another.

        Its address is the one that the host reads in the store.
        """
        if not host.view:
            return
        prefix = f"{self._network}.0."
        ip = other.ip.replace(prefix, f"{self._network}.{host.view}.")
        if ip != other.ip:
            self.links[host.name, other.name] = await self._start_proxy(
                f"{other.ip}:{other.port}", ip, other.port
            )

    async def _start_proxy(
        self, upstream: str, ip: str, port: int = 0
    ) -> proxy.Proxy:
        started = proxy.Proxy(upstream)
        await started.start(ip, port)
        self._proxies.append(started)
        return started

    def start_host(self, host: Host) -> None:
        """Starts the process of an entry host with the deploy file's command.

        Without the tree's build, it runs with this interpreter and its
        packages.
        """
        settings = {
            "host": host.name,
            "ip": host.ip,
            "data_centre": host.data_centre,
            "listen": {"clients": host.clients, "ready": host.ready},
            "internal_ports": [host.port, host.port],
            "store": self._stores[0]
            if host.store is None
            else host.store.address,
            "grace_seconds": GRACE_SECONDS,
            "rate_tolerance": RATE_TOLERANCE,
            "regions": dict.fromkeys(DATA_CENTRES, REGION),
            "is_first_start": host.is_first_start,
            **self._host_limits,
        }
        host.is_first_start = False
        path = self._folder / f"{host.name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        deploy = tomllib.loads((self._tree / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        env = _environment()
        if self._uses_build:
            env["PYTHONPATH"] = str(self._tree / "target/deps")
        else:
            command[0] = sys.executable
        env["ENDIVEPIER_SETTINGS"] = str(path)
        with host.log.open("ab") as log:
            host.process = subprocess.Popen(
                command, cwd=self._tree, env=env, stdout=log, stderr=log
            )
        self._processes.append(host.process)

    def start_target(
        self,
        service: str,
        version: str,
        like: settings_lib.Settings | None = None,
    ) -> Target:
        """Starts a target.

        Args:
            service: name of its service.
            version: of its software.
            like: settings of a target whose id or address it takes, if any;
                the fields that differ are set by the caller.
        """
        number = self._target_count
        self._target_count += 1
        seed = f"{self._seed}/target/{number}"
        if like is None:
            ip = f"{self._network}.{100 + number // 200}.{number % 200 + 1}"
            settings = settings_lib.Settings(
                id=self.new_id(),
                service=service,
                address=addresses.free_address(ip),
                zone=DATA_CENTRES[number % len(DATA_CENTRES)],
                store=self._writers,
                record=str(self._folder / f"target-{number}.jsonl"),
                version=version,
                slots=self.shape.slots,
                queue=self.shape.queue,
                framings=self._framings,
                seed=seed,
                exit_seconds=random.Random(seed).choice((0.0, 0.0, 4.0)),
            )
        else:
            settings = dataclasses.replace(
                like,
                version=version,
                record=str(self._folder / f"target-{number}.jsonl"),
                seed=seed,
            )
        document = json.dumps(dataclasses.asdict(settings))
        process = self._start_module("soak.target", document)
        started = Target(settings, process)
        self.targets.append(started)
        return started

    def new_id(self) -> str:
        """Returns an id for a target."""
        return f"i-{self._ids.getrandbits(40):010x}"

    async def remove_row(self, id: str) -> None:
        """Removes a target's row, also if the store is away for a while."""
        call = {"remove": [{"table": "servers", "part": "", "key": id}]}
        await self._write(call)

    async def write_config(self, moved: dict[str, str]) -> None:
        """Writes a configuration.

        Args:
            moved: the new services of routes.
        """
        self._config += 3
        self._services |= moved
        await self._write(
            shapes.encode_config(self.shape, self._config, self._services)
        )

    def service(self, route: str) -> str:
        """Returns the service that a route has now."""
        return self._services[route]

    async def _write(self, call: dict[str, Any]) -> None:
        path = "/endivepier/rows-tx"
        for _ in range(10):
            status, body = await wire.ask(
                self._writers, "POST", path, call, STORE_SECONDS
            )
            if status == 200:
                return
            await asyncio.sleep(0.2)
        raise readiness.NotRun(f"the store refused {call}: {status} {body!r}")

    def runs(self) -> list[records.Run]:
        """Returns what all targets have recorded."""
        lines = []
        for path in self._folder.glob("target-*.jsonl"):
            text = path.read_text(encoding="utf-8")
            # The last line of a target that was killed may lack its end.
            lines += [json.loads(line) for line in text.split("\n")[:-1]]
        return records.decode_runs(lines)

    def _start_module(self, module: str, *args: str) -> subprocess.Popen[bytes]:
        env = _environment()
        env["PYTHONPATH"] = os.pathsep.join((str(ROOT), str(ROOT / "review")))
        with self._log.open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *args],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        return process


def _environment() -> dict[str, str]:
    """Returns the variables that all processes get."""
    names = ("PATH", "HOME", "LANG")
    env = {name: os.environ[name] for name in names if name in os.environ}
    env["PYTHONDONTWRITEBYTECODE"] = "1"
    return env
