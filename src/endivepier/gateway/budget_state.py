"""What is known of a program's token budget, here and in its row."""

from __future__ import annotations

import dataclasses
import enum

import gevent.event


class State(enum.Enum):
    """What became of a reservation."""

    PENDING = "pending"
    GRANTED = "granted"
    DENIED = "denied"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """What one process holds, and the number of its last write."""

    tokens: int
    write: int


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """A program's row."""

    spent: int
    held: dict[str, Held]


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A write whose outcome is not known yet.

    Attributes:
        version: of the row that it is conditional on.
        used: tokens that it settles.
        tokens: what this process holds after it.
    """

    version: int
    used: int
    tokens: int


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """The tokens of one turn.

    Attributes:
        most: how many the turn may generate.
        state: whether the turn has them.
        decided: set once that is known.
        likely: whether they will be granted as far as this process knows.
    """

    most: int
    program: Program
    state: State = State.PENDING
    decided: gevent.event.Event = dataclasses.field(
        default_factory=gevent.event.Event
    )
    likely: bool = False

    def decide(self, state: State) -> None:
        """Ends the wait for the tokens."""
        self.state = state
        self.decided.set()


@dataclasses.dataclass(slots=True, eq=False)
class Program:
    """What this process knows of a program.

    Attributes:
        name: the program's id.
        budget: tokens that it may generate in all.
        version: of the row; 0 if there is none, None if unknown.
        spent: as of that version.
        others: what other processes hold, as of that version.
        mine: what this process holds, as of that version.
        active: tokens of the turns that run here.
        promised: tokens for turns that wait for a write under way.
        used: tokens that were handed out here and not yet written.
        pending: reservations that wait.
        attempts: writes that may still take effect, by their number.
        busy: whether a task writes.
        settle: whether something is to be written although nobody waits.
        release: whether what is held in advance is given back.
        largest: the most tokens that any of its turns asked for.
        touched: when it was last asked about.
        changed: set when a turn here has ended.
    """

    name: str
    budget: int
    version: int | None = None
    spent: int = 0
    others: dict[str, Held] = dataclasses.field(default_factory=dict)
    mine: int = 0
    active: int = 0
    promised: int = 0
    used: int = 0
    pending: list[Reservation] = dataclasses.field(default_factory=list)
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    busy: bool = False
    settle: bool = False
    release: bool = False
    largest: int = 0
    touched: float = 0.0
    changed: gevent.event.Event = dataclasses.field(
        default_factory=gevent.event.Event
    )

    @property
    def left(self) -> int:
        """Tokens that may still be promised to turns.

        One turn may go beyond the budget by its own length.
        """
        left = self.budget + self.largest - self.spent - self.used
        return left - self.held_by_others - self.active

    @property
    def is_spent(self) -> bool:
        """Whether turns that have ended used up the budget."""
        return self.spent + self.used >= self.budget

    @property
    def held_by_others(self) -> int:
        """Tokens that other processes hold."""
        return sum(held.tokens for held in self.others.values())

    @property
    def spare(self) -> int:
        """Tokens that are held here and that no turn has."""
        return self.mine - self.active - self.promised - self.used
