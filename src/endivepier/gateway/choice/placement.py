"""Chooses the target of a call.

A call goes to the target with the lowest cost, an estimate in seconds: time to
prefill the part of the prompt that the target has not cached, queueing at the
target, network latency, and penalties for recent failures. An entry host knows
its own calls at once, and those of other hosts only from their load reports.

If no last target of a program is known, the engine that rendezvous hashing of
the program's id selects costs slightly less than the others. So hosts agree on
a target without communication unless the loads differ.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import random

from endivepier import timers as timers_lib
from endivepier.gateway import model
from endivepier.gateway.choice import load_reports
from endivepier.internal import bounded_map
from endivepier.internal import rendezvous

# Rate of the slower engine type in the users' data sheets.
PREFILL_TOKENS_PER_SECOND = 60_000.0
# Delay that each running request adds to a new one: 0.04 ms per decoding step
# (users' data sheets) for some 35 steps, and a share of its own prefill.
RUNNING_REQUEST_COST_SECONDS = 0.002
QUEUED_REQUEST_COST_SECONDS = 0.030  # for each request beyond the slots
# A round trip, and the time in which the target sets up the connection (1 ms in
# the users' data sheets) and may occupy a slot for it.
CONNECT_COST_SECONDS = 0.005
# A round trip between data centres, and the transfer.
OTHER_DATA_CENTRE_COST_SECONDS = 0.004
HASH_MISMATCH_COST_SECONDS = 0.004  # for targets that the hash doesn't prefer
# For each of this host's requests at a target that is no engine.
PLAIN_REQUEST_COST_SECONDS = 0.020
ERROR_RATE_COST_SECONDS = 0.6  # for a target that fails every request
ERROR_WEIGHT = 0.25  # of the newest result in the error rate
FIRST_AVOID_SECONDS = 0.25  # after a failure; doubles with each further one
MAX_AVOID_SECONDS = 4.0
FULL_AVOID_SECONDS = 0.1  # after a target refused a call because it was full
FIRST_STEP_SECONDS = 0.03  # a round trip and one decoding step
# Time without a first event before a turn counts as queued; long prompts
# usually take this long.
FIRST_EVENT_GRACE_SECONDS = 0.1
WAIT_WEIGHT = 0.3  # of the newest observation in the average wait
WAIT_HALF_LIFE_SECONDS = 1.0  # of an observed queueing delay
MAX_CACHED_PARTS = 4096  # prompt parts remembered for one target
MAX_AVOIDED = 1_000  # targets without a load record
AVOIDED_COST_SECONDS = 60.0  # makes an avoided target the last choice


@dataclasses.dataclass(slots=True, eq=False)
class Load:
    """Load and prompt cache of a target, as far as this process knows them.

    Attributes:
        running: this host's calls that run there.
        error_rate: moving average of the share of calls that failed.
        consecutive_failures: failures since the last success.
        avoid_until: until when other targets are preferred, monotonic seconds.
        queue_wait: moving average of the time that first events took beyond
            the prefill of the prompt and the first step.
        queue_wait_at: when `queue_wait` was last updated, monotonic seconds.
        awaiting_first_event: send times, in monotonic seconds, of turns
            without a first event yet, by call id; oldest first.
        cached_parts: names of prompt parts that it is assumed to have cached,
            the most recently used ones last.
    """

    running: int = 0
    error_rate: float = 0.0
    consecutive_failures: int = 0
    avoid_until: float = 0.0
    queue_wait: float = 0.0
    queue_wait_at: float = 0.0
    awaiting_first_event: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    cached_parts: bounded_map.BoundedMap[None] = dataclasses.field(
        default_factory=lambda: bounded_map.BoundedMap(MAX_CACHED_PARTS)
    )

    def expected_wait(self, now: float) -> float:
        """Returns the likely queueing delay of a new turn, in seconds."""
        observed = self.queue_wait * 0.5 ** (
            (now - self.queue_wait_at) / WAIT_HALF_LIFE_SECONDS
        )
        if not self.awaiting_first_event:
            return observed
        oldest = next(iter(self.awaiting_first_event.values()))
        return max(observed, now - oldest - FIRST_EVENT_GRACE_SECONDS)

    def note_cached(self, parts: tuple[model.Part, ...]) -> None:
        """Records that the target has the parts in its prompt cache."""
        for part in parts:
            self.cached_parts.put(part.name, None)

    def uncached_tokens(self, call: model.Call) -> int:
        """Returns how many tokens of the prompt the target has to prefill.

        Only a prefix of the prompt can be reused from the cache.
        """
        uncached = call.prompt_tokens
        for part in call.parts:
            if part.name not in self.cached_parts:
                break
            uncached -= part.tokens
        return max(uncached, 0)


class Placement:
    """Chooses targets by their load, latency and recent failures."""

    def __init__(
        self,
        data_centre: str,
        timers: timers_lib.Timers,
        rng: random.Random,
        reports: load_reports.LoadReports,
        is_connected: Callable[[str], bool] = lambda _: True,
    ) -> None:
        """Initializes a placement without data on any target.

        Args:
            data_centre: data centre of this host.
            timers: the timer service.
            rng: breaks ties.
            reports: the load reports of other hosts; this host's own report
                is read from the placement.
            is_connected: returns whether there is an idle connection to the
                target of the given incarnation.
        """
        self.reports = reports
        reports.set_source(self._running_by_incarnation)
        self._data_centre = data_centre
        self._timers = timers
        self._rng = rng
        self._is_connected = is_connected
        self._loads: dict[str, Load] = {}
        # Until when targets are avoided that this host has no load record of,
        # monotonic seconds. Other hosts may name targets that don't exist.
        self._avoid_until: bounded_map.BoundedMap[float] = (
            bounded_map.BoundedMap(MAX_AVOIDED)
        )

    def load(self, target: model.Target) -> Load:
        """Returns the load record of a target."""
        load = self._loads.get(target.incarnation)
        if load is None:
            until = self._avoid_until.get(target.incarnation) or 0.0
            load = Load(avoid_until=until)
            self._loads[target.incarnation] = load
        return load

    def forget(self, target: model.Target) -> None:
        """Drops the load record of a target that no longer exists."""
        self._loads.pop(target.incarnation, None)

    def choose(
        self,
        call: model.Call,
        targets: list[model.Target],
        engine: model.Engine | None,
        excluded: set[str],
        last_target: str = "",
    ) -> model.Target | None:
        """Returns the target with the lowest cost; None if none is eligible.

        Args:
            call: the call to send.
            targets: the targets of the service.
            engine: properties of the service's engines; None for a service
                that runs none.
            excluded: incarnations that must not be chosen.
            last_target: incarnation of the target that ran the program's
                previous turn and has its prompt cached, or empty.
        """
        candidates = [t for t in targets if t.incarnation not in excluded]
        if not candidates:
            return None
        key = call.program or call.session or call.affinity or call.id
        preferred = rendezvous.choose(key, [t.name for t in candidates])
        return min(
            candidates,
            key=lambda t: self._cost(
                call, t, engine, t.name == preferred, last_target
            ),
        )

    def cost(
        self,
        call: model.Call,
        target: model.Target,
        engine: model.Engine | None,
        last_target: str,
    ) -> float:
        """Returns the cost of a call at a target, in seconds.

        It leaves out the preference for a target by the program's hash; for the
        arguments see `choose`.
        """
        return self._cost(call, target, engine, True, last_target)

    def note_sent(self, target: model.Target, call: model.Call) -> None:
        """Records that a call was sent."""
        load = self.load(target)
        load.running += 1
        load.note_cached(call.parts)
        if call.parts:
            load.awaiting_first_event[call.id] = self._timers.now()

    def note_ended(
        self, target: model.Target, call: model.Call, *, failed: bool
    ) -> None:
        """Records the end of a call; failures make the target avoided."""
        load = self.load(target)
        load.awaiting_first_event.pop(call.id, None)
        load.running = max(load.running - 1, 0)
        load.error_rate += ERROR_WEIGHT * (float(failed) - load.error_rate)
        if not failed:
            load.consecutive_failures = 0
            load.avoid_until = 0.0
            return
        load.consecutive_failures += 1
        seconds = FIRST_AVOID_SECONDS * 2 ** min(
            load.consecutive_failures - 1, 6
        )
        self._avoid(load, min(seconds, MAX_AVOID_SECONDS))

    def note_first_event(
        self,
        target: model.Target,
        call: model.Call,
        uncached: int,
        seconds: float,
    ) -> None:
        """Records how long a stream's first event took.

        The delay also reflects the load that other hosts put on the target.

        Args:
            target: the target of the call.
            call: the call.
            uncached: prompt tokens that the target had to prefill.
            seconds: time from sending the call to its first event.
        """
        now = self._timers.now()
        load = self.load(target)
        load.awaiting_first_event.pop(call.id, None)
        expected = uncached / PREFILL_TOKENS_PER_SECOND + FIRST_STEP_SECONDS
        excess = max(seconds - expected, 0.0)
        before = load.expected_wait(now)
        load.queue_wait = before + WAIT_WEIGHT * (excess - before)
        load.queue_wait_at = now

    def running(self, target: model.Target) -> float:
        """Returns an estimate of the calls that a target runs for all hosts.

        Without recent reports, other hosts are assumed to have as many there
        as this one.
        """
        own = self.load(target).running
        others = self.reports.calls_from_others(target.incarnation)
        if others is None:
            return float(own * self.reports.host_count)
        return own + others

    def calls_per_slot(
        self, targets: list[model.Target], slots: float | None = None
    ) -> float:
        """Returns the running calls of all hosts per slot of the targets.

        Args:
            targets: the targets.
            slots: how many of their slots may be used; all if None.
        """
        if slots is None:
            slots = sum(target.slots for target in targets)
        return sum(self.running(target) for target in targets) / max(slots, 1)

    def _running_by_incarnation(self) -> dict[str, int]:
        return {
            incarnation: load.running
            for incarnation, load in self._loads.items()
            if load.running
        }

    def shortest_wait(self, targets: list[model.Target]) -> float:
        """Returns the shortest expected queueing delay of all targets."""
        now = self._timers.now()
        waits = [self.load(target).expected_wait(now) for target in targets]
        return min(waits, default=0.0)

    def note_full(self, target: model.Target, call: model.Call) -> None:
        """Records that a target refused to run a call, usually when full."""
        load = self.load(target)
        load.awaiting_first_event.pop(call.id, None)
        load.running = max(load.running - 1, 0)
        self._avoid(load, FULL_AVOID_SECONDS)

    def avoid(self, incarnation: str, seconds: float) -> None:
        """Avoids a target that exceeded a limit, here or at another host.

        Args:
            incarnation: name and start time of the target.
            seconds: how long to avoid it, `MAX_AVOID_SECONDS` at most.
        """
        seconds = min(seconds, MAX_AVOID_SECONDS)
        load = self._loads.get(incarnation)
        if load is None:
            self._avoid_until.put(incarnation, self._timers.now() + seconds)
        else:
            self._avoid(load, seconds)

    def is_avoided(self, target: model.Target) -> bool:
        """Returns whether other targets are preferred to a target now."""
        return self.load(target).avoid_until > self._timers.now()

    def _avoid(self, load: Load, seconds: float) -> None:
        load.avoid_until = max(load.avoid_until, self._timers.now() + seconds)

    def _cost(
        self,
        call: model.Call,
        target: model.Target,
        engine: model.Engine | None,
        preferred: bool,
        last_target: str = "",
    ) -> float:
        load = self.load(target)
        cost = load.error_rate * ERROR_RATE_COST_SECONDS
        if target.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_COST_SECONDS
        if not self._is_connected(target.incarnation):
            cost += CONNECT_COST_SECONDS
        if self.is_avoided(target):
            cost += AVOIDED_COST_SECONDS
        running = self.running(target)
        cost += (
            max(running + 1.0 - target.slots, 0.0) * QUEUED_REQUEST_COST_SECONDS
        )
        if engine is None:
            cost += load.running * PLAIN_REQUEST_COST_SECONDS
        else:
            cost += load.expected_wait(self._timers.now())
            uncached = load.uncached_tokens(call)
            if target.incarnation == last_target and call.parts:
                uncached = min(uncached, call.parts[-1].tokens)
            cost += uncached / PREFILL_TOKENS_PER_SECOND
            cost += running * RUNNING_REQUEST_COST_SECONDS
            if not preferred and not last_target:
                cost += HASH_MISMATCH_COST_SECONDS
        return cost + self._rng.random() * 1e-4
