"""Builds the daemon of an entry host."""

from __future__ import annotations

from endivepier import settings
from endivepier.daemons import common
from endivepier.entry import parts
from endivepier.internal import health
from endivepier.internal import web


def make(cfg: settings.EntrySettings) -> common.Daemon:
    """Returns the daemon that the settings describe."""
    runtime = common.make_runtime(cfg)
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
    )
    peer_server = web.Server(cfg.listen, runtime.app)
    return common.Daemon(entry, peer_server, [caller_server], runtime, cfg)
