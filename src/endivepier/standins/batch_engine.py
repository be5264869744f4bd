"""Timing model of inference engines with continuous batching.

Simulates only durations, without a network or generated text, to test
placement and admission. Each step of an engine generates one token for every
running request. Prompts are prefilled in chunks between steps, so each new
request slows down the running ones. Prefilled parts of prompts stay cached and
are evicted in least-recently-used order when the memory is needed.

Default values are those of the users' data sheets.
"""

from __future__ import annotations

import collections
import dataclasses

import gevent
import gevent.event

from endivepier import timers as timers_lib
from endivepier.gateway import model


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Speed and capacity of an engine.

    Attributes:
        slots: maximum number of requests that run at a time.
        step_seconds: duration of a step, without prefill.
        prefill_tokens_per_second: speed of prefill.
        tokens_per_chunk: maximum number of prompt tokens prefilled between two
            steps.
        kv_tokens: capacity of the memory that the prompts of running requests
            and cached parts share.
    """

    slots: int = 12
    step_seconds: float = 0.0061
    prefill_tokens_per_second: float = 110_000.0
    tokens_per_chunk: int = 2048
    kv_tokens: int = 174_738


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request at an engine.

    Attributes:
        call: the client request, which has the parts of the prompt.
        remaining_tokens: tokens still to be generated.
        unprefilled_tokens: prompt tokens still to be prefilled; -1 while the
            request waits for a slot.
        first_token: set when the first token is generated.
        finished: set when the last token is generated.
    """

    call: model.Call
    remaining_tokens: int
    unprefilled_tokens: int = -1
    first_token: gevent.event.Event = dataclasses.field(
        default_factory=gevent.event.Event
    )
    finished: gevent.event.Event = dataclasses.field(
        default_factory=gevent.event.Event
    )


class Engine:
    """An inference engine in simulated time.

    Attributes:
        prefilled_tokens: total number of prompt tokens prefilled.
        running: requests in the batch.
        waiting: requests that wait for a slot, oldest first.
    """

    def __init__(self, timers: timers_lib.Timers, spec: EngineSpec) -> None:
        self.prefilled_tokens = 0
        self.running: list[Job] = []
        self.waiting: collections.deque[Job] = collections.deque()
        self._spec = spec
        self._timers = timers
        self._cached_parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0
        self._has_task = False

    def submit(self, call: model.Call, output_tokens: int) -> Job:
        """Queues a request that generates `output_tokens` tokens."""
        job = Job(call, output_tokens)
        self.waiting.append(job)
        if not self._has_task:
            self._has_task = True
            gevent.spawn(self._run)
        return job

    def cancel(self, job: Job) -> None:
        """Removes a request whose client no longer waits for it."""
        if job in self.waiting:
            self.waiting.remove(job)
        if job in self.running:
            self.running.remove(job)

    def _run(self) -> None:
        while self.running or self.waiting:
            while self.waiting and len(self.running) < self._spec.slots:
                job = self.waiting.popleft()
                job.unprefilled_tokens = self._uncached_tokens(job.call)
                self.running.append(job)
            seconds = self._spec.step_seconds + self._prefill_chunk()
            self._timers.sleep(seconds)
            for job in list(self.running):
                if not job.unprefilled_tokens:
                    self._generate(job)
        self._has_task = False

    def _prefill_chunk(self) -> float:
        """Prefills at most one chunk; returns the duration in seconds."""
        remaining = self._spec.tokens_per_chunk
        for job in self.running:
            tokens = min(job.unprefilled_tokens, remaining)
            job.unprefilled_tokens -= tokens
            remaining -= tokens
            self.prefilled_tokens += tokens
        return (
            self._spec.tokens_per_chunk - remaining
        ) / self._spec.prefill_tokens_per_second

    def _generate(self, job: Job) -> None:
        job.first_token.set()
        job.remaining_tokens -= 1
        if job.remaining_tokens <= 0:
            self.running.remove(job)
            self._cache_parts(job.call)
            job.finished.set()

    def _uncached_tokens(self, call: model.Call) -> int:
        """Returns the prompt tokens to prefill: at least the last one."""
        uncached = call.prompt_tokens
        for part in call.parts:
            if part.name not in self._cached_parts:
                break
            self._cached_parts.move_to_end(part.name)
            uncached -= part.tokens
        return max(uncached, 1)

    def _cache_parts(self, call: model.Call) -> None:
        for part in call.parts:
            if part.name not in self._cached_parts:
                self._cached_parts[part.name] = part.tokens
                self._cached_tokens += part.tokens
            self._cached_parts.move_to_end(part.name)
        running_tokens = sum(job.call.prompt_tokens for job in self.running)
        while (
            self._cached_tokens > self._spec.kv_tokens - running_tokens
            and self._cached_parts
        ):
            self._cached_tokens -= self._cached_parts.popitem(last=False)[1]
