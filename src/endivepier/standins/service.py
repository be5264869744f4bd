"""A plain service and a tool service in memory, which record every effect."""

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

NEVER_SECONDS = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """One request that the service carried out.

    Attributes:
        moment: the timer service's time, in seconds.
        request: what was asked.
    """

    moment: float
    request: ports.ServiceRequest


@dataclasses.dataclass(slots=True)
class ServiceFaults:
    """What is wrong with the service now.

    Attributes:
        down: requests fail before anything is sent.
        lost_replies: the next so many answers are lost after the effect.
        hang: answers never come, the effect takes place.
        seconds: how long a request takes.
    """

    down: bool = False
    lost_replies: int = 0
    hang: bool = False
    seconds: float = 0.01


class MemoryService:
    """A `targets.ports.Service` in memory.

    It does not deduplicate: a request that arrives twice takes effect twice,
    so that a checker sees each violation. What has arrived is carried out
    even if nobody waits for the answer any more.
    """

    def __init__(
        self,
        timers: timers_lib.Timers,
        name: str,
        *,
        tells_outcome: bool = False,
        checks_fence: bool = False,
    ) -> None:
        """Makes a service.

        Args:
            timers: the timer service.
            name: the target's name.
            tells_outcome: whether it answers status queries by key.
            checks_fence: whether it refuses fencing numbers that are lower
                than one that it has seen for the same key.
        """
        self.faults = ServiceFaults()
        self.name = name
        self.effects: list[Effect] = []
        self.fenced = 0
        self._timers = timers
        self._tells = tells_outcome
        self._checks_fence = checks_fence
        self._answers: dict[str, ports.ServiceResponse] = {}
        self._under_way: set[str] = set()
        self._ruled_out: set[str] = set()
        self._fences: dict[str, int] = {}

    def call(
        self,
        req: ports.ServiceRequest,
        *,
        seconds: float,
        check: Callable[[], None] = ports.allow_send,
    ) -> ports.ServiceResponse:
        """Carries out a request; see `targets.ports.Service.call`."""
        if self.faults.down:
            raise errors.TargetFailed(self.name, "it is down", sent=False)
        check()
        done = gevent.event.Event()
        answers: list[ports.ServiceResponse] = []
        gevent.spawn(self._carry_out, req, answers, done)
        if not self._timers.wait(done, seconds):
            raise errors.TargetFailed(self.name, "timeout", sent=True)
        if self.faults.lost_replies > 0:
            self.faults.lost_replies -= 1
            raise errors.TargetFailed(self.name, "reply lost", sent=True)
        return answers[0]

    def outcome(self, idempotency_key: str) -> ports.ServiceResponse | None:
        """Returns the stored answer; see `targets.ports.Service.outcome`."""
        if not self._tells:
            raise errors.TargetFailed(self.name, "it can't tell", sent=True)
        if idempotency_key in self._under_way:
            raise errors.TargetFailed(self.name, "it still runs", sent=True)
        answer = self._answers.get(idempotency_key)
        if answer is None:
            self._ruled_out.add(idempotency_key)
        return answer

    def _carry_out(
        self,
        req: ports.ServiceRequest,
        answers: list[ports.ServiceResponse],
        done: gevent.event.Event,
    ) -> None:
        key = req.idempotency_key
        self._under_way.add(key)
        self._timers.sleep(self.faults.seconds / 2)
        answers.append(self._run(req))
        self._under_way.discard(key)
        wait = NEVER_SECONDS if self.faults.hang else 0.0
        self._timers.sleep(wait + self.faults.seconds / 2)
        done.set()

    def _run(self, req: ports.ServiceRequest) -> ports.ServiceResponse:
        refusal = self._refusal(req)
        if refusal:
            return ports.ServiceResponse(
                req.request_id, 409, refusal, "text/plain"
            )
        self.effects.append(Effect(self._timers.now(), req))
        body = json.dumps({"effect": len(self.effects), "path": req.path})
        answer = ports.ServiceResponse(
            req.request_id, 200, body.encode(), "application/json"
        )
        if req.idempotency_key:
            self._answers[req.idempotency_key] = answer
        return answer

    def _refusal(self, req: ports.ServiceRequest) -> bytes:
        """Returns why a request must not run, or nothing."""
        key = req.idempotency_key
        if key and key in self._ruled_out:
            return b"this key was said never to run"
        if self._checks_fence and req.fence:
            if req.fence < self._fences.get(key, 0):
                self.fenced += 1
                return b"the fencing number is old"
            self._fences[key] = req.fence
        return b""


class MemoryTools:
    """A `targets.ports.ToolService` in memory."""

    def __init__(
        self, timers: timers_lib.Timers, *, seconds: float = 0.05
    ) -> None:
        self.hang = False
        self._timers = timers
        self._seconds = seconds

    def invoke(self, name: str, argument: bytes, *, seconds: float) -> bytes:
        """Runs a tool; see `targets.ports.ToolService.invoke`."""
        with self._timers.limit(seconds):
            self._timers.sleep(NEVER_SECONDS if self.hang else self._seconds)
        return json.dumps({"tool": name, "bytes": len(argument)}).encode()


class MemoryWeights:
    """A `targets.ports.WeightStore` in memory, limited in rate."""

    def __init__(
        self,
        timers: timers_lib.Timers,
        *,
        model_bytes: int = 1_000_000_000,
        bytes_per_second: float = 1_000_000_000.0,
        piece_bytes: int = 100_000_000,
    ) -> None:
        self.fetches: list[str] = []
        self._timers = timers
        self._size = model_bytes
        self._rate = bytes_per_second
        self._piece = piece_bytes
        self._free_at = 0.0

    def size(self, model: str) -> int:
        """Returns the size of a model's weights in bytes."""
        del model
        return self._size

    def fetch(self, model: str) -> Iterator[int]:
        """Yields the sizes of the pieces as they arrive."""
        self.fetches.append(model)
        left = self._size
        while left > 0:
            piece = min(left, self._piece)
            start = max(self._timers.now(), self._free_at)
            self._free_at = start + piece / self._rate
            self._timers.sleep(self._free_at - self._timers.now())
            left -= piece
            yield piece
