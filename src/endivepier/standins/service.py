"""A plain service, a tool service and a weight store in memory.

The plain service records every request that it carried out, for checkers.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import json

import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.targets import ports

FOREVER_SECONDS = 1e6  # longer than any run with the stand-ins


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """One request that the service carried out.

    Attributes:
        moment: monotonic time at which it was carried out, in seconds.
        request: the request.
    """

    moment: float
    request: ports.ServiceRequest


@dataclasses.dataclass(slots=True)
class ServiceFaults:
    """Faults that are injected now; the fields may change at any time.

    Attributes:
        down: requests fail before anything is sent.
        lost_replies: number of requests, from the next one on, whose response
            is lost although they took effect.
        hang: requests take effect, but their responses never arrive.
        seconds: duration of a request.
    """

    down: bool = False
    lost_replies: int = 0
    hang: bool = False
    seconds: float = 0.01


class MemoryService:
    """A `targets.ports.Service` in memory.

    It does not deduplicate: a request that arrives twice takes effect twice,
    so that a checker sees each violation. A request that has arrived takes
    effect even if its caller has timed out or disconnected.

    Attributes:
        faults: the faults to inject.
        name: the target's name.
        effects: the requests that took effect, in order.
        fenced_requests: number of requests rejected for an old fencing
            number.
    """

    def __init__(
        self,
        timers: timers_lib.Timers,
        name: str,
        *,
        tells_outcome: bool = False,
        checks_fence: bool = False,
    ) -> None:
        """Initializes the service.

        Args:
            timers: the timer service.
            name: the target's name.
            tells_outcome: whether it answers outcome queries by idempotency
                key.
            checks_fence: whether it rejects a request whose fencing number
                is lower than the highest one received for the same
                idempotency key.
        """
        self.faults = ServiceFaults()
        self.name = name
        self.effects: list[Effect] = []
        self.fenced_requests = 0
        self._timers = timers
        self._tells_outcome = tells_outcome
        self._checks_fence = checks_fence
        self._responses: dict[str, ports.ServiceResponse] = {}
        self._running_keys: set[str] = set()
        self._ruled_out_keys: set[str] = set()
        self._highest_fences: dict[str, int] = {}

    def call(
        self,
        req: ports.ServiceRequest,
        *,
        seconds: float,
        check: Callable[[], None] = ports.allow_send,
    ) -> ports.ServiceResponse:
        """Carries out a request; see `targets.ports.Service.call`."""
        if self.faults.down:
            raise errors.TargetFailed(
                self.name, "the service is down", sent=False
            )
        check()
        done = gevent.event.Event()
        responses: list[ports.ServiceResponse] = []
        gevent.spawn(self._process, req, responses, done)
        if not self._timers.wait(done, seconds):
            raise errors.TargetFailed(self.name, "timeout", sent=True)
        if self.faults.lost_replies > 0:
            self.faults.lost_replies -= 1
            raise errors.TargetFailed(
                self.name, "the reply was lost", sent=True
            )
        return responses[0]

    def outcome(self, idempotency_key: str) -> ports.ServiceResponse | None:
        """Returns the stored response; see `targets.ports.Service.outcome`."""
        if not self._tells_outcome:
            raise errors.TargetFailed(
                self.name,
                "the service does not answer outcome queries",
                sent=True,
            )
        if idempotency_key in self._running_keys:
            raise errors.TargetFailed(
                self.name, "the request is still running", sent=True
            )
        response = self._responses.get(idempotency_key)
        if response is None:
            self._ruled_out_keys.add(idempotency_key)
        return response

    def _process(
        self,
        req: ports.ServiceRequest,
        responses: list[ports.ServiceResponse],
        done: gevent.event.Event,
    ) -> None:
        key = req.idempotency_key
        self._running_keys.add(key)
        self._timers.sleep(self.faults.seconds / 2)
        responses.append(self._run(req))
        self._running_keys.discard(key)
        hang_seconds = FOREVER_SECONDS if self.faults.hang else 0.0
        self._timers.sleep(hang_seconds + self.faults.seconds / 2)
        done.set()

    def _run(self, req: ports.ServiceRequest) -> ports.ServiceResponse:
        rejection = self._rejection(req)
        if rejection:
            return ports.ServiceResponse(
                req.request_id, 409, rejection, "text/plain"
            )
        self.effects.append(Effect(self._timers.now(), req))
        body = json.dumps({"effect": len(self.effects), "path": req.path})
        response = ports.ServiceResponse(
            req.request_id, 200, body.encode(), "application/json"
        )
        if req.idempotency_key:
            self._responses[req.idempotency_key] = response
        return response

    def _rejection(self, req: ports.ServiceRequest) -> bytes:
        """Returns why a request must not run; empty if it may run."""
        key = req.idempotency_key
        if key and key in self._ruled_out_keys:
            return b"an outcome query has ruled out this key"
        if self._checks_fence and req.fence:
            if req.fence < self._highest_fences.get(key, 0):
                self.fenced_requests += 1
                return b"the fencing number is old"
            self._highest_fences[key] = req.fence
        return b""


class MemoryTools:
    """A `targets.ports.ToolService` in memory; `hang` blocks all calls."""

    def __init__(
        self, timers: timers_lib.Timers, *, seconds: float = 0.05
    ) -> None:
        self.hang = False
        self._timers = timers
        self._seconds = seconds

    def invoke(self, name: str, argument: bytes, *, seconds: float) -> bytes:
        """Runs a tool; see `targets.ports.ToolService.invoke`."""
        with self._timers.limit(seconds):
            self._timers.sleep(FOREVER_SECONDS if self.hang else self._seconds)
        return json.dumps({"tool": name, "bytes": len(argument)}).encode()


class MemoryWeights:
    """A `targets.ports.WeightStore` in memory; fetches share its rate limit.

    Attributes:
        fetches: the model of each fetch, in order of start.
    """

    def __init__(
        self,
        timers: timers_lib.Timers,
        *,
        model_bytes: int = 1_000_000_000,
        bytes_per_second: float = 1_000_000_000.0,
        chunk_bytes: int = 100_000_000,
    ) -> None:
        self.fetches: list[str] = []
        self._timers = timers
        self._model_bytes = model_bytes
        self._bytes_per_second = bytes_per_second
        self._chunk_bytes = chunk_bytes
        self._free_at = 0.0

    def size(self, model: str) -> int:
        """Returns the size of a model's weights in bytes."""
        del model
        return self._model_bytes

    def fetch(self, model: str) -> Iterator[int]:
        """Yields the size in bytes of each chunk when it arrives."""
        self.fetches.append(model)
        remaining = self._model_bytes
        while remaining > 0:
            chunk_bytes = min(remaining, self._chunk_bytes)
            start = max(self._timers.now(), self._free_at)
            self._free_at = start + chunk_bytes / self._bytes_per_second
            self._timers.sleep(self._free_at - self._timers.now())
            remaining -= chunk_bytes
            yield chunk_bytes
