"""`endivepier status`: shows the processes and the revision on each."""

from __future__ import annotations

import argparse
from typing import Any

from endivepier.cli import client
from endivepier.entry import documents
from endivepier.internal import codec

STATUS_PATH = "/v1/operators/status"
ROW = "{:22} {:8} {:12} {:16} {:9} {:>8} {:>7} {:>7}"


def add_to(commands: Any) -> None:
    """Adds the command to the parser."""
    parser = commands.add_parser("status", help="the processes of the fleet")
    client.add_flags(parser)
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Prints a table of all processes."""
    response = client.request(args, "GET", STATUS_PATH)
    if response.status != 200:
        return client.print_response(response)
    document = codec.decode(documents.StatusDocument, response.body)
    print(
        ROW.format(
            "address",
            "role",
            "data centre",
            "target",
            "state",
            "revision",
            "queued",
            "running",
        )
    )
    for member in document.processes:
        print(
            ROW.format(
                member.address,
                member.role,
                member.data_centre,
                member.target,
                member.state.value,
                member.revision,
                member.queued,
                member.running,
            )
        )
    return 0
