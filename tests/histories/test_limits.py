"""Admissions of all hosts together, under random loads and faults."""

import random

import gevent
import hypothesis
from hypothesis import strategies as st
import pytest

from bench import limits_fleet
from endivepier.configuration import state as state_lib
from endivepier.limits import bucket as bucket_lib
from endivepier.limits import leases
from endivepier.limits import lending
from endivepier.limits import messages
from endivepier.standins import network as network_lib
from tests.common import windows

HOSTS = [f"10.0.0.{number}:7000" for number in range(1, 6)]
LOADS = ("even", "skewed", "bursts")
MAX_CONFIGURATION_DELAY_SECONDS = 0.3

# Rate, burst, shape of the load, and load as a multiple of the rate.
accounts_of = st.lists(
    st.tuples(
        st.sampled_from([0.5, 2.0, 10.0, 40.0]),
        st.sampled_from([1.0, 3.0, 10.0, 40.0]),
        st.sampled_from(LOADS),
        st.sampled_from([0.8, 3.0]),
    ),
    min_size=1,
    max_size=8,
)
# Kind of fault, indexes of two hosts, and seconds until the next fault. Only
# "cut" uses the second host.
faults_of = st.lists(
    st.tuples(
        st.sampled_from(
            (
                *("kill", "restart", "stop", "start", "freeze", "thaw"),
                *("cut", "cut off", "mend", "outage", "end outage"),
                *("lose", "slow", "rate", "burst"),
            )
        ),
        st.integers(0, len(HOSTS) - 1),
        st.integers(0, len(HOSTS) - 1),
        st.floats(0.05, 6.0),
    ),
    max_size=14,
)


class History:
    """A simulated run of loads and faults, and the allowances during it."""

    def __init__(self, accounts, seed):
        declared = {
            f"account-{number}": state_lib.Account(
                f"account-{number}", rate, burst
            )
            for number, (rate, burst, _, _) in enumerate(accounts)
        }
        self.fleet = limits_fleet.Fleet(
            declared, seed, drift=leases.MAX_CLOCK_DRIFT
        )
        self.loads = dict(zip(declared, accounts, strict=True))
        self.rng = random.Random(seed)
        self.allowances = {
            name: [windows.Allowance(0.0, item.rate, item.burst)]
            for name, item in declared.items()
        }
        self.running = True

    def run(self, faults, seconds=4.0):
        self.fleet.timers.run(self._run, faults, seconds)

    def excess(self):
        return {
            name: windows.excess(
                [
                    item.decided_at
                    for item in self.fleet.decisions
                    if item.account == name and item.admitted
                ],
                allowances,
            )
            for name, allowances in self.allowances.items()
        }

    def _run(self, faults, seconds):
        timers = self.fleet.timers
        for address in HOSTS[:4]:
            self.fleet.start(address)
        clients = [gevent.spawn(self._client, name) for name in self.loads]
        timers.sleep(self.rng.uniform(0.0, 8.0))
        for kind, index, peer_index, pause in faults:
            self._inject_fault(kind, HOSTS[index], HOSTS[peer_index])
            timers.sleep(pause)
        timers.sleep(seconds)
        self.running = False
        for host in self.fleet.hosts.values():
            host.thaw()
        gevent.joinall(clients, timeout=None)

    def _client(self, name):
        """Sends requests at a multiple of the rate, in the load's shape."""
        rate, burst, shape, multiple = self.loads[name]
        while self.running:
            count = int(burst) if shape == "bursts" else 1
            self.fleet.timers.sleep(
                self.rng.expovariate(rate * multiple / count)
            )
            for _ in range(count):
                hosts = sorted(self.fleet.entries)
                if not hosts:
                    continue
                host = hosts[0] if shape == "skewed" else self.rng.choice(hosts)
                gevent.spawn(self.fleet.request, host, name)

    def _inject_fault(self, kind, address, peer_address):
        fleet, faults = self.fleet, self.fleet.table.faults
        victim = fleet.hosts.get(address)
        match kind:
            case "kill" if victim is not None:
                fleet.kill(address)
            case "restart" if victim is not None:
                fleet.kill(address)
                gevent.spawn(fleet.start, address)
            case "stop" if victim is not None and not victim.frozen:
                gevent.spawn(self._stop, address)
            case "start" if victim is None:
                gevent.spawn(fleet.start, address)
            case "freeze" if victim is not None:
                victim.freeze()
            case "thaw":
                for host in fleet.hosts.values():
                    host.thaw()
            case "cut" if address != peer_address:
                fleet.network.cut(address, peer_address)
            case "cut off":
                fleet.network.cut(address, network_lib.PLATFORM)
            case "mend":
                fleet.network.heal_all()
                fleet.message_loss = 0.0
                faults.lost_replies = faults.lost_requests = 0.0
                faults.read_seconds, faults.write_seconds = 0.001, 0.004
            case "outage":
                faults.outage = True
            case "end outage":
                faults.outage = False
            case "lose":
                fleet.message_loss = faults.lost_replies = 0.3
                faults.lost_requests = 0.2
            case "slow":
                faults.read_seconds, faults.write_seconds = 1.0, 2.0
            case "rate":
                self._change_limit(
                    "account-0", rate=self.rng.choice([1.0, 20.0])
                )
            case "burst":
                self._change_limit(
                    "account-0", burst=self.rng.choice([1.0, 20.0])
                )

    def _stop(self, address):
        entry = self.fleet.entries[address]
        entry.drain()
        if self.fleet.entries.get(address) is entry:
            self.fleet.kill(address)

    def _change_limit(self, name, **fields):
        """Changes a rate or burst; each host applies it after a random delay.

        During the longest delay, the larger of old and new value is allowed,
        and further changes are ignored.
        """
        allowances = self.allowances[name]
        now = self.fleet.timers.now()
        if now < allowances[-1].since:
            return
        old = allowances[-1]
        new = windows.Allowance(
            now + MAX_CONFIGURATION_DELAY_SECONDS,
            fields.get("rate", old.rate),
            fields.get("burst", old.burst),
        )
        transition = windows.Allowance(
            now, max(old.rate, new.rate), max(old.burst, new.burst)
        )
        allowances.extend([transition, new])
        self.fleet.state = state_lib.State(
            revision=self.fleet.state.revision + 1,
            accounts={
                **self.fleet.state.accounts,
                name: state_lib.Account(name, new.rate, new.burst),
            },
        )
        state = self.fleet.state
        for entry in self.fleet.entries.values():
            delay = self.rng.uniform(0.0, MAX_CONFIGURATION_DELAY_SECONDS * 0.9)
            self.fleet.timers.after(
                delay, lambda entry=entry: entry.current.advance(state)
            )


