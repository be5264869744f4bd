import dataclasses
import json

import gevent
import werkzeug.test

from endivepier.configuration import keys
from endivepier.entry import parts
from endivepier.internal import process
from endivepier.internal import web
from endivepier.standins import network as network_lib
from endivepier.standins import simulation
from endivepier.storage import ports
from tests.common import config_checker

OPERATOR_KEY = "ek_bootstrap"
SAMPLE_SECONDS = 0.25
PLATFORM = network_lib.PLATFORM


class ConfigFleet:
    """A simulated fleet that records revisions and replies to operators.

    `samples` has the revision on each process over time, `replies` the replies
    to operators. Both are checked by `config_checker`.
    """

    def __init__(self, seed=0, entries=3, sidecars=3):
        self.sim = simulation.Simulation(seed)
        self.timers = self.sim.timers
        self.net = self.sim.network
        self.table = self.sim.table
        self.replies = []
        self.samples = []
        self.healthy_since = {}
        self.active_faults = {}
        self._started = set()
        self.entries = [f"10.0.0.{i + 1}:1" for i in range(entries)]
        self.sidecars = [f"10.0.1.{i + 1}:1" for i in range(sidecars)]
        self.addresses = [*self.entries, *self.sidecars]
        for address in self.addresses:
            self.boot(address)
        self.timers.every(SAMPLE_SECONDS, self._sample)

    def boot(self, address):
        role = "entry" if address in self.entries else "sidecar"
        number = self.addresses.index(address)
        host = ports.Host(
            address, f"dc-{number % 2}", role, "", ports.HostState.LIVE
        )
        self.heal(address, "dead")

        def make(env):
            if role == "sidecar":
                return process.Base(env, "sidecar")
            return parts.Entry(
                env, bootstrap_digest=keys.digest_of(OPERATOR_KEY)
            )

        return self.sim.boot(host, make)

    def fault(self, address, kind):
        """Records the start of a fault; address "" stands for all processes."""
        self.active_faults.setdefault(address, set()).add(kind)

    def heal(self, address, kind):
        """Records the end of a fault."""
        self.active_faults.setdefault(address, set()).discard(kind)
        self.healthy_since[address] = self.timers.now()

    def request(
        self, entry, method, path, data=b"", key=OPERATOR_KEY, **headers
    ):
        """Sends a request to an entry host; returns None if that is down."""
        proc = self.sim.processes.get(entry)
        if proc is None:
            return None
        app = web.App(body_limit=10**6)
        proc.add_to(app)
        sent = {name.replace("_", "-"): v for name, v in headers.items()}
        sent["Authorization"] = f"Bearer {key}"
        client = werkzeug.test.Client(app)
        return client.open(path, method=method, data=data, headers=sent)

    def apply(self, entry, note, change_id):
        """Applies a note and records the reply to the operator."""
        try:
            response = self.request(
                entry,
                "POST",
                "/v1/operators/releases",
                note,
                X_Endivepier_Change_Id=change_id,
            )
        except gevent.GreenletExit:
            response = None
        if response is None:
            reply = config_checker.Reply(
                self.timers.now(), change_id, 0, "unknown", None
            )
        else:
            document = response.json
            reply = config_checker.Reply(
                self.timers.now(),
                change_id,
                response.status_code,
                document.get("ran", ""),
                document.get("revision"),
            )
        self.replies.append(reply)
        return response

    def serving(self):
        """Returns the addresses of the processes that may serve now."""
        return {
            address
            for address, proc in self.sim.processes.items()
            if proc.follower.freshness.is_fresh()
        }

    def revisions(self):
        return {
            address: proc.current.state.revision
            for address, proc in self.sim.processes.items()
        }

    def check(self):
        return config_checker.check(
            self.samples, self.replies, self.table.peek("config/")
        )

    def _sample(self):
        now = self.timers.now()
        for address, proc in self.sim.processes.items():
            if self.net.hosts[address].frozen:
                continue
            state = proc.current.state
            healthy = not self.active_faults.get(
                address
            ) and not self.active_faults.get("")
            since = max(
                self.healthy_since[address], self.healthy_since.get("", 0.0)
            )
            self.samples.append(
                config_checker.Sample(
                    now,
                    address,
                    proc.incarnation,
                    proc.follower.freshness.is_fresh(),
                    state.revision,
                    state.chain,
                    dataclasses.replace(state, revision=0, chain=""),
                    since if healthy else float("inf"),
                )
            )


def account_note(name, rate=10.0):
    return f'[[added.accounts]]\nname = "{name}"\nrate = {rate}\nburst = 9.0\n'


def body_of(response):
    return json.loads(response.get_data())
