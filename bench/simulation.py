"""Drives the real queue, dispatcher and router in simulated time."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses
import random

import gevent
import gevent.event

from bench import simulation_setup as setup_lib
from bench import workloads
from endivepier import errors
from endivepier.membership import members
from endivepier.ownership import placement
from endivepier.scheduling import dispatch
from endivepier.scheduling import ejection
from endivepier.scheduling import queue as queue_lib
from endivepier.scheduling import router as router_lib
from endivepier.scheduling import work as work_lib
from endivepier.standins import clock
from endivepier.standins import engine as engine_lib
from endivepier.standins import network as network_lib
from endivepier.targets import ports
from endivepier.targets import tokens
from endivepier.telemetry import metrics as metrics_lib

ENGINES = 7
DATA_CENTRES = ("one", "two", "three")
MODEL = "model"
POOL = "engines"
ENTRY = "entry:1"
VIEW_SECONDS = 6.0
SUSPECT_SECONDS = 1.0
PROBE_SECONDS = 5.0
CALL_SECONDS = 60.0
TRIES = 20
LEAST_RETRY_SECONDS = 0.2
LATENCY_SECONDS = 0.0015


class _View:
    """What one host knows of the others: a heartbeat old, and its suspects."""

    def __init__(self, cluster: Cluster, address: str) -> None:
        self._cluster = cluster
        self._address = address
        self._suspects: set[str] = set()
        self._watched: list[tuple[str, gevent.event.Event]] = []
        self._asked: dict[str, members.Member] = {}

    def me(self) -> members.Member:
        return self._cluster.describe(self._address)

    def ready(self, role: str, pool: str = "") -> list[members.Member]:
        del role, pool
        return [
            self._asked.get(member.address, member)
            for member in self._cluster.snapshot
            if member.address not in self._suspects
        ]

    def probe(self, address: str) -> members.Member | None:
        self._cluster.timers.sleep(2 * LATENCY_SECONDS)
        if not self._cluster.is_alive(address):
            self._suspects.add(address)
            return None
        self._asked[address] = self._cluster.describe(address)
        return self._asked[address]

    def find(self, address: str) -> members.Member | None:
        found = [m for m in self.ready("") if m.address == address]
        return found[0] if found else None

    def suspect(self, address: str) -> None:
        self._suspects.add(address)

    @contextlib.contextmanager
    def watch(self, address: str) -> Iterator[gevent.event.Event]:
        """Tells when a member seems dead; see `membership.view.View.watch`."""
        lost = gevent.event.Event()
        self._watched.append((address, lost))
        try:
            yield lost
        finally:
            self._watched.remove((address, lost))

    def last_reported(self, address: str) -> members.Member | None:
        return self.find(address)

    def beat(self) -> None:
        """Takes the new heartbeats over."""
        self._asked.clear()

    def ask_suspects(self) -> None:
        """Forgets suspects that answer, finds watched members that don't."""
        for address, lost in list(self._watched):
            if not self._cluster.is_alive(address):
                self._suspects.add(address)
                lost.set()
        self._suspects = {
            address
            for address in self._suspects
            if not self._cluster.is_alive(address)
        }


