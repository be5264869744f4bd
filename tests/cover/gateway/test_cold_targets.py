"""Which targets are cold, and what all hosts together send to one.

In any second no more may arrive than one and a half times the rate that the
target tolerates, and five requests: what the users' rules allow.
"""

import random

import gevent
import pytest

from endivepier.gateway import model
from endivepier.gateway.targets import catalog as catalog_lib
from endivepier.gateway.targets import cold as cold_targets
from endivepier.gateway.targets import departures as departures_lib
from endivepier.gateway.targets import messages as rate_messages
from endivepier.gateway.targets import rates as target_rates
from endivepier.internal import rendezvous
from endivepier.standins import clock
from endivepier.standins import table as table_lib
from endivepier.storage import ports
from endivepier.telemetry import metrics as metrics_lib
from endivepier_platform import documents
from tests.common import gateway_fleet
from tests.common import gateway_parts
from tests.common import rate_token_fleet

COLD_SECONDS = 3.0
COLD_RATE = 29.0
WALL_START = 1_000_000.0


class Decoder:
    """Decodes targets from rows "START-MILLISECONDS COLD-SECONDS"."""

    declaration_table = "declared"
    target_table = "targets"

    def decode_declaration(self, row):
        return gateway_parts.declaration(1, cold=(COLD_SECONDS, COLD_RATE))

    def decode_evacuated(self, key):
        prefix = "declared//evacuated/"
        return key.removeprefix(prefix) if key.startswith(prefix) else None

    def decode_target(self, row):
        started, cold_seconds = row.value.decode().split()
        return gateway_parts.target(
            row.key.rpartition("/")[2],
            started=int(started),
            cold_seconds=float(cold_seconds),
        )


class Host:
    """What one host knows of targets that it reads from a store."""

    def __init__(self):
        self.timers = clock.VirtualTimers()
        self.table = table_lib.MemoryTable(self.timers)
        metrics = metrics_lib.Metrics()
        self.catalog = catalog_lib.Catalog(
            self.table,
            Decoder(),
            self.timers,
            departures_lib.Departures(self.timers, metrics),
        )
        self.rates = target_rates.TargetRates(self.timers, metrics)
        self.cold = cold_targets.ColdTargets(
            self.catalog, self.rates, self.timers
        )

    def put(self, key, value=b""):
        txn = ports.Transaction((), (ports.Put(key, value),))
        self.timers.run(self.table.transact, txn)

    def put_target(self, name, *, age, cold_seconds=0.0):
        """Writes the row of a target that started `age` seconds ago."""
        started = int((self.timers.wall() - age) * 1000)
        self.put(f"targets//{name}", b"%d %f" % (started, cold_seconds))

    def start(self):
        self.put("declared//config")
        self.catalog.start()
        self.timers.advance(0.5)

    def target(self, name):
        return next(t for t in self.catalog.targets("s") if t.name == name)

    def is_cold(self, name):
        return self.rates.cold(self.target(name).incarnation) is not None


@pytest.fixture
def host():
    return Host()


def test_a_target_that_started_long_ago_is_not_cold(host):
    host.put_target("t", age=60.0)
    host.start()
    assert not host.is_cold("t")


def test_a_row_says_how_long_a_target_is_cold(host):
    host.put_target("t", age=60.0, cold_seconds=2.0)
    host.start()
    assert host.is_cold("t")
    host.timers.advance(2.0)
    assert not host.is_cold("t")


def test_a_host_that_starts_takes_a_new_target_for_cold(host):
    host.put_target("t", age=1.0)
    host.start()
    assert host.is_cold("t")
    host.timers.advance(COLD_SECONDS)
    assert not host.is_cold("t")


# Its row is late: it may have started again at any time.
def test_a_target_that_has_just_appeared_is_cold_whatever_its_row_says(host):
    host.start()
    host.put_target("t", age=60.0)
    host.timers.advance(0.1)
    assert host.is_cold("t")
    host.timers.advance(COLD_SECONDS)
    assert not host.is_cold("t")


def test_a_warm_target_may_become_cold_again(host):
    host.put_target("t", age=60.0)
    host.start()
    host.put_target("t", age=60.5, cold_seconds=1.5)
    host.timers.advance(0.1)
    assert host.is_cold("t")


def test_targets_listed_before_their_service_is_declared_may_be_cold(host):
    host.put_target("t", age=1.0)
    host.catalog.start()
    host.timers.advance(0.5)
    host.put("declared//config")
    host.timers.advance(0.5)
    assert host.is_cold("t")


