"""Paths, headers and JSON documents of model engines and services."""

from __future__ import annotations

import dataclasses

import pydantic

from endivepier.targets import ports

GENERATE_PATH = "/engine/generate"
CANCEL_PATH = "/engine/cancel"
LOAD_PATH = "/engine/load"
HELD_PATH = "/engine/held"
RELEASE_PATH = "/engine/release"
EVENTS_PATH = "/engine/events"
EXPORT_PATH = "/engine/export"
IMPORT_PATH = "/engine/import"
ORDER_PATH = "/engine/order"
MODELS_PATH = "/engine/models"

REQUEST_ID_HEADER = "X-Request-Id"
IDEMPOTENCY_HEADER = "Idempotency-Key"
FENCE_HEADER = "X-Fencing-Number"
OUTCOME_PATH = "/outcomes/"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestName:
    """Request to cancel a generation, by its request id."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SessionName:
    """Request to release or export the prefix of a session."""

    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class EventsAfter:
    """Request for the cache events after a sequence number."""

    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Response with the prefixes in the cache."""

    prefixes: tuple[ports.HeldPrefix, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """Response with cache events."""

    events: tuple[ports.CacheEvent, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class KvBlob:
    """Response to an export, or request for an import, of a prefix.

    `blob` is None if the engine has no prefix of the session.
    """

    session: str
    blob: pydantic.Base64Bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Models:
    """Response with the names of the loaded models."""

    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Response without data, and body of requests without parameters."""

    done: bool = True
