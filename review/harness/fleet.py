"""Starts a small deployment on loopback addresses: real entry hosts.

The store, the servers and the clients are the stand-ins of this package. The
entry hosts run with the command of the deploy file, and with the settings that
its template makes of a small deployment's.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
import secrets
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from typing import Any

from harness import client
from harness import proxy

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ("luz-a", "luz-b", "luz-c")
REGION = "ph-luzon"
GRACE_SECONDS = 8
QUOTA_SLACK = 20
START_SECONDS = 15.0
METRICS_PORT = 9464  # as the deploy file declares it
HOST = "ficu95.example"
API_KEY = "3fexd9dnn2ctnfzs989a"
TENANT = "hule930"
ENGINES = "lm-pool"
PLAIN = "grants-app"
CHAT = "/chat/"  # turns that the system keeps
READ = "/read/"  # turns that carry their whole prompt
POST = "/post/"  # not idempotent
PING = "/ping/"  # idempotent
EVENT_TOKENS = 4
# Differ from Python's own exit codes, such as that for an exception; `run.sh`
# translates them.
EXIT_HELD = 10
EXIT_BROKEN = 11
EXIT_NOT_RUN = 12


class CaseFailedToRun(Exception):
    """Raised if a case can't be judged."""


class Entry:
    """An entry host; the same one after a restart of its process."""

    def __init__(self, fleet: Fleet, number: int, ip: str) -> None:
        self.name = f"edge-{ZONES[number % 3]}-{number // 3 + 1}"
        self.ip = ip
        self.zone = ZONES[number % 3]
        self.clients = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        self.peers = free_port(ip)
        self.store: proxy.Proxy | None = None  # None for a direct path
        self.process: subprocess.Popen[bytes] | None = None
        self._fleet = fleet

    def is_ready(self) -> bool:
        """Returns whether the platform may send new connections."""
        headers = {"Host": self.ready}
        path = "/endivepier/readyz"
        return client.ask(self.ready, "GET", path, headers).status == 200


