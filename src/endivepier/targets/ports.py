"""Interfaces to targets.

Code that makes decisions depends on these interfaces only, never on an adapter
that implements them.
"""

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
        request_id: unique id; the engine repeats it in every event.
        session: the program id, under which the engine caches the prefix.
        model: name of the model, with adapter and version if any.
        messages: the complete conversation.
        max_tokens: maximum number of tokens to generate.
        priority: requests with a smaller value run first.
    """

    request_id: str
    session: str
    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int
    priority: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """Event: generated tokens.

    Attributes:
        request_id: id of the request.
        index: number of tokens in all earlier events of the response.
        text: the text of the tokens.
        count: number of tokens.
    """

    request_id: str
    index: int
    text: str
    count: int = 1
    kind: Literal["token"] = "token"


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """Event: the response is complete.

    Attributes:
        request_id: id of the request.
        prompt_tokens: number of tokens in the prompt.
        cached_tokens: number of prompt tokens that were in the cache.
        completion_tokens: number of generated tokens, which is the sum of the
            counts of the `Token` events.
        reason: why generation ended: "stop" or "length".
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
    """Load report of an engine; shows the load `age` seconds ago.

    Attributes:
        running: number of requests in the batch.
        waiting: number of requests in the engine's own queue.
        kv_tokens: tokens in the prefix cache.
        kv_capacity: capacity of the prefix cache, in tokens.
        age: age of the report, in seconds.
    """

    running: int
    waiting: int
    kv_tokens: int
    kv_capacity: int
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class HeldPrefix:
    """A prefix in an engine's cache.

    Attributes:
        session: the program id.
        tokens: number of tokens in the prefix.
    """

    session: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Event: a prefix was stored in or evicted from an engine's cache.

    Events may be late or lost.

    Attributes:
        sequence: number that increases by one; a gap means lost events.
        session: the program id.
        tokens: number of tokens in the prefix now; 0 if it was evicted.
    """

    sequence: int
    session: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine.

    Attributes:
        fence: the fencing number. An engine that checks it rejects an order
            whose number is less than one that it has received.
        action: "load", "unload" or "role".
        model: name of the model, with adapter and version if any, for "load"
            and "unload".
        role: the new role, for "role": "prefill", "decode" or "both".
    """

    fence: int
    action: str
    model: str = ""
    role: str = ""


class ModelEngine(Protocol):
    """A model engine with continuous batching and a prefix cache."""

    def generate(self, req: Generate) -> Iterator[EngineEvent]:
        """Runs a request and yields its events.

        Closing the iterator cancels the request.

        Raises:
            errors.TargetFailed: the engine rejected the request, or failed
                before its end.
        """

    def cancel(self, request_id: str) -> None:
        """Cancels a request; has no effect if the request is unknown."""

    def load_report(self) -> EngineLoad:
        """Returns the latest load report."""

    def cached_prefixes(self) -> Sequence[HeldPrefix]:
        """Returns the prefixes that are cached now."""

    def release(self, session: str) -> None:
        """Frees the cached prefix of a session, if there is one."""

    def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Returns events with a sequence number greater than `after`."""

    def export_kv(self, session: str) -> bytes | None:
        """Returns the session's cached prefix, or None if there is none."""

    def import_kv(self, session: str, blob: bytes) -> None:
        """Imports an exported prefix into the cache."""

    def order(self, order: Order) -> None:
        """Executes an order.

        Raises:
            errors.Fenced: a newer fencing number was received before.
            errors.TargetFailed: the engine failed.
        """

    def models(self) -> Sequence[str]:
        """Returns the models that are loaded."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request to a service.

    Attributes:
        request_id: unique id; the service repeats it in the response.
        method: HTTP method.
        path: path and query.
        body: the body, as the caller sent it.
        content_type: media type of the body.
        idempotency_key: key that is forwarded to the service; empty for
            idempotent requests.
        fence: fencing number, for services that check it; 0 for none.
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
    """A complete response of a service.

    Attributes:
        request_id: the request id that the service repeated.
        status: HTTP status code.
        body: the body.
        content_type: media type of the body.
    """

    request_id: str
    status: int
    body: bytes
    content_type: str


def allow_send() -> None:
    """Default for `Service.call`: sending is always allowed."""


class Service(Protocol):
    """A service, some of whose requests must not be repeated."""

    def call(
        self,
        req: ServiceRequest,
        *,
        seconds: float,
        check: Callable[[], None] = allow_send,
    ) -> ServiceResponse:
        """Sends a request, without retries, and returns the response.

        Args:
            req: the request.
            seconds: timeout for the response.
            check: called after the connection is open, immediately before the
                request is sent. If it raises, nothing is sent, and the
                exception is propagated.

        Raises:
            errors.TargetFailed: there was no complete response; `sent` tells
                whether the service may have received the request.
        """

    def outcome(self, idempotency_key: str) -> ServiceResponse | None:
        """Queries the outcome of a request, if the service records outcomes.

        Returns:
            The stored response, or None if the request has not run and never
            will, because the service rejects its key from now on.

        Raises:
            errors.TargetFailed: the service doesn't know the outcome, or
                doesn't know it yet.
        """


class ToolService(Protocol):
    """A tool that a program calls between its turns; a call may hang."""

    def invoke(self, name: str, argument: bytes, *, seconds: float) -> bytes:
        """Returns the tool's result.

        Raises:
            errors.TargetFailed: the tool failed.
            errors.DeadlineExceeded: it returned no result within `seconds`.
        """


class WeightStore(Protocol):
    """A rate-limited store of model weights."""

    def size(self, model: str) -> int:
        """Returns the size of a model's weights in bytes."""

    def fetch(self, model: str) -> Iterator[int]:
        """Downloads the weights, yielding the size of each chunk in bytes."""
