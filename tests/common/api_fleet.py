"""An entry host and two sidecars in one process, in simulated time."""

import random

import werkzeug.test

from endivepier.configuration import keys
from endivepier.entry import parts as entry_parts
from endivepier.internal import health
from endivepier.internal import process
from endivepier.internal import web
from endivepier.sidecar import parts as sidecar_parts
from endivepier.standins import clock
from endivepier.standins import engine
from endivepier.standins import hosts
from endivepier.standins import network
from endivepier.standins import objects
from endivepier.standins import service
from endivepier.standins import table
from endivepier.storage import clients as storage_clients
from endivepier.storage import ports

BODY_LIMIT = 100_000
KEYS = {"one": "key-of-one", "two": "key-of-two"}
OPERATOR_KEY = "key-of-operator"

NOTE = """
[[added.pools]]
name = "pool"
kind = "engine"
shards = 4
[[added.pools]]
name = "ledger"
kind = "service"
[[added.targets]]
name = "engine-1"
pool = "pool"
[[added.targets]]
name = "ledger-1"
pool = "ledger"
[[added.models]]
name = "model"
pool = "pool"
[[added.routes]]
prefix = "/ledger/"
pool = "ledger"
[[added.routes]]
prefix = "/ledger/open/"
pool = "ledger"
open = true
idempotent = true
[[added.templates]]
name = "template"
model = "model"
"""


def _accounts():
    return "".join(
        f'[[added.accounts]]\nname = "{name}"\nrate = 1000.0\nburst = 1000.0\n'
        f'[[added.keys]]\ndigest = "{keys.digest_of(key)}"\n'
        f'account = "{name}"\n'
        for name, key in KEYS.items()
    )


class ApiFleet:
    """An entry host and two sidecars, with requests through WSGI."""

    def __init__(self):
        self.timers = clock.VirtualTimers()
        self.rng = random.Random(1)
        self.network = network.Network(self.timers)
        self.table = table.MemoryTable(self.timers)
        self.objects = objects.MemoryObjects(self.timers)
        self.hosts = hosts.MemoryHostList(self.timers)
        self.engine = engine.MemoryEngine(self.timers, "engine-1", ["model"])
        self.service = service.MemoryService(self.timers, "ledger-1")
        self.entry = entry_parts.Entry(
            self._environment("10.0.0.1:1", "entry", ""),
            call_seconds=30.0,
            bootstrap_digest=keys.digest_of(OPERATOR_KEY),
        )
        self.sidecars = [
            sidecar_parts.EngineSidecar(
                self._environment("10.0.0.2:1", "sidecar", "engine-1"),
                "engine-1",
                self.engine,
                sidecar_parts.QueueLimits(),
            ),
            sidecar_parts.ServiceSidecar(
                self._environment("10.0.0.3:1", "sidecar", "ledger-1"),
                "ledger-1",
                self.service,
            ),
        ]
        self.app = web.App(body_limit=BODY_LIMIT)
        self.entry.add_to(self.app)
        health.add_to(self.app, self.entry)
        self.timers.run(self._start)

    def request(self, method, path, data=b"", key=KEYS["one"], **headers):
        """Sends a request to the entry host and returns the response.

        Args:
            method: the HTTP method.
            path: path and query.
            data: the body.
            key: the key of a caller or operator; None for no key.
            headers: further headers, with underscores for hyphens.
        """
        sent_headers = {
            name.replace("_", "-"): v for name, v in headers.items()
        }
        if key is not None:
            sent_headers["Authorization"] = f"Bearer {key}"
        client = werkzeug.test.Client(self.app)
        return self.timers.run(
            lambda: client.open(
                path,
                method=method,
                data=data,
                headers=sent_headers,
                buffered=True,
            )
        )

    def rows(self):
        """Returns the table's rows of programs and claims."""
        return [
            row
            for row in self.table.peek()
            if not row.key.startswith(("config/", "shard/", "limit"))
        ]

    def _start(self):
        for process_base in (self.entry, *self.sidecars):
            process_base.start()
        client = werkzeug.test.Client(self.app)
        response = client.post(
            "/v1/operators/releases",
            data=NOTE + _accounts(),
            headers={
                "Authorization": f"Bearer {OPERATOR_KEY}",
                "X-Endivepier-Change-Id": "first",
            },
        )
        assert response.status_code == 201, response.text
        self.timers.sleep(3.0)

    def _environment(self, address, role, target):
        host = self.network.add(address)
        self.hosts.put(
            ports.Host(address, "plateau", role, target, ports.HostState.LIVE),
            at_once=True,
        )
        return process.Environment(
            address=address,
            data_centre="plateau",
            timers=host.timers,
            peers=host.peers,
            inbox=host.inbox,
            platform=storage_clients.Platform(
                host.table(self.table),
                host.objects(self.objects),
                self.hosts,
            ),
            rng=self.rng,
            fleet_secret="a-secret-of-16-bytes",
        )
