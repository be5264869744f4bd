"""Runs the product's queue, dispatcher and router in simulated time.

Engines, network and membership are simulated, and one driver sends all calls.
"""

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
ENTRY_ADDRESS = "entry:1"
HEARTBEAT_SECONDS = 6.0
SUSPECT_CHECK_SECONDS = 1.0
MIN_IDLE_SECONDS_BEFORE_PROBE = 5.0
CALL_TIMEOUT_SECONDS = 60.0
MAX_ATTEMPTS = 20
DEFAULT_RETRY_SECONDS = 0.2
NETWORK_LATENCY_SECONDS = 0.0015


class _View:
    """A host's stand-in for `membership.view.View`, updated by the cluster."""

    def __init__(self, cluster: Cluster, address: str) -> None:
        self._cluster = cluster
        self._address = address
        self._suspects: set[str] = set()
        self._watches: list[tuple[str, gevent.event.Event]] = []
        self._probe_replies: dict[str, members.Member] = {}

    def me(self) -> members.Member:
        return self._cluster.describe(self._address)

    def ready(self, role: str, pool: str = "") -> list[members.Member]:
        del role, pool
        return [
            self._probe_replies.get(member.address, member)
            for member in self._cluster.snapshot
            if member.address not in self._suspects
        ]

    def probe(self, address: str) -> members.Member | None:
        self._cluster.timers.sleep(2 * NETWORK_LATENCY_SECONDS)
        if not self._cluster.is_alive(address):
            self._suspects.add(address)
            return None
        self._probe_replies[address] = self._cluster.describe(address)
        return self._probe_replies[address]

    def find(self, address: str) -> members.Member | None:
        matches = [m for m in self.ready("") if m.address == address]
        return matches[0] if matches else None

    def suspect(self, address: str) -> None:
        self._suspects.add(address)

    @contextlib.contextmanager
    def watch(self, address: str) -> Iterator[gevent.event.Event]:
        """Yields an event that `check_suspects` sets if the member is down."""
        suspected = gevent.event.Event()
        self._watches.append((address, suspected))
        try:
            yield suspected
        finally:
            self._watches.remove((address, suspected))

    def last_reported(self, address: str) -> members.Member | None:
        return self.find(address)

    def discard_probe_replies(self) -> None:
        """Goes back to the descriptions of the last heartbeat round."""
        self._probe_replies.clear()

    def check_suspects(self) -> None:
        """Adds watched members that are down, removes members that are up."""
        for address, suspected in list(self._watches):
            if not self._cluster.is_alive(address):
                self._suspects.add(address)
                suspected.set()
        self._suspects = {
            address
            for address in self._suspects
            if not self._cluster.is_alive(address)
        }