class Fleet:
    """All processes of a case; ends them on exit."""

    def __init__(self, case: pathlib.Path) -> None:
        self.started_at = time.time()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="endivepier-case-"))
        self.entries: list[Entry] = []
        self._case = case
        self._lock = threading.Lock()
        self._lines: list[tuple[float, str]] = []
        self._processes: list[subprocess.Popen[bytes]] = []
        self._server_count = 0
        second, third = random.randint(16, 250), random.randint(1, 250)
        self._network = f"127.{second}.{third}"
        ip = f"{self._network}.200"
        self.store = f"{ip}:{free_port(ip)}"
        self._writers = f"{ip}:{free_port(ip)}"
        self._version = 0

    def __enter__(self) -> Fleet:
        """Starts the store."""
        self._start_module("harness.store", self.store, self._writers)
        wait_until(lambda: is_listening(self._writers), "the store")
        return self

    def __exit__(self, *_: object) -> None:
        """Ends all processes and writes the record."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
        for process in self._processes:
            process.wait()
        for run in self.runs():
            fields = {
                name: value for name, value in run.items() if name != "at"
            }
            self._lines.append((run["at"], f"server: {json.dumps(fields)}"))
        lines = [
            f"{at - self.started_at:8.3f} {text}"
            for at, text in sorted(self._lines, key=lambda line: line[0])
        ]
        record = self._case / "record.txt"
        record.write_text("\n".join(lines) + "\n", encoding="utf-8")
        shutil.rmtree(self.folder, ignore_errors=True)

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        with self._lock:
            self._lines.append((time.time(), text))

    def say(self, text: str) -> None:
        """Adds a line to the record and prints it."""
        self.note(text)
        print(f"{time.time() - self.started_at:7.2f} s  {text}", flush=True)

    def declare(
        self,
        *,
        rate: float = 400.0,
        burst: float = 400.0,
        chat_timeout_ms: int = 4000,
    ) -> None:
        """Writes the operator's configuration.

        Args:
            rate: the tenant's requests a second.
            burst: the tenant's burst.
            chat_timeout_ms: timeout of the turns.
        """
        self._version += 3
        turns = {
            "type": "streaming",
            "timeout_ms": chat_timeout_ms,
            "target_latency_ms": 200,
            "service": ENGINES,
            "max_attempts": 2,
            "retention_s": 60.0,
            "sticky": True,
            "target_gap_ms": 300,
        }
        calls = {"service": PLAIN, "retention_s": 60.0, "sticky": False}
        routes = [
            _route(CHAT, turns, retained=True, resumable=False, priority=0),
            _route(READ, turns, retained=False, resumable=True, priority=1),
            _route(
                POST,
                calls,
                type="non_idempotent",
                timeout_ms=2500,
                target_latency_ms=500,
                max_attempts=2,
            ),
            _route(
                PING,
                calls,
                type="idempotent",
                timeout_ms=1500,
                target_latency_ms=200,
                max_attempts=2,
            ),
        ]
        engine = {
            "slots": 24,
            "kv_capacity": 274_354,
            "chunk_tokens": EVENT_TOKENS,
            "models": [{"name": "m"}],
        }
        document = {
            "version": self._version,
            "routes": routes,
            "services": [
                {**_service(ENGINES, 210), "engine": engine},
                _service(PLAIN, 110),
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [
                {
                    "name": TENANT,
                    "api_keys": [API_KEY],
                    "priority": 1,
                    "rate_per_s": rate,
                    "burst": burst,
                }
            ],
        }
        value = base64.b64encode(json.dumps(document).encode()).decode()
        put = {"table": "op", "part": "", "key": "config", "value": value}
        body = json.dumps({"puts": [put]}).encode()
        headers = {"Host": self._writers}
        answer = client.ask(
            self._writers, "POST", "/endivepier/rows-tx", headers, body
        )
        if answer.status != 200:
            raise CaseFailedToRun(f"the configuration was refused: {answer}")
        self.note(f"operator: configuration {self._version} acknowledged")

    def start_server(self, service: str, **options: Any) -> str:
        """Starts a server and returns its id."""
        number = self._server_count
        self._server_count += 1
        ip = f"{self._network}.{100 + number}"
        cfg = {
            "id": f"i-{secrets.token_hex(4)}",
            "service": service,
            "address": f"{ip}:{free_port(ip)}",
            "zone": ZONES[number % 3],
            "store": self._writers,
            "record": str(self.folder / f"runs-{number}.jsonl"),
            "is_engine": service == ENGINES,
            **options,
        }
        self._start_module("harness.server", json.dumps(cfg))
        wait_until(lambda: is_listening(cfg["address"]), "a server")
        return cfg["id"]

    def start_entries(
        self,
        count: int,
        *,
        outputs: dict[int, int] | None = None,
        proxied: int | None = None,
    ) -> None:
        """Starts entry hosts, all of them for the first time.

        Args:
            count: how many.
            outputs: by number of a host, the file that its standard output
                goes to; that of the others is kept.
            proxied: number of a host that reaches the store by a proxy.
        """
        for _ in range(count):
            entry = self.add_entry()
            if len(self.entries) - 1 == proxied:
                entry.store = proxy.Proxy(entry.ip, self.store)
        for number, entry in enumerate(self.entries):
            output = None if outputs is None else outputs.get(number)
            self.start_entry(entry, is_first_start=True, output=output)
        for entry in self.entries:
            wait_until(entry.is_ready, f"entry host {entry.name}")
        time.sleep(1.0)  # until all of them know each other
        self.note(f"platform: {count} entry hosts are ready")

    def add_entry(self) -> Entry:
        """Adds an entry host, which is not started yet."""
        number = len(self.entries)
        entry = Entry(self, number, f"{self._network}.{number + 1}")
        self.entries.append(entry)
        return entry

    def start_entry(
        self, entry: Entry, *, is_first_start: bool, output: int | None = None
    ) -> None:
        """Starts the process of an entry host with the deploy file's command.

        Args:
            entry: the entry host.
            is_first_start: whether the whole system starts for the first time.
            output: the file that its standard output goes to, if it is not
                kept.
        """
        settings = {
            "host": entry.name,
            "ip": entry.ip,
            "data_centre": entry.zone,
            "listen": {"clients": entry.clients, "ready": entry.ready},
            "internal_ports": [entry.peers, entry.peers],
            "store": self.store if entry.store is None else entry.store.address,
            "grace_seconds": GRACE_SECONDS,
            "rate_tolerance": QUOTA_SLACK,
            "regions": dict.fromkeys(ZONES, REGION),
            "is_first_start": is_first_start,
        }
        path = self.folder / f"{entry.name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["ENDIVEPIER_SETTINGS"] = str(path)
        log = open(self.folder / f"{entry.name}.log", "ab")  # noqa: SIM115
        entry.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=env,
            stdout=log if output is None else output,
            stderr=log,
        )
        log.close()
        self._processes.append(entry.process)
        self.note(f"platform: {entry.name} starts")

    def kill_entry(self, entry: Entry) -> None:
        """Kills the process of an entry host, and waits until it has ended."""
        assert entry.process is not None
        self.say(f"platform: {entry.name} is killed")
        entry.process.kill()
        entry.process.wait()

    def terminate_entry(self, entry: Entry) -> None:
        """Sends SIGTERM to an entry host."""
        assert entry.process is not None
        self.say(f"platform: {entry.name} gets SIGTERM")
        entry.process.send_signal(signal.SIGTERM)

    def log(self, entry: Entry) -> str:
        """Returns what the processes of an entry host have written."""
        path = self.folder / f"{entry.name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def runs(self) -> list[dict[str, Any]]:
        """Returns what all servers have recorded so far."""
        runs = []
        for path in self.folder.glob("runs-*.jsonl"):
            for line in path.read_text(encoding="utf-8").splitlines():
                with contextlib.suppress(ValueError):
                    runs.append(json.loads(line))
        return sorted(runs, key=lambda run: run["at"])

    def _start_module(self, module: str, *args: str) -> None:
        process = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            cwd=ROOT / "review",
            stdout=subprocess.DEVNULL,
        )
        self._processes.append(process)


def _route(
    prefix: str, common: dict[str, Any], **fields: Any
) -> dict[str, Any]:
    return {
        "name": f"r-{prefix.strip('/')}",
        "hostname": HOST,
        "prefix": prefix,
        "public": False,
        "resumable": False,
        "retained": False,
        "priority": 2,
        **common,
        **fields,
    }


def _service(name: str, most_conns: int) -> dict[str, Any]:
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": most_conns,
        "protocol": "h1",
        "tls": False,
    }


def new_id() -> str:
    """Returns a new id of a client attempt or of a program."""
    return secrets.token_hex(8)


def headers(attempt: str, deadline_ms: int, **more: str) -> dict[str, str]:
    """Returns the headers of a client's request.

    Args:
        attempt: id of the attempt.
        deadline_ms: how long the client waits.
        more: further headers; an underscore in a name stands for a hyphen.
    """
    return {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {API_KEY}",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }


def turn_headers(
    program: str,
    attempt: str,
    *,
    budget: int,
    most: int,
    previous: str = "",
    deadline_ms: int = 4000,
    prompt_tokens: int = 1000,
) -> dict[str, str]:
    """Returns the headers of a turn.

    Args:
        program: id of the program.
        attempt: id of the attempt.
        budget: the program's tokens.
        most: tokens that the turn generates at most.
        previous: id of the turn that it continues, if any.
        deadline_ms: how long the client waits.
        prompt_tokens: length of the prompt.
    """
    more = {"Previous_Turn": previous} if previous else {}
    return headers(
        attempt,
        deadline_ms,
        Program_Id=program,
        Session_Id=program,
        Program_Deadline_Ms="60000",
        Token_Budget=str(budget),
        Token_Count=f"{prompt_tokens},{most}",
        Model="m",
        Prompt_Prefix=f"{program[:8]}:{prompt_tokens}",
        **more,
    )


def free_port(ip: str) -> int:
    """Returns a port that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


def is_listening(address: str) -> bool:
    """Returns whether an address accepts connections."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), timeout=0.5):
            return True
    except OSError:
        return False


def wait_until(
    condition: Callable[[], bool], what: str, seconds: float = START_SECONDS
) -> None:
    """Waits for something to be ready.

    Raises:
        CaseFailedToRun: it was not in time.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise CaseFailedToRun(f"{what} was not ready in {seconds} s")
        time.sleep(0.05)


def run_case(path: str, play: Callable[[Fleet, bool], str]) -> int:
    """Plays a case and returns an exit code, one of `EXIT_...`.

    Args:
        path: the file of the case, in its folder.
        play: plays it; gets the fleet, and whether there is a disruption.
            Returns how the rule was broken, or nothing.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # So that an interrupted case ends its processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    try:
        with Fleet(pathlib.Path(path).resolve().parent) as fleet:
            broken = play(fleet, trouble)
            fleet.say(f"BROKEN: {broken}" if broken else "the rule held")
    except CaseFailedToRun as exc:
        print(f"the case could not run: {exc}")
        return EXIT_NOT_RUN
    return EXIT_BROKEN if broken else EXIT_HELD
