"""Reserves the tokens of turns at the entry host that owns their program.

The turns of a program arrive at several hosts. If each host wrote the
program's row, most writes would conflict with those of another host: five
calls to the store per turn. So one host, the program's owner, writes the row,
and the others send it their reservations. The owner is chosen by rendezvous
hashing of the program's id over the known hosts.

Ownership only saves calls. A host that can't reach the owner uses the store
itself, and if two hosts both consider themselves the owner, the version of
the row makes one of their conflicting writes fail.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import random

import eliot
import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.budgets import ledger as ledger_lib
from endivepier.gateway.budgets import state as budget_state
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.hosts import rows as host_rows
from endivepier.internal import bounded_map
from endivepier.internal import codec
from endivepier.internal import names
from endivepier.internal import numbering
from endivepier.internal import rendezvous

BEGIN = "budget-begin"
END = "budget-end"
# Less than OWNER_TIMEOUT_SECONDS, so that the owner replies in time even if
# the store does not.
DECIDE_TIMEOUT_SECONDS = 1.3
# Less than the 2 s that a client waits for the first event.
OWNER_TIMEOUT_SECONDS = 1.5
# A granted turn that is not settled within this time never will be, since its
# client has given up by then. All tokens reserved for it count as spent.
SETTLE_TIMEOUT_SECONDS = 12.0
# Former builds number their reservations from 1; see `internal.numbering`.
MAX_FORMER_NUMBER = 2**32
MAX_LAST_TARGETS = 20_000  # programs; an entry takes some 200 bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Asks the owner to reserve the tokens of a turn.

    Attributes:
        program: the program's id.
        budget: tokens that the program may generate in all.
        most: tokens that the turn may generate.
        first: whether the turn is the program's first.
    """

    program: names.Name
    budget: int
    most: int
    first: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """The reply to `Begin`.

    Attributes:
        state: whether the tokens are granted.
        number: number of the reservation at the owner; `End` refers to it.
        last_target: incarnation of the target that ran the program's last
            turn, or empty.
    """

    state: budget_state.State
    number: int
    last_target: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """Asks the owner to settle a turn.

    Attributes:
        number: number of the reservation, from `Begun`.
        used: tokens that were sent to the client.
        last_target: incarnation of the target that ran the turn, or empty.
        program: the program's id; empty from a former build, which does not
            tell.
    """

    number: int
    used: int
    last_target: names.Name = ""
    program: names.Name = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The reply to `End`."""


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """The tokens of one turn, reserved here or at the owner.

    Attributes:
        max_tokens: number of tokens that the turn may generate.
        likely: whether this process, when it made the reservation, expected
            the tokens to be granted.
        state: whether the tokens are granted.
        decided: set once `state` is no longer PENDING.
        settle: settles the turn where its tokens are reserved, given `used`
            and `last_target`; None until that place is known.
        used: tokens that the turn used; None until it has ended.
        last_target: incarnation of the target that ran the program's previous
            turn, or empty; it is likely to have the program's prompt cached.
            Once this turn has ended, that of the target that ran it.
    """

    max_tokens: int
    likely: bool
    state: budget_state.State = budget_state.State.PENDING
    decided: gevent.event.Event = dataclasses.field(
        default_factory=gevent.event.Event
    )
    settle: Callable[[int, str], None] | None = None
    used: int | None = None
    last_target: str = ""

    def decide(
        self, state: budget_state.State, settle: Callable[[int, str], None]
    ) -> None:
        """Sets the decision, or settles the turn if it has ended already."""
        if self.used is not None:
            settle(self.used, self.last_target)
            return
        self.settle = settle
        self.state = state
        self.decided.set()


class Budgets:
    """Reserves tokens of programs for the turns that arrive at one host."""

    def __init__(
        self,
        host: str,
        ledger: ledger_lib.Ledger,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
        rng: random.Random,
    ) -> None:
        """Initializes without reservations.

        Args:
            host: name of this host, the same after a restart.
            ledger: the budgets of the programs that this host owns.
            peers: the other hosts.
            timers: the timer service.
            rng: must differ between the processes of a host.
        """
        self._host = host
        self._ledger = ledger
        self._peers = peers
        self._timers = timers
        self._numbers = numbering.numbers(rng)
        self._granted: dict[int, tuple[budget_state.Reservation, float]] = {}
        self._last_targets: bounded_map.BoundedMap[str] = (
            bounded_map.BoundedMap(MAX_LAST_TARGETS)
        )
        peers.register(BEGIN, self._handle_begin)
        peers.register(END, self._handle_end)

    def start(self) -> None:
        """Starts to settle granted turns that are overdue."""
        self._timers.every(1.0, self._expire_unsettled)

    def stop(self) -> None:
        """Does nothing: held tokens count as spent."""

    def begin(
        self, program: str, budget: int, max_tokens: int, *, first: bool
    ) -> Reservation:
        """Reserves the tokens of a turn; may be pending on return.

        Args:
            program: the program's id.
            budget: tokens that the program may generate in all.
            max_tokens: tokens that this turn may generate.
            first: whether the turn is its program's first.
        """
        request = Begin(program, budget, max_tokens, first)
        owner = self._owner(program)
        if owner == self._host:
            return self._begin_locally(request)
        reservation = Reservation(max_tokens, likely=first)
        gevent.spawn(self._begin_at_owner, owner, request, reservation)
        return reservation

    def end(
        self, reservation: Reservation, used: int, last_target: str = ""
    ) -> None:
        """Settles a turn.

        Args:
            reservation: the reservation of the turn.
            used: tokens that were sent to the client.
            last_target: incarnation of the target that ran the turn, or empty.
        """
        reservation.used = used
        reservation.last_target = last_target
        if reservation.settle is not None:
            reservation.settle(used, last_target)

    def _record_last_target(self, program: str, last_target: str) -> None:
        if last_target:
            self._last_targets.put(program, last_target)

    def _end_locally(
        self, local: budget_state.Reservation, used: int, last_target: str
    ) -> None:
        self._record_last_target(local.program.name, last_target)
        self._ledger.end(local, used)

    def _owner(self, program: str) -> str:
        hosts = [*self._peers.available_hosts(), self._host]
        return rendezvous.choose(program, hosts)

    def _begin_locally(self, request: Begin) -> Reservation:
        local = self._ledger.begin(
            request.program, request.budget, request.most, first=request.first
        )
        reservation = Reservation(request.most, likely=local.likely)
        reservation.last_target = self._last_targets.get(request.program) or ""
        if local.decided.is_set():
            self._copy_decision(reservation, local)
        else:
            local.decided.rawlink(
                lambda _: self._copy_decision(reservation, local)
            )
        # Ending a turn before its decision cancels the pending reservation.
        if reservation.settle is None:
            reservation.settle = lambda used, last_target: self._end_locally(
                local, used, last_target
            )
        return reservation

    def _copy_decision(
        self, reservation: Reservation, local: budget_state.Reservation
    ) -> None:
        """Copies the ledger's decision, unless the turn has ended."""
        if reservation.used is not None:
            return
        reservation.settle = lambda used, last_target: self._end_locally(
            local, used, last_target
        )
        reservation.state = local.state
        reservation.decided.set()

    def _begin_at_owner(
        self, owner: str, request: Begin, reservation: Reservation
    ) -> None:
        process = self._peers.process(owner)
        try:
            reply = self._peers.request(
                owner, BEGIN, codec.encode(request), OWNER_TIMEOUT_SECONDS
            )
        except errors.PeerUnreachable as exc:
            eliot.log_message(
                "budget.owner_silent",
                program=request.program,
                owner=owner,
                reason=str(exc),
                action="reserve through the store",
            )
            self._begin_without_owner(request, reservation)
            return
        begun: Begun = codec.decode(Begun, reply)
        if reservation.used is None:
            reservation.last_target = begun.last_target
        reservation.decide(
            begun.state,
            lambda used, last_target: self._end_at_owner(
                owner, process, request.program, begun, used, last_target
            ),
        )

    def _begin_without_owner(
        self, request: Begin, reservation: Reservation
    ) -> None:
        """Reserves through the store, since the owner does not reply."""
        if reservation.used is not None:
            return
        local = self._ledger.begin(
            request.program, request.budget, request.most, first=False
        )
        reservation.settle = lambda used, last_target: self._end_locally(
            local, used, last_target
        )
        local.decided.wait()
        self._copy_decision(reservation, local)

    def _end_at_owner(
        self,
        owner: str,
        process: host_rows.Entry | None,
        program: str,
        begun: Begun,
        used: int,
        last_target: str,
    ) -> None:
        """Has the process that granted a turn settle it, if it still runs."""
        if begun.state is not budget_state.State.GRANTED:
            return
        is_former_build = begun.number <= MAX_FORMER_NUMBER
        if is_former_build and self._peers.process(owner) != process:
            # Another process of that build would take the number for its own.
            eliot.log_message(
                "budget.not_settled",
                owner=owner,
                reason="the host has started again since the turn was granted",
            )
            return
        end = End(begun.number, used, last_target, program)
        gevent.spawn(self._send_end, owner, end)

    def _send_end(self, owner: str, end: End) -> None:
        try:
            self._peers.request(
                owner, END, codec.encode(end), OWNER_TIMEOUT_SECONDS
            )
        except errors.PeerUnreachable as exc:
            # The owner counts all reserved tokens as spent after
            # SETTLE_TIMEOUT_SECONDS.
            eliot.log_message(
                "budget.not_settled", owner=owner, reason=str(exc)
            )

    def _handle_begin(self, body: bytes) -> bytes:
        request: Begin = codec.decode(Begin, body)
        local = self._ledger.begin(
            request.program, request.budget, request.most, first=request.first
        )
        try:
            self._timers.wait(local.decided, DECIDE_TIMEOUT_SECONDS)
        except BaseException:
            # The peer gets no reply, so the turn uses none of the tokens.
            self._ledger.end(local, 0)
            raise
        if local.state is budget_state.State.PENDING:
            self._ledger.end(local, 0)
            return codec.encode(Begun(budget_state.State.UNAVAILABLE, 0))
        number = next(self._numbers)
        if local.state is budget_state.State.GRANTED:
            until = self._timers.now() + SETTLE_TIMEOUT_SECONDS
            self._granted[number] = (local, until)
        last_target = self._last_targets.get(request.program) or ""
        return codec.encode(Begun(local.state, number, last_target))

    def _handle_end(self, body: bytes) -> bytes:
        end: End = codec.decode(End, body)
        granted = self._granted.get(end.number)
        reserved_for = "" if granted is None else granted[0].program.name
        if granted is None or end.program not in ("", reserved_for):
            # Granted by a former process of this host, or settled as overdue.
            eliot.log_message(
                "budget.unknown_reservation",
                number=end.number,
                program=end.program,
                reserved_for=reserved_for,
                used=end.used,
            )
        else:
            del self._granted[end.number]
            self._end_locally(granted[0], end.used, end.last_target)
        return codec.encode(Ended())

    def _expire_unsettled(self) -> None:
        """Settles overdue turns as if they had used all of their tokens."""
        now = self._timers.now()
        for number, (local, until) in list(self._granted.items()):
            if until <= now:
                del self._granted[number]
                self._ledger.end(local, local.max_tokens)
                eliot.log_message(
                    "budget.never_settled",
                    program=local.program.name,
                    counted=local.max_tokens,
                )
