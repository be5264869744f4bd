"""Builds sidecar processes from their components."""

from __future__ import annotations

from collections.abc import Container
from collections.abc import Sequence
import dataclasses

from endivepier.effects import claims as claims_lib
from endivepier.effects import client as client_lib
from endivepier.effects import retention
from endivepier.effects import runner as runner_lib
from endivepier.entry import owners as owners_lib
from endivepier.history import journal as journal_lib
from endivepier.history import receipts as receipts_lib
from endivepier.history import replicas as replicas_lib
from endivepier.internal import process
from endivepier.membership import members
from endivepier.ownership import relays as relays_lib
from endivepier.ownership import shards as shards_lib
from endivepier.scheduling import dispatch
from endivepier.scheduling import ejection
from endivepier.scheduling import leases as leases_lib
from endivepier.scheduling import model_loading
from endivepier.scheduling import policies
from endivepier.scheduling import queue as queue_lib
from endivepier.scheduling import router as router_lib
from endivepier.scheduling import services as services_lib
from endivepier.sidecar import child_budgets as child_budgets_lib
from endivepier.sidecar import handover as handover_lib
from endivepier.sidecar import program_metrics as program_metrics_lib
from endivepier.sidecar import programs as programs_lib
from endivepier.sidecar import reaper as reaper_lib
from endivepier.sidecar import registry as registry_lib
from endivepier.targets import ports as target_ports

SERVICE_SLOTS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class QueueLimits:
    """Limits of the queue in front of the target.

    Attributes:
        slots: maximum number of requests that run at the target at a time.
        max_queued: maximum number of requests that wait in the queue.
    """

    slots: int = 8
    max_queued: int = 512


class EngineSidecar(process.Base):
    """The sidecar of a model engine; it also owns programs."""

    def __init__(
        self,
        env: process.Environment,
        target: str,
        engine: target_ports.ModelEngine,
        limits: QueueLimits,
    ) -> None:
        super().__init__(env, "sidecar", target)
        table = env.platform.table
        self.queue = queue_lib.Queue(
            env.timers, slots=limits.slots, limit=limits.max_queued
        )
        self.dispatcher = dispatch.Dispatcher(
            engine, self.queue, env.timers, self.metrics, env.peers
        )
        self.router = router_lib.Router(
            self.dispatcher,
            env.peers,
            self.view,
            env.timers,
            rng=env.rng,
            evacuated=self._evacuated,
        )
        self.slow_target_monitor = ejection.SlowTargetMonitor(
            self.queue,
            env.timers,
            is_ejected=self.router.is_ejected,
            looks_slow=self.router.looks_slow,
            last_activity_at=lambda: self.dispatcher.timing.last_activity_at,
            expel=self.dispatcher.expel,
            probe=self.dispatcher.probe,
            probe_seconds=policies.OwnerFirst().probe_seconds,
        )
        self.kernel.register("ejection", self.slow_target_monitor)
        self.model_loader = model_loading.ModelLoader(
            engine,
            target,
            leases_lib.Leases(
                table, self.committer, env.timers, self.ids, self.incarnation
            ),
            env.timers,
            self.metrics,
            pool=lambda: self.describe().pool,
            wanted=self._expected_models,
        )
        self.kernel.register("orders", self.model_loader)
        self.shards = shards_lib.Shards(
            table,
            self.committer,
            self.view,
            self.ids,
            self.describe(),
            env.timers,
            self.metrics,
        )
        self.owners = owners_lib.Owners(self.view, env.peers, env.timers)
        self.replicas = replicas_lib.Replicas(
            env.peers, self.view, env.timers, self.metrics
        )
        self.journal = journal_lib.Journal(
            table,
            env.platform.objects,
            self.shards,
            self.replicas,
            env.timers,
            self.ids,
            self.metrics,
        )
        self.registry = registry_lib.Registry(
            self.shards,
            self.journal,
            self.replicas,
            self.view,
            env.timers,
            self.metrics,
        )
        self.child_budgets = child_budgets_lib.ChildBudgets(
            self.registry, self.journal, self.owners, env.timers, self.metrics
        )
        self.programs = programs_lib.ProgramHandler(
            registry=self.registry,
            shards=self.shards,
            journal=self.journal,
            child_budgets=self.child_budgets,
            receipts=receipts_lib.Receipts(env.fleet_secret),
            router=self.router,
            current=self.current,
            services=client_lib.Client(
                self.view, env.peers, env.timers, evacuated=self._evacuated
            ),
            timers=env.timers,
            ids=self.ids,
            program_metrics=program_metrics_lib.ProgramMetrics(
                self.metrics, self.current, env.timers
            ),
        )
        self.handover = handover_lib.Handover(
            self.shards,
            self.registry,
            self.journal,
            self.replicas,
            self.owners,
            env.peers,
            env.timers,
            self.describe(),
        )
        self.reaper = reaper_lib.Reaper(
            engine,
            self.shards,
            self.registry,
            self.owners,
            table,
            env.timers,
            self.metrics,
        )
        for part in (
            self.replicas,
            self.child_budgets,
            self.handover,
            self.reaper,
        ):
            part.register(env.inbox)
        self.relays = relays_lib.Relays(
            env.inbox, env.peers, self.view, env.timers
        )
        self.kernel.register("ownership", self.shards)
        self.kernel.register("reaper", self.reaper)
        self.kernel.register("handover", self.handover)
        self.dispatcher.register(env.inbox, self.check_ready)
        self.programs.register(env.inbox)

    def _evacuated(self) -> Container[str]:
        """Returns the data centres whose targets get no calls."""
        return self.current.state.evacuations

    def _expected_models(self) -> Sequence[str]:
        """Returns the models that the engines of this pool should load."""
        pool = self.describe().pool
        models = self.current.state.models.values()
        return [model.name for model in models if model.pool == pool]

    def describe(self) -> members.Member:
        """Returns this sidecar's member description, with its load."""
        member = super().describe()
        if not hasattr(self, "dispatcher"):
            # The constructor still runs, so there is no load to report.
            return member
        return dataclasses.replace(
            _with_load(member, self.queue),
            token_seconds=self.dispatcher.timing.token_seconds,
        )


