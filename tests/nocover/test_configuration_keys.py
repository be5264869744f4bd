"""API keys over real connections: effects of a withdrawal, and secrecy."""

import json

import eliot
import gevent
from opentelemetry.sdk.trace.export import in_memory_span_exporter
import pytest

from endivepier import timers as timers_lib
from endivepier.configuration import current as current_lib
from endivepier.configuration import freshness
from endivepier.configuration import keys
from endivepier.configuration import state as state_lib
from endivepier.entry import guard
from endivepier.internal import http_client
from endivepier.internal import web
from endivepier.standins import demo
from endivepier.standins import engine as engine_lib
from endivepier.standins import fleet as fleet_lib
from endivepier.telemetry import metrics
from endivepier.telemetry import spans
from tests.nocover import test_web

TIMEOUT_SECONDS = 15.0
RUNNING_SLOTS = 8  # of an engine's sidecar, by default
PROFILE = engine_lib.EngineProfile(token_seconds=0.02, report_lag_seconds=0.0)


class Caller:
    """A caller with its own key and connection."""

    def __init__(self, fleet, key, url=0):
        self.key = key
        self.client = http_client.HttpClient(
            fleet.caller_urls[url],
            max_connections=1,
            read_seconds=TIMEOUT_SECONDS,
        )
        self.status = None
        self.lines = []
        self.finished = gevent.event.Event()

    def open(self, path, body, **headers):
        sent = {name.replace("_", "-"): v for name, v in headers.items()}
        sent["Authorization"] = f"Bearer {self.key}"
        data = json.dumps(body).encode()
        return self.client.open("POST", path, data, sent)

    def chat(self, tokens, stream=True):
        body = {
            "model": "model",
            "stream": stream,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "hello"}],
        }
        try:
            response = self.open("/v1/chat/completions", body)
            self.status = response.status
            if not stream or self.status != 200:
                self.lines.append(response.read())
            for line in response.lines() if stream else ():
                self.lines.append(line)
        except OSError as exc:
            self.lines.append(repr(exc).encode())
        self.finished.set()

    def text(self):
        return b"\n".join(self.lines).decode()


@pytest.fixture
def fleet():
    fleet = fleet_lib.Fleet()
    fleet.start_platform()
    fleet.start_entry("plateau")
    fleet.start_entry("almadies")
    caller_key = keys.new_key()
    demo.apply_release(fleet, test_web.NOTE % keys.digest_of(caller_key))
    fleet.first_key = caller_key
    fleet.start_sidecar(
        fleet_lib.TargetSpec("engine-1", "plateau", ("model",)), PROFILE
    )
    fleet.start_sidecar(fleet_lib.TargetSpec("ledger-1", "plateau"))
    fleet_lib.wait_until_ready(fleet, fleet.timers, TIMEOUT_SECONDS)
    yield fleet
    fleet.stop()


def _grant(fleet, account="one"):
    key = keys.new_key()
    demo.apply_release(
        fleet,
        f'[[added.keys]]\ndigest = "{keys.digest_of(key)}"\n'
        f'account = "{account}"\n',
    )
    return key


def _withdraw(fleet, *withdrawn_keys):
    digests = json.dumps([keys.digest_of(key) for key in withdrawn_keys])
    demo.apply_release(fleet, f"[withdrawn]\nkeys = {digests}\n")


def _wait_until(condition):
    with gevent.Timeout(TIMEOUT_SECONDS):
        while not condition():
            gevent.sleep(0.02)


