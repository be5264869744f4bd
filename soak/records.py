"""What callers and targets saw of the streams of a run."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
from typing import Any

DIGEST_DIGITS = 12


class End(enum.StrEnum):
    """How a caller's response ended.

    COMPLETE: as its framing says.
    BROKEN: without its end, or there was none.
    LEFT: the caller closed the connection.
    REFUSED: it was a response without a stream.
    """

    COMPLETE = "complete"
    BROKEN = "broken"
    LEFT = "left"
    REFUSED = "refused"


@dataclasses.dataclass
class Event:
    """An event that a caller received; `at` is the Unix time."""

    id: int
    data: str
    at: float


@dataclasses.dataclass
class Part:
    """One attempt at a stream, and its response.

    Attributes:
        attempt: id of the attempt.
        host: name of the entry host.
        at: Unix time at which it was sent.
        last_event: the id that it goes on after, if it resumes.
        resumes: the attempt that it says to resume, if any.
        status: status of the response; 0 if there was none.
        events: the whole events of the response.
        rest: how many bytes came after the last whole event.
        end: how the response ended.
        ended_at: Unix time of its end.
        note: what ended a response that is not complete.
    """

    attempt: str
    host: str
    at: float
    last_event: int | None = None
    resumes: str = ""
    status: int = 0
    events: list[Event] = dataclasses.field(default_factory=list)
    rest: int = 0
    end: End = End.BROKEN
    ended_at: float = 0.0
    note: str = ""


@dataclasses.dataclass
class Stream:
    """A stream as its caller followed it, over all its parts.

    Attributes:
        name: unique name, such as of the caller and its count.
        route: name of the route.
        is_resumable: whether the route's streams may be resumed.
        is_kept: whether the route's turns are kept.
        program: id of its program.
        text: the body that its caller sends.
        body: the body that targets are to get.
        event_count: how many events it has in all.
        previous: the turn that it continues, if any.
        parts: its attempts, in the order of their begins.
    """

    name: str
    route: str
    is_resumable: bool
    is_kept: bool
    program: str
    text: str
    body: str
    event_count: int
    previous: str = ""
    parts: list[Part] = dataclasses.field(default_factory=list)

    @property
    def events(self) -> list[Event]:
        """The events of all parts."""
        return [event for part in self.parts for event in part.events]

    @property
    def is_complete(self) -> bool:
        """Whether its last response was complete."""
        return bool(self.parts) and self.parts[-1].end is End.COMPLETE


@dataclasses.dataclass
class Run:
    """What a target recorded of a run.

    Attributes:
        target: id of the target.
        version: version of its software.
        born: Unix time of its start in ms.
        attempt: id of the attempt.
        at: Unix time at which it began.
        last_event: the id that it was to go on after, if any.
        body: the body that it got.
        framing: how its response ended, see `target.Framing`.
        sent: id of the last event of which it sent anything; 0 for none.
        end: how it ended; empty if the target was killed.
    """

    target: str
    version: str
    born: int
    attempt: str
    at: float
    last_event: int | None
    body: str
    framing: str
    sent: int = 0
    end: str = ""


@dataclasses.dataclass(frozen=True)
class Origin:
    """Where the data of an event comes from."""

    id: int
    event_count: int
    digest: str
    version: str
    target: str
    born: int
    attempt: str

    def encode(self) -> str:
        """Returns the data of the event."""
        return (
            f"{self.id}/{self.event_count} {self.digest} {self.version}"
            f" {self.target} {self.born} {self.attempt}"
        )


def decode_origin(data: str) -> Origin | None:
    """Returns the origin that an event's data states; None if it has none."""
    try:
        numbers, digest, version, target, born, attempt = data.split(" ")
        number, _, count = numbers.partition("/")
        return Origin(
            int(number), int(count), digest, version, target, int(born), attempt
        )
    except ValueError:
        return None


def decode_runs(lines: list[dict[str, Any]]) -> list[Run]:
    """Returns the runs of the lines of targets' records."""
    runs: dict[tuple[str, int, str], Run] = {}
    finished = []
    for line in lines:
        key = (line["target"], line["born"], line["attempt"])
        match line["event"]:
            case "begun":
                if key in runs:
                    finished.append(runs[key])
                runs[key] = Run(
                    target=line["target"],
                    version=line["version"],
                    born=line["born"],
                    attempt=line["attempt"],
                    at=line["at"],
                    last_event=line["last_event"],
                    body=line["body"],
                    framing=line["framing"],
                )
            case "event":
                runs[key].sent = line["id"]
            case end:
                runs[key].end = end
    return [*finished, *runs.values()]


def digest(program: str, body: str) -> str:
    """Returns a digest of a request."""
    text = f"{program}\n{body}".encode("latin-1")
    return hashlib.sha256(text).hexdigest()[:DIGEST_DIGITS]


def chain(previous: Stream | None, text: str) -> str:
    """Returns the body that a target is to get for a kept turn.

    Args:
        previous: the complete turn that it continues, if any.
        text: the turn's own input.
    """
    if previous is None:
        return text
    said = "".join(f"{event.data}\n" for event in previous.events)
    return previous.body + said + text
