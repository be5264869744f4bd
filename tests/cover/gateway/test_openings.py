"""Programs that begin after hosts were lost, paused or cut off.

What a host may have granted without the store counts against a budget only
where it can have granted any.
"""

import random

import gevent
import pytest

from endivepier.internal import rendezvous
from tests.common import outage_load

BUDGET = 1000
MOST = BUDGET + outage_load.TURN_TOKENS
USED_EVENTS = outage_load.TURN_TOKENS // outage_load.EVENT_TOKENS
FAULTS = ("busy", "silent")


def turns(fleet, program, seconds, hosts=None):
    """Sends turns one after the other until they are told that all is spent."""
    until = fleet.timers.now() + seconds
    while fleet.timers.now() < until and 402 not in fleet.statuses[program]:
        name = fleet.rng.choice(hosts or list(fleet.hosts))
        if fleet.request(name, program, used=USED_EVENTS) is not None:
            fleet.timers.sleep(0.1)
        fleet.timers.sleep(outage_load.TURN_SECONDS + 0.05)


def run_programs(fleet, names, seconds=15.0, hosts=None):
    tasks = [gevent.spawn(turns, fleet, n, seconds, hosts) for n in names]
    gevent.joinall(tasks, raise_error=True)


def assert_served_whole(fleet, names):
    for name in names:
        assert BUDGET <= fleet.sent[name] <= MOST, name


def first_choices(fleet, host, count=8):
    """Returns programs that a host is the first choice for."""
    names = [f"p{number}" for number in range(400)]
    hosts = list(fleet.peers)
    chosen = [n for n in names if rendezvous.choose(n, hosts) == host]
    return chosen[:count]


# A third of the programs had half of their budget and were told 402, also long
# after the loss.
@pytest.mark.parametrize("seconds", [0.0, 0.5, 6.0, 40.0, 110.0])
@pytest.mark.parametrize("lost", [1, 2])
def test_programs_get_their_budgets_after_hosts_were_lost(lost, seconds):
    fleet = outage_load.Fleet(budget=BUDGET, hosts=5)
    programs = [f"p{number}" for number in range(30)]

    def main():
        fleet.timers.sleep(2.0)
        for name in list(fleet.hosts)[:lost]:
            fleet.kill(name)
        fleet.timers.sleep(seconds)
        run_programs(fleet, programs)

    fleet.timers.run(main)
    assert_served_whole(fleet, programs)


@pytest.mark.parametrize("seconds", [0.0, 1.0, 6.0, 40.0, 110.0])
def test_programs_get_their_budgets_after_a_lost_host_is_back(seconds):
    fleet = outage_load.Fleet(budget=BUDGET)
    programs = [f"p{number}" for number in range(30)]

    def main():
        fleet.timers.sleep(2.0)
        fleet.kill("h1")
        fleet.timers.sleep(1.0)
        fleet.restart("h1")
        fleet.timers.sleep(seconds)
        run_programs(fleet, programs)

    fleet.timers.run(main)
    assert_served_whole(fleet, programs)


# They were told that their budgets were spent, and ended.
def test_no_program_is_told_402_for_tokens_that_may_be_spent():
    fleet = outage_load.Fleet(budget=BUDGET)
    programs = [f"p{number}" for number in range(20)]

    def main():
        fleet.timers.sleep(2.0)
        for name in list(fleet.hosts):
            fleet.kill(name)
            fleet.restart(name)
        fleet.timers.sleep(8.0)
        run_programs(fleet, programs)

    fleet.timers.run(main)
    for program in programs:
        assert fleet.sent[program] >= BUDGET // 2
        if 402 in fleet.statuses[program]:
            assert fleet.sent[program] >= BUDGET


