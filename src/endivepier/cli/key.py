"""`endivepier key`: generates API keys."""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any

from endivepier import errors
from endivepier.configuration import keys


def add_to(commands: Any) -> None:
    """Adds the command to the parser."""
    parser = commands.add_parser("key", help="keys of callers and operators")
    actions = parser.add_subparsers(dest="action", required=True)
    new = actions.add_parser(
        "new",
        help="make a key: the key itself is printed once, to standard output; "
        "the TOML that grants it is written to standard error or to a file",
    )
    new.add_argument("--account", default="", help="the client account")
    new.add_argument(
        "--operator", action="store_true", help="make an operator's key"
    )
    new.add_argument("--label", default="", help="description for people")
    new.add_argument(
        "--note",
        default="",
        help="file to append the TOML to; default standard error",
    )
    new.set_defaults(run=run_new)


def run_new(args: argparse.Namespace) -> int:
    """Makes a key, prints it, and writes the TOML that grants its digest."""
    if bool(args.account) == args.operator:
        raise errors.SettingsError("give either --account NAME or --operator")
    key = keys.new_key()
    lines = ["[[added.keys]]", f'digest = "{keys.digest_of(key)}"']
    if args.operator:
        lines.append('role = "operator"')
    else:
        lines.append(f"account = {json.dumps(args.account)}")
    if args.label:
        lines.append(f"label = {json.dumps(args.label, ensure_ascii=False)}")
    text = "\n".join(lines) + "\n"
    if args.note:
        with open(args.note, "a", encoding="utf-8") as file:
            file.write("\n" + text)
    else:
        print(text, file=sys.stderr)
    print(key)
    return 0
