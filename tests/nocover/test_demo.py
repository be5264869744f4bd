import subprocess
import sys


def test_the_demo_keeps_every_promise():
    result = subprocess.run(
        [sys.executable, "-m", "endivepier.cli.main", "demo"],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert result.returncode == 0, result.stdout + result.stderr
    assert "every promise held" in result.stdout
