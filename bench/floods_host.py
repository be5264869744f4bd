"""The entry host that `bench.floods` measures, as a process of its own.

It only uses what every revision of the code has, so that `bench.floods` can
run it with the modules of another checkout.
"""

from __future__ import annotations

from endivepier.internal import loop

loop.configure()

import itertools
import json
import random
import sys

import gevent

from endivepier import timers as timers_lib
from endivepier.gateway import model
from endivepier.gateway import process
from endivepier.http1 import messages
from endivepier.standins import table as table_lib
from endivepier.storage import ports
from endivepier_platform import dialect

SERVICE = "s"
CALL_TIMEOUT_SECONDS = 2.0
RESTART_SECONDS = 1.0


class FixedDecoder:
    """Decodes rows to one declaration and to targets by address."""

    declaration_table = "declared"
    target_table = "targets"

    def decode_declaration(self, row: ports.Row) -> model.Declaration:
        """Returns a plain route and a route for streams."""
        del row
        return model.Declaration(
            revision=1,
            routes=(
                _route("plain", model.RouteKind.IDEMPOTENT),
                _route("stream", model.RouteKind.STREAM),
            ),
            services={SERVICE: model.Service(SERVICE, 100, None)},
            accounts={},
            limits=messages.ClientLimits(),
        )

    def decode_evacuated(self, key: str) -> str | None:
        """Returns None: no data centre is evacuated here."""
        del key
        return None

    def decode_target(self, row: ports.Row) -> model.Target:
        """Returns the target whose address is the row's value."""
        return model.Target(
            name=row.key.rpartition("/")[2],
            service=SERVICE,
            address=row.value.decode(),
            data_centre="a",
            slots=12,
            draining=False,
            started=1,
        )


def _route(name: str, kind: model.RouteKind) -> model.Route:
    return model.Route(
        name=name,
        host="a.example",
        prefix=f"/{name}/",
        kind=kind,
        backends=(model.Backend(SERVICE, 1.0),),
        timeout=CALL_TIMEOUT_SECONDS,
        objective=0.25,
        priority=0,
        most_targets=2,
        public=False,
        sticky=False,
        resumable=True,
        retained=False,
        retention=60.0,
        gap=0.2,
    )


def _restart_first_target(table: table_lib.MemoryTable, address: str) -> None:
    """Replaces the first target by one that no call has failed at yet.

    A target that floods is avoided afterwards, so it would flood only once.
    """
    row = "targets//t0"
    for number in itertools.count():
        gevent.sleep(RESTART_SECONDS)
        replacement = f"targets//t0-{number}"
        writes = (ports.Delete(row), ports.Put(replacement, address.encode()))
        table.transact(ports.Transaction((), writes))
        row = replacement


def main() -> None:
    """Serves until killed; prints the address of the listener."""
    timers = timers_lib.SystemTimers()
    table = table_lib.MemoryTable(timers, random.Random(0))
    rows = [("declared//config", b"")]
    for number, address in enumerate(sys.argv[1:]):
        rows.append((f"targets//t{number}", address.encode()))
    for key, value in rows:
        txn = ports.Transaction((), (ports.Put(key, value),))
        table.transact(txn)
    gateway = process.Gateway(
        process.Settings(
            host="h0",
            data_centre="a",
            listen="127.0.0.1:0",
            peer_listen="127.0.0.1:0",
            ready_listen="127.0.0.1:0",
            ready_path="/ready",
            metrics_listen="127.0.0.1:0",
            grace_seconds=3.0,
            rate_tolerance=0.0,
        ),
        process.Adapters(
            table, table, FixedDecoder(), dialect.PlatformDialect()
        ),
        timers,
        random.Random(0),
    )
    gateway.start()
    while not gateway.is_ready():
        gevent.sleep(0.01)
    print(json.dumps({"address": gateway.server.address}), flush=True)
    _restart_first_target(table, sys.argv[1])


if __name__ == "__main__":
    main()
