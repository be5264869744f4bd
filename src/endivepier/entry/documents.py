"""The request and response bodies of the API; see docs/API.md."""

from __future__ import annotations

import dataclasses
from typing import Any

import pydantic

from endivepier.configuration import notes
from endivepier.history import records
from endivepier.membership import members

MAX_ID_LENGTH = 200  # in characters; also the limit for names and roles


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
    """Body of a chat completion request; unknown fields are ignored."""

    model: str = pydantic.Field(max_length=MAX_ID_LENGTH)
    messages: list[ChatMessage] = pydantic.Field(min_length=1)
    max_tokens: int | None = pydantic.Field(None, gt=0, le=10**6)
    max_completion_tokens: int | None = pydantic.Field(None, gt=0, le=10**6)
    stream: bool = False
    stream_options: dict[str, Any] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramDocument:
    """A program as its client account sees it.

    Attributes:
        id: the program's id.
        status: "active" or "ended".
        model: the model of its calls.
        kind: the request kind of its calls; sets their weight.
        parent: id of the parent program, or empty.
        budget: the limits on its tokens, calls and seconds.
        used_tokens: number of tokens generated so far.
        used_calls: number of calls so far.
        turn: number of completed turns.
        receipt: the receipt of the last turn.
        messages: the messages of all completed turns.
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
    """Token counts in the format of OpenAI."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatusDocument:
    """The state and the configuration revision of each reachable process."""

    processes: tuple[members.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CheckDocument:
    """The result of checking a release note without applying it.

    Attributes:
        revision: the revision that the note was checked against.
        faults: all faults of the note.
    """

    revision: int
    faults: tuple[notes.Fault, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessRevision:
    """The configuration revision in force on one process.

    Attributes:
        address: "ip:port" of the process.
        role: "entry" or "sidecar".
        data_centre: the data centre's name.
        state: the state that it reports; empty if it does not respond.
        revision: the revision; None if it does not respond.
        lags: whether it does not respond or its revision is older than the
            head.
    """

    address: str
    role: str
    data_centre: str
    state: str
    revision: int | None
    lags: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseStatus:
    """The newest revision and the revision in force on each process.

    Attributes:
        head: the newest revision that the entry host knows.
        from_table: whether `head` includes a current read of the table
            service; False if the table service is unavailable.
        processes: all processes, including those that do not respond.
    """

    head: int
    from_table: bool
    processes: tuple[ProcessRevision, ...]