class _Sidecar:
    """The parts of a sidecar that schedule."""

    def __init__(
        self, cluster: Cluster, number: int, setup: setup_lib.Setup, seed: int
    ) -> None:
        self.address = f"sidecar:{number}"
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.host = cluster.network.add(self.address)
        timers = self.host.timers
        self.engine = engine_lib.MemoryEngine(
            timers,
            f"engine-{number}",
            [MODEL],
            setup.profile,
            random.Random(f"engine-{number}-{seed}"),
        )
        self.metrics = metrics_lib.Metrics()
        self.queue = queue_lib.Queue(
            timers,
            slots=setup.slots,
            limit=setup.waiting,
            policy=setup.queue,
        )
        self.dispatcher = dispatch.Dispatcher(
            self.engine, self.queue, timers, self.metrics, self.host.peers
        )
        self.view = _View(cluster, self.address)
        self.router = router_lib.Router(
            self.dispatcher,
            self.host.peers,
            self.view,  # type: ignore[arg-type]
            self.host.timers,
            policy=setup.route,
            rng=random.Random(f"router-{number}-{seed}"),
        )
        self.slow_target_monitor = ejection.SlowTargetMonitor(
            self.queue,
            timers,
            is_ejected=self.router.is_ejected,
            looks_slow=self.router.looks_slow,
            last_activity_at=lambda: self.dispatcher.timing.last_activity_at,
            expel=self.dispatcher.expel,
            probe=self.dispatcher.probe,
            probe_seconds=PROBE_SECONDS,
        )
        self.dispatcher.register(self.host.inbox, lambda: None)
        self.host.inbox.register_stream(
            setup_lib.OwnedCall, ports.EngineEvent, self._generate
        )

        self.host.inbox.register(
            setup_lib.ProgramOver, work_lib.Released, self._end
        )

    def _end(self, req: setup_lib.ProgramOver) -> work_lib.Released:
        self.router.release(req.program_id)
        return work_lib.Released()

    def _generate(
        self, req: setup_lib.OwnedCall
    ) -> Iterator[ports.EngineEvent]:
        yield from self.router.generate(
            work_lib.Generate(req.work, req.request)
        )

    def describe(self) -> members.Member:
        return members.Member(
            address=self.address,
            role="sidecar",
            data_centre=self.data_centre,
            target=self.engine.name,
            pool=POOL,
            state=members.MemberState.READY,
            queued=self.queue.queued,
            running=self.queue.running,
            slots=self.queue.slots,
            service_seconds=self.queue.service_seconds,
            token_seconds=self.dispatcher.timing.token_seconds,
        )