# Each row of a target whose service nobody declares was kept, once a second for
# each such target.
def test_rows_of_services_that_are_not_declared_are_not_collected(host):
    host.start()
    host.catalog.declaration.services.clear()
    for number in range(5):
        host.put("targets//t", b"1699999000000 %d" % number)
        host.timers.advance(0.1)
    assert len(host.cold._undeclared) == 1
    for number in range(cold_targets.MAX_UNDECLARED + 5):
        host.put_target(f"t{number}", age=60.0)
    host.timers.advance(0.5)
    assert len(host.cold._undeclared) == cold_targets.MAX_UNDECLARED


def test_an_unreachable_target_is_cold_until_some_time_after_it_responds(host):
    host.put_target("t", age=60.0)
    host.start()
    target = host.target("t")
    host.cold.note_unreachable(target)
    host.timers.advance(10 * COLD_SECONDS)
    assert host.is_cold("t")
    host.cold.note_reached(target)
    host.timers.advance(0.9 * COLD_SECONDS)
    assert host.is_cold("t")
    host.cold.note_reached(target)
    host.timers.advance(0.2 * COLD_SECONDS)
    assert not host.is_cold("t")


def test_targets_are_cold_after_their_data_centre_is_taken_back(host):
    host.put_target("t", age=60.0)
    host.start()
    host.put("declared//evacuated/a")
    host.timers.advance(5.0)
    delete = ports.Transaction((), (ports.Delete("declared//evacuated/a"),))
    host.timers.run(host.table.transact, delete)
    host.timers.advance(0.1)
    assert host.is_cold("t")
    host.timers.advance(COLD_SECONDS)
    assert not host.is_cold("t")


def test_a_target_that_says_cold_for_ever_still_gets_calls(host):
    host.put_target("t", age=60.0, cold_seconds=1e9)
    host.start()
    target = host.target("t")
    assert host.rates.rate(target.incarnation) > 0
    host.timers.advance(cold_targets.MAX_COLD_SECONDS)
    assert not host.is_cold("t")


@pytest.mark.parametrize("milliseconds", [-5, float("inf")])
def test_an_absurd_cold_time_counts_as_none(milliseconds):
    row = ports.Row(
        "servers//i",
        b'{"service":"s","address":"1.2.3.4:5","zone":"a","state":"ready",'
        b'"cold_left_ms":%s}' % str(milliseconds).encode(),
        1,
    )
    target = documents.Decoder().decode_target(row)
    assert target is None or target.cold_seconds == 0.0


def test_hosts_pass_on_only_what_they_found_out_themselves():
    timers = clock.VirtualTimers()
    first, second, third = (
        target_rates.TargetRates(timers, metrics_lib.Metrics())
        for _ in range(3)
    )
    first.set_cold("t@1", COLD_RATE, 60.0, told_seconds=COLD_SECONDS)
    second.receive_cold(first.encode_cold())
    assert second.cold("t@1").until == COLD_SECONDS
    assert second.encode_cold() == b""
    assert third.cold("t@1") is None


class Fleet(rate_token_fleet.Fleet):
    """Hosts that send calls to cold targets.

    Attributes:
        targets: the targets.
        arrived: time of each call, by target.
    """

    def __init__(self, count, rate=COLD_RATE, targets=1, seed=0):
        super().__init__(count, rate, seed)
        self.targets = [gateway_parts.target(f"t{n}") for n in range(targets)]
        self.arrived = {target.name: [] for target in self.targets}

    def start(self, name):
        super().start(name)
        self.peers[name].is_settled = True

    def tell_cold(self, names, seconds=60.0):
        for name in names:
            for target in self.targets:
                self.rates[name].set_cold(
                    target.incarnation, self.rate, seconds, told_seconds=3.0
                )

    def call(self, name, claim=rate_messages.Claim.STAYS):
        """Sends a call to the first target that has a token for it."""
        for target in self.rng.sample(self.targets, len(self.targets)):
            if self.tokens[name].take(target, claim) is None:
                self.arrived[target.name].append(self.timers.now())
                return

    def worst_second(self):
        return max(
            sum(begin <= at < begin + 1.0 for at in times)
            for times in self.arrived.values()
            for begin in times or [0.0]
        )

    def allowed(self):
        return 1.5 * self.rate + 5

    def rank(self, number):
        """Returns the host with this rank for the tokens of the target."""
        ranking = rendezvous.rank(
            self.targets[0].incarnation, self.listed, len(self.listed)
        )
        return ranking[number]


def run_herd(fleet, seconds=4.0, per_second=400.0):
    """Sends calls from all hosts, many more than cold targets bear."""
    fleet.timers.run(lambda: fleet.load(fleet.listed, per_second, seconds))


def test_all_hosts_together_keep_the_rate_of_a_cold_target():
    fleet = Fleet(37)
    fleet.tell_cold(fleet.listed)
    run_herd(fleet)
    assert fleet.worst_second() <= fleet.allowed()
    assert sum(map(len, fleet.arrived.values())) >= 0.5 * COLD_RATE * 4.0


