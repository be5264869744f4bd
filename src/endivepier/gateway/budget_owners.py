"""One entry host looks after a program's budget, whichever it arrives at.

The turns of a program come to several hosts. If each wrote the program's row
itself, most writes would fail on another host's write first: five calls to
the store a turn. So hosts agree, by hashing the program's name over the hosts
they know, on one that writes, and ask it.

This saves calls and decides nothing: a host whose peer is silent uses the
store itself, and two hosts that both think they look after a program meet in
its row's version.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import itertools

import eliot
import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import budget_state
from endivepier.gateway import budgets
from endivepier.gateway import peers as peers_lib
from endivepier.internal import codec
from endivepier.internal import recent
from endivepier.internal import rendezvous

BEGIN = "budget-begin"
END = "budget-end"
# The owner waits less for the store than its peer waits for the owner.
DECIDE_SECONDS = 1.3
ASK_SECONDS = 1.5  # below the 2 s that a client waits for a first event
# A turn that its host has not settled by now never will be: its client has
# long left. It counts with all it might have generated.
UNSETTLED_SECONDS = 12.0
KNOWN_LAST_TARGETS = 20_000  # programs; an entry is some 200 bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Asks the owner for the tokens of a turn."""

    program: str
    budget: int
    most: int
    first: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """The owner's answer.

    Attributes:
        state: whether the turn has its tokens.
        number: names what was granted.
        last_target: the target that ran the program's last turn, or empty.
    """

    state: budget_state.State
    number: int
    last_target: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """Tells the owner what a turn has used, and at which target."""

    number: int
    used: int
    last_target: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The owner has noted it."""


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """The tokens of one turn, wherever they are held.

    Attributes:
        most: how many the turn may generate.
        likely: whether they will be granted as far as this process knows.
        state: whether the turn has them.
        decided: set once that is known.
        settle: gives back what was not used; set once they are held.
        used: tokens that the turn used, once it has ended.
        last_target: the target that ran the program's last turn, or empty. It
            has the program's prompt in memory.
    """

    most: int
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
        """Notes the decision, also if the turn has ended meanwhile."""
        if self.used is not None:
            settle(self.used, self.last_target)
            return
        self.settle = settle
        self.state = state
        self.decided.set()


class Budgets:
    """The budgets of all programs, as one host sees them."""

    def __init__(
        self,
        host: str,
        ledger: budgets.Ledger,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
    ) -> None:
        self._host = host
        self._ledger = ledger
        self._peers = peers
        self._timers = timers
        self._numbers = itertools.count(1)
        self._lent: dict[int, tuple[budget_state.Reservation, float]] = {}
        self._last_targets: recent.Recent[str] = recent.Recent(
            KNOWN_LAST_TARGETS
        )
        peers.register(BEGIN, self._answer_begin)
        peers.register(END, self._answer_end)

    def start(self) -> None:
        """Begins to look after turns that are never settled."""
        self._timers.every(1.0, self._expire)

    def stop(self) -> None:
        """Does nothing: what is held counts as spent."""

    def begin(
        self, program: str, budget: int, most: int, *, first: bool
    ) -> Reservation:
        """Reserves the tokens of a turn; may be pending on return.

        Args:
            program: the program's id.
            budget: tokens that it may generate in all.
            most: tokens that this turn may generate.
            first: whether the turn is its program's first.
        """
        asked = Begin(program, budget, most, first)
        owner = self._owner(program)
        if owner == self._host:
            return self._begin_here(asked)
        reservation = Reservation(most, likely=first)
        gevent.spawn(self._begin_there, owner, asked, reservation)
        return reservation

    def end(
        self, reservation: Reservation, used: int, last_target: str = ""
    ) -> None:
        """Settles a turn: `used` tokens were handed to the client.

        Args:
            reservation: the turn's.
            used: how many tokens.
            last_target: the target that ran it, or empty.
        """
        reservation.used = used
        reservation.last_target = last_target
        if reservation.settle is not None:
            reservation.settle(used, last_target)

    def _note_last_target(self, program: str, last_target: str) -> None:
        if last_target:
            self._last_targets.put(program, last_target)

    def _end_here(
        self, local: budget_state.Reservation, used: int, last_target: str
    ) -> None:
        self._note_last_target(local.program.name, last_target)
        self._ledger.end(local, used)

    def _owner(self, program: str) -> str:
        hosts = [*self._peers.askable(), self._host]
        return rendezvous.choose(program, hosts)

    def _begin_here(self, asked: Begin) -> Reservation:
        local = self._ledger.begin(
            asked.program, asked.budget, asked.most, first=asked.first
        )
        reservation = Reservation(asked.most, likely=local.likely)
        reservation.last_target = self._last_targets.get(asked.program) or ""
        if local.decided.is_set():
            self._take_over(reservation, local)
        else:
            local.decided.rawlink(lambda _: self._take_over(reservation, local))
        # A turn that ends before the decision is taken out of the queue.
        if reservation.settle is None:
            reservation.settle = lambda used, last_target: self._end_here(
                local, used, last_target
            )
        return reservation

    def _take_over(
        self, reservation: Reservation, local: budget_state.Reservation
    ) -> None:
        if reservation.used is not None:
            return
        reservation.settle = lambda used, last_target: self._end_here(
            local, used, last_target
        )
        reservation.state = local.state
        reservation.decided.set()

    def _begin_there(
        self, owner: str, asked: Begin, reservation: Reservation
    ) -> None:
        try:
            answer = self._peers.ask(
                owner, BEGIN, codec.encode(asked), ASK_SECONDS
            )
        except errors.PeerUnreachable as exc:
            eliot.log_message(
                "budget.owner_silent",
                program=asked.program,
                owner=owner,
                reason=str(exc),
                action="use the store",
            )
            self._begin_instead(asked, reservation)
            return
        begun: Begun = codec.decode(Begun, answer)
        if reservation.used is None:
            reservation.last_target = begun.last_target
        reservation.decide(
            begun.state,
            lambda used, last_target: self._end_there(
                owner, begun, used, last_target
            ),
        )

    def _begin_instead(self, asked: Begin, reservation: Reservation) -> None:
        """Reserves with the store itself, since the owner is silent."""
        if reservation.used is not None:
            return
        local = self._ledger.begin(
            asked.program, asked.budget, asked.most, first=False
        )
        reservation.settle = lambda used, last_target: self._end_here(
            local, used, last_target
        )
        local.decided.wait()
        self._take_over(reservation, local)

    def _end_there(
        self, owner: str, begun: Begun, used: int, last_target: str
    ) -> None:
        if begun.state is budget_state.State.GRANTED:
            end = End(begun.number, used, last_target)
            gevent.spawn(self._tell_end, owner, end)

    def _tell_end(self, owner: str, end: End) -> None:
        try:
            self._peers.ask(owner, END, codec.encode(end), ASK_SECONDS)
        except errors.PeerUnreachable as exc:
            # The owner counts the turn with all it might have generated.
            eliot.log_message(
                "budget.not_settled", owner=owner, reason=str(exc)
            )

    def _answer_begin(self, body: bytes) -> bytes:
        asked: Begin = codec.decode(Begin, body)
        local = self._ledger.begin(
            asked.program, asked.budget, asked.most, first=asked.first
        )
        try:
            self._timers.wait(local.decided, DECIDE_SECONDS)
        except BaseException:
            # The peer has gone without an answer, so it uses nothing.
            self._ledger.end(local, 0)
            raise
        if local.state is budget_state.State.PENDING:
            self._ledger.end(local, 0)
            return codec.encode(Begun(budget_state.State.UNAVAILABLE, 0))
        number = next(self._numbers)
        if local.state is budget_state.State.GRANTED:
            until = self._timers.now() + UNSETTLED_SECONDS
            self._lent[number] = (local, until)
        last_target = self._last_targets.get(asked.program) or ""
        return codec.encode(Begun(local.state, number, last_target))

    def _answer_end(self, body: bytes) -> bytes:
        end: End = codec.decode(End, body)
        lent = self._lent.pop(end.number, None)
        if lent is not None:
            self._end_here(lent[0], end.used, end.last_target)
        return codec.encode(Ended())

    def _expire(self) -> None:
        now = self._timers.now()
        for number, (local, until) in list(self._lent.items()):
            if until <= now:
                del self._lent[number]
                self._ledger.end(local, local.max_tokens)
                eliot.log_message(
                    "budget.never_settled",
                    program=local.program.name,
                    counted=local.max_tokens,
                )
