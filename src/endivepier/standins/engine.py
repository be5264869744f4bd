"""A model engine in memory: batching, prefix cache, priorities, cancellation.

Prompts are prefilled one at a time, and cached prefixes take no time. Running
requests then generate tokens at a rate that falls with the size of the batch.
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
    """Speed, capacity and reporting of an engine.

    Attributes:
        max_batch_size: maximum number of requests that run at a time.
        token_seconds: time per token while a single request runs.
        batch_slope: fraction of `token_seconds` that each further running
            request adds to the time per token.
        prefill_tokens_per_second: speed of prefill of uncached prompts.
        kv_tokens: capacity of the prefix cache, in tokens.
        tokens_per_event: number of tokens in a stream event.
        report_lag_seconds: age of the load reports.
        event_lag_seconds: delay of cache events.
        event_loss: fraction of cache events that are lost.
        kv_tokens_per_second: speed of export and import of cached prefixes.
        checks_fence: whether an order with an old fencing number is rejected.
    """

    max_batch_size: int = 8
    token_seconds: float = 0.01
    batch_slope: float = 0.05
    prefill_tokens_per_second: float = 20000.0
    kv_tokens: int = 50000
    tokens_per_event: int = 1
    report_lag_seconds: float = 1.0
    event_lag_seconds: float = 1.0
    event_loss: float = 0.0
    kv_tokens_per_second: float = 100000.0
    checks_fence: bool = True


@dataclasses.dataclass(slots=True)
class EngineFaults:
    """Faults that are injected now; the fields may change at any time.

    Attributes:
        down: new requests fail before anything is sent, and the streams of
            running ones break off.
        slowdown: factor on all durations.
        cut_after_tokens: streams break off after this many tokens; None for
            never.
        foreign_ids: events carry the id of another request.
    """

    down: bool = False
    slowdown: float = 1.0
    cut_after_tokens: int | None = None
    foreign_ids: bool = False


class _QueuedRequest:
    """A request in the engine's queue."""

    def __init__(self, priority: float, order: int, request_id: str) -> None:
        self.sort_key = (priority, order)
        self.request_id = request_id
        self.admitted = gevent.event.Event()


