"""A fleet for non-idempotent requests in simulated time.

It has entry hosts, service sidecars, a host that owns programs, and the
platform. It records what callers sent and received.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import json
import random
from typing import Any

import gevent
import gevent.event

from bench import effects_checker as checker
from bench import effects_standins as standins
from endivepier import errors
from endivepier.effects import attempts as attempts_lib
from endivepier.effects import claims as claims_lib
from endivepier.effects import client as client_lib
from endivepier.effects import group_commit
from endivepier.effects import messages
from endivepier.history import messages as history_messages
from endivepier.internal import codec
from endivepier.internal import process
from endivepier.sidecar import parts
from endivepier.standins import clock
from endivepier.standins import hosts as hosts_lib
from endivepier.standins import network as network_lib
from endivepier.standins import objects as objects_lib
from endivepier.standins import table as table_lib
from endivepier.storage import clients as storage_clients
from endivepier.storage import ports

POOL = "ledger"
OWNER_ADDRESS = "10.0.2.1:1"
CALLER_TIMEOUT_SECONDS = 8.0
REQUEST_TIMEOUT_SECONDS = 4.0


class Entry:
    """The part of an entry host that handles non-idempotent requests."""

    def __init__(self, fleet: Fleet, address: str) -> None:
        self.host = fleet.network.add(address)
        self.base = process.Base(fleet.environment(self.host), "entry")
        table = self.base.env.platform.table
        self.claims = claims_lib.Claims(
            table,
            self.base.env.platform.objects,
            self.host.timers,
            self.base.ids,
        )
        self.claims.committer.max_rows = fleet.max_rows
        view: Any = standins.MembershipView(fleet)
        self.client = client_lib.Client(
            view, self.base.env.peers, self.host.timers
        )
        self.attempts = attempts_lib.Attempts(
            self.claims, self.client, self.base.current, self.host.timers
        )
        self.base.kernel.start()

    def run(
        self, req: messages.CallService, through_owner: bool
    ) -> messages.ServiceAnswer:
        """Runs a request, directly or through the owner of its program."""
        send = self._send_to_owner if through_owner else self._send_directly
        return self.attempts.run(req, send)

    def _send_directly(
        self, req: messages.CallService
    ) -> messages.ServiceAnswer:
        return self.client.send(POOL, req)

    def _send_to_owner(
        self, req: messages.CallService
    ) -> messages.ServiceAnswer:
        service_call = history_messages.ProgramServiceCall(
            "program", req.account, POOL, req
        )
        try:
            answer: messages.ServiceAnswer = self.base.env.peers.call(
                OWNER_ADDRESS,
                service_call,
                messages.ServiceAnswer,
                seconds=req.seconds,
            )
        except errors.PeerUnreachable as exc:
            raise errors.Refused(
                errors.Code.NOT_READY,
                503,
                "the program's owner did not respond",
                ran=errors.Ran.UNKNOWN if exc.sent else errors.Ran.NO,
            ) from None
        return answer


class Fleet:
    """A simulated fleet and the history of its callers.

    Attributes:
        faults: probabilities of random faults; may change at any time.
        attempts: the requests and look-ups of callers, with their replies.
        crashes: unexpected exceptions in entry hosts and fault injection.
        services: the services by target name.
        targets: the target names by address of their sidecar.
        skips_send_check: whether sidecars send requests without the check
            that no long pause followed the claim; a planted fault.
    """

    def __init__(
        self,
        seed: int,
        *,
        sidecars: int = 3,
        entries: int = 2,
        tells_outcome: bool = False,
        max_rows: int = group_commit.MAX_ROWS,
    ) -> None:
        """Starts a fleet.

        Args:
            seed: seed of all random numbers.
            sidecars: number of services; each has one sidecar.
            entries: number of entry hosts.
            tells_outcome: whether the services answer outcome queries and check
                fencing numbers.
            max_rows: maximum number of rows in a group commit.
        """
        self.rng = random.Random(seed)
        self.timers = clock.VirtualTimers()
        self.network = network_lib.Network(self.timers)
        self.table = table_lib.MemoryTable(self.timers, self.rng)
        self.objects = objects_lib.MemoryObjects(self.timers)
        self.faults = standins.Faults()
        self.pool = POOL
        self.tells_outcome = tells_outcome
        self.max_rows = max_rows
        self.skips_send_check = False
        self.attempts: list[checker.Attempt] = []
        self.crashes: list[Exception] = []
        self.services: dict[str, standins.Service] = {}
        self.targets: dict[str, str] = {}
        self.sidecars: dict[str, parts.ServiceSidecar] = {}
        self.entries: list[Entry] = []
        self.timers.run(self._start, sidecars, entries)

    def _start(self, sidecars: int, entries: int) -> None:
        for index in range(sidecars):
            name = f"ledger-{index}"
            self.services[name] = standins.Service(self, name)
            self.targets[f"10.0.1.{index}:1"] = name
        for index in range(entries):
            self.entries.append(Entry(self, f"10.0.0.{index}:1"))
        base = self.entries[0].base
        base.store.apply(
            self._release_note(), "first", base.current, lambda: None
        )
        for address in self.targets:
            self.start_sidecar(address)
        self.start_owner()
        # Leaves time for the sidecars, which start in tasks of their own.
        self.timers.sleep(2.0)

    def _release_note(self) -> str:
        flag = str(self.tells_outcome).lower()
        targets = "".join(
            f'[[added.targets]]\nname = "{name}"\npool = "{POOL}"\n'
            f"tells_outcome = {flag}\nchecks_fence = {flag}\n"
            for name in self.services
        )
        return f'[[added.pools]]\nname = "{POOL}"\nkind = "service"\n{targets}'

    def environment(
        self, host: network_lib.Host, table: ports.Table | None = None
    ) -> process.Environment:
        """Returns the environment of a process on `host`.

        Args:
            host: the simulated host.
            table: replaces the fleet's table service if given.
        """
        return process.Environment(
            address=host.address,
            data_centre="plateau",
            timers=host.timers,
            peers=standins.LatePeers(self, host),
            inbox=host.inbox,
            platform=storage_clients.Platform(
                host.table(table or self.table),
                host.objects(self.objects),
                hosts_lib.MemoryHostList(self.timers),
            ),
            rng=random.Random(self.rng.random()),
            fleet_secret="secret",
        )

    def start_sidecar(self, address: str) -> None:
        """Starts a sidecar; replaces any earlier one at the address."""
        host = self.network.add(address)
        target = self.targets[address]
        sidecar = parts.ServiceSidecar(
            self.environment(host, standins.PausingTable(self, host)),
            target,
            self.services[target].client_for(host),
        )
        sidecar.claims.committer.max_rows = self.max_rows
        self.sidecars[address] = sidecar
        gevent.spawn(sidecar.start)

    def start_owner(self) -> None:
        """Starts the owner, which forwards the service calls of programs."""
        host = self.network.add(OWNER_ADDRESS)
        view: Any = standins.MembershipView(self)
        client = client_lib.Client(
            view, standins.LatePeers(self, host), host.timers
        )
        host.inbox.register(
            history_messages.ProgramServiceCall,
            messages.ServiceAnswer,
            lambda req: client.send(req.pool, req.request),
        )

    def freeze(self, host: network_lib.Host, seconds: float) -> None:
        """Suspends a host for some seconds; returns at once."""
        host.freeze()
        self.timers.after(seconds, host.thaw)

    def chance(self, probability: float) -> bool:
        """Returns true with the given probability."""
        return bool(probability) and self.rng.random() < probability

    def send_request(
        self,
        entry: Entry,
        account: str,
        key: str,
        body: bytes,
        *,
        through_owner: bool = False,
    ) -> checker.Attempt:
        """Makes one attempt as a caller and records it."""
        req = messages.CallService(
            account=account,
            program_id="program" if through_owner else "",
            kind="standard",
            method="POST",
            path=f"/{account}/{key}",
            body=body,
            content_type="text/plain",
            idempotent=False,
            idempotency_key=key,
            seconds=REQUEST_TIMEOUT_SECONDS,
        )
        attempt = checker.Attempt(f"{account}/{key}", body, self.timers.now())
        self._run_attempt(
            entry, attempt, functools.partial(entry.run, req, through_owner)
        )
        return attempt

    def look_up(self, entry: Entry, account: str, key: str) -> checker.Attempt:
        """Looks up an outcome as a caller and records the look-up."""
        attempt = checker.Attempt(
            f"{account}/{key}", b"", self.timers.now(), looks_up=True
        )
        look_up = functools.partial(entry.attempts.look_up, account, key)
        self._run_attempt(entry, attempt, look_up)
        return attempt

    def _run_attempt(
        self,
        entry: Entry,
        attempt: checker.Attempt,
        operation: Callable[[], messages.ServiceAnswer | messages.Outcome],
    ) -> None:
        """Runs `operation` in a task until it ends or the caller times out."""
        self.attempts.append(attempt)
        done = gevent.event.Event()
        gevent.spawn(self._record_reply, entry, attempt, operation, done)
        self.timers.wait(done, CALLER_TIMEOUT_SECONDS)

    def _record_reply(
        self,
        entry: Entry,
        attempt: checker.Attempt,
        operation: Callable[[], messages.ServiceAnswer | messages.Outcome],
        done: gevent.event.Event,
    ) -> None:
        """Records the reply, unless it comes after the caller timed out."""
        try:
            entry.host.wait_until_running()
            result = operation()
            entry.host.wait_until_running()
            reported, answer = _parse_result(result)
        except errors.Refused as exc:
            entry.host.wait_until_running()
            reported, answer = checker.Reported(exc.ran.value), b""
        except Exception as exc:
            self.crashes.append(exc)
            raise
        if self.timers.now() - attempt.start <= CALLER_TIMEOUT_SECONDS:
            attempt.end = self.timers.now()
            attempt.reported = reported
            attempt.answer = answer
        done.set()

    def effects(self) -> list[checker.Effect]:
        """Returns the effects that the services recorded."""
        return [
            checker.Effect(
                effect.request.path[1:],
                effect.request.body,
                effect.moment,
                json.dumps(
                    {"effect": number, "path": effect.request.path}
                ).encode(),
            )
            for service in self.services.values()
            for number, effect in enumerate(service.inner.effects, 1)
        ]

    def verdict(self) -> checker.Verdict:
        """Returns the guarantees that the history so far broke."""
        return checker.check(self.attempts, self.effects())

    def open_claims(self) -> list[claims_lib.Claim]:
        """Returns the dispatched claims, whose outcome is not in the table."""
        rows = [
            claims_lib.Claim(
                row.key,
                row.version,
                codec.decode(claims_lib.ClaimRow, row.value),
            )
            for row in self.table.peek(claims_lib.PREFIX)
        ]
        dispatched = claims_lib.ClaimState.DISPATCHED
        return [claim for claim in rows if claim.row.state is dispatched]


def _parse_result(
    result: messages.ServiceAnswer | messages.Outcome,
) -> tuple[checker.Reported, bytes]:
    match result:
        case messages.ServiceAnswer():
            return checker.Reported.YES, result.body
        case messages.Outcome(ran=ran, answer=answer):
            body = b"" if answer is None else answer.body
            return checker.Reported(ran.value), body
