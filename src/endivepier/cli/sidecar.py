"""`endivepier sidecar`: runs the daemon beside a target."""

from __future__ import annotations

import argparse
import os
from typing import Any

from endivepier import settings
from endivepier.daemons import sidecar
from endivepier.telemetry import logs


def add_to(commands: Any) -> None:
    """Adds the command to the parser."""
    parser = commands.add_parser(
        "sidecar", help="run the daemon beside a target"
    )
    settings.add_flags(parser, settings.SidecarSettings)
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Runs the daemon until a signal stops it."""
    cfg = settings.load(settings.SidecarSettings, vars(args), os.environ)
    logs.to_stderr()
    sidecar.make(cfg).run()
    return 0
