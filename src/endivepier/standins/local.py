"""A fleet in one process in simulated time, for tests and benchmarks.

Entry hosts and sidecars run the production code; stand-ins replace time, the
network, the platform and the targets. Hosts can be killed, restarted, frozen
and cut off.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random

import gevent

from endivepier.configuration import current as current_lib
from endivepier.configuration import store as store_lib
from endivepier.entry import parts as entry_parts
from endivepier.internal import process
from endivepier.sidecar import parts as sidecar_parts
from endivepier.standins import clock
from endivepier.standins import engine as engine_lib
from endivepier.standins import hosts as hosts_lib
from endivepier.standins import network as network_lib
from endivepier.standins import objects as objects_lib
from endivepier.standins import service as service_lib
from endivepier.standins import table as table_lib
from endivepier.storage import clients as storage_clients
from endivepier.storage import commit
from endivepier.storage import ports as platform_ports
from endivepier.targets import ports as target_ports

MODEL = "local"
ENGINE_POOL = "engines"
SERVICE_POOL = "services"
ACCOUNT = "clairance"
FLEET_SECRET = "a secret for local fleets"
DATA_CENTRES = ("plateau", "almadies", "rufisque")

RELEASE_NOTE = """
title = "a local fleet"

[[added.accounts]]
name = "clairance"
rate = 1000000.0
burst = 1000000.0

[[added.pools]]
name = "engines"
kind = "engine"
shards = {shards}

[[added.pools]]
name = "services"
kind = "service"

[[added.models]]
name = "local"
pool = "engines"

