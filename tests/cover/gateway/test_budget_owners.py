"""Token budgets when the turns of a program arrive at several hosts."""

import itertools
import json
import random

import gevent
import pytest

from endivepier.gateway.budgets import ledger as ledger_lib
from endivepier.gateway.budgets import owners as budget_owners
from endivepier.gateway.budgets import state as budget_state
from endivepier.internal import codec
from endivepier.standins import clock
from endivepier.standins import table as table_lib
from tests.common import gateway_peers

MAX_TURN_TOKENS = 100  # tokens that a turn may generate


class Fleet:
    """Hosts in simulated time that share a table.

    Attributes:
        sent_tokens: tokens that all turns have sent to clients.
    """

    def __init__(self, count=3, seed=0):
        self.timers = clock.VirtualTimers()
        self.table = table_lib.MemoryTable(self.timers, random.Random(seed))
        self.peers = {}
        self.hosts = {}
        self.ledgers = []
        self.sent_tokens = 0
        for number in range(count):
            name = f"h{number}"
            gateway_peers.SimulatedPeers(name, self.peers, self.timers, 0.002)
        for name in self.peers:
            self.start(name)

    def start(self, name):
        """Starts or restarts a host; a restart loses its memory."""
        ledger = ledger_lib.Ledger(
            f"{name}-{len(self.hosts)}-{self.timers.now()}",
            self.table,
            self.timers,
        )
        self.hosts[name] = budget_owners.Budgets(
            name,
            ledger,
            self.peers[name],
            self.timers,
            random.Random(f"{name} {len(self.ledgers)}"),
        )
        self.ledgers.append(ledger)
        ledger.start()
        self.hosts[name].start()

    def turn(self, name, budget, used, seconds=0.2, program="p"):
        host = self.hosts[name]
        reservation = host.begin(program, budget, MAX_TURN_TOKENS, first=False)
        self.timers.wait(reservation.decided, 3.0)
        state = reservation.state
        if state is budget_state.State.GRANTED:
            self.timers.sleep(seconds)
            self.sent_tokens += used
        host.end(
            reservation, used if state is budget_state.State.GRANTED else 0
        )
        return state


@pytest.fixture
def fleet():
    return Fleet()


def test_turns_at_many_hosts_take_few_calls_to_the_store(fleet):
    # When each host wrote the program's row itself, conflicting writes cost
    # five calls to the store per turn.
    def main():
        for number in range(12):
            assert (
                fleet.turn(f"h{number % 3}", 2000, 30)
                is budget_state.State.GRANTED
            )
            fleet.timers.sleep(0.1)

    fleet.timers.run(main)
    assert fleet.table.reads + fleet.table.transactions <= 12


def test_the_budget_holds_over_all_hosts(fleet):
    def main():
        number = 0
        while (
            fleet.turn(f"h{number % 3}", 300, 40) is budget_state.State.GRANTED
        ):
            number += 1

    fleet.timers.run(main)
    assert 300 <= fleet.sent_tokens <= 300 + MAX_TURN_TOKENS


def test_turns_are_granted_during_a_store_outage(fleet):
    def main():
        assert fleet.turn("h0", 1000, 20) is budget_state.State.GRANTED
        fleet.table.faults.outage = True
        return [fleet.turn(f"h{n}", 1000, 20) for n in range(3)]

    assert fleet.timers.run(main) == [budget_state.State.GRANTED] * 3


def test_turns_are_granted_when_the_owner_does_not_reply(fleet):
    def main():
        for name in fleet.peers:
            fleet.peers[name].cut = True
        return [fleet.turn(f"h{n}", 1000, 20) for n in range(3)]

    assert fleet.timers.run(main) == [budget_state.State.GRANTED] * 3


def test_a_turn_that_is_never_settled_counts_as_all_its_tokens(fleet):
    def main():
        owner = next(iter(fleet.hosts.values()))._owner("p")
        other = next(name for name in fleet.hosts if name != owner)
        lost = fleet.hosts[other].begin("p", 150, MAX_TURN_TOKENS, first=False)
        fleet.timers.wait(lost.decided, 3.0)
        fleet.timers.sleep(budget_owners.SETTLE_TIMEOUT_SECONDS + 3.0)
        return fleet.turn(owner, 150, 60), fleet.turn(owner, 150, 60)

    assert fleet.timers.run(main) == (
        budget_state.State.GRANTED,
        budget_state.State.DENIED,
    )


# The owner numbered its reservations from 1 after each start, so that the ends
# of turns that its former process had granted settled turns of other programs,
# which then got up to twice their budget.
def test_turns_granted_before_a_restart_settle_no_turn_of_another_program(
    fleet,
):
    budget = 150

    def begin(host, program, count):
        reservations = [
            host.begin(program, budget, MAX_TURN_TOKENS, first=False)
            for _ in range(count)
        ]
        for reservation in reservations:
            fleet.timers.wait(reservation.decided, 3.0)
            assert reservation.state is budget_state.State.GRANTED
        return reservations

    def main():
        owner = fleet.hosts["h0"]._owner("p0")
        other = fleet.hosts[next(h for h in fleet.hosts if h != owner)]
        owned = [f"p{n}" for n in range(20) if other._owner(f"p{n}") == owner]
        before = begin(other, owned[0], 2)
        fleet.start(owner)
        running = begin(other, owned[1], 2)
        for reservation in before:
            other.end(reservation, 0)
        fleet.timers.sleep(0.1)
        for reservation in running:
            other.end(reservation, MAX_TURN_TOKENS)
        fleet.timers.sleep(0.1)
        return fleet.turn(owner, budget, MAX_TURN_TOKENS, program=owned[1])

    assert fleet.timers.run(main) is budget_state.State.DENIED


