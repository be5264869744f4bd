"""Control messages and bytes of an idle process, by the fleet's size."""

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
SIZES = (16, 48, 144)
SETTLE_SECONDS = 20.0
WINDOW_SECONDS = 20.0
SIDECARS_PER_ENTRY = 3
MAX_HEAD_BYTES = 4096


def run(seed: int, sizes: Sequence[int] = SIZES) -> None:
    """Measures fleets of these sizes and prints slopes."""
    heads = head_bytes()
    emit(seed, "HTTP heads of one message and its answer", heads, "B")
    messages: list[tuple[float, float]] = []
    sent: list[tuple[float, float]] = []
    reads: list[tuple[float, float]] = []
    for size in sizes:
        simulation = _idle_fleet(seed, size)
        network, table = simulation.network, simulation.table
        start = (network.messages, network.bytes, table.reads)
        simulation.timers.advance(WINDOW_SECONDS)
        per_process = size * WINDOW_SECONDS
        count = (network.messages - start[0]) / per_process
        # Each message is sent by one process and received by another.
        body = 2 * (network.bytes - start[1]) / per_process
        messages.append((size, count))
        sent.append((size, body + heads * count))
        reads.append((size, (table.reads - start[2]) / per_process))
    _emit_line(seed, "control messages a process", messages, "1/s")
    _emit_line(seed, "control bytes a process", sent, "B/s", bound=7000.0)
    _emit_line(seed, "table reads a process", reads, "1/s")


def head_bytes() -> float:
    """Returns the bytes of HTTP heads of a heartbeat and its answer."""
    received = bytearray()

    def serve(sock: socket.socket, address: object) -> None:
        del address
        received.extend(sock.recv(MAX_HEAD_BYTES))
        # The connection stays open, so that the caller goes on waiting.
        gevent.sleep(SETTLE_SECONDS)

    listener = gevent_server.StreamServer(("127.0.0.1", 0), serve)
    listener.start()
    beat = members.Heartbeat("10.0.0.1:8080", 1)
    peers = http_peers.HttpPeers("secret" * 4, spans.Tracer("bench"))
    address = f"127.0.0.1:{listener.server_port}"
    task = gevent.spawn(peers.call, address, beat, members.Member, seconds=1)
    gevent.sleep(0.1)
    task.kill()
    listener.stop()
    request_head = bytes(received).split(b"\r\n\r\n")[0]
    return len(request_head) + 4 + _response_head_bytes()


def _response_head_bytes() -> int:
    app = web.App(body_limit=MAX_HEAD_BYTES)
    app.route("GET", "/", lambda req: web.json_response(state_lib.Kind("k")))
    server = web.Server("127.0.0.1:0", app)
    server.start()
    host, _, port = server.address.partition(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        head = sock.recv(MAX_HEAD_BYTES).split(b"\r\n\r\n")[0]
    server.kill()
    return len(head) + 4


def _idle_fleet(seed: int, size: int) -> simulation_lib.Simulation:
    """Returns a fleet that has found itself and has nothing to do."""
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
        simulation.boot(host, _maker(simulation, host))
    simulation.timers.advance(SETTLE_SECONDS)
    return simulation


def _maker(
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
    """Prints the value at the largest size and the slope by size."""
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
    """Prints one figure of this bench."""
    figures.Figure(BENCH, name, value, unit, seed, bound=bound).emit()