[[added.routes]]
prefix = "/ledger"
pool = "services"
"""
TARGET_SECTION = """
[[added.targets]]
name = "{}"
pool = "{}"
tells_outcome = true
"""

WrapEngine = Callable[[target_ports.ModelEngine], target_ports.ModelEngine]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSpec:
    """Size and parameters of a local fleet.

    Attributes:
        entries: number of entry hosts.
        engines: number of model engines, each with its sidecar.
        services: number of plain services, each with its sidecar.
        shards: number of shards of the engine pool.
        profile: speed and capacity of the engines; None for the default.
        call_seconds: maximum duration of a call at an entry host.
    """

    entries: int = 2
    engines: int = 3
    services: int = 0
    shards: int = 8
    profile: engine_lib.EngineProfile | None = None
    call_seconds: float = 20.0


class LocalFleet:
    """Entry hosts and sidecars on a simulated network.

    Attributes:
        spec: size and parameters of the fleet.
        rng: source of all random numbers.
        timers: the simulated clock.
        network: links between the hosts, and to the platform.
        table: the table service.
        objects: the object store.
        hosts: the platform's list of hosts.
        engines: model engines, by target name; they keep running when their
            sidecars are killed.
        services: plain services, by target name; they keep running when
            their sidecars are killed.
        entries: running entry hosts, by address.
        sidecars: running sidecars, by address.
    """

    def __init__(
        self,
        seed: int,
        spec: FleetSpec | None = None,
        wrap_engine: WrapEngine | None = None,
    ) -> None:
        """Initializes the fleet; `start` starts it.

        Args:
            seed: seed of all random numbers.
            spec: size and parameters; None for the defaults.
            wrap_engine: wraps the engine of each sidecar, so that a test can
                record what arrives there.
        """
        self.spec = spec or FleetSpec()
        self.rng = random.Random(seed)
        self.timers = clock.VirtualTimers()
        self.network = network_lib.Network(self.timers)
        self.table = table_lib.MemoryTable(
            self.timers, random.Random(self.rng.getrandbits(64))
        )
        self.objects = objects_lib.MemoryObjects(self.timers)
        self.hosts = hosts_lib.MemoryHostList(self.timers)
        self.engines: dict[str, engine_lib.MemoryEngine] = {}
        self.services: dict[str, service_lib.MemoryService] = {}
        self.entries: dict[str, entry_parts.Entry] = {}
        self.sidecars: dict[str, process.Base] = {}
        self._wrap_engine = wrap_engine or (lambda engine: engine)

    def start(self) -> None:
        """Applies the configuration and starts all hosts in simulated time."""
        self.timers.run(self._start)

    def start_entry(self, number: int) -> entry_parts.Entry:
        """Starts or restarts an entry host."""
        address = f"10.0.0.{number + 1}:8080"
        env = self._environment(address, number)
        entry = entry_parts.Entry(env, call_seconds=self.spec.call_seconds)
        self.entries[address] = entry
        self._register_host(address, number, "entry", "")
        entry.start()
        return entry

    def start_engine(self, number: int) -> sidecar_parts.EngineSidecar:
        """Starts or restarts an engine's sidecar."""
        address = f"10.0.1.{number + 1}:8080"
        name = f"engine-{number}"
        env = self._environment(address, number)
        engine = self.engines.get(name)
        if engine is None:
            engine = engine_lib.MemoryEngine(
                self.timers, name, (MODEL,), self.spec.profile
            )
            self.engines[name] = engine
        sidecar = sidecar_parts.EngineSidecar(
            env, name, self._wrap_engine(engine), sidecar_parts.QueueLimits()
        )
        self.sidecars[address] = sidecar
        self._register_host(address, number, "sidecar", name)
        sidecar.start()
        return sidecar

    def start_service(self, number: int) -> sidecar_parts.ServiceSidecar:
        """Starts or restarts a service's sidecar."""
        address = f"10.0.2.{number + 1}:8080"
        name = f"service-{number}"
        env = self._environment(address, number)
        service = self.services.get(name)
        if service is None:
            service = service_lib.MemoryService(
                self.timers, name, tells_outcome=True
            )
            self.services[name] = service
        sidecar = sidecar_parts.ServiceSidecar(env, name, service)
        self.sidecars[address] = sidecar
        self._register_host(address, number, "sidecar", name)
        sidecar.start()
        return sidecar

    def kill(self, address: str) -> None:
        """Ends a host's process without draining."""
        host = self.network.hosts.get(address)
        if host is not None:
            host.kill()
        self.entries.pop(address, None)
        self.sidecars.pop(address, None)

    def restart(self, address: str) -> None:
        """Restarts the host at `address` without its previous state."""
        number = int(address.split(":")[0].rsplit(".", 1)[1]) - 1
        if address.startswith("10.0.0."):
            self.start_entry(number)
        elif address.startswith("10.0.1."):
            self.start_engine(number)
        else:
            self.start_service(number)

    def addresses(self) -> Sequence[str]:
        """Returns the addresses of all running hosts, sorted."""
        return sorted(self.network.hosts)

    def _start(self) -> None:
        committer = commit.Committer(self.table, self.timers, self.rng)
        store = store_lib.Store(
            self.table, self.objects, committer, self.timers
        )
        current = current_lib.CurrentConfiguration()
        store.apply(self._release_note(), "start", current, lambda: None)
        starters = [
            *((self.start_entry, n) for n in range(self.spec.entries)),
            *((self.start_engine, n) for n in range(self.spec.engines)),
            *((self.start_service, n) for n in range(self.spec.services)),
        ]
        tasks = [gevent.spawn(start, number) for start, number in starters]
        gevent.joinall(tasks, raise_error=True)
        # Leaves time for heartbeats, by which entry hosts learn of sidecars.
        self.timers.sleep(2.0)

    def _release_note(self) -> str:
        """Returns the release note that declares the fleet."""
        parts = [RELEASE_NOTE.format(shards=self.spec.shards)]
        for number in range(self.spec.engines):
            parts.append(TARGET_SECTION.format(f"engine-{number}", ENGINE_POOL))
        for number in range(self.spec.services):
            parts.append(
                TARGET_SECTION.format(f"service-{number}", SERVICE_POOL)
            )
        return "\n".join(parts)

    def _environment(self, address: str, number: int) -> process.Environment:
        host = self.network.add(address)
        return process.Environment(
            address=address,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            timers=host.timers,
            peers=host.peers,
            inbox=host.inbox,
            platform=storage_clients.Platform(
                table=host.table(self.table),
                objects=host.objects(self.objects),
                hosts=self.hosts,
            ),
            rng=random.Random(self.rng.getrandbits(64)),
            fleet_secret=FLEET_SECRET,
        )

    def _register_host(
        self, address: str, number: int, role: str, target: str
    ) -> None:
        host = platform_ports.Host(
            address=address,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            role=role,
            target=target,
            state=platform_ports.HostState.LIVE,
        )
        self.hosts.put(host, at_once=True)
