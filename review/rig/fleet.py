"""Starts entry hosts as the deploy file says, and ends them."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import subprocess
import tempfile
import time
import tomllib
from typing import Any
from typing import IO
import uuid

from rig import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("dakar-plateau", "dakar-almadies", "dakar-rufisque")
READY_SECONDS = 20.0
RESTART_SECONDS = 0.5  # "restarted after a short delay"


def network() -> str:
    """Returns the first two numbers of loopback addresses for one run."""
    return f"127.{random.randrange(20, 240)}"


class Record:
    """Writes what was sent, answered and run, with times."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.path = folder / "record.txt"
        self.path.write_text("")
        # Processes of stand-ins write to it, too.
        self._file = self.path.open("a", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Returns seconds since the start of the run."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Writes a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


def settings(ip: str, name: str, zone: str, store: str, first: bool) -> Any:
    """Returns the settings of an entry host, as its template has them."""
    return {
        "host": name,
        "ip": ip,
        "data_centre": zone,
        "listen": {"clients": f"{ip}:8368", "ready": f"{ip}:8369"},
        "internal_ports": [7780, 7795],
        "store": store,
        "grace_seconds": 8,
        "rate_tolerance": 20,
        "regions": dict.fromkeys(ZONES, "dakar"),
        "is_first_start": first,
    }


class Host:
    """One entry host: a process that is started again when it ends."""

    def __init__(
        self, number: int, net: str, store: str, record: Record
    ) -> None:
        self.ip = f"{net}.0.{number}"
        self.name = f"edge-{number}"
        self.address = f"{self.ip}:8368"
        self.process: subprocess.Popen[bytes] | None = None
        self.ends = 0
        self.output: IO[bytes] | None = None  # instead of the file `log`
        self._zone = ZONES[(number - 1) // 2 % len(ZONES)]
        self._store = store
        self._record = record
        self._folder = tempfile.TemporaryDirectory()
        self.log = pathlib.Path(self._folder.name) / "log"

    def start(self, *, first: bool = False) -> None:
        """Starts the process with the command of the deploy file."""
        path = pathlib.Path(self._folder.name) / "settings"
        cfg = settings(self.ip, self.name, self._zone, self._store, first)
        path.write_text(json.dumps(cfg))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        env = {
            "PATH": os.environ["PATH"],
            "HOME": self._folder.name,
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ENDIVEPIER_SETTINGS": str(path),
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["entry"]["run"].split(),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=self.output or log,
                stderr=self.output or log,
            )
        self._record.write(f"host {self.name} started, pid {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self._record.write(f"host {self.name} gets {number.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process, if it runs, and waits for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def remove_files(self) -> None:
        """Removes the settings and the log."""
        self._folder.cleanup()

    def memory_mb(self) -> float:
        """Returns the resident memory of the process in MB, 0 without one."""
        if self.process is None or self.process.poll() is not None:
            return 0.0
        with contextlib.suppress(OSError):
            path = f"/proc/{self.process.pid}/statm"
            pages = int(pathlib.Path(path).read_text().split()[1])
            return pages * os.sysconf("SC_PAGESIZE") / 1e6
        return 0.0

    async def is_ready(self) -> bool:
        """Asks for the readiness of the host, as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                peer = await web.connect(f"{self.ip}:8369")
                head = {"Host": self.ip}
                await peer.send(web.request("GET", "/endivepier/readyz", head))
                answer = await web.read_message(peer.reader)
                peer.close()
                return answer is not None and answer.status == 200
        except (OSError, TimeoutError, web.Broken):
            return False

    async def wait_ready(self) -> None:
        """Waits until the host is ready.

        Raises:
            TimeoutError: it is not, in time.
        """
        async with asyncio.timeout(READY_SECONDS):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def watch(self, memory_mb: float | None = None) -> None:
        """Starts the process again when it has ended, until cancelled.

        Args:
            memory_mb: memory over which the platform kills a process; None
                if it never does.
        """
        while True:
            await asyncio.sleep(0.02)
            assert self.process is not None
            used = self.memory_mb()
            if memory_mb is not None and used > memory_mb:
                self._record.write(
                    f"host {self.name} uses {used:.0f} MB of {memory_mb:.0f};"
                    " the platform kills it"
                )
                self.kill()
            if self.process.poll() is not None:
                self.ends += 1
                self._record.write(
                    f"host {self.name} ended: {self.process.returncode}"
                )
                await asyncio.sleep(RESTART_SECONDS)
                self.start()


@dataclasses.dataclass
class Answer:
    """What a client got.

    Attributes:
        id: the id of the request.
        status: the status; 0 without a head.
        headers: the headers of the answer.
        body: the bytes received of the body.
        complete: whether the answer has its end.
        closed: whether the host ended the connection before that.
        seconds: time from sending to the end.
    """

    id: str
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    closed: bool = False
    seconds: float = 0.0


async def ask(
    record: Record,
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    deadline_ms: int = 4000,
    peer: web.Peer | None = None,
) -> Answer:
    """Sends one client attempt and reads its answer, within its deadline."""
    answer = Answer(uuid.uuid4().hex[:16])
    kept = peer
    began = time.monotonic()
    head = {
        "Host": "desk.example",
        "Attempt-Id": answer.id,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": "Bearer key-one",
        **headers,
    }
    record.write(f"sent {answer.id} {method} {path} to {address}")
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            if peer is None:
                peer = await web.connect(address)
            await peer.send(web.request(method, path, head, body))
            found = await web.read_head(peer.reader)
            if found is not None:
                answer.status = found.status
                answer.headers = found.headers
                await _read_body(peer.reader, found, answer)
            answer.closed = not answer.complete
    except TimeoutError:
        record.write(f"client {answer.id}: its deadline has passed")
    except (OSError, web.Broken, EOFError, ValueError) as exc:
        answer.closed = True
        record.write(f"client {answer.id}: {type(exc).__name__} {exc}")
    finally:
        if peer is not None and kept is None:
            peer.close()
    answer.seconds = time.monotonic() - began
    record.write(
        f"answered {answer.id} {answer.status} "
        f"{'whole' if answer.complete else 'not whole'}"
        f"{', closed' if answer.closed else ''}, "
        f"{len(answer.body)} bytes, {answer.seconds:.3f} s"
    )
    return answer


async def _read_body(
    reader: asyncio.StreamReader, head: web.Message, answer: Answer
) -> None:
    if "content-length" in head.headers:
        length = int(head.headers["content-length"])
        answer.body = await reader.readexactly(length)
    else:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    answer.complete = True
