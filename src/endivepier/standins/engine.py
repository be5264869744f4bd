"""A model engine in memory: batching, prefix cache, priorities, cancel.

Prompts are prefilled one at a time, cached prefixes cost nothing; then each
running request gets its tokens at a pace that falls with the batch's size.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import json
import random

import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.targets import ports
from endivepier.targets import tokens

WORDS = ("nder", "teranga", "xaalis", "bayad", "pondo", "salin", "oo", "waaw")


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """The speed and size of an engine.

    Attributes:
        batch: most requests that run at a time.
        token_seconds: time for one token of an engine with one request.
        batch_slope: by which share of `token_seconds` each further running
            request slows all of them.
        prefill_tokens_per_second: how fast uncached prompt is read.
        kv_tokens: size of the prefix cache.
        tokens_per_event: how many tokens come in one event.
        report_lag: seconds by which load reports lag.
        event_lag: seconds by which cache events come late.
        event_loss: share of cache events that never come.
        kv_tokens_per_second: how fast prefixes are exported and imported.
        checks_fence: whether an order with an old fencing number is refused.
    """

    batch: int = 8
    token_seconds: float = 0.01
    batch_slope: float = 0.05
    prefill_tokens_per_second: float = 20000.0
    kv_tokens: int = 50000
    tokens_per_event: int = 1
    report_lag: float = 1.0
    event_lag: float = 1.0
    event_loss: float = 0.0
    kv_tokens_per_second: float = 100000.0
    checks_fence: bool = True


@dataclasses.dataclass(slots=True)
class EngineFaults:
    """What is wrong with the engine now.

    Attributes:
        down: requests fail before anything is sent.
        slowdown: factor on every duration.
        cut_after: streams break off after that many tokens; None for never.
        foreign: events carry the id of another request.
    """

    down: bool = False
    slowdown: float = 1.0
    cut_after: int | None = None
    foreign: bool = False


class _Waiting:
    """A request in the engine's own queue."""

    def __init__(self, priority: float, order: int, request_id: str) -> None:
        self.rank = (priority, order)
        self.request_id = request_id
        self.admitted = gevent.event.Event()


