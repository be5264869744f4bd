import random

import pytest

from endivepier import errors
from endivepier.internal import ids as ids_lib
from endivepier.scheduling import leases as leases_lib
from endivepier.scheduling import model_loading
from endivepier.standins import clock
from endivepier.standins import engine as engine_lib
from endivepier.standins import network as network_lib
from endivepier.standins import table as table_lib
from endivepier.storage import commit
from endivepier.targets import ports
from endivepier.telemetry import metrics as metrics_lib

LOAD = 20.0


class SlowLoader(engine_lib.MemoryEngine):
    """An engine that takes a while to load, and records what overlaps."""

    loading = 0
    most = 0

    def __init__(self, timers, name, checks):
        profile = engine_lib.EngineProfile(checks_fence=checks)
        super().__init__(timers, name, ["base"], profile)
        self.clock = timers
        self.sent = []

    def order(self, order):
        self.sent.append(order)
        if order.action != "load":
            super().order(order)
            return
        if order.fence < self._fence and self._profile.checks_fence:
            raise errors.Fenced("old")
        self._fence = order.fence
        SlowLoader.loading += 1
        SlowLoader.most = max(SlowLoader.most, SlowLoader.loading)
        self.clock.after(LOAD, lambda: self.loaded(order.model))

    def loaded(self, model):
        SlowLoader.loading -= 1
        self._models.append(model)


class Fleet:
    def __init__(self, count, checks=True):
        SlowLoader.loading = SlowLoader.most = 0
        self.timers = clock.VirtualTimers()
        self.network = network_lib.Network(self.timers)
        self.table = table_lib.MemoryTable(self.timers)
        self.wanted = ["base"]
        self.engines = [
            SlowLoader(self.timers, f"e{n}", checks) for n in range(count)
        ]
        self.hosts = []
        self.model_loaders = [self.sidecar(n, "first") for n in range(count)]

    def sidecar(self, number, incarnation):
        host = self.network.add(f"{incarnation}-{number}:1")
        self.hosts.append(host)
        rng = random.Random(f"{number}-{incarnation}")
        table = host.table(self.table)
        leases = leases_lib.Leases(
            table,
            commit.Committer(table, host.timers, rng),
            host.timers,
            ids_lib.Ids(rng),
            f"{number}-{incarnation}",
        )
        made = model_loading.ModelLoader(
            self.engines[number],
            f"e{number}",
            leases,
            host.timers,
            metrics_lib.Metrics(),
            pool=lambda: "pool",
            wanted=lambda: tuple(self.wanted),
        )
        made.start()
        return made

    def run(self, script):
        self.timers.run(script)


@pytest.mark.parametrize("checks", [True, False])
def test_loads_come_one_at_a_time_and_once(checks):
    fleet = Fleet(3, checks)

    def script():
        fleet.timers.sleep(5.0)
        fleet.wanted = ["a", "b", "base"]
        fleet.timers.sleep(6 * (LOAD + 12.0))
        assert all(set(e.models()) == {"a", "b", "base"} for e in fleet.engines)
        loads = [
            (e.name, o.model)
            for e in fleet.engines
            for o in e.sent
            if o.action == "load"
        ]
        assert len(loads) == len(set(loads)) == 6
        assert SlowLoader.most == 1
        fleet.wanted = ["a", "base"]
        fleet.timers.sleep(30.0)
        assert all(set(e.models()) == {"a", "base"} for e in fleet.engines)

    fleet.run(script)


def test_a_loader_that_dies_does_not_block_its_pool_for_ever():
    fleet = Fleet(2)

    def script():
        fleet.wanted = ["a", "base"]
        fleet.timers.sleep(3.0)
        (first,) = [n for n, e in enumerate(fleet.engines) if e.sent]
        fleet.hosts[first].kill()
        fleet.timers.sleep(model_loading.MODEL_LOAD_TIMEOUT_SECONDS / 2)
        other = fleet.engines[1 - first]
        assert not other.sent
        fleet.timers.sleep(model_loading.MODEL_LOAD_TIMEOUT_SECONDS)
        assert "a" in other.models()

    fleet.run(script)


def test_an_order_of_a_paused_holder_is_fenced():
    fleet = Fleet(1)

    def script():
        fleet.wanted = ["a", "base"]
        fleet.timers.sleep(40.0)
        (old,) = fleet.engines[0].sent
        fleet.hosts[0].freeze()
        fleet.sidecar(0, "second")
        fleet.wanted = ["b", "base"]
        fleet.timers.sleep(60.0)
        newest = max(o.fence for o in fleet.engines[0].sent)
        assert newest > old.fence
        with pytest.raises(errors.Fenced):
            fleet.engines[0].order(ports.Order(old.fence, "unload", "base"))
        assert "base" in fleet.engines[0].models()

    fleet.run(script)


def test_a_lease_passes_on_only_after_its_time_or_when_given_back():
    fleet = Fleet(0)
    rng = random.Random(1)

    def leases(name):
        table = fleet.network.add(f"{name}:1").table(fleet.table)
        committer = commit.Committer(table, fleet.timers, rng)
        return leases_lib.Leases(
            table, committer, fleet.timers, ids_lib.Ids(rng), name
        )

    def script():
        one, two = leases("one"), leases("two")
        held = one.acquire("orders/x", 10.0)
        assert held is not None
        assert two.acquire("orders/x", 10.0) is None
        fleet.timers.sleep(9.0)
        assert two.acquire("orders/x", 10.0) is None
        fleet.timers.sleep(1.5)
        assert not one.is_valid(held)
        taken = two.acquire("orders/x", 10.0)
        assert taken is not None
        assert taken.fence > held.fence
        one.release(held)
        assert one.acquire("orders/x", 10.0) is None
        two.release(taken)
        assert one.acquire("orders/x", 10.0) is not None

    fleet.run(script)
