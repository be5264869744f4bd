"""The servers for checks of an entry host: its readiness and its metrics."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from endivepier import timers as timers_lib
from endivepier.http1 import buffers as buffers_lib
from endivepier.http1 import capacity as capacity_lib
from endivepier.http1 import messages
from endivepier.http1 import responding
from endivepier.http1 import server as server_lib
from endivepier.telemetry import metrics as metrics_lib


class Checks:
    """Serves the checks, from a share of the capacity that clients can't use.

    Attributes:
        ready_server: the server for the load balancer's readiness check.
        metrics_server: the server for the metrics.
    """

    def __init__(
        self,
        ready_listen: str,
        ready_path: str,
        metrics_listen: str,
        is_ready: Callable[[], bool],
        metrics: metrics_lib.Metrics,
        limits: Callable[[], messages.ClientLimits],
        capacity: capacity_lib.Capacity,
        timers: timers_lib.Timers,
    ) -> None:
        """Creates both servers, which `start` starts.

        Args:
            ready_listen: "ip:port" for the readiness check.
            ready_path: path of the readiness check.
            metrics_listen: "ip:port" for the metrics.
            is_ready: whether the host gets new connections.
            metrics: the metrics.
            limits: returns the limits on clients' requests.
            capacity: what the process has for its clients.
            timers: the timer service.
        """
        self._ready_path = ready_path.encode()
        self._is_ready = is_ready
        self._metrics = metrics
        self._client_limits = limits
        clients = server_lib.for_operators(capacity)
        self.ready_server = server_lib.Server(
            ready_listen,
            self._serve_ready,
            timers,
            self._limits,
            clients=clients,
        )
        self.metrics_server = server_lib.Server(
            metrics_listen,
            self._serve_metrics,
            timers,
            self._limits,
            clients=clients,
        )

    def start(self) -> None:
        """Starts both servers."""
        self.ready_server.start()
        self.metrics_server.start()

    def _limits(self) -> messages.ClientLimits:
        """Returns the limits on checks, which need no body."""
        return dataclasses.replace(
            self._client_limits(), body_bytes=buffers_lib.SMALL_BODY_BYTES
        )

    def _serve_ready(
        self, req: messages.Request, responder: responding.Responder
    ) -> None:
        path_matches = req.target.partition(b"?")[0] == self._ready_path
        status = 404 if not path_matches else 200 if self._is_ready() else 503
        responder.send(status, [], b"")

    def _serve_metrics(
        self, req: messages.Request, responder: responding.Responder
    ) -> None:
        del req
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        responder.send(200, headers, self._metrics.render())
