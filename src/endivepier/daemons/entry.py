"""The entry daemon."""

from __future__ import annotations

from endivepier import settings
from endivepier.daemons import common
from endivepier.entry import parts
from endivepier.internal import health
from endivepier.internal import web


def make(cfg: settings.EntrySettings) -> common.Daemon:
    """Returns the daemon that the settings describe."""
    shell = common.make_shell(cfg)
    entry = parts.Entry(
        shell.env,
        call_seconds=cfg.call_seconds,
        bootstrap_digest=cfg.bootstrap_digest,
    )
    app = web.App(
        body_limit=cfg.body_limit, tracer=shell.tracer, metrics=entry.metrics
    )
    entry.add_to(app)
    health.add_to(app, entry)
    health.add_to(shell.app, entry)
    callers = web.Server(
        cfg.caller_listen,
        app,
        certificate=cfg.tls_certificate,
        private_key=cfg.tls_key,
    )
    peers = web.Server(cfg.listen, shell.app)
    return common.Daemon(entry, peers, [callers], shell, cfg)
