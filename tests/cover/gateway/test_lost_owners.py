"""Rates of accounts whose owners are lost, paused or cut off."""

import random

import gevent
import pytest

from endivepier.gateway.accounts import renewals as share_renewals
from endivepier.gateway.accounts import shares
from endivepier.gateway.hosts import rows as host_rows
from endivepier.internal import rendezvous
from tests.common import gateway_parts
from tests.common import gateway_peers
from tests.common import outage_load
from tests.cover.gateway import test_shares

CONTACT_SECONDS = 3.0
ACCOUNT = gateway_parts.account(rate=50.0, burst=50.0)


class Fleet(test_shares.Fleet):
    """Hosts whose ways to the store and to each other fail."""

    def __init__(self, count, seed=0):
        self.access = {}
        super().__init__(count, [ACCOUNT], seed)

    def start(self, name):
        if name in self.renewals:
            self.renewals[name].stop()
            self.access[name].fault = "dead"
        peers = gateway_peers.SimulatedPeers(
            name, self.peers, self.timers, 0.003
        )
        self.access[name] = outage_load.Access(self.table, self.timers)
        renewals = share_renewals.Renewals(
            name,
            self,
            self.access[name],
            self.timers,
            random.Random(f"{name} {self.timers.now()}"),
            peers,
            test_shares.TOLERANCE,
        )
        self.renewals[name] = renewals
        self.hosts[name] = shares.Shares(renewals, self, peers, self.timers)
        row = host_rows.Entry(name, "a", confirms_terms=True)
        for other in self.peers.values():
            other.processes[name] = row
            peers.processes[other.name] = row
        renewals.start()

    def lose(self, name):
        """Ends the process of a host for good; nothing of it responds."""
        self.hosts.pop(name)
        self.renewals[name].stop()
        self.access[name].fault = "dead"
        self.peers[name].cut = True

    def cut_off(self, name, *, peers=True, store="silent"):
        """Cuts a host off; callers still reach it."""
        self.peers[name].cut = peers
        self.access[name].fault = store

    def connect(self, name):
        self.peers[name].cut = False
        self.access[name].fault = ""

    def owners(self):
        renewals = next(iter(self.renewals.values()))
        return renewals.owners.owners(ACCOUNT)

    def others(self, names):
        return [name for name in self.hosts if name not in names]

    def flood(self, seconds, names=None):
        """Sends more than the rate to each host."""

        def send(name):
            until = self.timers.now() + seconds
            while self.timers.now() < until and name in self.hosts:
                gevent.spawn(self.request, name, "acme")
                self.timers.sleep(1.0 / 60)

        tasks = [gevent.spawn(send, name) for name in names or self.hosts]
        gevent.joinall(tasks, raise_error=True)


# All requests of the account were refused until the leases of 15 s had ended.
@pytest.mark.parametrize(("hosts", "lost"), [(4, 2), (5, 2), (8, 4)])
def test_an_account_is_served_soon_after_its_owners_were_lost(hosts, lost):
    fleet = Fleet(hosts)

    def main():
        fleet.timers.sleep(6.0)
        ranked = fleet.renewals["h0"].owners._rank(ACCOUNT, lost)
        for name in ranked:  # the owners, and those that would follow them
            fleet.lose(name)
        fleet.timers.sleep(CONTACT_SECONDS)
        for _ in range(20):
            for name in list(fleet.hosts):
                fleet.request(name, "acme")
            fleet.timers.sleep(0.2)

    fleet.timers.run(main)
    assert not fleet.refused


# The first term of an owner named only the hosts that had started before it,
# and was replaced with the next renewal, too late if they were lost as well.
@pytest.mark.parametrize("seconds", [0.1, 0.4, 1.0])
def test_an_account_is_served_after_its_owners_were_lost_soon_after_a_start(
    seconds,
):
    fleet = Fleet(0)
    names = rendezvous.rank(ACCOUNT.name, [f"h{n}" for n in range(4)], 4)

    def main():
        for name in names:  # the owners first
            fleet.start(name)
            fleet.timers.sleep(seconds)
        fleet.timers.sleep(3.0)
        for name in fleet.owners():
            fleet.lose(name)
        fleet.timers.sleep(CONTACT_SECONDS)
        for _ in range(20):
            for name in list(fleet.hosts):
                fleet.request(name, "acme")
            fleet.timers.sleep(0.2)

    fleet.timers.run(main)
    assert not fleet.refused


def test_an_account_keeps_most_of_its_rate_after_its_owners_were_lost():
    fleet = Fleet(4)

    def main():
        fleet.timers.sleep(6.0)
        for name in fleet.owners():
            fleet.lose(name)
        fleet.timers.sleep(CONTACT_SECONDS)
        fleet.flood(10.0)

    fleet.timers.run(main)
    assert len(fleet.admitted) >= 0.9 * ACCOUNT.rate * 10.0
    assert fleet.worst_window() <= test_shares.allowed(ACCOUNT)


