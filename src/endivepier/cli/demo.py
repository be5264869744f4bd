"""`endivepier demo`: runs a fleet on loopback with injected faults."""

from __future__ import annotations

import argparse
from typing import Any

from endivepier.standins import demo


def add_to(commands: Any) -> None:
    """Adds the command to the parser."""
    parser = commands.add_parser(
        "demo", help="run a fleet of stand-ins and sample programs"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--programs", type=int, default=40)
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Runs the demo; returns 1 if it finds a violated guarantee."""
    return demo.run(args.seed, args.programs)
