"""A fleet in one process on simulated time, for histories and benches.

Entry hosts and sidecars are the real parts; time, peers and platform are
stand-ins. Hosts can be killed, started again, frozen and cut off.
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
SECRET = "a secret for local fleets"
DATA_CENTRES = ("plateau", "almadies", "rufisque")

NOTE = """
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
TARGET = """
[[added.targets]]
name = "{}"
pool = "{}"
tells_outcome = true
"""

WrapEngine = Callable[[target_ports.ModelEngine], target_ports.ModelEngine]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """How large a local fleet is.

    Attributes:
        entries: number of entry hosts.
        engines: number of model engines, each with its sidecar.
        services: number of plain services, each with its sidecar.
        shards: number of shards of the engines' pool.
        profile: speed and size of the engines.
        call_seconds: longest time for one call at an entry host.
    """

    entries: int = 2
    engines: int = 3
    services: int = 0
    shards: int = 8
    profile: engine_lib.EngineProfile | None = None
    call_seconds: float = 20.0


class LocalFleet:
    """Hosts on a simulated network, by address."""

    def __init__(
        self,
        seed: int,
        plan: Plan | None = None,
        wrap_engine: WrapEngine | None = None,
    ) -> None:
        """Makes a fleet; `start` starts it.

        Args:
            seed: of all random numbers.
            plan: how large it is.
            wrap_engine: put around each engine that a sidecar uses, so that
                a test sees what arrives there.
        """
        self.plan = plan or Plan()
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
        self._wrap = wrap_engine or (lambda engine: engine)

    def start(self) -> None:
        """Declares everything and starts all hosts, in simulated time."""
        self.timers.run(self._start)

    def start_entry(self, number: int) -> entry_parts.Entry:
        """Starts an entry host, for the first time or again."""
        address = f"10.0.0.{number + 1}:8080"
        env = self._environment(address, number)
        entry = entry_parts.Entry(env, call_seconds=self.plan.call_seconds)
        self.entries[address] = entry
        self._list(address, number, "entry", "")
        entry.start()
        return entry

    def start_engine(self, number: int) -> sidecar_parts.EngineSidecar:
        """Starts an engine's sidecar, for the first time or again."""
        address = f"10.0.1.{number + 1}:8080"
        name = f"engine-{number}"
        env = self._environment(address, number)
        engine = self.engines.get(name)
        if engine is None:
            engine = engine_lib.MemoryEngine(
                self.timers, name, (MODEL,), self.plan.profile
            )
            self.engines[name] = engine
        sidecar = sidecar_parts.EngineSidecar(
            env, name, self._wrap(engine), sidecar_parts.QueueLimits()
        )
        self.sidecars[address] = sidecar
        self._list(address, number, "sidecar", name)
        sidecar.start()
        return sidecar

    def start_service(self, number: int) -> sidecar_parts.ServiceSidecar:
        """Starts a service's sidecar, for the first time or again."""
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
        self._list(address, number, "sidecar", name)
        sidecar.start()
        return sidecar

    def kill(self, address: str) -> None:
        """Ends a host's process at once."""
        host = self.network.hosts.get(address)
        if host is not None:
            host.kill()
        self.entries.pop(address, None)
        self.sidecars.pop(address, None)

    def restart(self, address: str) -> None:
        """Starts the host at `address` again, empty."""
        number = int(address.split(":")[0].rsplit(".", 1)[1]) - 1
        if address.startswith("10.0.0."):
            self.start_entry(number)
        elif address.startswith("10.0.1."):
            self.start_engine(number)
        else:
            self.start_service(number)

    def addresses(self) -> Sequence[str]:
        """Returns the addresses of all hosts that run."""
        return sorted(self.network.hosts)

    def _start(self) -> None:
        committer = commit.Committer(self.table, self.timers, self.rng)
        store = store_lib.Store(
            self.table, self.objects, committer, self.timers
        )
        current = current_lib.CurrentConfiguration()
        store.apply(self._note(), "start", current, lambda: None)
        starters = [
            *((self.start_entry, n) for n in range(self.plan.entries)),
            *((self.start_engine, n) for n in range(self.plan.engines)),
            *((self.start_service, n) for n in range(self.plan.services)),
        ]
        tasks = [gevent.spawn(start, number) for start, number in starters]
        gevent.joinall(tasks, raise_error=True)
        self.timers.sleep(2.0)

    def _note(self) -> str:
        """Returns the release note that declares the fleet."""
        parts = [NOTE.format(shards=self.plan.shards)]
        for number in range(self.plan.engines):
            parts.append(TARGET.format(f"engine-{number}", ENGINE_POOL))
        for number in range(self.plan.services):
            parts.append(TARGET.format(f"service-{number}", SERVICE_POOL))
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
            fleet_secret=SECRET,
        )

    def _list(self, address: str, number: int, role: str, target: str) -> None:
        host = platform_ports.Host(
            address=address,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            role=role,
            target=target,
            state=platform_ports.HostState.LIVE,
        )
        self.hosts.put(host, at_once=True)
