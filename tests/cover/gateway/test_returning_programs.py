"""Programs that come back while the store is away, long after they began."""

import random

import gevent
import pytest

from tests.common import outage_load
from tests.cover.gateway import test_openings

BUDGET = test_openings.BUDGET
MOST = test_openings.MOST
FAULTS = test_openings.FAULTS
# Less than the retention, within which a program may come back.
IDLE_SECONDS = outage_load.RETENTION_SECONDS - 3.0


def spend(fleet, program, pause, hosts=None):
    """Sends turns until all is spent, for thirty seconds at most."""
    until = fleet.timers.now() + 30.0
    while fleet.timers.now() < until and 402 not in fleet.statuses[program]:
        name = fleet.rng.choice(hosts or list(fleet.hosts))
        fleet.request(name, program, used=test_openings.USED_EVENTS)
        fleet.timers.sleep(pause)


def spend_all(fleet, programs, pause, hosts=None):
    tasks = [gevent.spawn(spend, fleet, p, pause, hosts) for p in programs]
    gevent.joinall(tasks, raise_error=True)


def come_back(fleet, programs, fault):
    """Has the programs return in an outage of the store."""
    fleet.set_fault(fault)
    fleet.timers.sleep(3.0)
    fleet.statuses.clear()
    test_openings.run_programs(fleet, programs, 6.0)
    fleet.set_fault("")
    fleet.timers.sleep(3.0)


# A host forgot a program 70 s after it had come first, and began it once more
# with a quarter of the budget that it had spent since.
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("pause", [0.2, 1.5, 2.5])
@pytest.mark.parametrize("hosts", [3, 5])
def test_a_program_that_has_spent_its_budget_gets_no_more_in_an_outage(
    hosts, pause, fault
):
    fleet = outage_load.Fleet(hosts=hosts, budget=BUDGET)
    programs = [f"p{number}" for number in range(12)]

    def main():
        fleet.timers.sleep(2.0)
        spend_all(fleet, programs, pause)
        fleet.timers.sleep(IDLE_SECONDS - 3.0)
        come_back(fleet, programs, fault)

    fleet.timers.run(main)
    for program in programs:
        assert BUDGET <= fleet.sent[program] <= MOST


# It ran at another host since the last restart of its first choice, which no
# longer knew it when it opened programs again.
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("is_lost", [False, True])
@pytest.mark.parametrize("seconds", [0.0, 20.0, 60.0, 75.0])
def test_the_first_choice_knows_what_ran_elsewhere_since_it_started(
    seconds, is_lost, fault
):
    fleet = outage_load.Fleet(budget=BUDGET)
    programs = test_openings.first_choices(fleet, "h0")
    others = ["h1", "h2", "h3"]

    def main():
        fleet.timers.sleep(2.0)
        if is_lost:
            fleet.kill("h0")
        else:
            fleet.stop("h0")
        fleet.timers.sleep(1.0)
        task = None
        if not seconds:  # it starts while they run
            task = gevent.spawn(spend_all, fleet, programs, 2.5, others)
            fleet.timers.sleep(5.0)
        fleet.restart("h0")
        # The others go on without it.
        for name in others:
            fleet.peers[name].avoided_until["h0"] = fleet.timers.now() + 600.0
        fleet.timers.sleep(seconds)
        if task is None:
            spend_all(fleet, programs, 2.5, others)
        else:
            task.join()
        fleet.timers.sleep(IDLE_SECONDS - 3.0)
        for name in others:
            fleet.peers[name].avoided_until.clear()
        come_back(fleet, programs, fault)

    fleet.timers.run(main)
    for program in programs:
        assert fleet.sent[program] <= MOST


@pytest.mark.parametrize("seed", range(30))
def test_no_history_with_programs_that_come_back_exceeds_a_budget(seed):
    """Outages, restarts, cuts and new hosts; programs pause for a minute."""
    rng = random.Random(seed)
    fleet = outage_load.Fleet(
        seed=seed, budget=BUDGET, hosts=rng.choice((2, 3, 4))
    )
    programs = [f"p{number}" for number in range(8)]

    def inject_faults():
        down = []
        for number in range(25):
            fleet.timers.sleep(rng.choice((1.0, 4.0, 9.0, 20.0)))
            names = list(fleet.hosts)
            match rng.choice(("out", "out", "cut", "stop", "kill", "join")):
                case "out":
                    fleet.set_fault(rng.choice(FAULTS))
                    fleet.timers.sleep(rng.choice((3.0, 8.0)))
                    fleet.set_fault("")
                case "cut":
                    name = rng.choice(names)
                    fleet.peers[name].cut = True
                    fleet.timers.sleep(rng.choice((1.0, 15.0)))
                    fleet.peers[name].cut = False
                case "stop" if len(names) > 1:
                    down.append(rng.choice(names))
                    fleet.stop(down[-1])
                case "kill" if len(names) > 1:
                    down.append(rng.choice(names))
                    fleet.kill(down[-1])
                case "join" if number < 3:
                    fleet.add(f"n{number}")
            if rng.random() < 0.7:
                for name in down:
                    fleet.restart(name)
                down.clear()

    def run(program):
        fleet.timers.sleep(rng.uniform(0.0, 60.0))
        for _ in range(4):
            spend_until = fleet.timers.now() + rng.choice((1.0, 8.0, 25.0))
            while fleet.timers.now() < spend_until:
                name = rng.choice(list(fleet.peers))
                fleet.request(name, program, used=test_openings.USED_EVENTS)
                fleet.timers.sleep(rng.choice((0.2, 1.5, 3.0)))
            fleet.timers.sleep(rng.choice((5.0, 40.0, IDLE_SECONDS - 4.0)))

    def main():
        fleet.timers.sleep(2.0)
        tasks = [gevent.spawn(run, program) for program in programs]
        gevent.joinall([*tasks, gevent.spawn(inject_faults)], raise_error=True)

    fleet.timers.run(main)
    for program, tokens in fleet.sent.items():
        assert tokens <= MOST, program
