"""Messages from entry hosts to the owner of a program."""

from __future__ import annotations

import dataclasses
from typing import Literal

from endivepier.effects import messages as effect_messages
from endivepier.history import records
from endivepier.targets import ports as target_ports


@dataclasses.dataclass(frozen=True, slots=True)
class CreateProgram:
    """Creates a program; the same id again returns the one that is there."""

    program_id: str
    account: str
    model: str
    kind: str
    budget: records.Budget
    parent: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCall:
    """The next model call of a program.

    Attributes:
        program_id: the program.
        account: the client account that makes the call.
        call_id: unique for the call; the same id again gets the same answer.
        messages: the whole conversation, or just what is new.
        whole: whether `messages` starts with the history so far.
        max_tokens: the most tokens to generate.
        seconds: how long the caller waits.
        receipt: the receipt of the last answer, or empty.
    """

    program_id: str
    account: str
    call_id: str
    messages: tuple[target_ports.ChatMessage, ...]
    whole: bool
    max_tokens: int
    seconds: float
    receipt: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Event: a part of the answer's text, not yet durable."""

    text: str
    kind: Literal["chunk"] = "chunk"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Event: the whole answer, which is durable.

    Attributes:
        call_id: echoes the call.
        turn: number of the turn.
        text: the whole text; the chunks before it add up to it.
        prompt_tokens: length of the prompt.
        cached_tokens: how much of it came from the engine's cache.
        completion_tokens: generated tokens.
        reason: "stop" or "length".
        receipt: to present with the next call.
    """

    call_id: str
    turn: int
    text: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int
    reason: str
    receipt: str
    kind: Literal["answer"] = "answer"


CallEvent = Chunk | Answer


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramServiceCall:
    """A call to a plain service as the next step of a program.

    Attributes:
        program_id: the program.
        account: the client account that makes the call.
        pool: the pool of the service.
        request: what the service is asked; its kind is the program's.
    """

    program_id: str
    account: str
    pool: str
    request: effect_messages.CallService


@dataclasses.dataclass(frozen=True, slots=True)
class ShowProgram:
    """Asks for a program with its history."""

    program_id: str
    account: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndProgram:
    """Ends a program; ended programs stay to be shown."""

    program_id: str
    account: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramView:
    """A program as its account sees it."""

    program: records.ProgramRow
    turns: tuple[records.TurnRow, ...]
    receipt: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrawBudget:
    """Asks a parent's owner for the budget of a child.

    Attributes:
        program_id: the parent.
        account: the client account of both.
        draw: what the child takes.
    """

    program_id: str
    account: str
    draw: records.Draw


@dataclasses.dataclass(frozen=True, slots=True)
class Drawn:
    """Answer: the child has it.

    Attributes:
        seconds: wall time that the parent has left.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnBudget:
    """Tells a parent's owner what a child that ended has used."""

    program_id: str
    account: str
    used: records.Draw


@dataclasses.dataclass(frozen=True, slots=True)
class FindOver:
    """Asks an owner which programs of one of its shards need no memory."""

    program_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Over:
    """Answer: these have ended, have expired or were not used for long."""

    program_ids: tuple[str, ...]
