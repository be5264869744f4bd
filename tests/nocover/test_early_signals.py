"""Signals that reach a process before it has started."""

import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent.parent
TIMEOUT_SECONDS = 30
REACHED = 7
# Stands for the first library that the program imports.
STUB = f"""
import os
import signal

os.kill(os.getpid(), signal.SIGHUP)
raise SystemExit({REACHED})
"""


# A change of the settings in the first 0.4 s of a process ended it.
def test_a_change_of_settings_during_the_start_does_not_end_the_process(
    tmp_path,
):
    package = tmp_path / "gevent"
    package.mkdir()
    (package / "__init__.py").write_text(STUB, encoding="utf-8")
    environ = {**os.environ, "PYTHONPATH": str(tmp_path)}
    process = subprocess.run(
        [sys.executable, "platform/entry.py"],
        cwd=ROOT,
        env=environ,
        timeout=TIMEOUT_SECONDS,
    )
    assert process.returncode == REACHED
