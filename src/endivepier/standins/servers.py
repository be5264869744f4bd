"""HTTP servers of the stand-ins, for the demo and for separate processes."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import werkzeug.wrappers

from endivepier import errors
from endivepier.internal import codec
from endivepier.internal import http_peers
from endivepier.internal import web
from endivepier.standins import engine as engine_lib
from endivepier.standins import hosts as hosts_lib
from endivepier.standins import objects as objects_lib
from endivepier.standins import service as service_lib
from endivepier.standins import table as table_lib
from endivepier.storage import ports as platform_ports
from endivepier.storage import wire as platform_wire
from endivepier.targets import ports
from endivepier.targets import wire

BODY_LIMIT_BYTES = 256 * 1024 * 1024


class _ServiceFailed(Exception):
    """Raised when the stand-in's call fails; `web.App` responds with 500."""


def platform_app(
    table: table_lib.MemoryTable,
    objects: objects_lib.MemoryObjects,
    hosts: hosts_lib.MemoryHostList,
) -> web.App:
    """Returns an application that serves the platform's three services."""
    app = web.App(body_limit=BODY_LIMIT_BYTES)
    _add_table(app, table)
    _add_objects(app, objects)

    def show_hosts(req: web.Request) -> werkzeug.wrappers.Response:
        del req
        try:
            host_list = tuple(hosts.hosts())
        except errors.Unavailable:
            return werkzeug.wrappers.Response(status=503)
        return web.json_response(platform_wire.Hosts(host_list))

    app.route("GET", platform_wire.HOSTS_PATH, show_hosts)

    def put_host(req: web.Request) -> werkzeug.wrappers.Response:
        host = codec.decode(platform_ports.Host, req.get_data())
        hosts.put(host, at_once=True)
        return werkzeug.wrappers.Response(status=204)

    app.route("PUT", platform_wire.HOSTS_PATH, put_host)
    return app


def _add_table(app: web.App, table: table_lib.MemoryTable) -> None:
    def rows_response(
        rows: Iterable[platform_ports.Row], *, more: bool = False
    ) -> werkzeug.wrappers.Response:
        documents = tuple(
            platform_wire.RowDocument(row.key, row.value, row.version)
            for row in rows
        )
        return web.json_response(platform_wire.Rows(documents, more))

    def get(req: web.Request) -> werkzeug.wrappers.Response:
        query = codec.decode(platform_wire.Get, req.get_data())
        try:
            row = table.get(query.key)
        except errors.Unavailable:
            return werkzeug.wrappers.Response(status=503)
        return rows_response([] if row is None else [row])

    def scan(req: web.Request) -> werkzeug.wrappers.Response:
        query = codec.decode(platform_wire.Scan, req.get_data())
        try:
            page = table.scan(
                query.prefix, after=query.after, limit=query.limit
            )
        except errors.Unavailable:
            return werkzeug.wrappers.Response(status=503)
        return rows_response(page.rows, more=page.more)

    def transact(req: web.Request) -> werkzeug.wrappers.Response:
        document = codec.decode(platform_wire.Transact, req.get_data())
        try:
            version = table.transact(document.transaction())
        except errors.ConditionFailed as exc:
            return web.json_response(platform_wire.Conflict(exc.key))
        except errors.Unavailable:
            return werkzeug.wrappers.Response(status=503)
        except errors.OutcomeUnknown:
            return werkzeug.wrappers.Response(status=504)
        return web.json_response(platform_wire.Committed(version))

    app.route("POST", platform_wire.GET_PATH, get)
    app.route("POST", platform_wire.SCAN_PATH, scan)
    app.route("POST", platform_wire.TRANSACT_PATH, transact)


def _add_objects(app: web.App, objects: objects_lib.MemoryObjects) -> None:
    def put(req: web.Request, name: str) -> werkzeug.wrappers.Response:
        try:
            objects.put(name, req.get_data())
        except errors.ConditionFailed:
            return werkzeug.wrappers.Response(status=409)
        except errors.Unavailable:
            return werkzeug.wrappers.Response(status=503)
        return werkzeug.wrappers.Response(status=204)

    def get(req: web.Request, name: str) -> werkzeug.wrappers.Response:
        del req
        try:
            body = objects.get(name)
        except errors.Unavailable:
            return werkzeug.wrappers.Response(status=503)
        if body is None:
            return werkzeug.wrappers.Response(status=404)
        return werkzeug.wrappers.Response(body)

    rule = platform_wire.OBJECT_PATH + "<path:name>"
    app.route("PUT", rule, put)
    app.route("GET", rule, get)