class MemoryEngine:
    """A `targets.ports.ModelEngine` in memory.

    Attributes:
        faults: the faults to inject.
        name: the target's name.
        prefilled_tokens: total number of prompt tokens prefilled.
        cached_tokens: total number of prompt tokens found in the cache.
        generated_tokens: total number of tokens generated.
        orders: orders that were carried out, oldest first.
    """

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
        self._waiting: list[_QueuedRequest] = []
        self._arrival_count = 0
        self._prefill_free_at = 0.0
        # Cached tokens by session; the least recently stored one comes first.
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
    def active_requests(self) -> int:
        """Number of requests that run or wait in the engine."""
        return len(self._running) + len(self._waiting)

    def generate(self, req: ports.Generate) -> Iterator[ports.EngineEvent]:
        """Yields events; see `targets.ports.ModelEngine.generate`."""
        if self.faults.down:
            raise errors.TargetFailed(
                self.name, "the engine is down", sent=False
            )
        if req.model not in self._models:
            raise errors.TargetFailed(
                self.name, f"model {req.model!r} is not loaded", sent=False
            )
        self._admit(req)
        try:
            prompt_tokens = tokens.count_messages(req.messages)
            cached = self._prefill(req, prompt_tokens)
            yield from self._decode(req, prompt_tokens, cached)
        finally:
            self._release_slot(req)

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
        """Returns the load of `report_lag_seconds` ago.

        If no load was recorded by then, returns the oldest recorded one, or
        the current load if there is none.
        """
        latest = self._timers.now() - self._profile.report_lag_seconds
        report = self._current_load(0)
        for recorded_at, earlier_report in reversed(self._reports):
            report = earlier_report
            if recorded_at <= latest:
                break
        return dataclasses.replace(report, age=self._profile.report_lag_seconds)

    def cached_prefixes(self) -> Sequence[ports.HeldPrefix]:
        """Returns the cached prefixes."""
        return [
            ports.HeldPrefix(key, prefix_tokens)
            for key, prefix_tokens in self._cache.items()
        ]

    def release(self, session: str) -> None:
        """Evicts the cached prefix of a session."""
        if self._cache.pop(session, None) is not None:
            self._record_cache_event(session, 0)

    def cache_events(self, after: int) -> Sequence[ports.CacheEvent]:
        """Returns the due events; lost ones leave gaps in the sequence."""
        latest = self._timers.now() - self._profile.event_lag_seconds
        return [
            event
            for recorded_at, event in self._events
            if recorded_at <= latest and event.sequence > after
        ]

    def export_kv(self, session: str) -> bytes | None:
        """Returns the session's cached prefix, or None."""
        prefix_tokens = self._cache.get(session)
        if prefix_tokens is None:
            return None
        self._simulate_copy(prefix_tokens)
        return json.dumps(prefix_tokens).encode()

    def import_kv(self, session: str, blob: bytes) -> None:
        """Adds an exported prefix to the cache."""
        prefix_tokens = int(json.loads(blob))
        self._simulate_copy(prefix_tokens)
        self._cache_prefix(session, prefix_tokens)

    def order(self, order: ports.Order) -> None:
        """Carries out an order; see `targets.ports.ModelEngine.order`."""
        if self._profile.checks_fence and order.fence < self._fence:
            raise errors.Fenced(
                f"fencing number {order.fence} is older than {self._fence}"
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

    def _simulate_copy(self, prefix_tokens: int) -> None:
        """Sleeps for the time that the export or import of a prefix takes."""
        seconds = prefix_tokens / self._profile.kv_tokens_per_second
        self._timers.sleep(seconds * self.faults.slowdown)

    def _admit(self, req: ports.Generate) -> None:
        """Waits for a slot in the batch, in order of priority and arrival."""
        self._arrival_count += 1
        entry = _QueuedRequest(
            req.priority, self._arrival_count, req.request_id
        )
        self._waiting.append(entry)
        self._admit_next()
        try:
            entry.admitted.wait()
            self._check_cancelled(req)
        except BaseException:
            if entry in self._waiting:
                self._waiting.remove(entry)
            else:
                self._release_slot(req)
            raise

    def _admit_next(self) -> None:
        while (
            self._waiting and len(self._running) < self._profile.max_batch_size
        ):
            entry = min(self._waiting, key=lambda item: item.sort_key)
            self._waiting.remove(entry)
            self._running.add(entry.request_id)
            entry.admitted.set()
        self._record_load()

    def _release_slot(self, req: ports.Generate) -> None:
        self._running.discard(req.request_id)
        self._cancelled.discard(req.request_id)
        self._admit_next()

    def _prefill(self, req: ports.Generate, prompt_tokens: int) -> int:
        """Prefills the uncached tokens; returns the number of cached ones."""
        cached = min(self._cache.get(req.session, 0), prompt_tokens)
        uncached = prompt_tokens - cached
        self.prefilled_tokens += uncached
        self.cached_tokens += cached
        seconds = uncached / self._profile.prefill_tokens_per_second
        start = max(self._timers.now(), self._prefill_free_at)
        self._prefill_free_at = start + seconds * self.faults.slowdown
        self._timers.sleep(self._prefill_free_at - self._timers.now())
        self._check_cancelled(req)
        self._cache_prefix(req.session, prompt_tokens)
        return cached

    def _decode(
        self, req: ports.Generate, prompt_tokens: int, cached: int
    ) -> Iterator[ports.EngineEvent]:
        request_id = req.request_id
        if self.faults.foreign_ids:
            request_id = "foreign-" + request_id
        word_rng = random.Random(req.request_id)
        generated = 0
        while generated < req.max_tokens:
            count = min(
                self._profile.tokens_per_event, req.max_tokens - generated
            )
            self._timers.sleep(self._seconds_per_token() * count)
            self._check_alive(req, generated)
            text = (word_rng.choice(WORDS) + " ") * count
            self.generated_tokens += count
            yield ports.Token(request_id, generated, text, count)
            generated += count
        self._cache_prefix(req.session, prompt_tokens + generated)
        yield ports.Finished(
            request_id, prompt_tokens, cached, generated, "length"
        )

    def _check_alive(self, req: ports.Generate, generated: int) -> None:
        self._check_cancelled(req)
        token_limit = self.faults.cut_after_tokens
        if self.faults.down or (
            token_limit is not None and generated >= token_limit
        ):
            raise errors.TargetFailed(
                self.name, "the stream broke off", sent=True
            )

    def _check_cancelled(self, req: ports.Generate) -> None:
        if req.request_id in self._cancelled:
            raise errors.TargetFailed(
                self.name, "the request was cancelled", sent=True
            )

    def _seconds_per_token(self) -> float:
        """Returns the seconds per token at the current batch size."""
        others = max(0, len(self._running) - 1)
        factor = 1.0 + self._profile.batch_slope * others
        return self._profile.token_seconds * factor * self.faults.slowdown

    def _cache_prefix(self, session: str, prefix_tokens: int) -> None:
        self._cache[session] = prefix_tokens
        self._cache.move_to_end(session)
        self._record_cache_event(session, prefix_tokens)
        while sum(self._cache.values()) > self._profile.kv_tokens:
            if len(self._cache) == 1:
                break
            evicted, _ = self._cache.popitem(last=False)
            self._record_cache_event(evicted, 0)

    def _record_cache_event(self, session: str, prefix_tokens: int) -> None:
        self._sequence += 1
        if self._rng.random() < self._profile.event_loss:
            return
        event = ports.CacheEvent(self._sequence, session, prefix_tokens)
        self._events.append((self._timers.now(), event))

    def _current_load(self, age: float) -> ports.EngineLoad:
        return ports.EngineLoad(
            running=len(self._running),
            waiting=len(self._waiting),
            kv_tokens=sum(self._cache.values()),
            kv_capacity=self._profile.kv_tokens,
            age=age,
        )

    def _record_load(self) -> None:
        self._reports.append((self._timers.now(), self._current_load(0)))