# An owner that others take for lost, while callers still reach it.
@pytest.mark.parametrize("store", ["", "busy", "silent"])
@pytest.mark.parametrize("peers", [False, True])
@pytest.mark.parametrize("count", [1, 2])
def test_an_owner_that_is_cut_off_uses_no_share_that_was_taken(
    count, peers, store
):
    fleet = Fleet(4)

    def main():
        fleet.timers.sleep(6.0)
        names = fleet.owners()[:count]
        task = gevent.spawn(fleet.flood, 30.0)
        fleet.timers.sleep(3.0)
        for name in names:
            fleet.cut_off(name, peers=peers, store=store)
        fleet.timers.sleep(12.0)
        for name in names:
            fleet.connect(name)
        task.join()

    fleet.timers.run(main)
    assert fleet.worst_window() <= test_shares.allowed(ACCOUNT)
    assert len(fleet.admitted) >= 0.7 * ACCOUNT.rate * 30.0


# It held its share when it was stopped, and others hold it when it goes on.
@pytest.mark.parametrize("seconds", [0.5, 1.0, 2.0, 6.0, 20.0])
def test_an_owner_that_was_paused_uses_no_share_that_was_taken(seconds):
    fleet = Fleet(4)

    def main():
        fleet.timers.sleep(6.0)
        names = fleet.owners()
        task = gevent.spawn(fleet.flood, 30.0, fleet.others(names))
        fleet.timers.sleep(1.0)
        for name in names:
            fleet.cut_off(name)
        fleet.timers.sleep(seconds)
        for name in names:
            fleet.connect(name)
        fleet.flood(8.0, names)
        task.join()

    fleet.timers.run(main)
    assert fleet.worst_window() <= test_shares.allowed(ACCOUNT)


# Leases outlast outages of the store, also with a host that is lost.
@pytest.mark.parametrize("store", ["busy", "silent"])
@pytest.mark.parametrize("lost", [0, 1])
@pytest.mark.parametrize("hosts", [2, 3, 4, 7])
def test_an_account_keeps_its_rate_in_an_outage_beside_a_lost_host(
    hosts, lost, store
):
    fleet = Fleet(hosts)

    def main():
        fleet.timers.sleep(6.0)
        others = fleet.others(fleet.owners()) or fleet.owners()[1:]
        for name in others[:lost]:
            fleet.lose(name)
        fleet.timers.sleep(CONTACT_SECONDS + 5.0)
        for access in fleet.access.values():
            access.fault = access.fault or store
        for _ in range(90):
            for name in list(fleet.hosts):
                fleet.request(name, "acme")
            fleet.timers.sleep(0.1)

    fleet.timers.run(main)
    assert not fleet.refused


# A restarted witness has forgotten which terms it has ended.
def test_a_restarted_witness_confirms_no_term_that_it_may_have_ended():
    fleet = Fleet(5)

    def main():
        fleet.timers.sleep(6.0)
        names = fleet.owners()
        task = gevent.spawn(fleet.flood, 25.0, fleet.others(names))
        fleet.timers.sleep(1.0)
        for name in names:
            fleet.cut_off(name)
        fleet.timers.sleep(5.0)
        for name in fleet.others(names):
            fleet.start(name)
        for name in names:
            fleet.connect(name)
            fleet.access[name].fault = "busy"
        fleet.flood(8.0, names)
        task.join()

    fleet.timers.run(main)
    assert fleet.worst_window() <= test_shares.allowed(ACCOUNT)


@pytest.mark.parametrize("seed", range(16))
def test_no_history_of_lost_and_cut_off_owners_exceeds_a_rate(seed):
    rng = random.Random(seed)
    fleet = Fleet(rng.choice((2, 3, 4, 6)), seed)
    down = []

    def disturb():
        for _ in range(14):
            fleet.timers.sleep(rng.choice((0.3, 0.8, 1.7, 3.0, 6.0)))
            name = rng.choice(list(fleet.peers))
            match rng.choice(("cut", "store", "pause", "back", "lose", "out")):
                case "cut":
                    fleet.cut_off(name, store="")
                case "store":
                    fault = rng.choice(("busy", "silent"))
                    fleet.cut_off(name, peers=False, store=fault)
                case "pause":
                    fleet.cut_off(name)
                case "out":
                    for access in fleet.access.values():
                        access.fault = access.fault or "busy"
                case "lose" if name in fleet.hosts and len(fleet.hosts) > 1:
                    fleet.lose(name)
                    down.append(name)
                case _:
                    for other in fleet.hosts:
                        fleet.connect(other)
                    if down:
                        fleet.start(down.pop())
            if not rng.randrange(3):
                for other in fleet.hosts:
                    fleet.connect(other)

    def main():
        fleet.timers.sleep(6.0)
        task = gevent.spawn(fleet.flood, 40.0)
        disturb()
        task.join()

    fleet.timers.run(main)
    # Restarts get tokens beside, as many as the tolerance leaves.
    assert fleet.worst_window() <= test_shares.allowed(ACCOUNT)