class ServiceSidecar(process.Base):
    """The sidecar of a plain service."""

    def __init__(
        self,
        env: process.Environment,
        target: str,
        service: target_ports.Service,
    ) -> None:
        super().__init__(env, "sidecar", target)
        self.claims = claims_lib.Claims(
            env.platform.table, env.platform.objects, env.timers, self.ids
        )
        self.runner = runner_lib.Runner(
            target,
            service,
            self.claims,
            env.timers,
            self.ids,
            self.metrics,
            self._checks_fence,
        )
        self.queue = queue_lib.Queue(
            env.timers, slots=SERVICE_SLOTS, limit=QueueLimits().max_queued
        )
        self.services = services_lib.ServiceDispatcher(
            self.queue, self.current, env.timers, self.runner.run
        )
        self.runner.register(env.inbox, self.check_ready, self.services.run)
        self.sweeper = retention.Sweeper(
            env.platform.table, env.timers, self.metrics, self._is_sweeper
        )
        self.kernel.register("claims", self.sweeper)
        self.kernel.register("effects", self.runner)

    def _checks_fence(self) -> bool:
        """Returns whether the service rejects outdated fencing numbers."""
        target = self.current.state.targets.get(self._target)
        return target is not None and target.checks_fence

    def _is_sweeper(self) -> bool:
        """Returns whether this sidecar is the one that removes old claims.

        Of a pool's sidecars only the first ready one does.
        """
        me = self.describe()
        ready = self.view.ready("sidecar", me.pool)
        return bool(me.pool and ready) and ready[0].address == me.address

    def describe(self) -> members.Member:
        """Returns this sidecar's member description, with its load."""
        member = super().describe()
        if not hasattr(self, "services"):
            # The constructor still runs, so there is no load to report.
            return member
        return _with_load(member, self.queue)


def _with_load(
    member: members.Member, queue: queue_lib.Queue
) -> members.Member:
    """Returns the member description with the load of its queue."""
    return dataclasses.replace(
        member,
        queued=queue.queued,
        running=queue.running,
        slots=queue.slots,
        service_seconds=queue.service_seconds,
    )
