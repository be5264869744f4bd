import os
import subprocess
import sys

import pytest


def _run(*args):
    environ = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("ENDIVEPIER_")
    }
    return subprocess.run(
        [sys.executable, "-m", "endivepier.cli.main", *args],
        capture_output=True,
        text=True,
        env=environ,
    )


@pytest.mark.parametrize("command", [[], ["entry"], ["release", "apply"]])
def test_every_command_prints_its_version(command):
    result = _run(*command, "--version")
    assert result.returncode == 0
    assert result.stdout.startswith("endivepier 0.")


def test_invalid_settings_end_a_daemon_with_exit_code_2():
    result = _run("entry", "--listen", "localhost:80", "--data-centre", "x")
    assert result.returncode == 2
    assert "--listen (ENDIVEPIER_LISTEN) is 'localhost:80'" in result.stderr
    assert "set --fleet-secret or ENDIVEPIER_FLEET_SECRET" in result.stderr
    assert "Traceback" not in result.stderr
