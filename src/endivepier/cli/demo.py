"""`endivepier demo`: a whole fleet on loopback, with faults on the way."""

from __future__ import annotations

import argparse
from typing import Any

from endivepier.standins import demo


def add_to(commands: Any) -> None:
    """Adds the command."""
    parser = commands.add_parser(
        "demo", help="run a fleet of stand-ins and sample programs"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--programs", type=int, default=40)
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Runs the demo; returns 1 and names the promise if one broke."""
    return demo.run(args.seed, args.programs)
