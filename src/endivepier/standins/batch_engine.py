"""A model of engines that run requests in batches, in simulated time.

For experiments with placement and admission: no network and no text, only how
long things take. An engine makes one token for each running request in a
step; prompts are read in chunks between the steps, so that each new request
slows down the others. Parts of prompts that were read stay in memory until
it is needed for something else, those used last the longest.

The figures are those of the users' sheets (cnt-endivepier).
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
    """What an engine can do.

    Attributes:
        slots: requests that run at once.
        step_seconds: seconds a step takes, without prompts.
        prefill_tokens_per_second: prompt tokens that are read in a second.
        chunk_tokens: most prompt tokens that are read between two steps.
        kv_tokens: tokens that are kept, of running requests and of parts.
    """

    slots: int = 12
    step_seconds: float = 0.0061
    prefill_tokens_per_second: float = 110_000.0
    chunk_tokens: int = 2048
    kv_tokens: int = 174_738


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request at an engine.

    Attributes:
        call: what is asked.
        left: tokens that it is yet to generate.
        unread: prompt tokens that are yet to be read; -1 before it runs.
        first_token: set with its first token.
        finished: set with its last token.
    """

    call: model.Call
    left: int
    unread: int = -1
    first_token: gevent.event.Event = dataclasses.field(
        default_factory=gevent.event.Event
    )
    finished: gevent.event.Event = dataclasses.field(
        default_factory=gevent.event.Event
    )


class Engine:
    """One engine.

    Attributes:
        prefilled_tokens: prompt tokens that it has read.
        running: requests in its batch.
        waiting: requests that wait for a slot.
    """

    def __init__(self, timers: timers_lib.Timers, spec: EngineSpec) -> None:
        self.prefilled_tokens = 0
        self.running: list[Job] = []
        self.waiting: collections.deque[Job] = collections.deque()
        self._spec = spec
        self._timers = timers
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._kept = 0
        self._busy = False

    def submit(self, call: model.Call, tokens: int) -> Job:
        """Queues a request that generates `tokens`."""
        job = Job(call, tokens)
        self.waiting.append(job)
        if not self._busy:
            self._busy = True
            gevent.spawn(self._run)
        return job

    def cancel(self, job: Job) -> None:
        """Drops a request whose caller has left."""
        if job in self.waiting:
            self.waiting.remove(job)
        if job in self.running:
            self.running.remove(job)

    def _run(self) -> None:
        while self.running or self.waiting:
            while self.waiting and len(self.running) < self._spec.slots:
                job = self.waiting.popleft()
                job.unread = self._unread(job.call)
                self.running.append(job)
            seconds = self._spec.step_seconds + self._read_chunk()
            self._timers.sleep(seconds)
            for job in list(self.running):
                if not job.unread:
                    self._generate(job)
        self._busy = False

    def _read_chunk(self) -> float:
        """Reads prompts up to a chunk; returns the seconds that it takes."""
        room = self._spec.chunk_tokens
        for job in self.running:
            tokens = min(job.unread, room)
            job.unread -= tokens
            room -= tokens
            self.prefilled_tokens += tokens
        return (
            self._spec.chunk_tokens - room
        ) / self._spec.prefill_tokens_per_second

    def _generate(self, job: Job) -> None:
        job.first_token.set()
        job.left -= 1
        if job.left <= 0:
            self.running.remove(job)
            self._keep(job.call)
            job.finished.set()

    def _unread(self, call: model.Call) -> int:
        left = call.prompt_tokens
        for part in call.parts:
            if part.name not in self._parts:
                break
            self._parts.move_to_end(part.name)
            left -= part.tokens
        return max(left, 1)

    def _keep(self, call: model.Call) -> None:
        for part in call.parts:
            if part.name not in self._parts:
                self._parts[part.name] = part.tokens
                self._kept += part.tokens
            self._parts.move_to_end(part.name)
        running = sum(job.call.prompt_tokens for job in self.running)
        while self._kept > self._spec.kv_tokens - running and self._parts:
            self._kept -= self._parts.popitem(last=False)[1]
