"""Measures the control traffic of an idle process by the fleet's size."""

from __future__ import annotations

from collections.abc import Sequence

import gevent
from gevent import server as gevent_server
from gevent import socket

from bench import figures
from bench import fitting
from endivepier.configuration import state as state_lib
from endivepier.entry import parts as entry_parts
from endivepier.internal import http_peers
from endivepier.internal import process
from endivepier.internal import web
from endivepier.membership import members
from endivepier.sidecar import parts as sidecar_parts
from endivepier.standins import engine
from endivepier.standins import simulation as simulation_lib
from endivepier.storage import ports
from endivepier.telemetry import spans

BENCH = "slopes"
FLEET_SIZES = (16, 48, 144)
# Time for the members of a new fleet to learn of each other.
SETTLE_SECONDS = 20.0
WINDOW_SECONDS = 20.0
SIDECARS_PER_ENTRY = 3
MAX_HEAD_BYTES = 4096


def run(seed: int, sizes: Sequence[int] = FLEET_SIZES) -> None:
    """Measures idle fleets of these sizes and prints the figures."""
    heads_bytes = head_bytes()
    emit(seed, "HTTP heads of one message and its answer", heads_bytes, "B")
    message_points: list[tuple[float, float]] = []
    bytes_points: list[tuple[float, float]] = []
    read_points: list[tuple[float, float]] = []
    for size in sizes:
        simulation = _idle_fleet(seed, size)
        network, table = simulation.network, simulation.table
        counts_before = (network.messages, network.bytes, table.reads)
        simulation.timers.advance(WINDOW_SECONDS)
        process_seconds = size * WINDOW_SECONDS
        messages_per_second = (
            network.messages - counts_before[0]
        ) / process_seconds
        # Each byte counts twice: one process sends it, another receives it. So
        # a message's HTTP head, half of `heads_bytes` on average, does too.
        body_bytes = 2 * (network.bytes - counts_before[1]) / process_seconds
        message_points.append((size, messages_per_second))
        bytes_points.append(
            (size, body_bytes + heads_bytes * messages_per_second)
        )
        read_points.append(
            (size, (table.reads - counts_before[2]) / process_seconds)
        )
    _emit_line(seed, "control messages a process", message_points, "1/s")
    _emit_line(
        seed, "control bytes a process", bytes_points, "B/s", bound=7000.0
    )
    _emit_line(seed, "table reads a process", read_points, "1/s")


def head_bytes() -> float:
    """Returns the bytes of the HTTP heads of a heartbeat and of its reply."""
    received = bytearray()

    def serve(conn: socket.socket, address: object) -> None:
        del address
        received.extend(conn.recv(MAX_HEAD_BYTES))
        # Keeps the connection open, so that the caller waits for a reply.
        gevent.sleep(SETTLE_SECONDS)

    listener = gevent_server.StreamServer(("127.0.0.1", 0), serve)
    listener.start()
    heartbeat = members.Heartbeat("10.0.0.1:8080", 1)
    peers = http_peers.HttpPeers("secret" * 4, spans.Tracer("bench"))
    address = f"127.0.0.1:{listener.server_port}"
    task = gevent.spawn(
        peers.call, address, heartbeat, members.Member, seconds=1
    )
    gevent.sleep(0.1)
    task.kill()
    listener.stop()
    request_head = bytes(received).split(b"\r\n\r\n")[0]
    # A head ends with a blank line: 4 bytes.
    return len(request_head) + 4 + _response_head_bytes()


def _response_head_bytes() -> int:
    """Returns the bytes of a response's HTTP head, with its blank line."""
    app = web.App(body_limit=MAX_HEAD_BYTES)
    app.route("GET", "/", lambda req: web.json_response(state_lib.Kind("k")))
    server = web.Server("127.0.0.1:0", app)
    server.start()
    host, _, port = server.address.partition(":")
    with socket.create_connection((host, int(port))) as conn:
        conn.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        head = conn.recv(MAX_HEAD_BYTES).split(b"\r\n\r\n")[0]
    server.kill()
    return len(head) + 4


def _idle_fleet(seed: int, size: int) -> simulation_lib.Simulation:
    """Returns an idle fleet that has run for `SETTLE_SECONDS`."""
    simulation = simulation_lib.Simulation(seed)
    for number in range(size):
        is_entry = number % (SIDECARS_PER_ENTRY + 1) == 0
        host = ports.Host(
            address=f"10.0.{number // 250}.{number % 250}:8080",
            data_centre=f"dc-{number % 3}",
            role="entry" if is_entry else "sidecar",
            target="" if is_entry else f"engine-{number}",
            state=ports.HostState.LIVE,
        )
        simulation.boot(host, _process_factory(simulation, host))
    simulation.timers.advance(SETTLE_SECONDS)
    return simulation


def _process_factory(
    simulation: simulation_lib.Simulation, host: ports.Host
) -> simulation_lib.ProcessFactory:
    def make(env: process.Environment) -> process.Base:
        if host.role == "entry":
            return entry_parts.Entry(env)
        return sidecar_parts.EngineSidecar(
            env,
            host.target,
            engine.MemoryEngine(simulation.timers, host.target, ["model"]),
            sidecar_parts.QueueLimits(),
        )

    return make


def _emit_line(
    seed: int,
    name: str,
    points: Sequence[tuple[float, float]],
    unit: str,
    bound: float | None = None,
) -> None:
    """Prints the last point's value, the slope by size, and the residual."""
    line = fitting.fit(points)
    size, value = points[-1]
    emit(seed, f"{name}, {size:.0f} processes", value, unit, bound)
    emit(seed, f"{name}, slope a process", line.slope, unit)
    emit(seed, f"{name}, residual of the fit", line.residual, "1")


def emit(
    seed: int,
    name: str,
    value: float,
    unit: str,
    bound: float | None = None,
) -> None:
    """Prints one figure of the slopes benchmark."""
    figures.Figure(BENCH, name, value, unit, seed, bound=bound).emit()