def test_withdrawing_a_key_ends_its_requests_and_connections(
    fleet, monkeypatch
):
    demo.apply_release(
        fleet,
        "[[added.accounts]]\nname = 'slow'\nrate = 1.0\nburst = 1.0\n",
    )
    for daemon in fleet.entries:
        monkeypatch.setattr(daemon.base.limiter, "admit", _block_slow_account)
    key, other_key, slow_key = (
        _grant(fleet),
        _grant(fleet),
        _grant(fleet, "slow"),
    )
    idle = Caller(fleet, key)
    refused = idle.open("/v1/programs", {"template": "x"})
    assert refused.status == 400
    refused.read()
    unread = Caller(fleet, key)
    body = {"model": "model", "messages": [{"role": "user", "content": "x"}]}
    body.update(stream=True, max_tokens=10**5)
    unread_response = unread.open("/v1/chat/completions", body)
    # `unread` and `staying` take up the other two slots.
    running = [Caller(fleet, key, n % 2) for n in range(RUNNING_SLOTS - 2)]
    staying = Caller(fleet, other_key)
    for caller in (staying, *running):
        gevent.spawn(caller.chat, 200 if caller is staying else 10**5)
    engine = fleet.engines["engine-1"]
    _wait_until(lambda: engine.load_report().running == RUNNING_SLOTS)
    waiting = [Caller(fleet, key, n % 2) for n in range(4)]
    for number, caller in enumerate(waiting):
        gevent.spawn(caller.chat, 10**5, stream=number < 2)
    queue = fleet.sidecars["engine-1"].base.queue
    _wait_until(lambda: queue.queued == len(waiting))
    limited = [Caller(fleet, slow_key) for _ in range(2)]
    for caller in limited:
        gevent.spawn(caller.chat, 1)
    _withdraw(fleet, key, slow_key)
    for caller in (*running, *waiting, *limited):
        assert caller.finished.wait(TIMEOUT_SECONDS)
        text = caller.text()
        assert "key was withdrawn" in text or "unauthenticated" in text
        assert "[DONE]" not in text
    assert {caller.status for caller in waiting} == {401}
    assert b"key was withdrawn" in unread_response.read()
    _wait_until(lambda: engine.load_report().running <= 1 and queue.queued == 0)
    [[conn]] = idle.client._pool._idle.values()
    sock = conn._sock
    sock.settimeout(TIMEOUT_SECONDS)
    assert sock.recv(1) == b""
    assert staying.finished.wait(TIMEOUT_SECONDS)
    assert staying.lines[-2] == b"data: [DONE]"
    retry = Caller(fleet, key)
    retry.chat(1)
    assert retry.status == 401


def test_disconnects_a_caller_that_does_not_read_once_its_key_is_withdrawn():
    key = keys.new_key()
    digest = keys.digest_of(key)
    timers = timers_lib.SystemTimers()
    config_freshness = freshness.Freshness(timers)
    config_freshness.record_proof(timers.now())
    current = current_lib.CurrentConfiguration()
    granted = {digest: state_lib.Key(digest, "one")}
    current.advance(state_lib.State(revision=1, keys=granted))
    auth = keys.Authenticator(current, config_freshness)
    request_guard = guard.Guard(auth, current, timers, metrics.Metrics())
    sent, closed = [], gevent.event.Event()

    def endless():
        try:
            while True:
                sent.append(1)
                yield b"x" * 10**6
        finally:
            closed.set()

    def handler(req):
        caller = auth.authenticate(req.headers["Authorization"])
        request_guard.record_key(req, caller)
        events = request_guard.stream(req, caller, endless())
        return web.stream_response(events, "text/plain")

    app = web.App(body_limit=1000)
    app.route("POST", "/", handler)
    server = web.Server("127.0.0.1:0", app)
    server.start()
    client = http_client.HttpClient(f"http://{server.address}")
    headers = {"Authorization": f"Bearer {key}"}
    response = client.open("POST", "/", b"", headers)
    count = 0
    while len(sent) > count:
        count = len(sent)
        gevent.sleep(0.3)
    assert not closed.is_set()
    current.advance(state_lib.State(revision=2))
    assert closed.wait(TIMEOUT_SECONDS)
    with pytest.raises(http_client.ExchangeFailed):
        response.read()
    server.kill()