# It had been the first choice all the time, and knew nothing of the program.
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("seconds", [3.0, 20.0, 80.0])
def test_a_host_that_was_paused_grants_nothing_that_is_spent(fault, seconds):
    fleet = outage_load.Fleet(budget=BUDGET)
    programs = first_choices(fleet, "h0")
    others = ["h1", "h2", "h3"]

    def main():
        fleet.timers.sleep(2.0)
        fleet.peers["h0"].cut = True
        fleet.set_fault("silent", ["h0"])
        fleet.timers.sleep(0.5)
        run_programs(fleet, programs, seconds, others)
        fleet.peers["h0"].cut = False
        fleet.set_fault("", ["h0"])
        fleet.timers.sleep(2.0)
        fleet.set_fault(fault)
        fleet.timers.sleep(1.5)
        fleet.statuses.clear()
        run_programs(fleet, programs, 8.0)
        fleet.set_fault("")
        fleet.timers.sleep(3.0)
        fleet.statuses.clear()
        run_programs(fleet, programs, 8.0)

    fleet.timers.run(main)
    for program in programs:
        assert fleet.sent[program] <= MOST


# Only the hosts that had noted it knew what the lost one had granted.
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("lost_witnesses", [0, 1, 2, 3])
def test_what_a_lost_host_granted_counts_whoever_is_lost_beside_it(
    lost_witnesses, fault
):
    fleet = outage_load.Fleet(budget=BUDGET)
    programs = first_choices(fleet, "h0")

    def main():
        fleet.timers.sleep(2.0)
        fleet.set_fault(fault)
        fleet.timers.sleep(1.5)
        run_programs(fleet, programs, 3.0)
        opened = dict(fleet.sent)
        for name in list(fleet.hosts)[: 1 + lost_witnesses]:
            fleet.kill(name)
        fleet.set_fault("")
        for name in ("h1", "h2", "h3")[:lost_witnesses]:
            fleet.restart(name)
        fleet.timers.sleep(1.5)
        run_programs(fleet, programs, 20.0)
        return opened

    opened = fleet.timers.run(main)
    assert min(opened.values()) > 0
    for program in programs:
        assert fleet.sent[program] <= MOST


# A former build tells nobody before it opens programs. It stays lost, or a
# process of this build follows it.
@pytest.mark.parametrize("is_back", [False, True])
@pytest.mark.parametrize("fault", FAULTS)
def test_what_a_lost_host_of_a_former_build_granted_counts(fault, is_back):
    fleet = outage_load.Fleet(budget=BUDGET)
    programs = first_choices(fleet, "h0")

    def main():
        fleet.timers.sleep(1.0)
        fleet.stop("h0")
        fleet.restart("h0", is_former=True)
        fleet.timers.sleep(120.0)
        fleet.set_fault(fault)
        fleet.timers.sleep(1.5)
        run_programs(fleet, programs, 3.0)
        opened = dict(fleet.sent)
        fleet.kill("h0")
        fleet.set_fault("")
        if is_back:
            fleet.restart("h0")
        fleet.timers.sleep(1.5)
        run_programs(fleet, programs, 20.0)
        return opened

    opened = fleet.timers.run(main)
    assert min(opened.values()) > 0
    for program in programs:
        assert fleet.sent[program] <= MOST


# Nothing outlived it that knew of an opening, as nobody could be told.
def test_a_host_that_reaches_nobody_opens_no_program():
    fleet = outage_load.Fleet(budget=BUDGET)
    programs = first_choices(fleet, "h0")

    def main():
        fleet.timers.sleep(2.0)
        fleet.peers["h0"].cut = True
        fleet.set_fault("busy", ["h0"])
        fleet.timers.sleep(1.0)
        run_programs(fleet, programs, 5.0, ["h0"])
        fleet.kill("h0")
        run_programs(fleet, programs, 15.0, ["h1", "h2", "h3"])

    fleet.timers.run(main)
    assert_served_whole(fleet, programs)


