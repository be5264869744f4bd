"""Processes of the fleet on simulated hosts with a stand-in platform.

For tests and measurements in simulated time. The processes run the production
code. Hosts can be booted, frozen, killed and rebooted without state; links and
the platform can fail. The caller chooses the hosts and their processes;
`standins.local` starts a complete fleet with its targets.
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
    """Hosts, their network and the platform in simulated time.

    Attributes:
        timers: the simulated clock.
        rng: the source of all random numbers.
        network: links between the hosts, and to the platform.
        table: the table service.
        objects: the object store.
        hosts: the platform's list of hosts.
        processes: running processes, by address.
    """

    def __init__(self, seed: int) -> None:
        self.timers = clock.VirtualTimers()
        self.rng = random.Random(seed)
        self.network = network_lib.Network(self.timers)
        self.table = table_lib.MemoryTable(self.timers, self.rng)
        self.objects = objects_lib.MemoryObjects(self.timers)
        self.hosts = hosts_lib.MemoryHostList(self.timers)
        self.processes: dict[str, process.Base] = {}

    def boot(
        self, host: ports.Host, make_process: ProcessFactory
    ) -> process.Base:
        """Boots or reboots a host and starts its process.

        Args:
            host: the host's entry in the platform's list.
            make_process: creates the process from its environment.

        Returns:
            The process, which starts in a separate task.
        """
        network_host = self.network.add(host.address)
        self.hosts.put(host, at_once=True)
        env = process.Environment(
            address=host.address,
            data_centre=host.data_centre,
            timers=network_host.timers,
            peers=network_host.peers,
            inbox=network_host.inbox,
            platform=storage_clients.Platform(
                network_host.table(self.table),
                network_host.objects(self.objects),
                self.hosts,
            ),
            rng=random.Random(self.rng.getrandbits(64)),
            fleet_secret=FLEET_SECRET,
        )
        new_process = make_process(env)
        self.processes[host.address] = new_process
        gevent.spawn(new_process.start)
        return new_process

    def kill(self, address: str) -> None:
        """Ends a process without draining, like the loss of its host."""
        self.processes.pop(address)
        self.network.hosts[address].kill()

    def isolate(self, address: str) -> None:
        """Cuts a host off from all other hosts and from the platform."""
        for other in (*self.network.hosts, network_lib.PLATFORM):
            if other != address:
                self.network.cut(address, other)
