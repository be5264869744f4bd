"""Messages to a program's owner, from entry hosts and other sidecars."""

from __future__ import annotations

import dataclasses
from typing import Literal

from endivepier.effects import messages as effect_messages
from endivepier.history import records
from endivepier.targets import ports as target_ports


@dataclasses.dataclass(frozen=True, slots=True)
class CreateProgram:
    """Creates a program, or returns the existing one with the same id."""

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
        call_id: unique for the call; a repeated id gets the same answer.
        messages: the whole conversation, or only the new messages.
        whole: whether `messages` starts with the history so far.
        max_tokens: the most tokens to generate.
        seconds: how long the caller waits for the answer.
        receipt: the receipt of the last answer; empty if there is none.
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
    """Event: a part of the answer's text, before the turn is durable."""

    text: str
    kind: Literal["chunk"] = "chunk"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Event: the whole answer, sent once the turn is durable.

    Attributes:
        call_id: the `call_id` of the call.
        turn: number of the turn.
        text: the whole text, which is the concatenation of all chunks.
        prompt_tokens: length of the prompt, in tokens.
        cached_tokens: tokens of the prompt that the engine had in its cache.
        completion_tokens: number of generated tokens.
        reason: why the engine stopped: "stop" or "length".
        receipt: the receipt to present with the next call.
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
    """A program's call to a service that is not an engine.

    Attributes:
        program_id: the program.
        account: the client account that makes the call.
        pool: the pool of the service.
        request: the request to the service; its `kind` is replaced by the
            program's.
    """

    program_id: str
    account: str
    pool: str
    request: effect_messages.CallService


@dataclasses.dataclass(frozen=True, slots=True)
class ShowProgram:
    """Requests a program with its history."""

    program_id: str
    account: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndProgram:
    """Ends a program, which can still be shown afterwards."""

    program_id: str
    account: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramView:
    """Reply: a program with its history and a receipt for its last turn."""

    program: records.ProgramRow
    turns: tuple[records.TurnRow, ...]
    receipt: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrawBudget:
    """Requests from a parent's owner that a child's draw be raised.

    Attributes:
        program_id: the parent program.
        account: the client account of both programs.
        draw: the child's total draw after the change.
    """

    program_id: str
    account: str
    draw: records.Draw


@dataclasses.dataclass(frozen=True, slots=True)
class Drawn:
    """Reply to `DrawBudget` and `ReturnBudget`: the parent's row is durable.

    Attributes:
        seconds: remaining wall time of the parent's budget.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnBudget:
    """Reports to a parent's owner the usage of a child that has ended."""

    program_id: str
    account: str
    used: records.Draw


@dataclasses.dataclass(frozen=True, slots=True)
class FindOver:
    """Asks a shard's owner which programs need no cached prefix any more."""

    program_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Over:
    """Reply: which of the programs need no cached prefix any more.

    They have ended or expired, are idle, or do not exist.
    """

    program_ids: tuple[str, ...]
