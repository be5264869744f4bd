"""Keys over real connections: what a withdrawal ends, and where a key shows."""

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

GIVE_UP_SECONDS = 15.0
RUNNING_SLOTS = 8
PROFILE = engine_lib.EngineProfile(token_seconds=0.02, report_lag_seconds=0.0)


class Caller:
    """One caller with a key and a connection of its own."""

    def __init__(self, fleet, key, url=0):
        self.key = key
        self.client = http_client.HttpClient(
            fleet.caller_urls[url], connections=1, read_seconds=GIVE_UP_SECONDS
        )
        self.status = None
        self.lines = []
        self.ended = gevent.event.Event()

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
            answer = self.open("/v1/chat/completions", body)
            self.status = answer.status
            if not stream or self.status != 200:
                self.lines.append(answer.read())
            for line in answer.lines() if stream else ():
                self.lines.append(line)
        except OSError as exc:
            self.lines.append(repr(exc).encode())
        self.ended.set()

    def text(self):
        return b"\n".join(self.lines).decode()


@pytest.fixture
def fleet():
    made = fleet_lib.Fleet()
    made.start_platform()
    made.start_entry("plateau")
    made.start_entry("almadies")
    first = keys.new_key()
    demo.apply_release(made, test_web.NOTE % keys.digest_of(first))
    made.first_key = first
    made.start_sidecar(
        fleet_lib.TargetSpec("engine-1", "plateau", ("model",)), PROFILE
    )
    made.start_sidecar(fleet_lib.TargetSpec("ledger-1", "plateau"))
    fleet_lib.wait_until_ready(made, made.timers, GIVE_UP_SECONDS)
    yield made
    made.stop()


def _grant(fleet, account="one"):
    key = keys.new_key()
    demo.apply_release(
        fleet,
        f'[[added.keys]]\ndigest = "{keys.digest_of(key)}"\n'
        f'account = "{account}"\n',
    )
    return key


def _withdraw(fleet, *gone):
    digests = json.dumps([keys.digest_of(key) for key in gone])
    demo.apply_release(fleet, f"[withdrawn]\nkeys = {digests}\n")


def _wait_until(condition):
    with gevent.Timeout(GIVE_UP_SECONDS):
        while not condition():
            gevent.sleep(0.02)


def test_a_withdrawn_key_ends_all_that_it_does(fleet, monkeypatch):
    demo.apply_release(
        fleet,
        "[[added.accounts]]\nname = 'slow'\nrate = 1.0\nburst = 1.0\n",
    )
    for daemon in fleet.entries:
        monkeypatch.setattr(daemon.base.limiter, "admit", _never_the_slow_one)
    key, other, slow = _grant(fleet), _grant(fleet), _grant(fleet, "slow")
    idle = Caller(fleet, key)
    refusal = idle.open("/v1/programs", {"template": "x"})
    assert refusal.status == 400
    refusal.read()
    unread = Caller(fleet, key)
    body = {"model": "model", "messages": [{"role": "user", "content": "x"}]}
    body.update(stream=True, max_tokens=10**5)
    unread_answer = unread.open("/v1/chat/completions", body)
    running = [Caller(fleet, key, n % 2) for n in range(RUNNING_SLOTS - 2)]
    staying = Caller(fleet, other)
    for caller in (staying, *running):
        gevent.spawn(caller.chat, 200 if caller is staying else 10**5)
    engine = fleet.engines["engine-1"]
    _wait_until(lambda: engine.load().running == RUNNING_SLOTS)
    waiting = [Caller(fleet, key, n % 2) for n in range(4)]
    for number, caller in enumerate(waiting):
        gevent.spawn(caller.chat, 10**5, stream=number < 2)
    queue = fleet.sidecars["engine-1"].base.queue
    _wait_until(lambda: queue.queued == len(waiting))
    limited = [Caller(fleet, slow) for _ in range(2)]
    for caller in limited:
        gevent.spawn(caller.chat, 1)
    _withdraw(fleet, key, slow)
    for caller in (*running, *waiting, *limited):
        assert caller.ended.wait(GIVE_UP_SECONDS)
        text = caller.text()
        assert "key was withdrawn" in text or "unauthenticated" in text
        assert "[DONE]" not in text
    assert {caller.status for caller in waiting} == {401}
    assert b"key was withdrawn" in unread_answer.read()
    _wait_until(lambda: engine.load().running <= 1 and queue.queued == 0)
    [[conn]] = idle.client._pool._idle.values()
    sock = conn._sock
    sock.settimeout(GIVE_UP_SECONDS)
    assert sock.recv(1) == b""
    assert staying.ended.wait(GIVE_UP_SECONDS)
    assert staying.lines[-2] == b"data: [DONE]"
    again = Caller(fleet, key)
    again.chat(1)
    assert again.status == 401


