"""Builds the daemon of an entry host."""

from __future__ import annotations

from endivepier import settings
from endivepier.daemons import common
from endivepier.entry import parts
from endivepier.http1 import server as server_lib
from endivepier.internal import health
from endivepier.internal import web


def make(cfg: settings.EntrySettings) -> common.Daemon:
    """Returns the daemon that the settings describe."""
    runtime = common.make_runtime(cfg, cfg.body_limit)
    entry = parts.Entry(
        runtime.env,
        call_seconds=cfg.call_seconds,
        bootstrap_digest=cfg.bootstrap_digest,
    )
    app = web.App(
        body_limit=cfg.body_limit, tracer=runtime.tracer, metrics=entry.metrics
    )
    entry.add_to(app)
    health.add_to(app, entry)
    health.add_to(runtime.app, entry)
    caller_server = web.Server(
        cfg.caller_listen,
        app,
        certificate=cfg.tls_certificate,
        private_key=cfg.tls_key,
        clients=server_lib.for_callers(runtime.capacity, entry.screen),
    )
    peer_server = runtime.make_peer_server(cfg.listen)
    return common.Daemon(entry, peer_server, [caller_server], runtime, cfg)
