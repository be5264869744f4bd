"""What callers and operators send and get: the documents of docs/API.md."""

from __future__ import annotations

import dataclasses
from typing import Any

import pydantic

from endivepier.configuration import notes
from endivepier.history import records
from endivepier.membership import members

MAX_ID_LENGTH = 200


class NewProgram(pydantic.BaseModel):
    """Body of `POST /v1/programs`."""

    model_config = pydantic.ConfigDict(extra="forbid")

    template: str = pydantic.Field("", max_length=MAX_ID_LENGTH)
    model: str = pydantic.Field("", max_length=MAX_ID_LENGTH)
    kind: str = pydantic.Field("", max_length=MAX_ID_LENGTH)
    tokens: int | None = pydantic.Field(None, ge=0, le=10**12)
    calls: int | None = pydantic.Field(None, ge=0, le=10**9)
    seconds: float | None = pydantic.Field(
        None, ge=0, le=10**9, allow_inf_nan=False
    )
    parent: str = pydantic.Field("", max_length=MAX_ID_LENGTH)


class ChatMessage(pydantic.BaseModel):
    """One message of a chat completion request."""

    role: str = pydantic.Field(max_length=MAX_ID_LENGTH)
    content: str


class ChatRequest(pydantic.BaseModel):
    """Body of a chat completion request; unknown members are ignored."""

    model: str = pydantic.Field(max_length=MAX_ID_LENGTH)
    messages: list[ChatMessage] = pydantic.Field(min_length=1)
    max_tokens: int | None = pydantic.Field(None, gt=0, le=10**6)
    max_completion_tokens: int | None = pydantic.Field(None, gt=0, le=10**6)
    stream: bool = False
    stream_options: dict[str, Any] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramDocument:
    """A program as its account sees it.

    Attributes:
        id: the program's id.
        status: "active" or "ended".
        model: the model of its calls.
        kind: the kind of its requests.
        parent: id of the parent program, or empty.
        budget: what it may use.
        used_tokens: generated tokens so far.
        used_calls: calls so far.
        turn: how many turns are done.
        receipt: the receipt of the last turn.
        messages: the history.
    """

    id: str
    status: records.Status
    model: str
    kind: str
    parent: str
    budget: records.Budget
    used_tokens: int
    used_calls: int
    turn: int
    receipt: str
    messages: tuple[dict[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Token counts in the OpenAI shape."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatusDocument:
    """All processes with their states and revisions."""

    processes: tuple[members.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CheckDocument:
    """What a check of a release note against the head has found.

    Attributes:
        revision: the revision that it was checked against.
        faults: everything that is wrong with it.
    """

    revision: int
    faults: tuple[notes.Fault, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessRevision:
    """The revision in force on one process.

    Attributes:
        address: "ip:port" of the process.
        role: "entry" or "sidecar".
        data_centre: the data centre's name.
        state: what it says of itself; empty if it does not answer.
        revision: the revision; None if it does not answer.
        lags: whether that is older than the head.
    """

    address: str
    role: str
    data_centre: str
    state: str
    revision: int | None
    lags: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseStatus:
    """The head, and the revision in force on each process.

    Attributes:
        head: the newest revision that the entry host knows.
        from_table: whether the table service was read for it just now.
        processes: all processes, also those that don't answer.
    """

    head: int
    from_table: bool
    processes: tuple[ProcessRevision, ...]
