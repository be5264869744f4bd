"""`endivepier entry`: runs an entry host's daemon."""

from __future__ import annotations

import argparse
import os
from typing import Any

from endivepier import settings
from endivepier.daemons import entry
from endivepier.telemetry import logs


def add_to(commands: Any) -> None:
    """Adds the command to the parser."""
    parser = commands.add_parser(
        "entry", help="run the daemon of an entry host"
    )
    settings.add_flags(parser, settings.EntrySettings)
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Runs the daemon until a signal stops it."""
    cfg = settings.load(settings.EntrySettings, vars(args), os.environ)
    logs.to_stderr()
    entry.make(cfg).run()
    return 0
