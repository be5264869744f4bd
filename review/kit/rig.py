"""Stand-ins and processes for the cases of the third review.

The store, the model and plain servers, and the clients live in the process of
the case. Entry hosts are processes of their own, started with the command of
the deploy file. Everything listens on loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HOSTNAME = "ficu95.example"
ZONE = "dakar-plateau"
REGION = "dakar"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
KEY = "3fexd9dnn2ctnfzs989a"
TENANT = "hule930"
LLM = "huvo11a"
APP = "wuno96b"
HEARTBEAT_SECONDS = 1.2
DRAIN_SECONDS = 2.0
GRACE_SECONDS = 8
START_SECONDS = 40.0
CHUNK_TOKENS = 4
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseNotRun(Exception):
    """Raised if a case can't be judged."""


def now() -> float:
    """Returns monotonic seconds."""
    return time.monotonic()


_PORTS = iter(random.SystemRandom().sample(range(20_000, 32_000), 3000))


def free_port() -> int:
    """Returns a port that nobody listens on."""
    for port in _PORTS:
        with socket.socket() as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                continue
            return port
    raise CaseNotRun("no port is free")


class Record:
    """What was sent, answered and run, in `record.txt` of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = now()

    def write(self, kind: str, **fields: object) -> None:
        """Writes a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now() - self._began:9.3f} {kind} {text}\n")
        self._file.flush()


