"""The deployments that a soak is modelled on, scaled down."""

from __future__ import annotations

import base64
import dataclasses
import json
from typing import Any

HOSTNAME = "ficu95.example"
API_KEY = "3fexd9dnn2ctnfzs989a"
ACCOUNT = "hule930"
SERVICES = ("lm-pool", "lm-spare")  # routes begin at the first one
EVENT_TOKENS = 4


@dataclasses.dataclass(frozen=True)
class Route:
    """A route of streams; those that are kept can't be resumed."""

    name: str
    is_kept: bool

    @property
    def path(self) -> str:
        """The prefix of its paths."""
        return f"/{self.name}/"


@dataclasses.dataclass(frozen=True)
class Shape:
    """A deployment.

    Attributes:
        name: its name.
        routes: its routes.
        max_attempts: how many targets one attempt may be sent to.
        gap_ms: the longest pause between events that is on time.
        min_events: least events of a stream.
        max_events: most events of a stream.
        slots: runs of a target at once.
        queue: requests that wait at a target.
        host_count: how many entry hosts it has by default.
        target_count: how many targets its first service has by default.
    """

    name: str
    routes: tuple[Route, ...]
    max_attempts: int
    gap_ms: int
    min_events: int
    max_events: int
    slots: int
    queue: int
    host_count: int
    target_count: int


SHAPES = {
    "kantavaranto": Shape(
        name="kantavaranto",
        routes=(
            Route("balance-dialog", is_kept=True),
            Route("transfer-drafting", is_kept=False),
        ),
        max_attempts=1,
        gap_ms=200,
        min_events=7,
        max_events=29,
        slots=16,
        queue=48,
        host_count=5,
        target_count=5,
    ),
    "bgw": Shape(
        name="bgw",
        routes=(
            Route("proposal-draft", is_kept=True),
            Route("eligibility-ask", is_kept=False),
        ),
        max_attempts=2,
        gap_ms=300,
        min_events=8,
        max_events=34,
        slots=24,
        queue=48,
        host_count=5,
        target_count=4,
    ),
}


def encode_config(
    shape: Shape, version: int, services: dict[str, str]
) -> dict[str, Any]:
    """Returns the store's call that writes a configuration.

    Args:
        shape: the deployment.
        version: of the configuration.
        services: the service of each route, by its name.
    """
    routes = [
        {
            "name": route.name,
            "hostname": HOSTNAME,
            "prefix": route.path,
            "type": "streaming",
            "service": services[route.name],
            "timeout_ms": 4000,
            "target_latency_ms": 200,
            "max_attempts": shape.max_attempts,
            "target_gap_ms": shape.gap_ms,
            "retained": route.is_kept,
            "resumable": not route.is_kept,
            "retention_s": 60.0,
            "sticky": True,
            "public": False,
            "priority": 0,
        }
        for route in shape.routes
    ]
    engine = {
        "slots": shape.slots,
        "kv_capacity": 120_255,
        "chunk_tokens": EVENT_TOKENS,
        "models": [{"name": "m"}],
    }
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_conns": 180,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            }
            for name in SERVICES
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {
                "name": ACCOUNT,
                "api_keys": [API_KEY],
                "priority": 1,
                "rate_per_s": 4000.0,
                "burst": 4000.0,
            }
        ],
    }
    value = base64.b64encode(json.dumps(document).encode()).decode()
    put = {"table": "op", "part": "", "key": "config", "value": value}
    return {"puts": [put]}
