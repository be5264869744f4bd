"""`endivepier standin`: runs a stand-in for an external system.

Stand-ins keep everything in memory. They serve to try out the daemons as
separate processes and must not be used in production.
"""

from __future__ import annotations

import argparse
import signal
from typing import Any

import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import web
from endivepier.standins import engine
from endivepier.standins import hosts
from endivepier.standins import objects
from endivepier.standins import servers
from endivepier.standins import service
from endivepier.standins import table
from endivepier.storage import ports


def add_to(commands: Any) -> None:
    """Adds the command to the parser."""
    parser = commands.add_parser(
        "standin", help="run a stand-in for an external system"
    )
    parser.add_argument("kind", choices=("platform", "engine", "service"))
    parser.add_argument("--listen", required=True)
    parser.add_argument("--name", default="standin")
    parser.add_argument(
        "--models", default="", help="model names, separated by commas"
    )
    parser.add_argument(
        "--host",
        action="append",
        default=[],
        help="for the platform: role,address,data centre,target; repeatable",
    )
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Serves until SIGTERM or SIGINT."""
    server = web.Server(args.listen, _make_app(args))
    server.start()
    stop_requested = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop_requested.set)
    gevent.signal_handler(signal.SIGINT, stop_requested.set)
    stop_requested.wait()
    server.kill()
    return 0


def _parse_host(text: str) -> ports.Host:
    # The added commas make the fields that `text` omits empty.
    parts = (text + ",,,").split(",")
    if parts[0] not in ("entry", "sidecar") or not parts[1]:
        raise errors.SettingsError(
            f"--host is {text!r}: write role,address,data centre,target"
        )
    return ports.Host(
        address=parts[1],
        data_centre=parts[2],
        role=parts[0],
        target=parts[3],
        state=ports.HostState.LIVE,
    )


def _make_app(args: argparse.Namespace) -> web.App:
    timers = timers_lib.SystemTimers()
    match args.kind:
        case "platform":
            host_list = hosts.MemoryHostList(timers)
            for text in args.host:
                host_list.put(_parse_host(text), at_once=True)
            return servers.platform_app(
                table.MemoryTable(timers),
                objects.MemoryObjects(timers),
                host_list,
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
