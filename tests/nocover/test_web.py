import json

import gevent
from gevent import socket
from opentelemetry.sdk.trace.export import in_memory_span_exporter
import pytest
import trustme
import werkzeug.wrappers

from endivepier import settings
from endivepier import timers as timers_lib
from endivepier.configuration import keys
from endivepier.internal import http_client
from endivepier.internal import web
from endivepier.standins import demo
from endivepier.standins import fleet as fleet_lib
from endivepier.telemetry import spans

TRACE = "0af7651916cd43dd8448eb211c80319c"
PARENT = "b7ad6b7169203331"
NOTE = """
[[added.pools]]
name = "pool"
kind = "engine"
shards = 2
[[added.pools]]
name = "ledger"
kind = "service"
[[added.targets]]
name = "engine-1"
pool = "pool"
[[added.targets]]
name = "ledger-1"
pool = "ledger"
[[added.models]]
name = "model"
pool = "pool"
[[added.routes]]
prefix = "/ledger/"
pool = "ledger"
[[added.accounts]]
name = "one"
rate = 100.0
burst = 100.0
[[added.keys]]
account = "one"
digest = "%s"
"""


@pytest.fixture
def served():
    servers = []

    def serve(handler, **options):
        app = web.App(body_limit=1000)
        app.route("POST", "/", handler)
        server = web.Server("127.0.0.1:0", app, **options)
        server.start()
        servers.append(server)
        return server

    yield serve
    for server in servers:
        server.kill()


def test_connections_send_small_chunks_without_delay(served):
    no_delay = []

    def handler(req):
        sock = req.environ[web.SOCKET_KEY]
        no_delay.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        return werkzeug.wrappers.Response("ok")

    server = served(handler)
    http_client.HttpClient(f"http://{server.address}").request("POST", "/")
    assert no_delay[0] != 0


def test_a_handler_notices_a_disconnect_before_it_responds(served):
    noticed = gevent.event.AsyncResult()

    def handler(req):
        assert not req.is_disconnected()
        while not req.is_disconnected():
            gevent.sleep(0.01)
        noticed.set(True)
        return werkzeug.wrappers.Response("late")

    server = served(handler)
    host, _, port = server.address.partition(":")
    sock = socket.create_connection((host, int(port)))
    sock.sendall(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
    gevent.sleep(0.05)
    sock.close()
    assert noticed.get(timeout=5)


def test_stop_waits_for_running_requests_but_not_for_idle_connections(served):
    def handler(req):
        gevent.sleep(0.2)
        return werkzeug.wrappers.Response("whole")

    server = served(handler)
    client = http_client.HttpClient(f"http://{server.address}")
    client.request("POST", "/")
    task = gevent.spawn(client.request, "POST", "/")
    gevent.sleep(0.05)
    timers = timers_lib.SystemTimers()
    gevent.spawn(server.stop, timers, 30.0).get(timeout=10)
    assert task.get(timeout=1).body == b"whole"
    with pytest.raises(http_client.ConnectFailed):
        client.request("POST", "/")


def test_a_killed_server_does_not_respond_on_open_connections(served):
    server = served(lambda req: werkzeug.wrappers.Response("alive"))
    client = http_client.HttpClient(f"http://{server.address}")
    assert client.request("POST", "/").body == b"alive"
    server.kill()
    with pytest.raises(OSError, match=r"."):
        client.request("POST", "/")


def test_serves_tls_with_the_configured_certificate(served, tmp_path):
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    certificate, key = tmp_path / "cert.pem", tmp_path / "key.pem"
    certificate.write_bytes(issued.cert_chain_pems[0].bytes())
    key.write_bytes(issued.private_key_pem.bytes())
    server = served(
        lambda req: werkzeug.wrappers.Response("secret"),
        certificate=str(certificate),
        private_key=str(key),
    )
    context = http_client.default_ssl_context()
    authority.configure_trust(context)
    client = http_client.HttpClient(
        f"https://{server.address}", ssl_context=context
    )
    assert client.request("POST", "/").body == b"secret"
    plain = http_client.HttpClient(f"http://{server.address}")
    with pytest.raises(OSError, match=r"."):
        plain.request("POST", "/")


def test_each_hop_of_a_call_records_a_span_of_its_trace(monkeypatch):
    exporters = []

    def make_exporter(*unused):
        exporters.append(in_memory_span_exporter.InMemorySpanExporter())
        return exporters[-1]

    monkeypatch.setattr(spans, "make_exporter", make_exporter)
    fleet = fleet_lib.Fleet()
    key = keys.new_key()
    fleet.start_platform()
    fleet.start_entry("plateau")
    demo.apply(fleet, NOTE % keys.digest_of(key))
    fleet.start_sidecar(fleet_lib.Site("engine-1", "plateau", ("model",)))
    fleet.start_sidecar(fleet_lib.Site("ledger-1", "plateau"))
    fleet_lib.wait_until_ready(fleet, fleet.timers, 10.0)
    client = http_client.HttpClient(fleet.caller_urls[0])
    headers = {
        "Authorization": f"Bearer {key}",
        "Idempotency-Key": "k",
        "traceparent": f"00-{TRACE}-{PARENT}-01",
        "tracestate": f"key={key}",
    }
    chat = {
        "model": "model",
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 2,
    }
    body = json.dumps(chat).encode()
    responses = [
        client.request("POST", "/v1/chat/completions", body, headers),
        client.request("POST", "/v1/services/ledger/post", b"{}", headers),
    ]
    fleet.stop()
    assert [response.status for response in responses] == [200, 200]
    recorded = [
        span
        for exporter in exporters
        for span in exporter.get_finished_spans()
        if span.context.trace_id == int(TRACE, 16)
    ]
    names = {span.name for span in recorded}
    assert {"POST", "ModelCall", "engine.generate", "CallService"} <= names
    assert {"service.call", "table/table/transact", "queue"} <= names
    ids = {span.context.span_id for span in recorded} | {int(PARENT, 16)}
    assert {span.parent.span_id for span in recorded} <= ids
    assert key not in repr([(s.name, s.attributes) for s in recorded])


def test_settings_errors_name_each_flag_and_show_no_secret():
    environ = {
        "ENDIVEPIER_LISTEN": "localhost:80",
        "ENDIVEPIER_FLEET_SECRET": "short-secret",
        "ENDIVEPIER_TABLE_URL": "ftp://x",
    }
    with pytest.raises(settings.errors.SettingsError) as caught:
        settings.load(settings.EntrySettings, {"data_centre": ""}, environ)
    text = str(caught.value)
    assert "--listen (ENDIVEPIER_LISTEN) is 'localhost:80'" in text
    assert "--table-url (ENDIVEPIER_TABLE_URL) is 'ftp://x'" in text
    assert "set --hosts-url or ENDIVEPIER_HOSTS_URL" in text
    assert "short-secret" not in text