class Cluster:
    """Engines with sidecars, and a driver that stands for entry hosts."""

    def __init__(self, setup: setup_lib.Setup, seed: int) -> None:
        self.timers = clock.VirtualTimers()
        self.network = network_lib.Network(
            self.timers, latency_seconds=LATENCY_SECONDS
        )
        self.entry = self.network.add(ENTRY)
        self.entry_view = _View(self, ENTRY)
        self.outcome = setup_lib.Outcome()
        self.snapshot: list[members.Member] = []
        self._sidecars = {
            sidecar.address: sidecar
            for sidecar in (
                _Sidecar(self, number, setup, seed) for number in range(ENGINES)
            )
        }
        self._beat()

    def is_alive(self, address: str) -> bool:
        """Returns whether the sidecar runs."""
        host = self._sidecars[address].host
        return host.alive and not host.frozen

    def describe(self, address: str) -> members.Member:
        """Returns the state of a sidecar now."""
        return self._sidecars[address].describe()

    def run(
        self,
        plans: Sequence[workloads.Plan],
        fault: setup_lib.Fault,
        seconds: float,
        *,
        drain: bool = True,
    ) -> setup_lib.Outcome:
        """Runs all plans and returns what came out."""
        beats = self.timers.every(VIEW_SECONDS, self._beat)
        rounds = self.timers.every(SUSPECT_SECONDS, self._ask_suspects)
        for sidecar in self._sidecars.values():
            sidecar.slow_target_monitor.start()
        self.timers.after(seconds / 3, lambda: self._break(fault))
        self.timers.run(self._drive, plans, None if drain else seconds)
        beats.cancel()
        rounds.cancel()
        for sidecar in self._sidecars.values():
            sidecar.slow_target_monitor.stop()
        return self.outcome

    def _drive(
        self, plans: Sequence[workloads.Plan], until: float | None
    ) -> None:
        tasks = [
            gevent.spawn(self._program, number, plan)
            for number, plan in enumerate(plans)
        ]
        if until is None:
            gevent.joinall(tasks, raise_error=True)
            return
        self.timers.sleep(until)
        gevent.killall(tasks, block=False)

    def _beat(self) -> None:
        self.snapshot = [
            sidecar.describe()
            for sidecar in self._sidecars.values()
            if sidecar.host.alive
        ]
        for sidecar in self._sidecars.values():
            sidecar.view.beat()
        self.entry_view.beat()

    def _ask_suspects(self) -> None:
        for sidecar in self._sidecars.values():
            sidecar.view.ask_suspects()
        self.entry_view.ask_suspects()

    def _break(self, fault: setup_lib.Fault) -> None:
        victim = self._sidecars["sidecar:2"]
        match fault:
            case setup_lib.Fault.KILLED:
                victim.host.kill()
            case setup_lib.Fault.SLOWED:
                victim.engine.faults.slowdown = 10.0
            case setup_lib.Fault.NONE | setup_lib.Fault.LATE_EVENTS:
                pass

    def _program(self, number: int, plan: workloads.Plan) -> None:
        """Runs one program: its calls one after the other, with pauses."""
        self.timers.sleep(plan.start)
        conversation: list[ports.ChatMessage] = []
        attained = 0
        for turn, step in enumerate(plan.steps):
            history = tokens.count_messages(conversation)
            conversation.append(_message("user", step.added))
            call = self._call(plan, turn, step, conversation, attained)
            finished = self._until_done(plan, call)
            if finished is None:
                self.outcome.failures += 1
                return
            self.outcome.completed.append((number, turn, self.timers.now()))
            self.outcome.history_tokens += history
            self.outcome.recomputed_tokens += max(
                0, history - finished.cached_tokens
            )
            attained += finished.completion_tokens
            conversation.append(_message("assistant", step.output))
            if turn + 1 < len(plan.steps):
                self.timers.sleep(step.pause)
        if not plan.flood:
            self.outcome.latencies.append(self.timers.now() - plan.start)
        self._end(plan)

    def _end(self, plan: workloads.Plan) -> None:
        owner = self._owner(plan.program_id)
        over = setup_lib.ProgramOver(plan.program_id)
        try:
            self.entry.peers.call(
                owner.address, over, work_lib.Released, seconds=1.0
            )
        except errors.PeerUnreachable as exc:
            self.entry_view.suspect(exc.address)

    def _owner(self, program_id: str) -> members.Member:
        while True:
            ready = self.entry_view.ready("sidecar")
            if ready:
                return placement.ranked(program_id, ready)[0]
            self.timers.sleep(LEAST_RETRY_SECONDS)

    def _call(
        self,
        plan: workloads.Plan,
        turn: int,
        step: workloads.Step,
        conversation: Sequence[ports.ChatMessage],
        attained: int,
    ) -> setup_lib.OwnedCall:
        work = work_lib.Work(
            account=plan.account,
            weight=1.0,
            program_id=plan.program_id,
            attained=attained,
            cost=step.added + step.output,
            worth=plan.worth,
            seconds=CALL_SECONDS,
        )
        request = ports.Generate(
            request_id=f"{plan.program_id}-{turn}",
            session=plan.program_id,
            model=MODEL,
            messages=tuple(conversation),
            max_tokens=step.output,
        )
        return setup_lib.OwnedCall(work, request)

    def _until_done(
        self, plan: workloads.Plan, call: setup_lib.OwnedCall
    ) -> ports.Finished | None:
        """Sends a call until it is done, as a patient client does."""
        for attempt in range(TRIES):
            name = f"{call.request.request_id}-{attempt}"
            request = dataclasses.replace(call.request, request_id=name)
            if not plan.flood:
                self.outcome.tried += 1
            try:
                return self._once(dataclasses.replace(call, request=request))
            except errors.Refused as exc:
                self._count_refusal(plan)
                wait = exc.retry_after or LEAST_RETRY_SECONDS
            except errors.PeerUnreachable as exc:
                self.entry_view.suspect(exc.address)
                wait = LEAST_RETRY_SECONDS
            self.timers.sleep(wait)
        return None

    def _count_refusal(self, plan: workloads.Plan) -> None:
        if plan.flood:
            self.outcome.flood_refusals += 1
        else:
            self.outcome.refusals += 1

    def _once(self, call: setup_lib.OwnedCall) -> ports.Finished | None:
        owner = self._owner(call.work.program_id)
        last: ports.EngineEvent | None = None
        for event in self.entry.peers.stream(
            owner.address, call, ports.EngineEvent, seconds=CALL_SECONDS
        ):
            last = event
        if not isinstance(last, ports.Finished):
            raise errors.PeerUnreachable(
                owner.address, "the stream ended early", sent=True
            )
        return last


def _message(role: str, count: int) -> ports.ChatMessage:
    size = max(1, count - tokens.TOKENS_PER_MESSAGE) * tokens.BYTES_PER_TOKEN
    return ports.ChatMessage(role, "x" * size)