class Request:
    """A request as a stand-in received it."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.path, _, self.query = target.partition("?")
        self.headers = headers
        self.body = body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Returns the next request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def encode_response(
    status: int, headers: dict[str, str], body: bytes | None
) -> bytes:
    """Encodes a response; without a body, only its head."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Door:
    """An address of the store, at which it may be away.

    `mode` is "open", "busy" (503), "reset" or "silent".
    """

    def __init__(self, store: Store) -> None:
        self.mode = "open"
        self.address = ""
        self._store = store
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> Door:
        """Starts to listen, or opens the connection."""
        port = free_port()
        self.address = f"{LOOPBACK}:{port}"
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, port, limit=16_000_000
        )
        return self

    def set(self, mode: str) -> None:
        """Sets how calls are handled from now on."""
        self.mode = mode
        if mode == "reset":
            for writer in list(self._writers):
                reset(writer)

    def close(self) -> None:
        """Closes its connections; new ones are refused."""
        assert self._server is not None
        self._server.close()
        self.set("reset")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                req = await read_request(reader)
                if req is None:
                    return
                if self.mode == "reset":
                    reset(writer)
                    return
                if self.mode == "silent":
                    await asyncio.sleep(600)
                if self.mode == "busy":
                    writer.write(encode_response(503, {}, b"{}"))
                    continue
                status, document = await self._store.call(req)
                if self.mode == "silent":
                    await asyncio.sleep(600)
                body = json.dumps(document).encode()
                writer.write(encode_response(status, {}, body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store in memory."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._history: list[tuple[int, tuple[str, str, str]]] = []
        self._ver = 0
        self._changed = asyncio.Event()

    async def door(self) -> Door:
        """Returns a new address of the store."""
        return await Door(self).open()

    def put(self, table: str, key: str, document: object) -> None:
        """Writes a row as the operator or a server does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        row = {"table": table, "part": "", "key": key, "value": value}
        self._apply([row], [])

    def remove(self, table: str, key: str) -> None:
        """Removes a row as the operator or a server does."""
        self._apply([], [{"table": table, "part": "", "key": key}])

    def rows(self, table: str) -> dict[str, dict]:
        """Returns the rows of a table, by key."""
        return {
            key[2]: row for key, row in self._rows.items() if key[0] == table
        }

    async def call(self, req: Request) -> tuple[int, dict]:
        """Answers one call."""
        await asyncio.sleep(0.004)
        query = {}
        for pair in req.query.split("&"):
            name, _, value = pair.partition("=")
            query[name] = _unquote(value)
        match req.path:
            case "/endivepier/rows-tx":
                return self._transact(json.loads(req.body))
            case "/endivepier/rows-get":
                return 200, self._get(query)
            case "/endivepier/rows-feed":
                return 200, await self._feed(query)
        return 404, {}

    def _stamp(self) -> dict:
        return {"ver": self._ver, "now_ms": int(now() * 1000)}

    def _transact(self, document: dict) -> tuple[int, dict]:
        expect = document.get("expect", [])
        puts = document.get("puts", [])
        remove = document.get("remove", [])
        if any(row["table"] in ("op", "servers") for row in [*puts, *remove]):
            return 403, {}
        failed = False
        for row in expect:
            found = self._rows.get(_key(row))
            failed = failed or (found["ver"] if found else 0) != row["ver"]
        if failed:
            found = [self._rows.get(_key(row)) for row in expect]
            return 412, {"rows": [r for r in found if r], **self._stamp()}
        self._apply(puts, remove)
        return 200, self._stamp()

    def _apply(self, puts: list[dict], remove: list[dict]) -> None:
        self._ver += 1
        for row in puts:
            key = _key(row)
            self._rows[key] = {
                "table": key[0],
                "part": key[1],
                "key": key[2],
                "value": row["value"],
                "ver": self._ver,
            }
            self._history.append((self._ver, key))
        for row in remove:
            self._rows.pop(_key(row), None)
            self._history.append((self._ver, _key(row)))
        self._changed.set()
        self._changed = asyncio.Event()

    def _get(self, query: dict[str, str]) -> dict:
        found = []
        size = 0
        limit = min(int(query.get("limit", 500)), 500)
        more = False
        for key in sorted(self._rows):
            if key[0] != query["table"] or key[1] != query.get("part", ""):
                continue
            if key[2] < query.get("from", ""):
                continue
            if query.get("to") and key[2] >= query["to"]:
                continue
            size += len(self._rows[key]["value"])
            if len(found) >= limit or (found and size > 1_000_000):
                more = True
                break
            found.append(self._rows[key])
        return {"rows": found, "more_pages": more, **self._stamp()}

    async def _feed(self, query: dict[str, str]) -> dict:
        after = int(query.get("after", 0))
        deadline = now() + int(query.get("wait_ms", 0)) / 1000
        while True:
            changed = self._changed
            rows = self._changes(query["table"], after)
            if rows or now() >= deadline:
                return {"rows": rows, **self._stamp()}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), deadline - now())

    def _changes(self, table: str, after: int) -> list[dict]:
        """Returns each changed row once, as it is now, in order of change."""
        latest: dict[tuple[str, str, str], int] = {}
        for ver, key in reversed(self._history):
            if ver <= after:
                break
            if key[0] == table:
                latest.setdefault(key, ver)
        rows = []
        for key, ver in sorted(latest.items(), key=lambda item: item[1]):
            gone = {
                "table": key[0],
                "part": key[1],
                "key": key[2],
                "ver": ver,
                "deleted": True,
            }
            rows.append(self._rows.get(key, gone))
        return rows


def _key(row: dict) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]


def _unquote(text: str) -> str:
    import urllib.parse

    return urllib.parse.unquote_plus(text)


class Server:
    """A server of a service; runs requests and says so in the record.

    `runs` has an entry for each run. `work` is the time of a plain request or
    of one event of a stream, in seconds.
    """

    def __init__(
        self, store: Store, record: Record, service: str, work: float
    ) -> None:
        self.id = f"i-{random.SystemRandom().getrandbits(32):08x}"
        self.service = service
        self.work = work
        self.runs: list[dict] = []
        self.state = "ready"
        self.events = 8
        self.address = ""
        self.version = "v1"
        self._store = store
        self._record = record
        self._born = int(time.time() * 1000)
        self._seq_no = 0
        self._tasks: list[asyncio.Task] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def crash(self) -> None:
        """Ends as a killed process does; its entry lapses later."""
        self._record.write("crash", server=self.id)
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        loop = asyncio.get_running_loop()
        loop.call_later(
            3 * HEARTBEAT_SECONDS, self._store.remove, "servers", self.id
        )

    async def start(self) -> Server:
        """Starts it."""
        port = free_port()
        self.address = f"{LOOPBACK}:{port}"
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, port, limit=16_000_000
        )
        self._tasks.append(asyncio.create_task(self._beat()))
        return self

    async def _beat(self) -> None:
        while True:
            self.announce()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def announce(self) -> None:
        """Writes its entry in the store."""
        self._seq_no += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": self.version,
            "slots": 12,
            "state": self.state,
            "cold_left_ms": 0,
            "born": self._born,
            "seq_no": self._seq_no,
        }
        self._store.put("servers", self.id, entry)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                req = await read_request(reader)
                if req is None:
                    return
                gone = asyncio.create_task(_watch(reader))
                run = asyncio.create_task(self._respond(req, writer))
                await asyncio.wait(
                    {run, gone}, return_when=asyncio.FIRST_COMPLETED
                )
                gone.cancel()
                if not run.done():
                    run.cancel()
                    self._record.write(
                        "dropped", server=self.id, id=_id_of(req)
                    )
                    return
                if not run.result():
                    return
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(
        self, req: Request, writer: asyncio.StreamWriter
    ) -> bool:
        named = {"Instance-Id": self.id}
        expected = req.headers.get("expect-instance", self.id)
        if expected != self.id:
            writer.write(encode_response(421, named, b""))
            return True
        if req.path in ("/healthz", "/endivepier/report"):
            body = json.dumps({"born": self._born}).encode()
            status = 200 if self.state == "ready" else 503
            writer.write(encode_response(status, named, body))
            return True
        run = {
            "id": _id_of(req),
            "server": self.id,
            "at": now(),
            "headers": req.headers,
            "body": req.body,
            "path": req.path,
        }
        self.runs.append(run)
        self._record.write(
            "run",
            server=self.id,
            id=run["id"],
            path=req.path,
            deadline=req.headers.get("deadline-ms"),
            tenant=req.headers.get("tenant"),
        )
        return await self.run(req, writer)

    async def run(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        """Runs a request; returns whether the connection stays open."""
        headers = {"Attempt-Id": _id_of(req), "Server-Seal": SEAL}
        if self.service != LLM:
            await asyncio.sleep(self.work)
            body = f"done {_id_of(req)}".encode()
            writer.write(encode_response(200, headers, body))
            await writer.drain()
            return True
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        writer.write(encode_response(200, headers, None))
        first = int(req.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.work)
            data = f"id: {number}\ndata: {_id_of(req)}-{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def _id_of(req: Request) -> str:
    return req.headers.get("attempt-id", "")


async def _watch(reader: asyncio.StreamReader) -> None:
    """Returns when the caller has closed the connection."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


class Host:
    """An entry host and its process."""

    def __init__(self, rig: Rig, number: int, door: Door) -> None:
        self.name = f"edge-{ZONE}-{number}"
        self.door = door
        self.clients = f"{LOOPBACK}:{free_port()}"
        self.ready = f"{LOOPBACK}:{free_port()}"
        self.process: subprocess.Popen | None = None
        # The metrics have a fixed port, so each host has an address of its own.
        self.ip = f"{rig.network}.{number}"
        self.clients = f"{self.ip}:{free_port()}"
        self.ready = f"{self.ip}:{free_port()}"
        self.port = free_port()
        self._rig = rig
        self._first = True

    def start(self, stdout: int | None = None) -> None:
        """Starts it."""
        path = self.write_settings()
        self._first = False
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
        log = (self._rig.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log if stdout is None else stdout,
            stderr=log,
        )
        self._rig.processes.append(self.process)
        self._rig.record.write("started", host=self.name)

    def write_settings(self) -> pathlib.Path:
        """Writes the settings file, as the template in deploy/ has it."""
        settings = {
            "host": self.name,
            "ip": self.ip,
            "data_centre": ZONE,
            "listen": {"clients": self.clients, "ready": self.ready},
            "internal_ports": [self.port, self.port + 15],
            "store": self.door.address,
            "grace_seconds": GRACE_SECONDS,
            "rate_tolerance": 20,
            "memory_mb": 170,
            "max_descriptors": 8200,
            "regions": {ZONE: REGION},
            "is_first_start": self._first,
        }
        path = self._rig.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return path

    def send(self, number: int) -> None:
        """Sends a request, or a signal to the process."""
        assert self.process is not None
        self._rig.record.write(
            "signal", host=self.name, number=signal.Signals(number).name
        )
        self.process.send_signal(number)

    async def wait_ready(self) -> None:
        """Waits until the host says that it is ready."""
        deadline = now() + START_SECONDS
        while now() < deadline:
            assert self.process is not None
            if self.process.poll() is not None:
                raise CaseNotRun(f"{self.name} ended at its start")
            answer = await ask(self.ready, "GET", "/endivepier/readyz", {}, b"")
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CaseNotRun(f"{self.name} is not ready")

    @property
    def log(self) -> str:
        """What the process has written."""
        path = self._rig.folder / f"{self.name}.log"
        return path.read_text(errors="replace")


class Answer:
    """What a client got: status 0 and an error if there is no head."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.error = ""
        self.began = now()
        self.ended = 0.0


class Connection:
    """A client's connection, for one request after the other."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Starts to listen, or opens the connection."""
        host, _, port = self.address.rpartition(":")
        self._reader, self._writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=16_000_000), 1.0
        )

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed it, as far as is known."""
        return (
            self._writer is not None
            and self._reader is not None
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()

    async def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        seconds: float,
    ) -> Answer:
        """Sends a request, or a signal to the process."""
        answer = Answer()
        try:
            await asyncio.wait_for(
                self._exchange(answer, method, path, headers, body), seconds
            )
        except TimeoutError:
            answer.error = "deadline"
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            answer.error = type(exc).__name__
            self.close()
        answer.ended = now()
        return answer

    async def _exchange(
        self,
        answer: Answer,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        if not self.is_open:
            await self.open()
        reader, writer = self._reader, self._writer
        assert reader is not None and writer is not None
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").split("\r\n")
        for line in rest:
            name, _, value = line.partition(":")
            if name:
                answer.headers[name.strip().lower()] = value.strip()
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                data = await reader.readexactly(size + 2)
                answer.body += data[:-2]
                if not size:
                    break
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await reader.readexactly(length)
        answer.complete = True
        if answer.headers.get("connection", "").lower() == "close":
            self.close()


async def ask(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes
) -> Answer:
    """Sends a request on a new connection."""
    conn = Connection(address)
    answer = await conn.send(
        method, path, {"Host": address, **headers}, body, 2.0
    )
    conn.close()
    return answer


class Rig:
    """The store, servers, hosts and clients of one case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[subprocess.Popen] = []
        self.store = Store()
        numbers = random.SystemRandom().sample(range(70, 250), 2)
        self.network = f"127.{numbers[0]}.{numbers[1]}"
        self.hosts: list[Host] = []
        self.servers: list[Server] = []
        self.config: dict = {}
        self._version = 4
        self._ids = 0

    def write_config(self, **changes: object) -> None:
        """Writes a new version of the configuration."""
        self._version += 3
        self.config = {**(self.config or _config()), **changes}
        self.config["version"] = self._version
        self.store.put("op", "config", self.config)
        self.record.write("config", version=self._version)

    async def start(
        self, hosts: int, llm: int = 3, app: int = 2, **config: object
    ) -> None:
        """Starts it."""
        self.write_config(**config)
        for service, count, work in ((LLM, llm, 0.03), (APP, app, 0.03)):
            for _ in range(count):
                server = Server(self.store, self.record, service, work)
                self.servers.append(await server.start())
        for number in range(1, hosts + 1):
            host = Host(self, number, await self.store.door())
            self.hosts.append(host)
            host.start()
        for host in self.hosts:
            await host.wait_ready()
        await asyncio.sleep(2.0)  # until the hosts know each other

    def new_id(self) -> str:
        """Returns an id for an attempt."""
        self._ids += 1
        return f"{self._ids:04x}{random.SystemRandom().getrandbits(48):012x}"

    async def request(
        self,
        target: Host | Connection,
        method: str,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 3000,
        key: str = KEY,
        **extra: object,
    ) -> tuple[str, Answer]:
        """Sends a request; returns its id and the answer."""
        conn = target if isinstance(target, Connection) else None
        if conn is None:
            assert isinstance(target, Host)
            conn = Connection(target.clients)
        attempt = str(extra.pop("attempt", "")) or self.new_id()
        headers = {
            "Host": HOSTNAME,
            "Attempt-Id": attempt,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {key}",
        }
        for name, value in extra.items():
            if value is not None:
                headers[name.replace("_", "-").title()] = str(value)
        self.record.write("send", id=attempt, to=conn.address, path=path)
        answer = await conn.send(
            method, path, headers, body, deadline_ms / 1000
        )
        self.record.write(
            "answer",
            id=attempt,
            status=answer.status,
            complete=answer.complete,
            error=answer.error or "-",
            seconds=f"{answer.ended - answer.began:.3f}",
        )
        if not isinstance(target, Connection):
            conn.close()
        return attempt, answer

    def runs(self) -> list[dict]:
        """Returns what all servers have run."""
        return [run for server in self.servers for run in server.runs]

    def end(self) -> None:
        """Ends all processes and removes the logs."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if "KEEP" in os.environ:
            print(f"the logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _config() -> dict:
    streams = {
        "hostname": HOSTNAME,
        "type": "streaming",
        "service": LLM,
        "timeout_ms": 4000,
        "target_latency_ms": 250,
        "priority": 0,
        "max_attempts": 2,
        "retention_s": 60.0,
        "public": False,
        "sticky": True,
        "target_gap_ms": 200,
    }
    plain = {
        "hostname": HOSTNAME,
        "service": APP,
        "priority": 2,
        "public": False,
        "sticky": False,
    }
    return {
        "routes": [
            {
                **streams,
                "name": "r-chat",
                "prefix": "/chat/",
                "retained": True,
                "resumable": False,
            },
            {
                **streams,
                "name": "r-read",
                "prefix": "/read/",
                "retained": False,
                "resumable": True,
            },
            {
                **plain,
                "name": "r-ping",
                "prefix": "/ping/",
                "type": "idempotent",
                "timeout_ms": 1200,
                "target_latency_ms": 120,
                "max_attempts": 2,
            },
            {
                **plain,
                "name": "r-post",
                "prefix": "/post/",
                "type": "non_idempotent",
                "timeout_ms": 3000,
                "target_latency_ms": 400,
                "max_attempts": 1,
            },
        ],
        "services": [
            {
                "name": LLM,
                "health_path": "/healthz",
                "max_conns": 150,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 12,
                    "kv_capacity": 174_738,
                    "chunk_tokens": CHUNK_TOKENS,
                    "models": [{"name": "m"}],
                },
            },
            {
                "name": APP,
                "health_path": "/healthz",
                "max_conns": 100,
                "protocol": "h1",
                "tls": False,
            },
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
                "api_keys": [KEY],
                "priority": 1,
                "rate_per_s": 1000,
                "burst": 1000,
            }
        ],
    }


def main(case, folder: str) -> None:
    """Runs a case, `case(rig, trouble) -> bool` whether the rule held."""
    rig = Rig(pathlib.Path(folder).resolve())
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> None:
        try:
            async with asyncio.timeout(110):
                held = await case(rig, trouble)
            code = HELD if held else BROKEN
            rig.record.write("verdict", held=held)
        except (CaseNotRun, TimeoutError, OSError) as exc:
            rig.record.write("not_run", reason=repr(exc))
            print(f"the case could not run: {exc!r}", file=sys.stderr)
            code = NOT_RUN
        rig.end()
        # Without the end of the event loop, whose tasks would be cancelled.
        sys.stdout.flush()
        os._exit(code)

    try:
        asyncio.run(run())
    finally:
        rig.end()
    sys.exit(NOT_RUN)
