"""`endivepier release`: checks, applies, shows and compares notes."""

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
MAX_LINES_FOUND = 50
ROW = "{:22} {:8} {:12} {:9} {:>8}  {}"


def add_to(commands: Any) -> None:
    """Adds the command."""
    parser = commands.add_parser("release", help="release notes")
    actions = parser.add_subparsers(dest="action", required=True)
    check = actions.add_parser(
        "check",
        help="tell all faults of a note; with --url also against the head",
    )
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
    show.add_argument(
        "--toml", action="store_true", help="as a note that adds all of it"
    )
    show.set_defaults(run=run_show)
    diff = actions.add_parser(
        "diff", help="the note from what is in force to the declarations"
    )
    diff.add_argument("file", type=pathlib.Path)
    diff.set_defaults(run=run_diff)
    state = actions.add_parser("status", help="the revision on each process")
    state.set_defaults(run=run_status)
    for action in (check, apply, show, diff, state):
        client.add_flags(action)


def run_check(args: argparse.Namespace) -> int:
    """Tells all faults of a note, with the line and the fix of each."""
    text = _read(args.file)
    try:
        notes.parse(text)
    except notes.InvalidNote as exc:
        return _print_faults(args.file, text, exc.faults)
    if not args.url:
        print("no faults found without an entry host; --url checks the rest")
        return 0
    path = operators.RELEASES_PATH + "/check"
    answer = client.request(args, "POST", path, text.encode())
    if answer.status != 200:
        return client.show(answer)
    found = codec.decode(documents.CheckDocument, answer.body)
    if found.faults:
        return _print_faults(args.file, text, found.faults)
    print(f"no faults against revision {found.revision}")
    return 0


def run_apply(args: argparse.Namespace) -> int:
    """Applies a note."""
    change_id = args.change_id or uuid.uuid4().hex
    print(f"change id: {change_id}", file=sys.stderr)
    headers = {operators.CHANGE_ID_HEADER: change_id}
    body = _read(args.file).encode()
    answer = client.request(
        args, "POST", operators.RELEASES_PATH, body, headers
    )
    return client.show(answer)


def run_show(args: argparse.Namespace) -> int:
    """Shows the state at a revision."""
    answer = client.request(
        args, "GET", f"{operators.RELEASES_PATH}/{args.revision}"
    )
    if answer.status != 200 or not args.toml:
        return client.show(answer)
    state = codec.decode(state_lib.State, answer.body)
    print(declarations.written(state), end="")
    return 0


def run_diff(args: argparse.Namespace) -> int:
    """Prints the note that brings what is in force to the declarations."""
    text = _read(args.file)
    try:
        wanted = declarations.declared(text)
    except notes.InvalidNote as exc:
        return _print_faults(args.file, text, exc.faults)
    answer = client.request(args, "GET", operators.RELEASES_PATH + "/head")
    if answer.status != 200:
        return client.show(answer)
    in_force = codec.decode(state_lib.State, answer.body)
    note = declarations.difference(in_force, wanted)
    print(note, end="")
    return EXIT_DIFFERS if note else 0


def run_status(args: argparse.Namespace) -> int:
    """Prints the revision on each process; marks those that lag."""
    answer = client.request(args, "GET", operators.RELEASES_PATH + "/status")
    if answer.status != 200:
        return client.show(answer)
    document = codec.decode(documents.ReleaseStatus, answer.body)
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
    """Prints each fault with its line, as compilers do."""
    for count, fault in enumerate(faults):
        line = ""
        if fault.path and count < MAX_LINES_FOUND:
            line = f"{declarations.line_of(text, fault.path)}:"
        print(f"{file}:{line} {fault}", file=sys.stderr)
    return EXIT_FAULTS
