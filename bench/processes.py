"""The daemons as separate processes, for measurements and tests."""

from __future__ import annotations

import hashlib
import os
import pathlib
import subprocess
import sys
import time
import urllib.error
import urllib.request

from endivepier.standins import fleet

ROOT = pathlib.Path(__file__).parents[1]
OPERATOR_KEY = "an-operator-key-for-the-first-note"
CALLER_KEY = "demo-caller-key"
WAIT_SECONDS = 15


class Processes:
    """The fleet of docs/RUNNING.md, each daemon a process of its own.

    Attributes:
        addresses: the address of each process by its name.
        url: URL of the entry host for callers and operators.
        running: the processes by name.
        environ: the environment that all of them get.
    """

    def __init__(self) -> None:
        names = "platform engine service entry callers sidecar1 sidecar2"
        self.addresses = {name: fleet.free_address() for name in names.split()}
        self.url = f"http://{self.addresses['callers']}"
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        platform = f"http://{self.addresses['platform']}"
        digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
        self.environ = {
            **os.environ,
            "ENDIVEPIER_FLEET_SECRET": "a-secret-of-at-least-16-bytes",
            "ENDIVEPIER_TABLE_URL": platform,
            "ENDIVEPIER_OBJECTS_URL": platform,
            "ENDIVEPIER_HOSTS_URL": platform,
            "ENDIVEPIER_DATA_CENTRE": "plateau",
            "ENDIVEPIER_BOOTSTRAP_DIGEST": digest,
            "ENDIVEPIER_URL": self.url,
            "ENDIVEPIER_KEY": OPERATOR_KEY,
            "ENDIVEPIER_DRAIN_SECONDS": "0.5",
        }

    def __enter__(self) -> Processes:
        """Starts everything and waits until it is ready."""
        at = self.addresses
        listed = [
            f"--host=entry,{at['entry']},plateau",
            f"--host=sidecar,{at['sidecar1']},plateau,engine-1",
            f"--host=sidecar,{at['sidecar2']},plateau,ledger-1",
        ]
        self._start("platform", "standin", "platform", *listed)
        self._start("engine", "standin", "engine", "--models", "cheque-reader")
        self._start("service", "standin", "service")
        self._await(at["platform"], "/hosts")
        self.start_daemons()
        return self

    def __exit__(self, *unused: object) -> None:
        """Kills everything."""
        for process in self.running.values():
            process.kill()
            process.wait()

    def start_daemons(self) -> None:
        """Starts the entry host and both sidecars; waits for them."""
        at = self.addresses
        self._start("entry", "entry", "--caller-listen", at["callers"])
        for name, target, kind, beside in (
            ("sidecar1", "engine-1", "engine", "engine"),
            ("sidecar2", "ledger-1", "service", "service"),
        ):
            self._start(
                name,
                "sidecar",
                f"--target={target}",
                f"--target-kind={kind}",
                f"--target-url=http://{at[beside]}",
            )
        for name in ("entry", "sidecar1", "sidecar2"):
            self._await(at[name], "/readyz")

    def command(
        self, *args: str, key: str = OPERATOR_KEY
    ) -> subprocess.CompletedProcess[str]:
        """Runs the `endivepier` command against the entry host."""
        return subprocess.run(
            [sys.executable, "-m", "endivepier.cli.main", *args],
            env={**self.environ, "ENDIVEPIER_KEY": key},
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=WAIT_SECONDS,
        )

    def wait_for_release(self) -> None:
        """Waits until the sidecars have the applied note in force.

        Raises:
            TimeoutError: if that takes too long.
        """
        deadline = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < deadline:
            shown = self.command("status")
            lines = shown.stdout.splitlines()[1:]
            if len(lines) == 3 and all(
                " ready " in line and line.split()[-3] != "0" for line in lines
            ):
                return
            time.sleep(0.2)
        raise TimeoutError(shown.stdout + shown.stderr)

    def _start(self, name: str, *args: str) -> None:
        self.running[name] = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "endivepier.cli.main",
                *args,
                f"--listen={self.addresses[name]}",
            ],
            env=self.environ,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def _await(self, address: str, path: str) -> None:
        deadline = time.monotonic() + WAIT_SECONDS
        while True:
            try:
                urllib.request.urlopen(f"http://{address}{path}", timeout=1)
                return
            except (urllib.error.URLError, OSError):
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.1)