def test_several_targets_that_come_back_at_once_keep_their_rates():
    fleet = Fleet(37, targets=7)
    fleet.tell_cold(fleet.listed)
    run_herd(fleet)
    assert fleet.worst_second() <= fleet.allowed()


def test_the_rate_of_a_cold_target_holds_when_its_owner_is_lost():
    fleet = Fleet(37)
    fleet.tell_cold(fleet.listed)
    run_herd(fleet, 2.0)
    fleet.lose(fleet.rank(0))
    before = len(fleet.arrived["t0"])
    run_herd(fleet, 3.0)
    assert fleet.worst_second() <= fleet.allowed()
    assert len(fleet.arrived["t0"]) > before


def test_hosts_that_are_cut_off_from_all_others_use_no_cold_target():
    fleet = Fleet(37)
    fleet.tell_cold(fleet.listed)
    fleet.cuts = {frozenset((a, b)) for a in fleet.listed for b in fleet.listed}
    run_herd(fleet, 6.0)
    assert fleet.worst_second() <= fleet.allowed()


def test_three_parts_of_the_fleet_that_are_cut_off_keep_the_rate():
    fleet = Fleet(36)
    fleet.tell_cold(fleet.listed)
    part = {name: n % 3 for n, name in enumerate(fleet.listed)}
    fleet.cuts = {
        frozenset((a, b))
        for a in fleet.listed
        for b in fleet.listed
        if part[a] != part[b]
    }
    run_herd(fleet, 6.0)
    assert fleet.worst_second() <= fleet.allowed()


# Each of them would have taken itself for the owner.
def test_hosts_that_do_not_know_the_others_yet_use_no_cold_target():
    fleet = Fleet(37)
    fleet.tell_cold(fleet.listed)
    for peers in fleet.peers.values():
        peers.is_settled = False
    run_herd(fleet, 2.0)
    assert fleet.worst_second() == 0


def test_a_host_that_was_not_told_is_limited_by_the_owner_once_it_asks():
    fleet = Fleet(37)
    fleet.tell_cold(fleet.listed[:1])
    host = fleet.listed[0]
    owner = fleet.rank(0)
    fleet.timers.run(lambda: fleet.call(host))
    if host != owner:
        assert fleet.rates[owner].cold(fleet.targets[0].incarnation)


@pytest.mark.parametrize("seed", range(25))
def test_the_rate_holds_through_losses_restarts_and_cuts(seed):
    rng = random.Random(seed)
    fleet = Fleet(
        rng.choice([2, 5, 8, 37]), rng.choice([3.0, 12.0, 29.0]), 2, seed
    )

    def settle(name):
        if name in fleet.peers:
            fleet.peers[name].is_settled = True

    def disrupt():
        while True:
            fleet.timers.sleep(rng.uniform(0.1, 1.5))
            name = rng.choice(fleet.listed)
            match rng.choice(["lose", "restart", "cut", "heal"]):
                case "lose" if name in fleet.tokens and len(fleet.tokens) > 1:
                    fleet.lose(name)
                case "restart":
                    fleet.start(name)
                    fleet.peers[name].is_settled = False
                    fleet.timers.after(0.3, lambda name=name: settle(name))
                    fleet.tell_cold([name])
                case "cut":
                    other = rng.choice(fleet.listed)
                    fleet.cuts.add(frozenset((name, other)))
                case "heal":
                    fleet.cuts.clear()

    def main():
        fleet.tell_cold(fleet.listed)
        disruption = gevent.spawn(disrupt)
        fleet.load(fleet.listed, 10 * fleet.rate, 12.0)
        disruption.kill()

    fleet.timers.run(main)
    assert fleet.worst_second() <= fleet.allowed()


def test_a_new_target_gets_few_calls_on_the_whole_path():
    rate = 4.0
    route = gateway_parts.route(
        kind=model.RouteKind.IDEMPOTENT, resumable=False
    )
    fleet = gateway_fleet.Fleet([route], targets=1, hosts=2, cold=(5.0, rate))
    try:
        fleet.unlist_targets(fleet.targets)
        fleet.add_target("v1")
        new = fleet.targets[1]
        new.handler = new.respond
        gevent.sleep(1.0)  # several tokens, of which few are kept
        calls = [
            gevent.spawn_later(n * 0.02, fleet.request, f"c{n}", n % 2)
            for n in range(100)
        ]
        gevent.joinall(calls)
        times = [request.at for request in new.received]
        most = max(sum(t <= at < t + 1.0 for at in times) for t in times)
        assert most <= 1.5 * rate + 5
        statuses = [call.value.status for call in calls]
        assert statuses.count(200) == len(times)
        assert statuses.count(503) == len(calls) - len(times)
    finally:
        fleet.stop()
