import http.server
import json
import os
import subprocess
import sys
import threading

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


class Recorder(http.server.BaseHTTPRequestHandler):
    """Answers each request, and records it in `self.server.requests`."""

    def do_GET(self):
        length = int(self.headers.get("Content-Length", 0))
        body = json.loads(self.rfile.read(length) or b"null")
        key = self.headers["Authorization"]
        self.server.requests.append((self.path, key, body))
        reply = b'{"claims": [], "after": ""}'
        self.send_response(200)
        self.send_header("Content-Length", str(len(reply)))
        self.end_headers()
        self.wfile.write(reply)

    def do_POST(self):
        self.do_GET()

    def log_message(self, *args):
        pass


@pytest.fixture
def recorder():
    server = http.server.HTTPServer(("127.0.0.1", 0), Recorder)
    server.requests = []
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


# The operators' pages describe these commands, but the parser lacked them.
@pytest.mark.parametrize(
    ("arguments", "query", "body"),
    [
        (["list", "--account", "acme"], "account=acme&after=", None),
        (["show", "acme", "k-1"], "account=acme&key=k-1", None),
        (
            ["resolve", "acme", "k-1", "--version", "3", "--ran", "yes"],
            "",
            {
                "account": "acme",
                "key": "k-1",
                "version": 3,
                "ran": "yes",
                "note": "seen in the ledger",
            },
        ),
    ],
)
def test_operators_can_resolve_unknown_outcomes(
    recorder, arguments, query, body
):
    if body is not None:
        arguments = [*arguments, "--note", "seen in the ledger"]
    url = f"http://127.0.0.1:{recorder.server_port}"
    result = _run("effect", *arguments, "--url", url, "--key", "api-key")
    assert result.returncode == 0, result.stderr
    ((path, key, received),) = recorder.requests
    assert path.partition("?")[2] == query
    assert key.endswith("api-key")
    assert received == body
