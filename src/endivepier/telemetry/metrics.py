"""Metrics: counters, gauges and histograms of one process.

The registry and the text format come from `aioprometheus`; they need no
asyncio loop. Its HTTP servers need one, so endivepier's own server serves
`/metrics` instead.
"""

from __future__ import annotations

from typing import Any

import aioprometheus
from aioprometheus import renderer

PREFIX = "endivepier_"
SECONDS_BUCKETS = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
    0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0,
]  # fmt: skip


class Metrics:
    """The metrics of one process, created by name on first use."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._metrics: dict[str, Any] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds `amount` to a counter."""
        self._get(aioprometheus.Counter, name).add(labels, amount)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""
        self._get(aioprometheus.Gauge, name).set(labels, value)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Adds a duration to a histogram."""
        self._get(aioprometheus.Histogram, name).observe(labels, seconds)

    def value(self, name: str, **labels: str) -> float:
        """Returns the value of a counter or gauge; 0 if it was never set."""
        metric = self._metrics.get(name)
        if metric is None:
            return 0.0
        try:
            return float(metric.get(labels))
        except KeyError:
            return 0.0

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        body, _ = renderer.render(self._registry, ["text/plain"])
        return bytes(body)

    def _get(self, kind: type, name: str) -> Any:
        metric = self._metrics.get(name)
        if metric is None:
            options: dict[str, Any] = {"registry": self._registry}
            if kind is aioprometheus.Histogram:
                options["buckets"] = SECONDS_BUCKETS
            metric = kind(PREFIX + name, name.replace("_", " "), **options)
            self._metrics[name] = metric
        return metric
