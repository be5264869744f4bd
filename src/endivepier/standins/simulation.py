"""Processes of the system on simulated hosts, with a platform around them.

For histories and measurements in simulated time: hosts come, freeze, die and
come back empty; links and the platform fail. The parts are the real ones.
"""

from __future__ import annotations

from collections.abc import Callable
import random

import gevent

from endivepier.internal import process
from endivepier.standins import clock
from endivepier.standins import hosts as hosts_lib
from endivepier.standins import network as network_lib
from endivepier.standins import objects as objects_lib
from endivepier.standins import table as table_lib
from endivepier.storage import clients as storage_clients
from endivepier.storage import ports

FLEET_SECRET = "a secret of the simulated fleet"

ProcessFactory = Callable[[process.Environment], process.Base]


class Simulation:
    """A fleet in simulated time.

    Attributes:
        timers: the clock that drives everything.
        rng: the source of all random numbers.
        network: links between the hosts, and to the platform.
        table: the table service.
        objects: the object store.
        hosts: the platform's list of hosts.
        processes: the processes that live, by address.
    """

    def __init__(self, seed: int) -> None:
        self.timers = clock.VirtualTimers()
        self.rng = random.Random(seed)
        self.network = network_lib.Network(self.timers)
        self.table = table_lib.MemoryTable(self.timers, self.rng)
        self.objects = objects_lib.MemoryObjects(self.timers)
        self.hosts = hosts_lib.MemoryHostList(self.timers)
        self.processes: dict[str, process.Base] = {}

    def boot(self, host: ports.Host, make: ProcessFactory) -> process.Base:
        """Boots a host, or boots it again, and starts its process.

        Args:
            host: what the platform's list shows from now on.
            make: makes the process from its surroundings.

        Returns:
            The process; it goes on starting in a task of its own.
        """
        on = self.network.add(host.address)
        self.hosts.put(host, at_once=True)
        env = process.Environment(
            address=host.address,
            data_centre=host.data_centre,
            timers=on.timers,
            peers=on.peers,
            inbox=on.inbox,
            platform=storage_clients.Platform(
                on.table(self.table), on.objects(self.objects), self.hosts
            ),
            rng=random.Random(self.rng.getrandbits(64)),
            fleet_secret=FLEET_SECRET,
        )
        made = make(env)
        self.processes[host.address] = made
        gevent.spawn(made.start)
        return made

    def kill(self, address: str) -> None:
        """Ends a process at once, as when its host is lost."""
        self.processes.pop(address)
        self.network.hosts[address].kill()

    def isolate(self, address: str) -> None:
        """Cuts a host off from all others and from the platform."""
        for other in (*self.network.hosts, network_lib.PLATFORM):
            if other != address:
                self.network.cut(address, other)