@hypothesis.given(
    accounts=accounts_of, faults=faults_of, seed=st.integers(0, 10**6)
)
@hypothesis.settings(max_examples=10)
def test_no_window_admits_more_than_rate_and_burst(accounts, faults, seed):
    history = History(accounts, seed)
    history.run(faults)
    assert not any(history.excess().values()), history.excess()


BUSY_ACCOUNTS = [
    (2.0, 40.0, "bursts", 3.0),
    (1.0, 40.0, "even", 8.0),
    (10.0, 40.0, "skewed", 3.0),
    (10.0, 40.0, "even", 1.2),
]


def _fill_new_buckets(monkeypatch):
    """Fills a bucket whenever its process gains a share."""
    original_update = bucket_lib.Bucket.update

    def update(self, now, own_fraction):
        started = self._own_fraction == 0.0 and own_fraction > 0.0
        original_update(self, now, own_fraction)
        if started:
            self.level = own_fraction * self.burst

    original_init = bucket_lib.Bucket.__init__

    def init(self, *args, full):
        original_init(self, *args, full=True)

    monkeypatch.setattr(bucket_lib.Bucket, "update", update)
    monkeypatch.setattr(bucket_lib.Bucket, "__init__", init)


def _keep_what_is_lent(monkeypatch):
    """Lets a lender keep using the fraction and tokens that it lends."""
    original = lending.Lender._grant

    def grant(self, bucket, fraction, tokens, seconds):
        level = bucket.level
        lent = original(self, bucket, fraction, tokens, seconds)
        bucket.lent.clear()
        bucket.level = level
        return lent

    monkeypatch.setattr(lending.Lender, "_grant", grant)


def _use_leases_past_their_end(monkeypatch):
    """Lets holders and borrowers use leases and loans that have ended."""
    monkeypatch.setattr(leases, "usable", lambda seconds: seconds * 1000)


def _skip_the_wait_for_old_rights(monkeypatch):
    """Drops the wait for the rights of other processes to end."""
    monkeypatch.setattr(leases, "expired_after", lambda seconds: 0.0)


def _keep_a_loan_that_was_returned(monkeypatch):
    """Lets a borrower keep using a loan that it has returned."""
    original = lending.Borrower._return_loan

    def return_loan(self, account, bucket, loan):
        original(self, account, bucket, loan)
        if loan not in bucket.borrowed:
            loan.until += 10.0
            bucket.borrowed.append(loan)

    monkeypatch.setattr(lending.Borrower, "_return_loan", return_loan)


def _assume_a_loan_without_a_reply(monkeypatch):
    """Makes a borrower assume a loan when the lender didn't reply."""
    original = lending.Borrower._call

    def call(self, lender, req, response_type):
        response = original(self, lender, req, response_type)
        if response is None and response_type is messages.Lent:
            return messages.Lent(1, 0.25, 10.0, 3.0)
        return response

    monkeypatch.setattr(lending.Borrower, "_call", call)


RESTARTS = [("restart", n % 4, 0, 5.0) for n in range(6)]
FREEZES = [
    *(("freeze", 0, 0, 0.0), ("kill", 1, 0, 9.0), ("thaw", 0, 0, 0.5)),
    *(("freeze", 2, 0, 9.0), ("thaw", 0, 0, 3.0)),
]
CUTS = [
    *(("cut off", 0, 0, 0.0), ("cut", 0, 1, 0.0), ("cut", 0, 2, 0.0)),
    *(("cut", 0, 3, 12.0), ("mend", 0, 0, 3.0)),
]
# Injects no fault; only time passes.
QUIET = [("mend", 0, 0, 15.0)]
LOSSES = [("lose", 0, 0, 6.0), ("mend", 0, 0, 6.0)]


@pytest.mark.parametrize(
    ("plant", "faults"),
    [
        (_fill_new_buckets, RESTARTS),
        (_keep_what_is_lent, QUIET),
        (_use_leases_past_their_end, CUTS),
        (_skip_the_wait_for_old_rights, RESTARTS),
        (_keep_a_loan_that_was_returned, LOSSES),
        (_assume_a_loan_without_a_reply, LOSSES),
    ],
)
def test_the_checker_catches_a_planted_fault(monkeypatch, plant, faults):
    sound = History(BUSY_ACCOUNTS, 1)
    sound.run(faults)
    assert not any(sound.excess().values())
    plant(monkeypatch)
    broken = History(BUSY_ACCOUNTS, 1)
    broken.run(faults)
    assert any(broken.excess().values())
