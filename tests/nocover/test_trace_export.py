import http.server
import json
import threading
import time

from bench import processes

WAIT_SECONDS = 30


class _Collector(http.server.BaseHTTPRequestHandler):
    """Accepts spans as an OTLP collector does."""

    def do_POST(self):
        length = int(self.headers["Content-Length"])
        self.server.received.append((self.path, self.rfile.read(length)))
        self.send_response(200)
        self.end_headers()

    def log_message(self, *unused):
        pass


def test_daemons_export_their_spans_to_an_otlp_collector():
    collector = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _Collector)
    collector.received = []
    threading.Thread(target=collector.serve_forever, daemon=True).start()
    fleet = processes.Processes()
    endpoint = f"http://127.0.0.1:{collector.server_port}/v1/traces"
    fleet.environ["ENDIVEPIER_TRACE_EXPORT"] = "otlp"
    fleet.environ["ENDIVEPIER_TRACE_ENDPOINT"] = endpoint
    with fleet:
        applied = fleet.command("release", "apply", "docs/example-note.toml")
        assert applied.returncode == 0, applied.stderr
        fleet.wait_for_release()
        key = processes.CALLER_KEY
        created = fleet.command(
            "program", "create", "--template", "dispute", key=key
        )
        program = json.loads(created.stdout)["id"]
        fleet.command("program", "call", program, "hello", key=key)
        deadline = time.monotonic() + WAIT_SECONDS
        expected_names = {b"ModelCall", b"engine.generate"}
        while time.monotonic() < deadline:
            spans = b"".join(body for _, body in collector.received)
            if all(name in spans for name in expected_names):
                break
            time.sleep(0.2)
    collector.shutdown()
    assert all(name in spans for name in expected_names)
    assert {path for path, _ in collector.received} == {"/v1/traces"}
    assert key.encode() not in spans
