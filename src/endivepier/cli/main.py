"""The `endivepier` command.

This is also the entry module of every daemon, so it configures the event loop
and monkey-patches the standard library before anything else is imported.
"""

from __future__ import annotations

from endivepier.internal import loop

loop.configure()

from gevent import monkey

monkey.patch_all()

import argparse
from collections.abc import Sequence
import contextlib
import importlib.metadata
import sys

from endivepier import errors
from endivepier.cli import demo
from endivepier.cli import effect
from endivepier.cli import entry
from endivepier.cli import key
from endivepier.cli import program
from endivepier.cli import release
from endivepier.cli import sidecar
from endivepier.cli import standin
from endivepier.cli import status

EXIT_FAILED = 1
EXIT_USAGE = 2


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the whole command."""
    parser = argparse.ArgumentParser(
        prog="endivepier",
        description="A scheduler for agent programs: in order, on budget, "
        "nothing lost, nothing twice.",
    )
    commands = parser.add_subparsers(
        title="commands", dest="command", required=True
    )
    for module in (
        entry,
        sidecar,
        release,
        key,
        program,
        effect,
        status,
        demo,
        standin,
    ):
        module.add_to(commands)
    _add_version(parser)
    return parser


def _add_version(parser: argparse.ArgumentParser) -> None:
    """Adds `--version` to a parser and to all of its subcommands.

    A subcommand that has an option of that name keeps its own.
    """
    version = importlib.metadata.version("endivepier")
    with contextlib.suppress(argparse.ArgumentError):
        parser.add_argument(
            "--version", action="version", version=f"endivepier {version}"
        )
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            for subparser in action.choices.values():
                _add_version(subparser)


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the command and returns its exit code."""
    args = make_parser().parse_args(argv)
    try:
        return int(args.run(args))
    except errors.SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_USAGE
    except errors.EndivepierError as exc:
        print(f"endivepier: {exc}", file=sys.stderr)
        return EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
