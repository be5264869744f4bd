"""`endivepier program`: creates, calls, shows and ends programs."""

from __future__ import annotations

import argparse
import json
from typing import Any
import uuid

from endivepier.cli import client
from endivepier.entry import programs

PROGRAMS_PATH = "/v1/programs"


def add_to(commands: Any) -> None:
    """Adds the command to the parser."""
    parser = commands.add_parser("program", help="programs of an account")
    actions = parser.add_subparsers(dest="action", required=True)
    create = actions.add_parser("create", help="create a program")
    create.add_argument("--template", default="")
    create.add_argument("--model", default="")
    create.add_argument("--parent", default="")
    create.set_defaults(run=run_create)
    call = actions.add_parser("call", help="make the next model call")
    call.add_argument("program")
    call.add_argument("text")
    call.add_argument("--model", default="any")
    call.add_argument("--max-tokens", type=int, default=64)
    call.add_argument("--call-id", default="")
    call.set_defaults(run=run_call)
    show = actions.add_parser("show", help="show history and budget")
    show.add_argument("program")
    show.set_defaults(run=run_show)
    end = actions.add_parser("end", help="end a program")
    end.add_argument("program")
    end.set_defaults(run=run_end)
    for action in (create, call, show, end):
        client.add_flags(action)


def run_create(args: argparse.Namespace) -> int:
    """Creates a program."""
    body = {
        "template": args.template,
        "model": args.model,
        "parent": args.parent,
    }
    response = client.request(
        args, "POST", PROGRAMS_PATH, json.dumps(body).encode()
    )
    return client.print_response(response)


def run_call(args: argparse.Namespace) -> int:
    """Makes the next model call; the text is appended to the history.

    The call uses the program's model; `--model` only sets the model name in
    the response.
    """
    body = {
        "model": args.model,
        "messages": [{"role": "user", "content": args.text}],
        "max_tokens": args.max_tokens,
    }
    headers = {
        programs.HISTORY_HEADER: programs.APPEND,
        programs.CALL_ID_HEADER: args.call_id or uuid.uuid4().hex,
    }
    path = f"{PROGRAMS_PATH}/{args.program}/chat/completions"
    response = client.request(
        args, "POST", path, json.dumps(body).encode(), headers
    )
    return client.print_response(response)


def run_show(args: argparse.Namespace) -> int:
    """Shows a program."""
    path = f"{PROGRAMS_PATH}/{args.program}"
    return client.print_response(client.request(args, "GET", path))


def run_end(args: argparse.Namespace) -> int:
    """Ends a program."""
    path = f"{PROGRAMS_PATH}/{args.program}"
    return client.print_response(client.request(args, "DELETE", path))
