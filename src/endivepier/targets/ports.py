"""The ports to targets. Decisions depend on these, never on adapters."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
from typing import Literal
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class ChatMessage:
    """One message of a conversation.

    Attributes:
        role: "system", "user", "assistant" or "tool".
        content: the text.
    """

    role: str
    content: str


@dataclasses.dataclass(frozen=True, slots=True)
class Generate:
    """A request to a model engine.

    Attributes:
        request_id: unique; the engine echoes it in every event.
        session: the program id; the engine keeps cached prefixes under it.
        model: name of the model, with adapter and version if any.
        messages: the whole conversation.
        max_tokens: the most tokens to generate.
        priority: smaller runs earlier.
    """

    request_id: str
    session: str
    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int
    priority: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """Event: text that was generated.

    Attributes:
        request_id: echoes the request.
        index: how many tokens came before these, without gaps.
        text: the text of these tokens.
        count: how many tokens these are.
    """

    request_id: str
    index: int
    text: str
    count: int = 1
    kind: Literal["token"] = "token"


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """Event: the answer is whole.

    Attributes:
        request_id: echoes the request.
        prompt_tokens: length of the prompt.
        cached_tokens: how much of the prompt came from the cache.
        completion_tokens: how many tokens were generated; equals the sum of
            the counts of the `Token` events.
        reason: "stop" or "length".
    """

    request_id: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int
    reason: str
    kind: Literal["finished"] = "finished"


EngineEvent = Token | Finished


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """What an engine reports of itself, with a lag.

    Attributes:
        running: requests in the batch.
        waiting: requests in the engine's own queue.
        kv_tokens: tokens held in the prefix cache.
        kv_capacity: tokens that fit.
        age: seconds since the report was true.
    """

    running: int
    waiting: int
    kv_tokens: int
    kv_capacity: int
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class HeldPrefix:
    """What an engine holds for one session.

    Attributes:
        session: the program id.
        tokens: length of the cached prefix.
    """

    session: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A late and lossy note that a prefix was stored or evicted.

    Attributes:
        sequence: counts up by one; a gap tells that events were lost.
        session: the program id.
        tokens: length of the prefix now; 0 if it was evicted.
    """

    sequence: int
    session: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine.

    Attributes:
        fence: the fencing number; engines that check refuse an older one.
        action: "load", "unload" or "role".
        model: the model, adapter and version that it is about.
        role: the new role for "role": "prefill", "decode" or "both".
    """

    fence: int
    action: str
    model: str = ""
    role: str = ""


class ModelEngine(Protocol):
    """A model engine with continuous batching and a prefix cache."""

    def generate(self, req: Generate) -> Iterator[EngineEvent]:
        """Yields events; closing the iterator cancels the request.

        Raises:
            errors.TargetFailed: the engine refused or broke off.
        """

    def cancel(self, request_id: str) -> None:
        """Ends a request; does nothing if it is unknown."""

    def load_report(self) -> EngineLoad:
        """Returns the last load report."""

    def cached_prefixes(self) -> Sequence[HeldPrefix]:
        """Returns what the cache holds now."""

    def release(self, session: str) -> None:
        """Frees the prefix of a session; does nothing if there is none."""

    def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Returns events with a sequence greater than `after`."""

    def export_kv(self, session: str) -> bytes | None:
        """Returns the session's cached prefix, or None if there is none."""

    def import_kv(self, session: str, blob: bytes) -> None:
        """Puts an exported prefix into the cache."""

    def order(self, order: Order) -> None:
        """Carries out an order.

        Raises:
            errors.Fenced: the fencing number is old.
            errors.TargetFailed: the engine failed.
        """

    def models(self) -> Sequence[str]:
        """Returns the models that are loaded."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A call to a plain service.

    Attributes:
        request_id: unique; the service echoes it.
        method: HTTP method.
        path: path and query at the service.
        body: the content, as the caller sent it.
        content_type: media type of the body.
        idempotency_key: sent on to the service; empty for idempotent calls.
        fence: fencing number, for the services that check it; 0 for none.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    content_type: str
    idempotency_key: str = ""
    fence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceResponse:
    """A whole answer of a plain service.

    Attributes:
        request_id: echoes the request.
        status: HTTP status code.
        body: the content.
        content_type: media type of the body.
    """

    request_id: str
    status: int
    body: bytes
    content_type: str


def allow_send() -> None:
    """The check of a request that may be sent at any time."""


class Service(Protocol):
    """A plain service, some of whose calls must not be repeated."""

    def call(
        self,
        req: ServiceRequest,
        *,
        seconds: float,
        check: Callable[[], None] = allow_send,
    ) -> ServiceResponse:
        """Sends the request once and returns the whole answer.

        Args:
            req: the request.
            seconds: how long the answer may take.
            check: called once a connection stands, right before the first
                byte; what it raises passes through, and nothing is sent.

        Raises:
            errors.TargetFailed: no whole answer; `sent` tells whether the
                service may have seen the request.
        """

    def outcome(self, idempotency_key: str) -> ServiceResponse | None:
        """Asks whether the service ran a request, where it can tell.

        Returns:
            The stored answer; None if it never ran and never will: the
            service refuses the key from now on.

        Raises:
            errors.TargetFailed: the service can't tell, or can't tell yet.
        """


class ToolService(Protocol):
    """A tool that a program calls between its turns; it may hang."""

    def invoke(self, name: str, argument: bytes, *, seconds: float) -> bytes:
        """Returns the tool's result.

        Raises:
            errors.TargetFailed: the tool failed.
            errors.DeadlineExceeded: it did not answer in `seconds`.
        """


class WeightStore(Protocol):
    """The rate-limited store of model weights."""

    def size(self, model: str) -> int:
        """Returns the size of a model's weights in bytes."""

    def fetch(self, model: str) -> Iterator[int]:
        """Yields the sizes in bytes of the pieces as they arrive."""