def test_cuts_off_a_caller_who_does_not_read_when_its_key_is_withdrawn():
    key = keys.new_key()
    digest = keys.digest_of(key)
    timers = timers_lib.SystemTimers()
    fresh = freshness.Freshness(timers)
    fresh.prove(timers.now())
    current = current_lib.Current()
    granted = {digest: state_lib.Key(digest, "one")}
    current.advance(state_lib.State(revision=1, keys=granted))
    auth = keys.Authenticator(current, fresh)
    guarded = guard.Guard(auth, current, timers, metrics.Metrics())
    sent, closed = [], gevent.event.Event()

    def endless():
        try:
            while True:
                sent.append(1)
                yield b"x" * 10**6
        finally:
            closed.set()

    def handler(req):
        caller = auth.caller(req.headers["Authorization"])
        guarded.note(req, caller)
        events = guarded.stream(req, caller, endless())
        return web.stream_response(events, "text/plain")

    app = web.App(body_limit=1000)
    app.route("POST", "/", handler)
    server = web.Server("127.0.0.1:0", app)
    server.start()
    client = http_client.HttpClient(f"http://{server.address}")
    headers = {"Authorization": f"Bearer {key}"}
    answer = client.open("POST", "/", b"", headers)
    count = 0
    while len(sent) > count:
        count = len(sent)
        gevent.sleep(0.3)
    assert not closed.is_set()
    current.advance(state_lib.State(revision=2))
    assert closed.wait(GIVE_UP_SECONDS)
    with pytest.raises(http_client.ExchangeFailed):
        answer.read()
    server.kill()


def _never_the_slow_one(account, *unused):
    """Has requests of one account wait for a token that never comes."""
    if account == "slow":
        gevent.sleep(10 * GIVE_UP_SECONDS)


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


def test_a_key_shows_nowhere_but_on_its_caller_s_connection(monkeypatch):
    exporters, lines, seen = [], [], []

    def make_exporter(*unused):
        exporters.append(in_memory_span_exporter.InMemorySpanExporter())
        return exporters[-1]

    monkeypatch.setattr(spans, "make_exporter", make_exporter)
    honest = web.App.__call__

    def record(app, environ, start_response):
        body = environ["wsgi.input"].read()
        environ["wsgi.input"] = _Replayed(body)
        environ["CONTENT_LENGTH"] = str(len(body))
        port = environ["SERVER_PORT"]
        if not any(url.endswith(":" + port) for url in made.caller_urls):
            shown = {k: v for k, v in environ.items() if isinstance(v, str)}
            seen.append(repr(shown).encode() + body)
        return honest(app, environ, start_response)

    monkeypatch.setattr(web.App, "__call__", record)
    eliot.add_destinations(lines.append)
    made = fleet_lib.Fleet()
    first = keys.new_key()
    made.start_platform()
    made.start_entry("plateau")
    try:
        demo.apply_release(made, test_web.NOTE % keys.digest_of(first))
        made.start_sidecar(
            fleet_lib.TargetSpec("engine-1", "plateau", ("model",)), PROFILE
        )
        made.start_sidecar(fleet_lib.TargetSpec("ledger-1", "plateau"))
        fleet_lib.wait_until_ready(made, made.timers, GIVE_UP_SECONDS)
        for stream in (True, False):
            Caller(made, first).chat(3, stream)
        for _ in range(2):
            answer = Caller(made, first).open(
                "/v1/services/ledger/post", {}, Idempotency_Key="k"
            )
            assert answer.status == 200
        Caller(made, first + "x").chat(1)
        Caller(made, first).open("/v1/operators/releases", {"x": 1})
        metrics = b"".join(
            daemon.base.metrics.render()
            for daemon in (*made.entries, *made.sidecars.values())
        )
    finally:
        made.stop()
        eliot.remove_destination(lines.append)
    recorded = [s for e in exporters for s in e.get_finished_spans()]
    assert any(b"/generate" in edge for edge in seen)
    assert any(b"ModelCall" in edge for edge in seen)
    assert recorded and lines
    everything = [
        *seen,
        repr(lines).encode(),
        repr([span.to_json() for span in recorded]).encode(),
        metrics,
        *(row.value for row in made.table.peek()),
    ]
    for secret in (first.encode(), b"Bearer", made.operator_key.encode()):
        assert not [edge for edge in everything if secret in edge]


class _Replayed:
    """A request body that was read already."""

    def __init__(self, body):
        self._body = body

    def read(self, size=-1):
        size = len(self._body) if size is None or size < 0 else size
        taken, self._body = self._body[:size], self._body[size:]
        return taken

    def readinto(self, buffer):
        taken = self.read(len(buffer))
        buffer[: len(taken)] = taken
        return len(taken)
