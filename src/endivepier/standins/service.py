"""A plain service and a tool service in memory, which record every effect."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import json

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
    so that a checker sees each violation.
    """

    def __init__(
        self,
        timers: timers_lib.Timers,
        name: str,
        *,
        tells_outcome: bool = False,
    ) -> None:
        """Makes a service.

        Args:
            timers: the timer service.
            name: the target's name.
            tells_outcome: whether it answers status queries by key.
        """
        self.faults = ServiceFaults()
        self.name = name
        self.effects: list[Effect] = []
        self._timers = timers
        self._tells = tells_outcome
        self._answers: dict[str, ports.ServiceResponse] = {}

    def call(
        self, req: ports.ServiceRequest, *, seconds: float
    ) -> ports.ServiceResponse:
        """Carries out a request; see `targets.ports.Service.call`."""
        if self.faults.down:
            raise errors.TargetFailed(self.name, "it is down", sent=False)
        try:
            with self._timers.limit(seconds):
                self._timers.sleep(self.faults.seconds / 2)
                answer = self._run(req)
                wait = NEVER_SECONDS if self.faults.hang else 0.0
                self._timers.sleep(wait + self.faults.seconds / 2)
        except errors.DeadlineExceeded as exc:
            raise errors.TargetFailed(self.name, str(exc), sent=True) from None
        if self.faults.lost_replies > 0:
            self.faults.lost_replies -= 1
            raise errors.TargetFailed(self.name, "reply lost", sent=True)
        return answer

    def outcome(self, idempotency_key: str) -> ports.ServiceResponse | None:
        """Returns the stored answer; see `targets.ports.Service.outcome`."""
        if not self._tells:
            raise errors.TargetFailed(self.name, "it can't tell", sent=True)
        return self._answers.get(idempotency_key)

    def _run(self, req: ports.ServiceRequest) -> ports.ServiceResponse:
        self.effects.append(Effect(self._timers.now(), req))
        body = json.dumps({"effect": len(self.effects), "path": req.path})
        answer = ports.ServiceResponse(
            req.request_id, 200, body.encode(), "application/json"
        )
        if req.idempotency_key:
            self._answers[req.idempotency_key] = answer
        return answer


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