def _block_slow_account(account, *unused):
    """Blocks requests of the account "slow" as if it had used up its rate."""
    if account == "slow":
        gevent.sleep(10 * TIMEOUT_SECONDS)


def test_rotates_a_key_with_overlap(fleet):
    old = _grant(fleet)
    new = _grant(fleet)
    for key in (old, new):
        caller = Caller(fleet, key)
        caller.chat(2, stream=False)
        assert caller.status == 200
    _withdraw(fleet, old)
    statuses = []
    for key in (old, new):
        caller = Caller(fleet, key, 1)
        caller.chat(2, stream=False)
        statuses.append(caller.status)
    assert statuses == [401, 200]


def test_a_key_appears_nowhere_but_on_its_caller_s_connection(monkeypatch):
    exporters, lines, internal_requests = [], [], []

    def make_exporter(*unused):
        exporters.append(in_memory_span_exporter.InMemorySpanExporter())
        return exporters[-1]

    monkeypatch.setattr(spans, "make_exporter", make_exporter)
    original = web.App.__call__

    def record(app, environ, start_response):
        body = environ["wsgi.input"].read()
        environ["wsgi.input"] = _BufferedBody(body)
        environ["CONTENT_LENGTH"] = str(len(body))
        port = environ["SERVER_PORT"]
        if not any(url.endswith(":" + port) for url in fleet.caller_urls):
            text_environ = {
                k: v for k, v in environ.items() if isinstance(v, str)
            }
            internal_requests.append(repr(text_environ).encode() + body)
        return original(app, environ, start_response)

    monkeypatch.setattr(web.App, "__call__", record)
    eliot.add_destinations(lines.append)
    fleet = fleet_lib.Fleet()
    caller_key = keys.new_key()
    fleet.start_platform()
    fleet.start_entry("plateau")
    try:
        demo.apply_release(fleet, test_web.NOTE % keys.digest_of(caller_key))
        fleet.start_sidecar(
            fleet_lib.TargetSpec("engine-1", "plateau", ("model",)), PROFILE
        )
        fleet.start_sidecar(fleet_lib.TargetSpec("ledger-1", "plateau"))
        fleet_lib.wait_until_ready(fleet, fleet.timers, TIMEOUT_SECONDS)
        for stream in (True, False):
            Caller(fleet, caller_key).chat(3, stream)
        for _ in range(2):
            response = Caller(fleet, caller_key).open(
                "/v1/services/ledger/post", {}, Idempotency_Key="k"
            )
            assert response.status == 200
        Caller(fleet, caller_key + "x").chat(1)
        Caller(fleet, caller_key).open("/v1/operators/releases", {"x": 1})
        metrics = b"".join(
            daemon.base.metrics.render()
            for daemon in (*fleet.entries, *fleet.sidecars.values())
        )
    finally:
        fleet.stop()
        eliot.remove_destination(lines.append)
    recorded_spans = [s for e in exporters for s in e.get_finished_spans()]
    assert any(b"/generate" in data for data in internal_requests)
    assert any(b"ModelCall" in data for data in internal_requests)
    assert recorded_spans and lines
    outputs = [
        *internal_requests,
        repr(lines).encode(),
        repr([span.to_json() for span in recorded_spans]).encode(),
        metrics,
        *(row.value for row in fleet.table.peek()),
    ]
    for secret in (caller_key.encode(), b"Bearer", fleet.operator_key.encode()):
        assert not [data for data in outputs if secret in data]


class _BufferedBody:
    """Serves a request body that was read already to the next reader."""

    def __init__(self, body):
        self._body = body

    def read(self, size=-1):
        size = len(self._body) if size is None or size < 0 else size
        chunk, self._body = self._body[:size], self._body[size:]
        return chunk

    def readinto(self, buffer):
        chunk = self.read(len(buffer))
        buffer[: len(chunk)] = chunk
        return len(chunk)
