"""The stored records of a program: its row, its turns and their digests."""

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
    """Whether a program still accepts calls."""

    ACTIVE = "active"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """The limits of what a program may use.

    Attributes:
        tokens: most generated tokens.
        calls: most calls, to models and to services.
        seconds: wall time from the program's creation, in seconds.
    """

    tokens: int
    calls: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Draw:
    """The part of a parent's budget that a child program may use.

    Also reports what a child has used; see `budgets.total_used`.

    Attributes:
        child: id of the child program.
        tokens: generated tokens, in total since the child's creation.
        calls: calls, in total since the child's creation.
    """

    child: str
    tokens: int
    calls: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramRow:
    """The table's row of a program.

    Attributes:
        program_id: id of the program.
        account: the client account that the program belongs to.
        model: the model of its calls.
        kind: the kind of its requests, which sets their weight.
        budget: the limits of what it may use.
        created: Unix time of its creation, in seconds.
        parent: id of the parent program, or empty.
        status: whether it accepts calls.
        turn: number of completed turns.
        digest: digest of the whole history.
        tokens: generated tokens used so far, those of ended children included.
        calls: calls used so far, those of ended children included.
        write_id: a new unique id for each change of the row.
        serial: raised by each change of the row.
        reserved_tokens: tokens reserved for the running call or the next one.
        reserved_calls: 1 if the running call or the next one is reserved.
        reserved_epoch: the epoch of the owner that made the reservation.
        draws: the draws of children that have not ended.
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
        turn: number of the turn, from 1.
        call_id: the id that the caller gave the call.
        added: the messages that the call added to the history.
        answer: the answer's text.
        prompt_tokens: length of the prompt, in tokens.
        completion_tokens: number of generated tokens.
        reason: why the engine stopped: "stop" or "length".
        digest: digest of the history up to and including this turn.
        body: name of the object that holds `added` and `answer`; empty if
            the row itself holds them.
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
    """The text of a turn whose row would be too large, in a batch object.

    Attributes:
        key: key of the turn's row.
        added: the messages that the call added to the history.
        answer: the answer's text.
    """

    key: str
    added: tuple[target_ports.ChatMessage, ...]
    answer: str


@dataclasses.dataclass(frozen=True, slots=True)
class BatchObject:
    """The object that holds all large bodies of one group commit."""

    bodies: tuple[TurnBody, ...]


def next_digest(
    digest: str, added: Sequence[target_ports.ChatMessage], answer: str
) -> str:
    """Returns the digest of the history `digest` with one more turn.

    Args:
        digest: digest of the history before the turn.
        added: the messages that the call added.
        answer: the answer's text.
    """
    sha = hashlib.sha256(digest.encode())
    for message in added:
        sha.update(codec.encode(message))
    sha.update(codec.encode(target_ports.ChatMessage("assistant", answer)))
    return sha.hexdigest()


def program_key(program_id: str) -> str:
    """Returns the key of a program's row."""
    return PROGRAM_PREFIX + program_id


def turn_key(program_id: str, turn: int) -> str:
    """Returns the key of a turn's row; a program's keys sort by turn."""
    return f"{TURN_PREFIX}{program_id}/{turn:06d}"
