"""Tokens of a target that limits its rate, in simulated time.

The bound on a window is what operators allow: one and a half times the rate,
and five requests more.
"""

import random

import gevent
import pytest

from endivepier import errors
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.targets import messages as rate_messages
from endivepier.gateway.targets import rates as target_rates
from endivepier.gateway.targets import tokens as rate_tokens
from endivepier.standins import clock
from endivepier.telemetry import metrics as metrics_lib
from tests.common import gateway_parts
from tests.common import gateway_peers

TARGET = gateway_parts.target("t")
WINDOW_SECONDS = 4.0


class Peers(gateway_peers.SimulatedPeers):
    """Peers of which some can't reach others, and avoid them for a time."""

    def __init__(self, name, fleet):
        super().__init__(name, fleet.peers, fleet.timers, 0.003)
        self.fleet = fleet
        self.is_leaving = False
        self.backoffs = {}

    def other_hosts(self):
        return [name for name in self.fleet.listed if name != self.name]

    def available_hosts(self):
        now = self.timers.now()
        return [
            name
            for name in self.other_hosts()
            if name not in self.backoffs or self.backoffs[name].until <= now
        ]

    def request(self, host, operation, body, seconds=None):
        cut = frozenset((self.name, host)) in self.fleet.cuts
        if cut or host not in self.hosts:
            self.timers.sleep(0.08)
            self._avoid(host)
            raise errors.PeerUnreachable(host, "cut", sent=True)
        self.backoffs.pop(host, None)
        return super().request(host, operation, body)

    def _avoid(self, host):
        """Avoids a host as `gateway.hosts.peers.Peers` does."""
        now = self.timers.now()
        backoff = self.backoffs.setdefault(
            host, peers_lib.Backoff(now, peers_lib.FIRST_AVOID_SECONDS / 2)
        )
        if backoff.until <= now:
            backoff.seconds = min(
                backoff.seconds * 2, peers_lib.MAX_AVOID_SECONDS
            )
            backoff.until = now + backoff.seconds


class Fleet:
    """Hosts that use one target.

    Attributes:
        listed: names of all hosts that have a row, lost ones included.
        cuts: pairs of hosts that can't reach each other.
        sent: time and host of each call that got a token.
        tokens: the `RateTokens` by host.
    """

    def __init__(self, count, rate, seed=0):
        self.timers = clock.VirtualTimers()
        self.rng = random.Random(seed)
        self.rate = rate
        self.peers = {}
        self.rates = {}
        self.tokens = {}
        self.listed = [f"h{n}" for n in range(count)]
        self.cuts = set()
        self.sent = []
        for name in self.listed:
            self.start(name)

    def start(self, name):
        """Starts or restarts a host."""
        metrics = metrics_lib.Metrics()
        self.rates[name] = target_rates.TargetRates(self.timers, metrics)
        self.tokens[name] = rate_tokens.RateTokens(
            name,
            self.rates[name],
            Peers(name, self),
            self.timers,
            metrics,
        )

    def lose(self, name):
        """Loses a host, whose row stays."""
        del self.peers[name]
        del self.tokens[name]

    def tell(self, names, rate):
        """Tells hosts a rate, as if the target had just responded."""
        for name in names:
            self.rates[name].note(
                TARGET.incarnation, rate, self.timers.now(), "response"
            )

    def owner(self):
        return next(
            name
            for name, tokens in self.tokens.items()
            if tokens._owner(TARGET.incarnation) == name
        )

    def call(self, name, claim=rate_messages.Claim.STAYS):
        """Sends a call if it gets a token; the target names its rate."""
        refusal = self.tokens[name].take(TARGET, claim)
        if refusal is None:
            self.sent.append((self.timers.now(), name))
            self.tell([name], self.rate)
        return refusal

    def load(self, names, per_second, seconds):
        """Sends calls at a steady rate, from hosts in random order."""
        tasks = []
        for _ in range(int(per_second * seconds)):
            running = [name for name in names if name in self.tokens]
            tasks.append(gevent.spawn(self.call, self.rng.choice(running)))
            self.timers.sleep(1.0 / per_second)
        gevent.joinall(tasks)

    def worst_window(self):
        times = [at for at, _ in self.sent]
        return max(
            sum(begin <= at < begin + WINDOW_SECONDS for at in times)
            for begin in times
        )

    def allowed(self):
        return 1.5 * self.rate * WINDOW_SECONDS + 5


# Equal parts would have given each of 84 hosts one call in 21 s.
def test_the_few_hosts_that_use_a_target_get_its_whole_rate():
    fleet = Fleet(84, rate=4.0)

    def main():
        fleet.tell(fleet.listed, 4.0)
        fleet.load(fleet.listed[:5], 40.0, 20.0)

    fleet.timers.run(main)
    assert fleet.worst_window() <= fleet.allowed()
    assert len(fleet.sent) >= 0.8 * 4.0 * 20.0


# The first hosts were told, others were not, and none had a part.
def test_hosts_that_are_told_one_after_the_other_keep_the_rate():
    fleet = Fleet(8, rate=4.0)

    def main():
        for n, name in enumerate(fleet.listed):
            fleet.tell([name], 4.0)
            fleet.load(fleet.listed[: n + 1], 40.0, 0.25)
        fleet.load(fleet.listed, 40.0, 8.0)

    fleet.timers.run(main)
    assert fleet.worst_window() <= fleet.allowed()


def test_another_host_gives_out_half_of_the_rate_if_the_owner_is_lost():
    fleet = Fleet(8, rate=4.0)

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
    fleet = Fleet(8, rate=8.0)

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
    fleet = Fleet(8, rate=4.0)

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
    fleet = Fleet(count, rate=rng.choice([2.0, 5.0, 12.0]), seed=seed)

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
    fleet = Fleet(1, rate=4.0)

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
    fleet = Fleet(1, rate=4.0)
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
    fleet = Fleet(8, rate=None)

    def main():
        fleet.tell(fleet.listed, 0.5)
        owner = fleet.owner()
        fleet.timers.sleep(0.1)
        fleet.tell([owner], None)
        other = next(name for name in fleet.listed if name != owner)
        assert fleet.call(other) is None
        assert fleet.rates[other].rate(TARGET.incarnation) is None

    fleet.timers.run(main)


def test_a_draining_host_owns_no_tokens():
    fleet = Fleet(3, rate=4.0)
    fleet.tell(fleet.listed, 4.0)
    owner = fleet.owner()
    fleet.peers[owner].is_leaving = True
    assert fleet.tokens[owner]._owner(TARGET.incarnation) != owner
