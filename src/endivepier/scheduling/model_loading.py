"""Makes the engine beside this sidecar load the models of its pool.

Only the holder of the target's lease sends orders to the engine, with the
fencing number of the lease. For engines that don't check this number, three
rules limit stale orders: only the sidecar beside a target sends it orders, the
sidecar checks that its lease is valid right before it sends one, and it reads
the list of loaded models instead of assuming that an order was carried out.
Loads are idempotent, so the next check corrects a late order of a former
holder.

The store of model weights is limited in rate. In each pool, only one target at
a time loads a model, while the others keep serving.
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
# A load that takes longer counts as failed, and is ordered again.
MODEL_LOAD_TIMEOUT_SECONDS = 300.0


class ModelLoader:
    """Loads and unloads models until the engine matches the configuration.

    A model is unloaded only if the configuration has named it since this
    process started and names it no more.
    """

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
        """Makes a model loader that does nothing until `start`.

        Args:
            engine: the engine beside this sidecar.
            target: the name of the engine.
            leases: the leases for sending orders and for loading models.
            timers: the timer service.
            metrics: counts the orders by outcome.
            pool: returns the target's pool, or an empty string.
            wanted: returns the models that the pool's engines should have.
        """
        self._engine = engine
        self._target = target
        self._leases = leases
        self._timers = timers
        self._metrics = metrics
        self._pool = pool
        self._wanted = wanted
        self._once_wanted: set[str] = set()
        self._loading: tuple[str, leases_lib.Lease] | None = None
        self._subscription: timers_lib.Subscription | None = None

    def start(self) -> None:
        """Starts periodic checks."""
        self._subscription = self._timers.every(
            CHECK_INTERVAL_SECONDS, self.check
        )

    def stop(self) -> None:
        """Stops the checks; no more orders are sent."""
        if self._subscription is not None:
            self._subscription.cancel()

    def check(self) -> None:
        """Sends at most one order to load and one to unload a model."""
        pool = self._pool()
        if not pool:
            return
        wanted = set(self._wanted())
        try:
            loaded = set(self._engine.models())
            self._finish_load(loaded)
            if self._loading is None and wanted - loaded:
                self._start_load(pool, min(wanted - loaded))
            unwanted = (self._once_wanted - wanted) & loaded
            self._once_wanted |= wanted
            if unwanted:
                self._send_order("unload", min(unwanted))
        except errors.TargetFailed:
            self._metrics.count("engine_orders_failed")
        except errors.Fenced:
            self._metrics.count("engine_orders_fenced")

    def _finish_load(self, loaded: set[str]) -> None:
        """Releases the lease once its model is loaded or the lease expires."""
        if self._loading is None:
            return
        model, lease = self._loading
        if model in loaded or not self._leases.is_valid(lease):
            self._loading = None
            self._leases.release(lease)

    def _start_load(self, pool: str, model: str) -> None:
        """Orders a load if no other target of the pool is loading a model."""
        lease = self._leases.acquire(
            f"loads/{pool}", MODEL_LOAD_TIMEOUT_SECONDS
        )
        if lease is None:
            return
        # Set before the order is sent: if the reply is lost, the engine may be
        # loading the model, and the model must not be ordered again meanwhile.
        self._loading = (model, lease)
        if not self._send_order("load", model):
            self._loading = None
            self._leases.release(lease)

    def _send_order(self, action: str, model: str) -> bool:
        """Sends an order; returns False if it certainly was not sent.

        Raises:
            errors.Fenced: the engine rejected the fencing number.
            errors.TargetFailed: the engine failed; it may have got the order.
        """
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