def engine_app(engine: engine_lib.MemoryEngine) -> web.App:
    """Returns an application that serves a model engine."""
    app = web.App(body_limit=BODY_LIMIT_BYTES)

    def generate(req: web.Request) -> werkzeug.wrappers.Response:
        generate_req = codec.decode(ports.Generate, req.get_data())
        events = engine.generate(generate_req)
        try:
            first = next(events)
        except errors.TargetFailed as exc:
            return werkzeug.wrappers.Response(str(exc), status=503)
        lines = _event_lines(first, events)
        return web.stream_response(lines, http_peers.LINES_TYPE)

    app.route("POST", wire.GENERATE_PATH, generate)

    def add_route(
        path: str, document_type: type[Any], handler: Callable[[Any], Any]
    ) -> None:
        def handle(req: web.Request) -> werkzeug.wrappers.Response:
            document = codec.decode(document_type, req.get_data())
            try:
                return web.json_response(handler(document) or wire.Done())
            except errors.Fenced as exc:
                return werkzeug.wrappers.Response(str(exc), status=409)

        app.route("POST", path, handle)

    add_route(
        wire.CANCEL_PATH,
        wire.RequestName,
        lambda doc: engine.cancel(doc.request_id),
    )
    add_route(wire.LOAD_PATH, wire.Done, lambda _: engine.load_report())
    add_route(
        wire.HELD_PATH,
        wire.Done,
        lambda _: wire.Held(tuple(engine.cached_prefixes())),
    )
    add_route(
        wire.RELEASE_PATH,
        wire.SessionName,
        lambda doc: engine.release(doc.session),
    )
    add_route(
        wire.EVENTS_PATH,
        wire.EventsAfter,
        lambda doc: wire.Events(tuple(engine.cache_events(doc.after))),
    )
    add_route(
        wire.EXPORT_PATH,
        wire.SessionName,
        lambda doc: wire.KvBlob(doc.session, engine.export_kv(doc.session)),
    )
    add_route(
        wire.IMPORT_PATH,
        wire.KvBlob,
        lambda doc: engine.import_kv(doc.session, doc.blob),
    )
    add_route(wire.ORDER_PATH, ports.Order, engine.order)
    add_route(
        wire.MODELS_PATH,
        wire.Done,
        lambda _: wire.Models(tuple(engine.models())),
    )
    return app


def _event_lines(
    first: ports.EngineEvent, rest: Iterator[ports.EngineEvent]
) -> Iterator[bytes]:
    """Yields a line for each event; an error breaks off the response."""
    yield codec.encode(first) + b"\n"
    try:
        for event in rest:
            yield codec.encode(event) + b"\n"
    finally:
        rest.close()  # type: ignore[attr-defined]


def service_app(service: service_lib.MemoryService) -> web.App:
    """Returns an application that serves a plain service."""
    app = web.App(body_limit=BODY_LIMIT_BYTES)

    def outcome(req: web.Request, key: str) -> werkzeug.wrappers.Response:
        del req
        try:
            response = service.outcome(key)
        except errors.TargetFailed:
            return werkzeug.wrappers.Response(status=501)
        if response is None:
            return werkzeug.wrappers.Response(status=404)
        return _service_response(response)

    def call(req: web.Request, path: str = "") -> werkzeug.wrappers.Response:
        request = ports.ServiceRequest(
            request_id=req.headers.get(wire.REQUEST_ID_HEADER, ""),
            method=req.method,
            path=req.full_path.rstrip("?"),
            body=req.get_data(),
            content_type=req.content_type or "",
            idempotency_key=req.headers.get(wire.IDEMPOTENCY_HEADER, ""),
            fence=int(req.headers.get(wire.FENCE_HEADER, "0")),
        )
        try:
            response = service.call(
                request, seconds=service_lib.FOREVER_SECONDS
            )
        except errors.TargetFailed as exc:
            raise _ServiceFailed from exc
        return _service_response(response)

    app.route("GET", wire.OUTCOME_PATH + "<path:key>", outcome)
    for method in ("GET", "POST", "PUT", "PATCH", "DELETE"):
        app.route(method, "/<path:path>", call)
    return app


def _service_response(
    response: ports.ServiceResponse,
) -> werkzeug.wrappers.Response:
    return werkzeug.wrappers.Response(
        response.body,
        status=response.status,
        headers={wire.REQUEST_ID_HEADER: response.request_id},
        content_type=response.content_type,
    )
