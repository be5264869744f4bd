"""Builds the daemon of a sidecar."""

from __future__ import annotations

from endivepier import settings
from endivepier.daemons import common
from endivepier.internal import health
from endivepier.internal import process
from endivepier.sidecar import parts
from endivepier.targets import http_engine
from endivepier.targets import http_service


def make(cfg: settings.SidecarSettings) -> common.Daemon:
    """Returns the daemon that the settings describe."""
    runtime = common.make_runtime(cfg)
    base: process.Base
    match cfg.target_kind:
        case settings.TargetKind.ENGINE:
            base = parts.EngineSidecar(
                runtime.env,
                cfg.target,
                http_engine.HttpEngine(
                    cfg.target, cfg.target_url, runtime.tracer
                ),
                parts.QueueLimits(cfg.slots, cfg.queue_limit),
            )
        case settings.TargetKind.SERVICE:
            base = parts.ServiceSidecar(
                runtime.env,
                cfg.target,
                http_service.HttpService(
                    cfg.target, cfg.target_url, runtime.tracer
                ),
            )
    health.add_to(runtime.app, base)
    peer_server = runtime.make_peer_server(cfg.listen)
    return common.Daemon(base, peer_server, [], runtime, cfg)
