"""`endivepier effect`: resolves requests whose outcome is unknown.

These are requests that are not idempotent and of which the fleet can't tell
whether they ran. Each is recorded as a claim.
"""

from __future__ import annotations

import argparse
import datetime
import json
from typing import Any
import urllib.parse

from endivepier.cli import client
from endivepier.effects import resolution
from endivepier.entry import effects
from endivepier.internal import codec

ROW = "{:20} {:32} {:12} {:20} {:>10}"


def add_to(commands: Any) -> None:
    """Adds the command to the parser."""
    parser = commands.add_parser(
        "effect", help="requests whose outcome is unknown"
    )
    actions = parser.add_subparsers(dest="action", required=True)
    listing = actions.add_parser(
        "list", help="list requests whose outcome is unknown"
    )
    listing.add_argument("--account", default="")
    listing.set_defaults(run=run_list)
    show = actions.add_parser("show", help="show one request's claim")
    show.set_defaults(run=run_show)
    resolve = actions.add_parser("resolve", help="record whether it ran")
    resolve.add_argument("--ran", choices=("yes", "no"), required=True)
    resolve.add_argument(
        "--version", type=int, required=True, help="as shown by `show`"
    )
    resolve.add_argument(
        "--note", required=True, help="who determined the outcome, and how"
    )
    resolve.set_defaults(run=run_resolve)
    for action in (show, resolve):
        action.add_argument("account")
        # `key` holds the operator's API key.
        action.add_argument(
            "idempotency_key",
            metavar="key",
            help="the caller's Idempotency-Key",
        )
    for action in (listing, show, resolve):
        client.add_flags(action)


def run_list(args: argparse.Namespace) -> int:
    """Prints a table of all claims without a known outcome."""
    print(ROW.format("account", "key", "target", "since (UTC)", "version"))
    after = ""
    while True:
        query = {"account": args.account, "after": after}
        path = f"{effects.LIST_PATH}?{urllib.parse.urlencode(query)}"
        response = client.request(args, "GET", path)
        if response.status != 200:
            return client.print_response(response)
        page = codec.decode(resolution.OpenClaims, response.body)
        for claim in page.claims:
            _print(claim)
        after = page.after
        if not after:
            return 0


def run_show(args: argparse.Namespace) -> int:
    """Shows one claim."""
    query = urllib.parse.urlencode(
        {"account": args.account, "key": args.idempotency_key}
    )
    return client.print_response(
        client.request(args, "GET", f"{effects.CLAIM_PATH}?{query}")
    )


def run_resolve(args: argparse.Namespace) -> int:
    """Records the outcome of a claim."""
    body = {
        "account": args.account,
        "key": args.idempotency_key,
        "version": args.version,
        "ran": args.ran,
        "note": args.note,
    }
    return client.print_response(
        client.request(
            args, "POST", effects.CLAIM_PATH, json.dumps(body).encode()
        )
    )


def _print(claim: resolution.ClaimDocument) -> None:
    since = datetime.datetime.fromtimestamp(claim.written, datetime.UTC)
    print(
        ROW.format(
            claim.account,
            claim.idempotency_key,
            claim.target,
            f"{since:%Y-%m-%d %H:%M:%S}",
            claim.version,
        )
    )
