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
    """Entry hosts and sidecars, their operators, and a record of it all."""

    def __init__(self, seed=0, entries=3, sidecars=3):
        self.sim = simulation.Simulation(seed)
        self.timers = self.sim.timers
        self.net = self.sim.network
        self.table = self.sim.table
        self.told = []
        self.samples = []
        self.healthy_since = {}
        self.faulty = {}
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

    def fault(self, address, name):
        self.faulty.setdefault(address, set()).add(name)

    def heal(self, address, name):
        self.faulty.setdefault(address, set()).discard(name)
        self.healthy_since[address] = self.timers.now()

    def ask(self, entry, method, path, data=b"", key=OPERATOR_KEY, **headers):
        """Sends a request to an entry host, if that is there."""
        made = self.sim.processes.get(entry)
        if made is None:
            return None
        app = web.App(body_limit=10**6)
        made.add_to(app)
        sent = {name.replace("_", "-"): v for name, v in headers.items()}
        sent["Authorization"] = f"Bearer {key}"
        client = werkzeug.test.Client(app)
        return client.open(path, method=method, data=data, headers=sent)

    def apply(self, entry, note, change_id):
        """Applies a note and records what the operator is told."""
        try:
            answer = self.ask(
                entry,
                "POST",
                "/v1/operators/releases",
                note,
                X_Endivepier_Change_Id=change_id,
            )
        except gevent.GreenletExit:
            answer = None
        if answer is None:
            told = config_checker.Told(
                self.timers.now(), change_id, 0, "unknown", None
            )
        else:
            document = answer.json
            told = config_checker.Told(
                self.timers.now(),
                change_id,
                answer.status_code,
                document.get("ran", ""),
                document.get("revision"),
            )
        self.told.append(told)
        return answer

    def serving(self):
        """Returns the addresses that serve now."""
        return {
            address
            for address, made in self.sim.processes.items()
            if made.follower.freshness.is_fresh()
        }

    def revisions(self):
        return {
            a: p.current.state.revision for a, p in self.sim.processes.items()
        }

    def check(self):
        return config_checker.check(
            self.samples, self.told, self.table.peek("config/")
        )

    def _sample(self):
        now = self.timers.now()
        for address, made in self.sim.processes.items():
            if self.net.hosts[address].frozen:
                continue
            state = made.current.state
            healthy = not self.faulty.get(address) and not self.faulty.get("")
            since = max(
                self.healthy_since[address], self.healthy_since.get("", 0.0)
            )
            self.samples.append(
                config_checker.Sample(
                    now,
                    address,
                    made.incarnation,
                    made.follower.freshness.is_fresh(),
                    state.revision,
                    state.chain,
                    dataclasses.replace(state, revision=0, chain=""),
                    since if healthy else float("inf"),
                )
            )


def account_note(name, rate=10.0):
    return f'[[added.accounts]]\nname = "{name}"\nrate = {rate}\nburst = 9.0\n'


def body_of(answer):
    return json.loads(answer.get_data())
