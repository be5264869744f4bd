"""`endivepier release`: checks, applies and shows release notes."""

from __future__ import annotations

import argparse
import pathlib
from typing import Any
import uuid

from endivepier.cli import client
from endivepier.cli import status
from endivepier.entry import operators

RELEASES_PATH = "/v1/operators/releases"


def add_to(commands: Any) -> None:
    """Adds the command."""
    parser = commands.add_parser("release", help="release notes")
    actions = parser.add_subparsers(dest="action", required=True)
    check = actions.add_parser("check", help="tell all faults of a note")
    check.add_argument("file", type=pathlib.Path)
    check.set_defaults(run=run_check)
    apply = actions.add_parser("apply", help="accept a note, whole or not")
    apply.add_argument("file", type=pathlib.Path)
    apply.add_argument(
        "--change-id", default="", help="the same again for a retry"
    )
    apply.set_defaults(run=run_apply)
    show = actions.add_parser("show", help="the state at a revision")
    show.add_argument("revision", nargs="?", default="head")
    show.set_defaults(run=run_show)
    state = actions.add_parser("status", help="the revision on each process")
    state.set_defaults(run=status.run)
    for action in (check, apply, show, state):
        client.add_flags(action)


def run_check(args: argparse.Namespace) -> int:
    """Tells all faults of a note."""
    body = args.file.read_bytes()
    answer = client.request(args, "POST", RELEASES_PATH + "/check", body)
    return client.show(answer)


def run_apply(args: argparse.Namespace) -> int:
    """Applies a note."""
    change_id = args.change_id or uuid.uuid4().hex
    headers = {operators.CHANGE_ID_HEADER: change_id}
    body = args.file.read_bytes()
    answer = client.request(args, "POST", RELEASES_PATH, body, headers)
    return client.show(answer)


def run_show(args: argparse.Namespace) -> int:
    """Shows the state at a revision."""
    path = f"{RELEASES_PATH}/{args.revision}"
    return client.show(client.request(args, "GET", path))