def test_without_enough_hosts_that_note_it_no_program_is_opened():
    fleet = outage_load.Fleet(budget=BUDGET, hosts=5)
    programs = first_choices(fleet, "h0")

    def main():
        fleet.timers.sleep(2.0)
        for name in ("h1", "h2", "h3"):
            fleet.kill(name)
        fleet.timers.sleep(1.0)
        fleet.set_fault("busy")
        fleet.timers.sleep(1.0)
        run_programs(fleet, programs, 3.0, ["h0"])
        return dict(fleet.sent)

    assert not fleet.timers.run(main)


@pytest.mark.parametrize("seed", range(60))
def test_no_history_of_losses_with_many_programs_exceeds_a_budget(seed):
    """Losses, pauses, cuts, outages and new hosts, for many programs."""
    rng = random.Random(seed)
    fleet = outage_load.Fleet(
        seed=seed, budget=BUDGET, hosts=rng.choice((2, 3, 5))
    )
    programs = [f"p{number}" for number in range(12)]
    events = ["outage", "back", "kill", "start", "pause", "wake", "part"]
    events += ["kill some", "join", "stop", "back", "start", "wake"]

    def inject_faults():
        down = []
        for number in range(16):
            fleet.timers.sleep(rng.choice((0.2, 0.7, 1.5, 4.0)))
            names = list(fleet.hosts)
            match rng.choice(events):
                case "outage":
                    fleet.set_fault(rng.choice(FAULTS))
                case "part" if names:
                    fleet.set_fault(rng.choice(FAULTS), [rng.choice(names)])
                case "back":
                    fleet.set_fault("")
                case "pause" if names:
                    name = rng.choice(names)
                    fleet.peers[name].cut = True
                    fleet.set_fault("silent", [name])
                case "wake":
                    for name in names:
                        fleet.peers[name].cut = False
                    fleet.set_fault("")
                case "kill" if names:
                    down.append(rng.choice(names))
                    fleet.kill(down[-1])
                case "kill some":
                    for name in names:
                        if rng.random() < 0.5:
                            down.append(name)
                            fleet.kill(name)
                case "stop" if names:
                    down.append(rng.choice(names))
                    fleet.stop(down[-1])
                case "start":
                    for name in down:
                        fleet.restart(name)
                    down.clear()
                case "join" if number < 4:
                    fleet.add(f"n{number}")
        for name in fleet.peers:
            fleet.peers[name].cut = False
        fleet.set_fault("")
        for name in down:
            fleet.restart(name)

    def spend(program):
        fleet.timers.sleep(rng.uniform(0.0, 20.0))
        until = fleet.timers.now() + 30.0
        while fleet.timers.now() < until:
            name = rng.choice(list(fleet.peers))
            used = rng.choice((2, USED_EVENTS))
            if fleet.request(name, program, used=used) is not None:
                fleet.timers.sleep(rng.choice((0.1, 0.5, 3.0)))
            fleet.timers.sleep(outage_load.TURN_SECONDS)

    def main():
        fleet.timers.sleep(2.0)
        tasks = [gevent.spawn(spend, program) for program in programs]
        gevent.joinall([*tasks, gevent.spawn(inject_faults)], raise_error=True)

    fleet.timers.run(main)
    for program, tokens in fleet.sent.items():
        assert tokens <= MOST, program


# With a lost host among three, the one that was left could not be enough.
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize(("hosts", "lost"), [(3, 1), (4, 1), (5, 2), (7, 3)])
def test_programs_begin_in_an_outage_beside_lost_hosts(hosts, lost, fault):
    fleet = outage_load.Fleet(budget=BUDGET, hosts=hosts)
    left = [f"h{number}" for number in range(hosts - lost)]
    programs = first_choices(fleet, "h0")

    def main():
        fleet.timers.sleep(2.0)
        for number in range(hosts - lost, hosts):
            fleet.kill(f"h{number}")
        fleet.timers.sleep(1.0)
        fleet.set_fault(fault)
        fleet.timers.sleep(1.5)
        run_programs(fleet, programs, 4.0, left)
        return dict(fleet.sent)

    opened = fleet.timers.run(main)
    assert set(opened) == set(programs)
