"""Which target a call goes to.

The cost of a target is an estimate in seconds: the prompt that it would have
to read again, what waits there already, and how far away it is. An entry host
knows its own sends at once and nothing of others'; hosts agree on a target
for a program that none of them has seen by hashing its name.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
import random

from endivepier import timers as timers_lib
from endivepier.gateway import load_reports
from endivepier.gateway import model
from endivepier.internal import recent
from endivepier.internal import rendezvous

PREFILL_TOKENS_PER_SECOND = 60_000.0  # the slower of the sheets' engines
# What each running request adds to the time of another: 0.04 ms a step (the
# users' sheets) for some 35 steps, and a part of its prompt between them.
RUNNING_SECONDS = 0.002
QUEUED_SECONDS = 0.030  # what each request beyond the slots adds
# A way there and back, and what a server takes for a new connection (1 ms on
# the users' sheets); it may hold a slot meanwhile.
CONNECT_SECONDS = 0.005
OTHER_CENTRE_SECONDS = 0.004  # two ways between data centres, and the bytes
HASH_SECONDS = 0.004  # preference of the target that the hash names
PLAIN_RUNNING_SECONDS = 0.020  # a request in front, at a plain service
ERROR_SECONDS = 0.6  # cost of a target that fails every request
ERROR_WEIGHT = 0.25  # of the newest result in the error rate
FIRST_AVOID_SECONDS = 0.25
MAX_AVOID_SECONDS = 4.0
FULL_AVOID_SECONDS = 0.1  # a target that was full a moment ago
FIRST_STEP_SECONDS = 0.03  # the way there and back, and a batch's step
SILENT_SECONDS = 0.1  # the first event of a long prompt may take so long
WAIT_WEIGHT = 0.3  # of the newest wait
WAIT_HALF_SECONDS = 1.0  # a queue that was seen is believed half as much then
KNOWN_PARTS = 4096  # parts of prompts that are remembered for one target
DOWN_COST_SECONDS = 60.0


@dataclasses.dataclass(slots=True, eq=False)
class Load:
    """What this process knows of a target.

    Attributes:
        running: own calls that run there.
        errors: recent share of calls that failed.
        failures: failures in a row.
        avoid_until: until when others are preferred, monotonic seconds.
        wait: what first events lately took beyond reading the prompt.
        wait_at: when that was last seen, monotonic seconds.
        silent: when the streams were sent whose first event is due.
        parts: parts of prompts that it has read, those used last at the end.
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
    cached_parts: recent.Recent[None] = dataclasses.field(
        default_factory=lambda: recent.Recent(KNOWN_PARTS)
    )

    def expected_wait(self, now: float) -> float:
        """Returns how long a turn is likely to wait there, in seconds."""
        seen = self.queue_wait * 0.5 ** (
            (now - self.queue_wait_at) / WAIT_HALF_SECONDS
        )
        if not self.awaiting_first_event:
            return seen
        oldest = next(iter(self.awaiting_first_event.values()))
        return max(seen, now - oldest - SILENT_SECONDS)

    def note_cached(self, parts: tuple[model.Part, ...]) -> None:
        """Notes that the target has read the parts."""
        for part in parts:
            self.cached_parts.put(part.name, None)

    def uncached_tokens(self, call: model.Call) -> int:
        """Returns the tokens of the prompt that the target would read."""
        left = call.prompt_tokens
        for part in call.parts:
            if part.name not in self.cached_parts:
                break
            left -= part.tokens
        return max(left, 0)


