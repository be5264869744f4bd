"""Has the engine beside this sidecar load the models of its pool.

Orders come from the holder of the target's lease only, with the lease's
fencing number. Not all engines check it; for those that don't, three things
stand in: the sidecar beside a target is the only one to order it, it compares
its lease with the clock just before it sends, and it reads back what is
loaded instead of believing that its order was carried out. Loads are
idempotent, so a late order of a former holder is put right in the next round.

Weights come from a store that is limited in rate. In each pool one target
loads one model at a time; the others go on serving.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.scheduling import leases as leases_lib
from endivepier.targets import ports as target_ports
from endivepier.telemetry import metrics as metrics_lib

CHECK_INTERVAL_SECONDS = 2.0
ORDER_LEASE_SECONDS = 10.0
# A load that takes longer than this is taken for failed and ordered again.
MODEL_LOAD_TIMEOUT_SECONDS = 300.0


class ModelLoader:
    """Compares what is loaded with what the configuration says."""

    def __init__(
        self,
        engine: target_ports.ModelEngine,
        target: str,
        leases: leases_lib.Leases,
        timers: timers_lib.Timers,
        metrics: metrics_lib.Metrics,
        *,
        pool: Callable[[], str],
        wanted: Callable[[], Sequence[str]],
    ) -> None:
        """Makes an orderer that does nothing until `start`.

        Args:
            engine: the engine beside this sidecar.
            target: its name.
            leases: for the right to order and to load.
            timers: the timer service.
            metrics: counts orders.
            pool: returns the target's pool, or an empty string.
            wanted: returns the models that the pool should have.
        """
        self._engine = engine
        self._target = target
        self._leases = leases
        self._timers = timers
        self._metrics = metrics
        self._pool = pool
        self._wanted = wanted
        self._declared: set[str] = set()
        self._loading: tuple[str, leases_lib.Lease] | None = None
        self._subscription: timers_lib.Subscription | None = None

    def start(self) -> None:
        """Compares from now on."""
        self._subscription = self._timers.every(
            CHECK_INTERVAL_SECONDS, self.check
        )

    def stop(self) -> None:
        """Orders nothing more."""
        if self._subscription is not None:
            self._subscription.cancel()

    def check(self) -> None:
        """Gives at most one order."""
        pool = self._pool()
        if not pool:
            return
        wanted = set(self._wanted())
        try:
            loaded = set(self._engine.models())
            self._settle(loaded)
            if self._loading is None and wanted - loaded:
                self._load(pool, min(wanted - loaded))
            withdrawn = (self._declared - wanted) & loaded
            self._declared |= wanted
            if withdrawn:
                self._order("unload", min(withdrawn))
        except errors.TargetFailed:
            self._metrics.count("engine_orders_failed")
        except errors.Fenced:
            self._metrics.count("engine_orders_fenced")

    def _settle(self, loaded: set[str]) -> None:
        """Gives the right to load back once the model is seen, or lapses."""
        if self._loading is None:
            return
        model, lease = self._loading
        if model in loaded or not self._leases.is_valid(lease):
            self._loading = None
            self._leases.release(lease)

    def _load(self, pool: str, model: str) -> None:
        lease = self._leases.acquire(
            f"loads/{pool}", MODEL_LOAD_TIMEOUT_SECONDS
        )
        if lease is None:
            return
        # Noted first: after a lost reply the engine may be loading already,
        # and the same model must not be ordered a second time meanwhile.
        self._loading = (model, lease)
        if not self._order("load", model):
            self._loading = None
            self._leases.release(lease)

    def _order(self, action: str, model: str) -> bool:
        """Sends an order; returns False if it was certainly not sent."""
        lease = self._leases.acquire(
            f"orders/{self._target}", ORDER_LEASE_SECONDS
        )
        if lease is None:
            return False
        try:
            if not self._leases.is_valid(lease):
                return False
            self._engine.order(target_ports.Order(lease.fence, action, model))
        finally:
            self._leases.release(lease)
        self._metrics.count("engine_orders", action=action)
        return True
