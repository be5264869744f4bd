"""What is kept of a program: its row, its turns, the chain of digests."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import enum
import hashlib

from endivepier.internal import codec
from endivepier.targets import ports as target_ports

PROGRAM_PREFIX = "program/"
TURN_PREFIX = "turn/"
FIRST_DIGEST = ""


class Status(enum.StrEnum):
    """Whether a program still takes calls."""

    ACTIVE = "active"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """What a program may use.

    Attributes:
        tokens: generated tokens.
        calls: calls of all kinds.
        seconds: wall time from its creation, in seconds.
    """

    tokens: int
    calls: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Draw:
    """What a child program took out of its parent's budget.

    Attributes:
        child: id of the child program.
        tokens: generated tokens that it may use.
        calls: calls that it may make.
    """

    child: str
    tokens: int
    calls: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramRow:
    """The table's row of a program.

    Attributes:
        program_id: its id.
        account: the client account that it belongs to.
        model: the model of its calls.
        kind: the kind of its requests.
        budget: what it may use.
        created: Unix time of its creation, in seconds.
        parent: id of the parent program, or empty.
        status: whether it takes calls.
        turn: how many turns are done.
        digest: digest of the whole history.
        tokens: generated tokens used so far.
        calls: calls used so far.
        write_id: unique for each write of the row.
        serial: counts the changes of the row.
        reserved_tokens: tokens that a call may be using now.
        reserved_calls: calls that may be under way now.
        reserved_epoch: the epoch of the owner that made the reservation.
        draws: what children that have not ended took.
        ended: Unix time of its end, in seconds; 0 while it is active.
    """

    program_id: str
    account: str
    model: str
    kind: str
    budget: Budget
    created: float
    parent: str = ""
    status: Status = Status.ACTIVE
    turn: int = 0
    digest: str = FIRST_DIGEST
    tokens: int = 0
    calls: int = 0
    write_id: str = ""
    serial: int = 0
    reserved_tokens: int = 0
    reserved_calls: int = 0
    reserved_epoch: int = 0
    draws: tuple[Draw, ...] = ()
    ended: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TurnRow:
    """The table's row of a turn.

    Attributes:
        turn: its number, from 1.
        call_id: the caller's id of the call.
        added: the messages that the call added.
        answer: the answer's text.
        prompt_tokens: length of the prompt.
        completion_tokens: generated tokens.
        reason: why the engine stopped: "stop" or "length".
        digest: digest of the history up to and including this turn.
        body: name of the object that has `added` and `answer`; empty if they
            stand here.
    """

    turn: int
    call_id: str
    added: tuple[target_ports.ChatMessage, ...]
    answer: str
    prompt_tokens: int
    completion_tokens: int
    reason: str
    digest: str
    body: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TurnBody:
    """The large part of a turn, as it stands in a batch object.

    Attributes:
        key: key of the turn's row.
        added: the messages that the call added.
        answer: the answer's text.
    """

    key: str
    added: tuple[target_ports.ChatMessage, ...]
    answer: str


@dataclasses.dataclass(frozen=True, slots=True)
class BatchObject:
    """The object with the large bodies of one group commit."""

    bodies: tuple[TurnBody, ...]


def next_digest(
    digest: str, added: Sequence[target_ports.ChatMessage], answer: str
) -> str:
    """Returns the digest of a history that grows by one turn."""
    sha = hashlib.sha256(digest.encode())
    for message in added:
        sha.update(codec.encode(message))
    sha.update(codec.encode(target_ports.ChatMessage("assistant", answer)))
    return sha.hexdigest()


def program_key(program_id: str) -> str:
    """Returns the key of a program's row."""
    return PROGRAM_PREFIX + program_id


def turn_key(program_id: str, turn: int) -> str:
    """Returns the key of a turn's row; keys sort by turn."""
    return f"{TURN_PREFIX}{program_id}/{turn:06d}"
