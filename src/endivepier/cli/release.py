"""`endivepier release`: checks, applies, shows and compares release notes."""

from __future__ import annotations

import argparse
from collections.abc import Iterable
import pathlib
import sys
from typing import Any
import uuid

from endivepier import errors
from endivepier.cli import client
from endivepier.configuration import declarations
from endivepier.configuration import notes
from endivepier.configuration import state as state_lib
from endivepier.entry import documents
from endivepier.entry import operators
from endivepier.internal import codec

EXIT_FAULTS = 1
EXIT_LAGS = 1
EXIT_DIFFERS = 1
# Locating a fault parses the note many times, so only the first ones are.
MAX_LOCATED_FAULTS = 50
ROW = "{:22} {:8} {:12} {:9} {:>8}  {}"


def add_to(commands: Any) -> None:
    """Adds the command to the parser."""
    parser = commands.add_parser("release", help="release notes")
    actions = parser.add_subparsers(dest="action", required=True)
    check = actions.add_parser(
        "check",
        help="report all faults of a note; with --url also check it against "
        "the newest revision",
    )
    check.add_argument("file", type=pathlib.Path)
    check.set_defaults(run=run_check)
    apply = actions.add_parser("apply", help="apply a note atomically")
    apply.add_argument("file", type=pathlib.Path)
    apply.add_argument(
        "--change-id",
        default="",
        help="idempotency key; give the same one for a retry",
    )
    apply.set_defaults(run=run_apply)
    show = actions.add_parser("show", help="show the state at a revision")
    show.add_argument("revision", nargs="?", default="head")
    show.add_argument(
        "--toml",
        action="store_true",
        help="print the state as a note that adds all of its objects",
    )
    show.set_defaults(run=run_show)
    diff = actions.add_parser(
        "diff",
        help="print the note that turns the state in force into the "
        "declarations in a file",
    )
    diff.add_argument("file", type=pathlib.Path)
    diff.set_defaults(run=run_diff)
    status = actions.add_parser(
        "status", help="show the revision on each process"
    )
    status.set_defaults(run=run_status)
    for action in (check, apply, show, diff, status):
        client.add_flags(action)


def run_check(args: argparse.Namespace) -> int:
    """Prints all faults of a note, each with its line and its fix."""
    text = _read(args.file)
    try:
        notes.parse(text)
    except notes.InvalidNote as exc:
        return _print_faults(args.file, text, exc.faults)
    if not args.url:
        print("no faults found without an entry host; --url checks the rest")
        return 0
    path = operators.RELEASES_PATH + "/check"
    response = client.request(args, "POST", path, text.encode())
    if response.status != 200:
        return client.print_response(response)
    result = codec.decode(documents.CheckDocument, response.body)
    if result.faults:
        return _print_faults(args.file, text, result.faults)
    print(f"no faults against revision {result.revision}")
    return 0


def run_apply(args: argparse.Namespace) -> int:
    """Applies a note."""
    change_id = args.change_id or uuid.uuid4().hex
    print(f"change id: {change_id}", file=sys.stderr)
    headers = {operators.CHANGE_ID_HEADER: change_id}
    body = _read(args.file).encode()
    response = client.request(
        args, "POST", operators.RELEASES_PATH, body, headers
    )
    return client.print_response(response)


def run_show(args: argparse.Namespace) -> int:
    """Shows the state at a revision."""
    response = client.request(
        args, "GET", f"{operators.RELEASES_PATH}/{args.revision}"
    )
    if response.status != 200 or not args.toml:
        return client.print_response(response)
    state = codec.decode(state_lib.State, response.body)
    print(declarations.to_toml(state), end="")
    return 0


def run_diff(args: argparse.Namespace) -> int:
    """Prints the note that turns the state in force into the declared one."""
    text = _read(args.file)
    try:
        declared = declarations.from_toml(text)
    except notes.InvalidNote as exc:
        return _print_faults(args.file, text, exc.faults)
    response = client.request(args, "GET", operators.RELEASES_PATH + "/head")
    if response.status != 200:
        return client.print_response(response)
    in_force = codec.decode(state_lib.State, response.body)
    note = declarations.difference(in_force, declared)
    print(note, end="")
    return EXIT_DIFFERS if note else 0


def run_status(args: argparse.Namespace) -> int:
    """Prints the revision on each process and marks those that lag."""
    response = client.request(args, "GET", operators.RELEASES_PATH + "/status")
    if response.status != 200:
        return client.print_response(response)
    document = codec.decode(documents.ReleaseStatus, response.body)
    source = (
        "read from the table"
        if document.from_table
        else ("as far as known; the table gives no answer")
    )
    print(f"head: revision {document.head}, {source}")
    print(
        ROW.format(
            "address", "role", "data centre", "state", "revision", ""
        ).rstrip()
    )
    for row in document.processes:
        mark = "LAGS" if row.lags else ""
        revision = row.revision
        if revision is None:
            revision, mark = "?", "NO ANSWER"
        print(
            ROW.format(
                row.address,
                row.role,
                row.data_centre,
                row.state or "?",
                revision,
                mark,
            ).rstrip()
        )
    lags = any(row.lags for row in document.processes)
    return EXIT_LAGS if lags else 0


def _read(file: pathlib.Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.EndivepierError(f"can't read {file}: {exc}") from None


def _print_faults(
    file: pathlib.Path, text: str, faults: Iterable[notes.Fault]
) -> int:
    """Prints each fault with its file and line, in the format of compilers."""
    for count, fault in enumerate(faults):
        line = ""
        if fault.path and count < MAX_LOCATED_FAULTS:
            line = f"{declarations.line_of(text, fault.path)}:"
        print(f"{file}:{line} {fault}", file=sys.stderr)
    return EXIT_FAULTS