class MemoryEngine:
    """A `targets.ports.ModelEngine` in memory."""

    def __init__(
        self,
        timers: timers_lib.Timers,
        name: str,
        models: Sequence[str],
        profile: EngineProfile | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.faults = EngineFaults()
        self.name = name
        self.prefilled_tokens = 0
        self.cached_tokens = 0
        self.generated_tokens = 0
        self.orders: list[ports.Order] = []
        self._timers = timers
        self._profile = profile or EngineProfile()
        self._rng = rng or random.Random(0)
        self._models = list(models)
        self._running: set[str] = set()
        self._cancelled: set[str] = set()
        self._waiting: list[_Waiting] = []
        self._arrivals = 0
        self._prefill_free_at = 0.0
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._events: list[tuple[float, ports.CacheEvent]] = []
        self._sequence = 0
        self._fence = 0
        self._reports: collections.deque[tuple[float, ports.EngineLoad]] = (
            collections.deque(maxlen=256)
        )

    @property
    def busy(self) -> int:
        """How many requests run or wait inside the engine."""
        return len(self._running) + len(self._waiting)

    def generate(self, req: ports.Generate) -> Iterator[ports.EngineEvent]:
        """Yields events; see `targets.ports.ModelEngine.generate`."""
        if self.faults.down:
            raise errors.TargetFailed(self.name, "it is down", sent=False)
        if req.model not in self._models:
            raise errors.TargetFailed(
                self.name, f"model {req.model!r} is not loaded", sent=False
            )
        self._admit(req)
        try:
            prompt = tokens.count_messages(req.messages)
            cached = self._prefill(req, prompt)
            yield from self._decode(req, prompt, cached)
        finally:
            self._leave(req)

    def cancel(self, request_id: str) -> None:
        """Ends a request; see `targets.ports.ModelEngine.cancel`."""
        for entry in list(self._waiting):
            if entry.request_id == request_id:
                self._waiting.remove(entry)
                self._cancelled.add(request_id)
                entry.admitted.set()
        if request_id in self._running:
            self._cancelled.add(request_id)

    def load_report(self) -> ports.EngineLoad:
        """Returns the load as it was a lag ago."""
        horizon = self._timers.now() - self._profile.report_lag
        report = self._snapshot(0)
        for moment, candidate in reversed(self._reports):
            report = candidate
            if moment <= horizon:
                break
        return dataclasses.replace(report, age=self._profile.report_lag)

    def cached_prefixes(self) -> Sequence[ports.HeldPrefix]:
        """Returns what the cache holds now."""
        return [
            ports.HeldPrefix(key, size) for key, size in self._cache.items()
        ]

    def release(self, session: str) -> None:
        """Frees the prefix of a session."""
        if self._cache.pop(session, None) is not None:
            self._note_cache(session, 0)

    def cache_events(self, after: int) -> Sequence[ports.CacheEvent]:
        """Returns the events that are due, with gaps where some were lost."""
        horizon = self._timers.now() - self._profile.event_lag
        return [
            event
            for moment, event in self._events
            if moment <= horizon and event.sequence > after
        ]

    def export_kv(self, session: str) -> bytes | None:
        """Returns the session's cached prefix, or None."""
        size = self._cache.get(session)
        if size is None:
            return None
        self._copy(size)
        return json.dumps(size).encode()

    def import_kv(self, session: str, blob: bytes) -> None:
        """Puts an exported prefix into the cache."""
        size = int(json.loads(blob))
        self._copy(size)
        self._store(session, size)

    def order(self, order: ports.Order) -> None:
        """Carries out an order; see `targets.ports.ModelEngine.order`."""
        if self._profile.checks_fence and order.fence < self._fence:
            raise errors.Fenced(
                f"order {order.fence} is older than {self._fence}"
            )
        self._fence = max(self._fence, order.fence)
        self.orders.append(order)
        if order.action == "load" and order.model not in self._models:
            self._models.append(order.model)
        if order.action == "unload" and order.model in self._models:
            self._models.remove(order.model)

    def models(self) -> Sequence[str]:
        """Returns the models that are loaded."""
        return tuple(self._models)

    def _copy(self, size: int) -> None:
        """Takes the time that a prefix needs on its way in or out."""
        seconds = size / self._profile.kv_tokens_per_second
        self._timers.sleep(seconds * self.faults.slowdown)

    def _admit(self, req: ports.Generate) -> None:
        """Waits for a place in the batch, by priority."""
        self._arrivals += 1
        entry = _Waiting(req.priority, self._arrivals, req.request_id)
        self._waiting.append(entry)
        self._admit_next()
        try:
            entry.admitted.wait()
            self._check_cancelled(req)
        except BaseException:
            if entry in self._waiting:
                self._waiting.remove(entry)
            else:
                self._leave(req)
            raise

    def _admit_next(self) -> None:
        while self._waiting and len(self._running) < self._profile.batch:
            entry = min(self._waiting, key=lambda item: item.rank)
            self._waiting.remove(entry)
            self._running.add(entry.request_id)
            entry.admitted.set()
        self._report()

    def _leave(self, req: ports.Generate) -> None:
        self._running.discard(req.request_id)
        self._cancelled.discard(req.request_id)
        self._admit_next()

    def _prefill(self, req: ports.Generate, prompt: int) -> int:
        """Reads the uncached part of the prompt; returns the cached part."""
        cached = min(self._cache.get(req.session, 0), prompt)
        fresh = prompt - cached
        self.prefilled_tokens += fresh
        self.cached_tokens += cached
        seconds = fresh / self._profile.prefill_tokens_per_second
        start = max(self._timers.now(), self._prefill_free_at)
        self._prefill_free_at = start + seconds * self.faults.slowdown
        self._timers.sleep(self._prefill_free_at - self._timers.now())
        self._check_cancelled(req)
        self._store(req.session, prompt)
        return cached

    def _decode(
        self, req: ports.Generate, prompt: int, cached: int
    ) -> Iterator[ports.EngineEvent]:
        request_id = req.request_id
        if self.faults.foreign:
            request_id = "foreign-" + request_id
        picker = random.Random(req.request_id)
        done = 0
        while done < req.max_tokens:
            count = min(self._profile.tokens_per_event, req.max_tokens - done)
            self._timers.sleep(self._pace() * count)
            self._check_alive(req, done)
            text = (picker.choice(WORDS) + " ") * count
            self.generated_tokens += count
            yield ports.Token(request_id, done, text, count)
            done += count
        self._store(req.session, prompt + done)
        yield ports.Finished(request_id, prompt, cached, done, "length")

    def _check_alive(self, req: ports.Generate, done: int) -> None:
        self._check_cancelled(req)
        cut = self.faults.cut_after
        if self.faults.down or (cut is not None and done >= cut):
            raise errors.TargetFailed(self.name, "broke off", sent=True)

    def _check_cancelled(self, req: ports.Generate) -> None:
        if req.request_id in self._cancelled:
            raise errors.TargetFailed(self.name, "cancelled", sent=True)

    def _pace(self) -> float:
        """Returns seconds for one token at the batch's size."""
        others = max(0, len(self._running) - 1)
        factor = 1.0 + self._profile.batch_slope * others
        return self._profile.token_seconds * factor * self.faults.slowdown

    def _store(self, session: str, size: int) -> None:
        self._cache[session] = size
        self._cache.move_to_end(session)
        self._note_cache(session, size)
        while sum(self._cache.values()) > self._profile.kv_tokens:
            if len(self._cache) == 1:
                break
            evicted, _ = self._cache.popitem(last=False)
            self._note_cache(evicted, 0)

    def _note_cache(self, session: str, size: int) -> None:
        self._sequence += 1
        if self._rng.random() < self._profile.event_loss:
            return
        event = ports.CacheEvent(self._sequence, session, size)
        self._events.append((self._timers.now(), event))

    def _snapshot(self, age: float) -> ports.EngineLoad:
        return ports.EngineLoad(
            running=len(self._running),
            waiting=len(self._waiting),
            kv_tokens=sum(self._cache.values()),
            kv_capacity=self._profile.kv_tokens,
            age=age,
        )

    def _report(self) -> None:
        self._reports.append((self._timers.now(), self._snapshot(0)))
