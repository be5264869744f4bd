"""Entry hosts that grant the tokens of programs while the store comes and goes.

In simulated time and without a network: each host has the budgets, the access
to the store, the rows of hosts and the waits of the real one.
"""

import collections
import random

from endivepier import errors
from endivepier.gateway import calls
from endivepier.gateway import model
from endivepier.gateway.budgets import assembly
from endivepier.gateway.budgets import ledger as ledger_lib
from endivepier.gateway.budgets import openers
from endivepier.gateway.budgets import owners as budget_owners
from endivepier.gateway.budgets import recorded_programs
from endivepier.gateway.budgets import turn_tokens
from endivepier.gateway.hosts import rows as host_rows
from endivepier.gateway.store import access as store_access
from endivepier.standins import clock
from endivepier.standins import table as table_lib
from tests.common import gateway_parts
from tests.common import gateway_peers
from tests.common import program_load

PEER_SECONDS = 0.003
# A program's calls of tools count as turns here, too.
TURN_TOKENS = 100  # that a turn may generate, of which it uses few
USED_EVENTS = 2  # so that a long program uses a third of its budget
EVENT_TOKENS = 10
TURN_SECONDS = 0.15
RETENTION_SECONDS = 60.0
SILENT_SECONDS = 1.0  # timeout of a call to the store


class Access:
    """The way of one process to the store.

    Attributes:
        fault: "", or how it fails: "busy" refuses each call, "silent" does not
            answer, and drops it; "dead" is the end of the process.
    """

    def __init__(self, table, timers):
        self.table = table
        self.timers = timers
        self.fault = ""

    def __getattr__(self, name):
        method = getattr(self.table, name)

        def call(*args, **kwargs):
            if self.fault == "dead":
                self.timers.sleep(1e6)
            if self.fault == "busy":
                raise errors.Unavailable("busy")
            if self.fault == "silent":
                self.timers.sleep(SILENT_SECONDS)
                if name == "transact":
                    raise errors.OutcomeUnknown("silent")
                raise errors.Unavailable("silent")
            return method(*args, **kwargs)

        return call


class Host:
    """The parts of one entry host that decide on the tokens of turns."""

    def __init__(self, fleet, name, *, is_first_start, is_former):
        peers = fleet.peers[name]
        self.peers = peers
        self.access = Access(fleet.table, fleet.timers)
        self.store = store_access.Store(
            self.access, self.access, fleet.timers, fleet.rng
        )
        self.store.use_peers(peers)
        self.rows = peers.rows = host_rows.HostRows(
            name,
            host_rows.Entry(
                name, "a", tells_openings=not is_former, lost_told=True
            ),
            self.access,
            self.access,
            fleet.timers,
            is_first_start=is_first_start,
        )
        if is_former:
            self.openers = openers.Openers(
                name,
                peers,
                fleet.timers,
                lambda: RETENTION_SECONDS,
                recorded_programs.RecordedPrograms(self.store, fleet.timers),
            )
        else:
            self.openers = assembly.create_openers(
                name,
                peers,
                self.store,
                fleet.timers,
                lambda: RETENTION_SECONDS,
            )
        self.ledger = ledger_lib.Ledger(
            f"{name}-{fleet.timers.now()}",
            self.store,
            fleet.timers,
            self.openers,
        )
        self.rows.has_unrecorded = self.ledger.has_unrecorded
        self.budgets = budget_owners.Budgets(
            name,
            self.ledger,
            peers,
            fleet.timers,
            random.Random(f"{name} {fleet.timers.now()}"),
        )
        self.tokens = turn_tokens.TurnTokens(
            self.budgets, self.store, fleet.timers
        )
        self.rows.start()
        self.ledger.start()
        self.budgets.start()


class Fleet:
    """Hosts that share a store, and programs that send them their turns.

    Attributes:
        sent: tokens that each program got, by its id.
        statuses: of the refusals of each program, by its id.
        programs: the load, see `program_load`.
    """

    def __init__(self, hosts=4, seed=0, budget=1800, *, fixed_load=False):
        """Starts the hosts.

        Args:
            hosts: number of hosts.
            seed: of all that is drawn.
            budget: tokens of each program.
            fixed_load: whether the load does not depend on what hosts draw.
        """
        self.timers = clock.VirtualTimers(start=1000.0)
        self.rng = random.Random(seed)
        self.table = table_lib.MemoryTable(self.timers, self.rng)
        self.table.faults.write_seconds = 0.005
        self.budget = budget
        self.peers = {}
        self.hosts = {}
        self.sent = {}
        self.statuses = collections.defaultdict(list)
        self._calls = 0
        for number in range(hosts):
            self.add(f"h{number}", is_first_start=True)
        self.programs = program_load.Programs(
            list(self.hosts),
            self.request,
            self.timers,
            random.Random(f"load {seed}") if fixed_load else self.rng,
            (lambda program: random.Random(f"{seed} {program}"))
            if fixed_load
            else None,
        )

    def add(self, name, *, is_first_start=False, is_former=False):
        """Starts a process on a new host.

        Args:
            name: of the host.
            is_first_start: whether the whole fleet starts.
            is_former: whether it is of a build that tells nobody what it opens.
        """
        gateway_peers.SimulatedPeers(
            name, self.peers, self.timers, PEER_SECONDS
        )
        self.hosts[name] = Host(
            self, name, is_first_start=is_first_start, is_former=is_former
        )

    def kill(self, name):
        """Ends a host's process with all that it knows."""
        self.hosts.pop(name).access.fault = "dead"
        self.peers[name].cut = True

    def stop(self, name):
        """Has a host's process leave, and end when it has."""
        self.hosts[name].rows.leave()
        self.timers.sleep(0.1)
        self.kill(name)

    def restart(self, name, *, is_former=False):
        """Starts a process on a host whose process has ended."""
        del self.peers[name]
        self.add(name, is_former=is_former)

    def set_fault(self, fault, names=None):
        """Sets how the store fails for some hosts, or for all."""
        for name in self.hosts if names is None else names:
            if name in self.hosts:
                self.hosts[name].access.fault = fault

    def request(
        self, name, program, left=1.0, *, is_first=False, used=USED_EVENTS
    ):
        """Serves a turn; returns None, or the `Retry-After` of a refusal.

        The tokens are counted as sent when the turn ends, unless its host has
        ended before.
        """
        del left
        host = self.hosts.get(name)
        if host is None:
            return 0.3
        self._calls += 1
        ctx = calls.CallContext(
            call=gateway_parts.call(
                f"c{self._calls}",
                program=program,
                budget=self.budget,
                max_tokens=TURN_TOKENS,
            ),
            route=gateway_parts.route(),
            account="acme",
            service="llm",
            engine=model.Engine(16, 100_000, EVENT_TOKENS),
            responder=None,
            deadline=self.timers.now() + 4.0,
            is_first_turn=is_first,
        )
        reservation = None
        try:
            reservation = host.tokens.reserve(ctx)
            ctx.tried.append("t0@1")
            host.tokens.wait(ctx, reservation, ctx.route.timeout)
        except errors.Refused as exc:
            if reservation is not None:
                host.tokens.settle(ctx, reservation, 0)
            self.statuses[program].append(exc.status)
            return exc.retry_after or 0.2
        if self.hosts.get(name) is host:
            self.sent[program] = self.sent.get(program, 0) + used * EVENT_TOKENS
        self.timers.after(
            TURN_SECONDS, lambda: host.tokens.settle(ctx, reservation, used)
        )
        return None
