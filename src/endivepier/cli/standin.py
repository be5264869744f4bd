"""`endivepier standin`: runs a stand-in for an outside system.

For trying the daemons out as separate processes; never for production.
"""

from __future__ import annotations

import argparse
import signal
from typing import Any

import gevent
import gevent.event

from endivepier import timers as timers_lib
from endivepier.internal import web
from endivepier.standins import engine
from endivepier.standins import hosts
from endivepier.standins import objects
from endivepier.standins import servers
from endivepier.standins import service
from endivepier.standins import table


def add_to(commands: Any) -> None:
    """Adds the command."""
    parser = commands.add_parser(
        "standin", help="run a stand-in for an outside system"
    )
    parser.add_argument("kind", choices=("platform", "engine", "service"))
    parser.add_argument("--listen", required=True)
    parser.add_argument("--name", default="standin")
    parser.add_argument("--models", default="", help="names, with commas")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Serves until SIGTERM or SIGINT."""
    server = web.Server(args.listen, _make_app(args))
    server.start()
    ended = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    gevent.signal_handler(signal.SIGINT, ended.set)
    ended.wait()
    server.kill()
    return 0


def _make_app(args: argparse.Namespace) -> web.App:
    timers = timers_lib.SystemTimers()
    match args.kind:
        case "platform":
            return servers.platform_app(
                table.MemoryTable(timers),
                objects.MemoryObjects(timers),
                hosts.MemoryHostList(timers),
            )
        case "engine":
            models = [name for name in args.models.split(",") if name]
            return servers.engine_app(
                engine.MemoryEngine(timers, args.name, models)
            )
        case _:
            return servers.service_app(
                service.MemoryService(timers, args.name, tells_outcome=True)
            )