# A process of a former build counts its reservations from 1, as did the one
# that granted the turn, and settles whatever has that number. The row of a new
# process may be read after its first reply, so others are told in any case.
@pytest.mark.parametrize(("is_former_build", "told"), [(True, 1), (False, 2)])
def test_a_process_of_a_former_build_is_told_only_of_turns_that_it_granted(
    fleet, is_former_build, told
):
    ends = []

    def main():
        owner = fleet.hosts["h0"]._owner("p")
        name = next(host for host in fleet.hosts if host != owner)
        other, peers = fleet.hosts[name], fleet.peers[name]
        if is_former_build:
            fleet.hosts[owner]._numbers = itertools.count(1)
        fleet.peers[owner].handlers[budget_owners.END] = ends.append
        for restarted in (False, True):
            peers.processes[owner] = "first"
            turn = other.begin("p", 1000, MAX_TURN_TOKENS, first=False)
            fleet.timers.wait(turn.decided, 3.0)
            if restarted:
                peers.processes[owner] = "second"
            other.end(turn, 10)
            fleet.timers.sleep(0.1)
        return len(ends)

    assert fleet.timers.run(main) == told


# A former build refers to a reservation by its number only.
def test_a_turn_that_a_former_build_ends_is_settled(fleet):
    def main():
        owner = fleet.hosts["h0"]._owner("p")
        begin = budget_owners.Begin("p", 150, MAX_TURN_TOKENS, False)
        handlers = fleet.peers[owner].handlers
        for _ in range(2):
            reply = handlers[budget_owners.BEGIN](codec.encode(begin))
            number = json.loads(reply)["number"]
            end = {"number": number, "used": 80, "last_target": ""}
            handlers[budget_owners.END](json.dumps(end).encode())
        return fleet.turn(owner, 150, 1)

    assert fleet.timers.run(main) is budget_state.State.DENIED


def test_an_end_that_names_another_program_settles_nothing(fleet):
    def main():
        owner = fleet.hosts["h0"]._owner("p")
        begin = budget_owners.Begin("p", 150, MAX_TURN_TOKENS, False)
        handlers = fleet.peers[owner].handlers
        reply = handlers[budget_owners.BEGIN](codec.encode(begin))
        number = json.loads(reply)["number"]
        for program, used in (("q", 0), ("p", 100)):
            end = budget_owners.End(number, used, "", program)
            handlers[budget_owners.END](codec.encode(end))
        return [fleet.turn(owner, 150, 60) for _ in range(2)]

    granted, denied = fleet.timers.run(main)
    assert granted is budget_state.State.GRANTED
    assert denied is budget_state.State.DENIED


def test_a_turn_that_ends_before_its_decision_uses_nothing(fleet):
    def main():
        for name in fleet.hosts:
            reservation = fleet.hosts[name].begin(
                "p", 100, MAX_TURN_TOKENS, first=True
            )
            fleet.hosts[name].end(reservation, 0)
        fleet.timers.sleep(5.0)
        return fleet.turn("h0", 100, 10)

    assert fleet.timers.run(main) is budget_state.State.GRANTED


@pytest.mark.parametrize("seed", range(25))
def test_no_history_hands_out_more_than_budget_and_one_turn(seed):
    """Cut connections, hosts that see no peers, store outages, restarts."""
    rng = random.Random(seed)
    fleet = Fleet(4, seed)
    fleet.table.faults.lost_replies = rng.choice((0.0, 0.2))
    fleet.table.faults.late = rng.choice((0.0, 0.2, 0.5))
    budget = rng.choice((150, 400, 900))

    def run_turns():
        for _ in range(rng.randrange(2, 9)):
            fleet.turn(
                f"h{rng.randrange(4)}",
                budget,
                rng.randrange(MAX_TURN_TOKENS + 1),
                rng.uniform(0.05, 0.5),
            )
            fleet.timers.sleep(rng.uniform(0.0, 0.9))

    def inject_faults():
        for _ in range(6):
            fleet.timers.sleep(rng.uniform(0.1, 1.0))
            name = f"h{rng.randrange(4)}"
            match rng.choice(("cut", "no_peers", "outage", "restart")):
                case "cut":
                    fleet.peers[name].cut = not fleet.peers[name].cut
                case "no_peers":
                    fleet.peers[name].sees_no_peers = not fleet.peers[
                        name
                    ].sees_no_peers
                case "outage":
                    fleet.table.faults.outage = True
                    fleet.timers.sleep(rng.uniform(0.1, 2.0))
                    fleet.table.faults.outage = False
                case "restart":
                    fleet.start(name)

    def main():
        tasks = [gevent.spawn(run_turns) for _ in range(rng.randrange(1, 5))]
        gevent.joinall([*tasks, gevent.spawn(inject_faults)])

    fleet.timers.run(main)
    assert fleet.sent_tokens <= budget + MAX_TURN_TOKENS


def test_every_host_learns_where_a_program_ran_last():
    fleet = Fleet()

    def main():
        last_targets = []
        for number, name in enumerate(("h0", "h1", "h2", "h0")):
            host = fleet.hosts[name]
            reservation = host.begin("p", 1000, MAX_TURN_TOKENS, first=False)
            fleet.timers.wait(reservation.decided, 3.0)
            last_targets.append(reservation.last_target)
            host.end(reservation, 10, f"engine-{number}")
            fleet.timers.sleep(0.1)
        return last_targets

    last_targets = fleet.timers.run(main)
    assert last_targets == ["", "engine-0", "engine-1", "engine-2"]
