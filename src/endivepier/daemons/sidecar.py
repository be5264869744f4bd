"""The sidecar daemon."""

from __future__ import annotations

from endivepier import settings
from endivepier.daemons import common
from endivepier.internal import health
from endivepier.internal import process
from endivepier.internal import web
from endivepier.sidecar import parts
from endivepier.targets import http_engine
from endivepier.targets import http_service


def make(cfg: settings.SidecarSettings) -> common.Daemon:
    """Returns the daemon that the settings describe."""
    shell = common.make_shell(cfg)
    base: process.Base
    match cfg.target_kind:
        case settings.TargetKind.ENGINE:
            base = parts.EngineSidecar(
                shell.env,
                cfg.target,
                http_engine.HttpEngine(
                    cfg.target, cfg.target_url, shell.tracer
                ),
                parts.QueueLimits(cfg.slots, cfg.queue_limit),
            )
        case settings.TargetKind.SERVICE:
            base = parts.ServiceSidecar(
                shell.env,
                cfg.target,
                http_service.HttpService(
                    cfg.target, cfg.target_url, shell.tracer
                ),
            )
    health.add_to(shell.app, base)
    peers = web.Server(cfg.listen, shell.app)
    return common.Daemon(base, peers, [], shell, cfg)