class _Sidecar:
    """The scheduling components of a sidecar, and its engine."""

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
            limit=setup.queue_limit,
            policy=setup.queue_policy,
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
            policy=setup.route_policy,
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
            probe_seconds=MIN_IDLE_SECONDS_BEFORE_PROBE,
        )
        self.dispatcher.register(self.host.inbox, lambda: None)
        self.host.inbox.register_stream(
            setup_lib.OwnedCall, ports.EngineEvent, self._generate
        )

        self.host.inbox.register(
            setup_lib.ProgramOver, work_lib.Released, self._release
        )

    def _release(self, req: setup_lib.ProgramOver) -> work_lib.Released:
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
    """Engines with sidecars, and a driver in place of the entry hosts."""

    def __init__(self, setup: setup_lib.Setup, seed: int) -> None:
        self.timers = clock.VirtualTimers()
        self.network = network_lib.Network(
            self.timers, latency_seconds=NETWORK_LATENCY_SECONDS
        )
        self.entry_host = self.network.add(ENTRY_ADDRESS)
        self.entry_view = _View(self, ENTRY_ADDRESS)
        self.outcome = setup_lib.Outcome()
        self.snapshot: list[members.Member] = []
        self._sidecars = {
            sidecar.address: sidecar
            for sidecar in (
                _Sidecar(self, number, setup, seed) for number in range(ENGINES)
            )
        }
        self._update_snapshot()

    def is_alive(self, address: str) -> bool:
        """Returns whether the sidecar is neither killed nor frozen."""
        host = self._sidecars[address].host
        return host.alive and not host.frozen

    def describe(self, address: str) -> members.Member:
        """Returns the present description of a sidecar."""
        return self._sidecars[address].describe()

    def run(
        self,
        plans: Sequence[workloads.Plan],
        fault: setup_lib.Fault,
        seconds: float,
        *,
        drain: bool = True,
    ) -> setup_lib.Outcome:
        """Runs all plans; without `drain`, aborts them after `seconds`."""
        heartbeat_rounds = self.timers.every(
            HEARTBEAT_SECONDS, self._update_snapshot
        )
        suspect_checks = self.timers.every(
            SUSPECT_CHECK_SECONDS, self._check_suspects
        )
        for sidecar in self._sidecars.values():
            sidecar.slow_target_monitor.start()
        self.timers.after(seconds / 3, lambda: self._inject_fault(fault))
        self.timers.run(self._run_programs, plans, None if drain else seconds)
        heartbeat_rounds.cancel()
        suspect_checks.cancel()
        for sidecar in self._sidecars.values():
            sidecar.slow_target_monitor.stop()
        return self.outcome

    def _run_programs(
        self, plans: Sequence[workloads.Plan], until: float | None
    ) -> None:
        tasks = [
            gevent.spawn(self._run_program, number, plan)
            for number, plan in enumerate(plans)
        ]
        if until is None:
            gevent.joinall(tasks, raise_error=True)
            return
        self.timers.sleep(until)
        gevent.killall(tasks, block=False)

    def _update_snapshot(self) -> None:
        self.snapshot = [
            sidecar.describe()
            for sidecar in self._sidecars.values()
            if sidecar.host.alive
        ]
        for sidecar in self._sidecars.values():
            sidecar.view.discard_probe_replies()
        self.entry_view.discard_probe_replies()

    def _check_suspects(self) -> None:
        for sidecar in self._sidecars.values():
            sidecar.view.check_suspects()
        self.entry_view.check_suspects()

    def _inject_fault(self, fault: setup_lib.Fault) -> None:
        faulty_sidecar = self._sidecars["sidecar:2"]
        match fault:
            case setup_lib.Fault.KILLED:
                faulty_sidecar.host.kill()
            case setup_lib.Fault.SLOWED:
                faulty_sidecar.engine.faults.slowdown = 10.0
            case setup_lib.Fault.NONE | setup_lib.Fault.LATE_EVENTS:
                pass

    def _run_program(self, number: int, plan: workloads.Plan) -> None:
        """Runs the calls of one program in sequence, with its pauses."""
        self.timers.sleep(plan.start)
        conversation: list[ports.ChatMessage] = []
        attained = 0
        for turn, step in enumerate(plan.steps):
            history = tokens.count_messages(conversation)
            conversation.append(_message("user", step.added_tokens))
            call = self._make_call(plan, turn, step, conversation, attained)
            finished = self._call_with_retries(plan, call)
            if finished is None:
                self.outcome.failed_programs += 1
                return
            self.outcome.completed.append((number, turn, self.timers.now()))
            self.outcome.history_tokens += history
            self.outcome.recomputed_tokens += max(
                0, history - finished.cached_tokens
            )
            attained += finished.completion_tokens
            conversation.append(_message("assistant", step.output_tokens))
            if turn + 1 < len(plan.steps):
                self.timers.sleep(step.pause_seconds)
        if not plan.flood:
            self.outcome.latencies.append(self.timers.now() - plan.start)
        self._end_program(plan)

    def _end_program(self, plan: workloads.Plan) -> None:
        owner = self._find_owner(plan.program_id)
        req = setup_lib.ProgramOver(plan.program_id)
        try:
            self.entry_host.peers.call(
                owner.address, req, work_lib.Released, seconds=1.0
            )
        except errors.PeerUnreachable as exc:
            self.entry_view.suspect(exc.address)

    def _find_owner(self, program_id: str) -> members.Member:
        while True:
            ready = self.entry_view.ready("sidecar")
            if ready:
                return placement.ranked(program_id, ready)[0]
            self.timers.sleep(DEFAULT_RETRY_SECONDS)

    def _make_call(
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
            cost=step.added_tokens + step.output_tokens,
            worth=plan.kind_weight,
            seconds=CALL_TIMEOUT_SECONDS,
        )
        request = ports.Generate(
            request_id=f"{plan.program_id}-{turn}",
            session=plan.program_id,
            model=MODEL,
            messages=tuple(conversation),
            max_tokens=step.output_tokens,
        )
        return setup_lib.OwnedCall(work, request)

    def _call_with_retries(
        self, plan: workloads.Plan, call: setup_lib.OwnedCall
    ) -> ports.Finished | None:
        """Sends a call until it succeeds; returns None if no attempt does."""
        for attempt in range(MAX_ATTEMPTS):
            request_id = f"{call.request.request_id}-{attempt}"
            request = dataclasses.replace(call.request, request_id=request_id)
            if not plan.flood:
                self.outcome.calls_sent += 1
            try:
                return self._send(dataclasses.replace(call, request=request))
            except errors.Refused as exc:
                self._count_refusal(plan)
                delay = exc.retry_after or DEFAULT_RETRY_SECONDS
            except errors.PeerUnreachable as exc:
                self.entry_view.suspect(exc.address)
                delay = DEFAULT_RETRY_SECONDS
            self.timers.sleep(delay)
        return None

    def _count_refusal(self, plan: workloads.Plan) -> None:
        if plan.flood:
            self.outcome.flood_refusals += 1
        else:
            self.outcome.refusals += 1

    def _send(self, call: setup_lib.OwnedCall) -> ports.Finished | None:
        owner = self._find_owner(call.work.program_id)
        last: ports.EngineEvent | None = None
        for event in self.entry_host.peers.stream(
            owner.address, call, ports.EngineEvent, seconds=CALL_TIMEOUT_SECONDS
        ):
            last = event
        if not isinstance(last, ports.Finished):
            raise errors.PeerUnreachable(
                owner.address, "the stream ended early", sent=True
            )
        return last


def _message(role: str, count: int) -> ports.ChatMessage:
    """Returns a message that counts as `count` tokens."""
    size = max(1, count - tokens.TOKENS_PER_MESSAGE) * tokens.BYTES_PER_TOKEN
    return ports.ChatMessage(role, "x" * size)
