"""`endivepier status`: the processes and the revision on each."""

from __future__ import annotations

import argparse
from typing import Any

from endivepier.cli import client
from endivepier.entry import documents
from endivepier.internal import codec

STATUS_PATH = "/v1/operators/status"
ROW = "{:22} {:8} {:12} {:16} {:9} {:>8} {:>7} {:>7}"


def add_to(commands: Any) -> None:
    """Adds the command."""
    parser = commands.add_parser("status", help="the processes of the fleet")
    client.add_flags(parser)
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Prints a table of all processes."""
    answer = client.request(args, "GET", STATUS_PATH)
    if answer.status != 200:
        return client.show(answer)
    document = codec.decode(documents.StatusDocument, answer.body)
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
