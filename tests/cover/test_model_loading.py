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

LOAD_SECONDS = 20.0


class SlowLoadingEngine(engine_lib.MemoryEngine):
    """An engine with slow loads, which counts those that overlap."""

    loading = 0
    max_loading = 0

    def __init__(self, timers, name, checks):
        profile = engine_lib.EngineProfile(checks_fence=checks)
        super().__init__(timers, name, ["base"], profile)
        self.clock = timers
        self.sent_orders = []

    def order(self, order):
        self.sent_orders.append(order)
        if order.action != "load":
            super().order(order)
            return
        if order.fence < self._fence and self._profile.checks_fence:
            raise errors.Fenced("old")
        self._fence = order.fence
        SlowLoadingEngine.loading += 1
        SlowLoadingEngine.max_loading = max(
            SlowLoadingEngine.max_loading, SlowLoadingEngine.loading
        )
        self.clock.after(LOAD_SECONDS, lambda: self.loaded(order.model))

    def loaded(self, model):
        SlowLoadingEngine.loading -= 1
        self._models.append(model)


class Fleet:
    def __init__(self, count, checks=True):
        SlowLoadingEngine.loading = SlowLoadingEngine.max_loading = 0
        self.timers = clock.VirtualTimers()
        self.network = network_lib.Network(self.timers)
        self.table = table_lib.MemoryTable(self.timers)
        self.wanted = ["base"]
        self.engines = [
            SlowLoadingEngine(self.timers, f"e{n}", checks)
            for n in range(count)
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
        model_loader = model_loading.ModelLoader(
            self.engines[number],
            f"e{number}",
            leases,
            host.timers,
            metrics_lib.Metrics(),
            pool=lambda: "pool",
            wanted=lambda: tuple(self.wanted),
        )
        model_loader.start()
        return model_loader

    def run(self, script):
        self.timers.run(script)


@pytest.mark.parametrize("checks", [True, False])
def test_a_pool_loads_one_model_at_a_time_and_each_only_once(checks):
    fleet = Fleet(3, checks)

    def script():
        fleet.timers.sleep(5.0)
        fleet.wanted = ["a", "b", "base"]
        fleet.timers.sleep(6 * (LOAD_SECONDS + 12.0))
        assert all(set(e.models()) == {"a", "b", "base"} for e in fleet.engines)
        loads = [
            (e.name, o.model)
            for e in fleet.engines
            for o in e.sent_orders
            if o.action == "load"
        ]
        assert len(loads) == len(set(loads)) == 6
        assert SlowLoadingEngine.max_loading == 1
        fleet.wanted = ["a", "base"]
        fleet.timers.sleep(30.0)
        assert all(set(e.models()) == {"a", "base"} for e in fleet.engines)

    fleet.run(script)


def test_a_dead_sidecar_blocks_loads_only_until_its_lease_expires():
    fleet = Fleet(2)

    def script():
        fleet.wanted = ["a", "base"]
        fleet.timers.sleep(3.0)
        (first,) = [n for n, e in enumerate(fleet.engines) if e.sent_orders]
        fleet.hosts[first].kill()
        fleet.timers.sleep(model_loading.MODEL_LOAD_TIMEOUT_SECONDS / 2)
        other = fleet.engines[1 - first]
        assert not other.sent_orders
        fleet.timers.sleep(model_loading.MODEL_LOAD_TIMEOUT_SECONDS)
        assert "a" in other.models()

    fleet.run(script)


def test_an_order_of_a_paused_lease_holder_is_fenced():
    fleet = Fleet(1)

    def script():
        fleet.wanted = ["a", "base"]
        fleet.timers.sleep(40.0)
        (old,) = fleet.engines[0].sent_orders
        fleet.hosts[0].freeze()
        fleet.sidecar(0, "second")
        fleet.wanted = ["b", "base"]
        fleet.timers.sleep(60.0)
        newest = max(o.fence for o in fleet.engines[0].sent_orders)
        assert newest > old.fence
        with pytest.raises(errors.Fenced):
            fleet.engines[0].order(ports.Order(old.fence, "unload", "base"))
        assert "base" in fleet.engines[0].models()

    fleet.run(script)


def test_a_lease_changes_hands_only_after_it_expires_or_is_released():
    fleet = Fleet(0)
    rng = random.Random(1)

    def leases(name):
        table = fleet.network.add(f"{name}:1").table(fleet.table)
        committer = commit.Committer(table, fleet.timers, rng)
        return leases_lib.Leases(
            table, committer, fleet.timers, ids_lib.Ids(rng), name
        )

    def script():
        first_holder, second_holder = leases("one"), leases("two")
        first_lease = first_holder.acquire("orders/x", 10.0)
        assert first_lease is not None
        assert second_holder.acquire("orders/x", 10.0) is None
        fleet.timers.sleep(9.0)
        assert second_holder.acquire("orders/x", 10.0) is None
        fleet.timers.sleep(1.5)
        assert not first_holder.is_valid(first_lease)
        second_lease = second_holder.acquire("orders/x", 10.0)
        assert second_lease is not None
        assert second_lease.fence > first_lease.fence
        first_holder.release(first_lease)
        assert first_holder.acquire("orders/x", 10.0) is None
        second_holder.release(second_lease)
        assert first_holder.acquire("orders/x", 10.0) is not None

    fleet.run(script)