class Placement:
    """Chooses targets and remembers how they did."""

    def __init__(
        self,
        data_centre: str,
        timers: timers_lib.Timers,
        rng: random.Random,
        reports: load_reports.LoadReports,
        is_connected: Callable[[str], bool] = lambda _: True,
    ) -> None:
        """Makes a placement that knows no target yet.

        Args:
            data_centre: where this host stands.
            timers: the timer service.
            rng: breaks ties.
            reports: what other hosts have under way.
            is_connected: tells whether there is an idle connection to a
                target, by its incarnation.
        """
        self.reports = reports
        reports.set_source(self._under_way)
        self._data_centre = data_centre
        self._timers = timers
        self._rng = rng
        self._is_connected = is_connected
        self._loads: dict[str, Load] = collections.defaultdict(Load)

    def load(self, target: model.Target) -> Load:
        """Returns what is known of a target."""
        return self._loads[target.incarnation]

    def forget(self, target: model.Target) -> None:
        """Forgets a target that is gone."""
        self._loads.pop(target.incarnation, None)

    def choose(
        self,
        call: model.Call,
        targets: list[model.Target],
        engine: model.Engine | None,
        excluded: set[str],
        last_target: str = "",
    ) -> model.Target | None:
        """Returns the target with the lowest cost; None if there is none.

        Args:
            call: what is to be sent.
            targets: of one service.
            engine: what is known of the service's engines; None for a plain
                service.
            excluded: incarnations that must not be chosen.
            last_target: the incarnation that ran the program's turn before this
                one and has its prompt in memory, or empty.
        """
        choices = [t for t in targets if t.incarnation not in excluded]
        if not choices:
            return None
        key = call.program or call.session or call.affinity or call.id
        preferred = rendezvous.choose(key, [t.name for t in choices])
        return min(
            choices,
            key=lambda t: self._cost(
                call, t, engine, t.name == preferred, last_target
            ),
        )

    def note_sent(self, target: model.Target, call: model.Call) -> None:
        """Notes that a call was sent."""
        load = self.load(target)
        load.running += 1
        load.note_cached(call.parts)
        if call.parts:
            load.awaiting_first_event[call.id] = self._timers.now()

    def note_ended(
        self, target: model.Target, call: model.Call, *, failed: bool
    ) -> None:
        """Notes how a call ended at its target."""
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
        unread: int,
        seconds: float,
    ) -> None:
        """Notes how long a stream's first event took.

        That tells of the load that other hosts put on a target, too.
        """
        now = self._timers.now()
        load = self.load(target)
        load.awaiting_first_event.pop(call.id, None)
        expected = unread / PREFILL_TOKENS_PER_SECOND + FIRST_STEP_SECONDS
        excess = max(seconds - expected, 0.0)
        before = load.expected_wait(now)
        load.queue_wait = before + WAIT_WEIGHT * (excess - before)
        load.queue_wait_at = now

    def running(self, target: model.Target) -> float:
        """Returns about how many calls all hosts have at a target."""
        own = self.load(target).running
        elsewhere = self.reports.calls_from_others(target.incarnation)
        if elsewhere is None:
            return float(own * self.reports.host_count)
        return own + elsewhere

    def calls_per_slot(self, targets: list[model.Target]) -> float:
        """Returns the calls under way for each slot of the targets."""
        slots = sum(target.slots for target in targets)
        return sum(self.running(target) for target in targets) / max(slots, 1)

    def _under_way(self) -> dict[str, int]:
        return {
            incarnation: load.running
            for incarnation, load in self._loads.items()
            if load.running
        }

    def shortest_wait(self, targets: list[model.Target]) -> float:
        """Returns how long a turn waits at the target where it waits least."""
        now = self._timers.now()
        waits = [self.load(target).expected_wait(now) for target in targets]
        return min(waits, default=0.0)

    def note_full(self, target: model.Target, call: model.Call) -> None:
        """Notes that a target had no room for a call."""
        load = self.load(target)
        load.awaiting_first_event.pop(call.id, None)
        load.running = max(load.running - 1, 0)
        self._avoid(load, FULL_AVOID_SECONDS)

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
        cost = load.error_rate * ERROR_SECONDS
        if target.data_centre != self._data_centre:
            cost += OTHER_CENTRE_SECONDS
        if not self._is_connected(target.incarnation):
            cost += CONNECT_SECONDS
        if load.avoid_until > self._timers.now():
            cost += DOWN_COST_SECONDS
        running = self.running(target)
        cost += max(running + 1.0 - target.slots, 0.0) * QUEUED_SECONDS
        if engine is None:
            cost += load.running * PLAIN_RUNNING_SECONDS
        else:
            cost += load.expected_wait(self._timers.now())
            unread = load.uncached_tokens(call)
            if target.incarnation == last_target and call.parts:
                unread = min(unread, call.parts[-1].tokens)
            cost += unread / PREFILL_TOKENS_PER_SECOND
            cost += running * RUNNING_SECONDS
            if not preferred and not last_target:
                cost += HASH_SECONDS
        return cost + self._rng.random() * 1e-4
