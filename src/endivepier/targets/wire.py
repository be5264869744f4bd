"""The HTTP protocol of model engines and services: paths and documents."""

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
    """Names a request."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SessionName:
    """Names a session."""

    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class EventsAfter:
    """Asks for cache events."""

    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """What the cache holds."""

    prefixes: tuple[ports.HeldPrefix, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """Cache events."""

    events: tuple[ports.CacheEvent, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class KvBlob:
    """An exported prefix; None if there is none."""

    session: str
    blob: pydantic.Base64Bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Models:
    """The models that are loaded."""

    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Says that an order was carried out."""

    done: bool = True
