"""Tokens of a target that limits its rate, in simulated time.

The bound on a window is what operators allow: one and a half times the rate,
and five requests more.
"""

import random

import gevent
import pytest

from endivepier.gateway.targets import messages as rate_messages
from endivepier.gateway.targets import tokens as rate_tokens
from tests.common import rate_token_fleet

INCARNATION = rate_token_fleet.TARGET.incarnation


# Equal parts would have given each of 84 hosts one call in 21 s.
def test_the_few_hosts_that_use_a_target_get_its_whole_rate():
    fleet = rate_token_fleet.Fleet(84, rate=4.0)

    def main():
        fleet.tell(fleet.listed, 4.0)
        fleet.load(fleet.listed[:5], 40.0, 20.0)

    fleet.timers.run(main)
    assert fleet.worst_window() <= fleet.allowed()
    assert len(fleet.sent) >= 0.8 * 4.0 * 20.0


# The first hosts were told, others were not, and none had a part.
def test_hosts_that_are_told_one_after_the_other_keep_the_rate():
    fleet = rate_token_fleet.Fleet(8, rate=4.0)

    def main():
        for n, name in enumerate(fleet.listed):
            fleet.tell([name], 4.0)
            fleet.load(fleet.listed[: n + 1], 40.0, 0.25)
        fleet.load(fleet.listed, 40.0, 8.0)

    fleet.timers.run(main)
    assert fleet.worst_window() <= fleet.allowed()


def test_another_host_gives_out_half_of_the_rate_if_the_owner_is_lost():
    fleet = rate_token_fleet.Fleet(8, rate=4.0)

    def main():
        fleet.tell(fleet.listed, 4.0)
        fleet.load(fleet.listed, 40.0, 5.0)
        fleet.lose(fleet.owner())
        lost_at = fleet.timers.now()
        fleet.load(fleet.listed, 40.0, 10.0)
        return len([at for at, _ in fleet.sent if at > lost_at])

    sent_after_loss = fleet.timers.run(main)
    assert fleet.worst_window() <= fleet.allowed()
    assert sent_after_loss >= 0.8 * 0.5 * 4.0 * 10.0


def test_a_host_that_is_cut_off_from_all_others_uses_half_of_an_equal_part():
    fleet = rate_token_fleet.Fleet(8, rate=8.0)

    def main():
        fleet.tell(fleet.listed, 8.0)
        alone = next(n for n in fleet.listed if n != fleet.owner())
        fleet.cuts = {frozenset((alone, name)) for name in fleet.listed}
        fleet.load(fleet.listed, 80.0, 20.0)
        return [at for at, name in fleet.sent if name == alone]

    sent_alone = fleet.timers.run(main)
    assert fleet.worst_window() <= fleet.allowed()
    # As all other hosts are silent, it takes the place of the owner.
    assert 0 < len(sent_alone) <= 0.5 * 8.0 * 20.0 + 2


def test_no_token_is_given_twice_when_all_hosts_restart():
    fleet = rate_token_fleet.Fleet(8, rate=4.0)

    def main():
        fleet.tell(fleet.listed, 4.0)
        fleet.load(fleet.listed, 40.0, 5.0)
        for name in fleet.listed:
            fleet.start(name)
        fleet.tell(fleet.listed, 4.0)
        fleet.load(fleet.listed, 40.0, 5.0)

    fleet.timers.run(main)
    assert fleet.worst_window() <= fleet.allowed()


# Hosts see each other come and go at different times, so that two of them may
# consider themselves the owner.
@pytest.mark.parametrize("seed", range(25))
def test_the_rate_holds_through_losses_restarts_and_cuts(seed):
    rng = random.Random(seed)
    count = rng.choice([2, 5, 8, 20])
    fleet = rate_token_fleet.Fleet(
        count, rate=rng.choice([2.0, 5.0, 12.0]), seed=seed
    )

    def disrupt():
        while True:
            fleet.timers.sleep(rng.uniform(0.2, 3.0))
            name = rng.choice(fleet.listed)
            match rng.choice(["lose", "restart", "cut", "heal"]):
                case "lose" if name in fleet.tokens and len(fleet.tokens) > 1:
                    fleet.lose(name)
                case "restart":
                    fleet.start(name)
                    fleet.tell([name], fleet.rate)
                case "cut":
                    other = rng.choice(fleet.listed)
                    fleet.cuts.add(frozenset((name, other)))
                case "heal":
                    fleet.cuts.clear()

    def main():
        fleet.tell(fleet.listed, fleet.rate)
        disruption = gevent.spawn(disrupt)
        fleet.load(fleet.listed, 10 * fleet.rate, 20.0)
        disruption.kill()

    fleet.timers.run(main)
    assert fleet.worst_window() <= fleet.allowed()


def test_programs_that_stay_get_tokens_before_others():
    fleet = rate_token_fleet.Fleet(1, rate=4.0)

    def main():
        fleet.tell(["h0"], 4.0)
        fleet.call("h0")
        fleet.timers.sleep(0.3)  # one token
        assert fleet.call("h0", rate_messages.Claim.BEGINS) is not None
        assert fleet.call("h0", rate_messages.Claim.MOVES) is not None
        assert fleet.call("h0", rate_messages.Claim.STAYS) is None
        fleet.timers.sleep(0.55)  # two tokens
        assert fleet.call("h0", rate_messages.Claim.BEGINS) is not None
        assert fleet.call("h0", rate_messages.Claim.MOVES) is None
        fleet.timers.sleep(2.0)  # a full bucket
        assert fleet.call("h0", rate_messages.Claim.BEGINS) is None

    fleet.timers.run(main)


def test_retry_after_grows_with_the_calls_that_ask_for_a_token():
    fleet = rate_token_fleet.Fleet(1, rate=4.0)
    retry_afters = []

    def main():
        fleet.tell(["h0"], 4.0)
        for _ in range(40):
            refusal = fleet.call("h0")
            if refusal is not None:
                retry_afters.append(refusal.retry_after)
                fleet.timers.sleep(refusal.wait)

    fleet.timers.run(main)
    assert min(retry_afters) > 0
    assert max(retry_afters) <= rate_tokens.MAX_RETRY_SECONDS


# The limit had ended at the owner, which the host learned only by asking.
def test_a_limit_that_the_owner_saw_end_does_not_hold_back_others():
    fleet = rate_token_fleet.Fleet(8, rate=None)

    def main():
        fleet.tell(fleet.listed, 0.5)
        owner = fleet.owner()
        fleet.timers.sleep(0.1)
        fleet.tell([owner], None)
        other = next(name for name in fleet.listed if name != owner)
        assert fleet.call(other) is None
        assert fleet.rates[other].rate(INCARNATION) is None

    fleet.timers.run(main)


def test_a_draining_host_owns_no_tokens():
    fleet = rate_token_fleet.Fleet(3, rate=4.0)
    fleet.tell(fleet.listed, 4.0)
    owner = fleet.owner()
    fleet.peers[owner].is_leaving = True
    assert fleet.tokens[owner]._owner(INCARNATION) != owner
