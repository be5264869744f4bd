"""Data model of the gateway: declared configuration, targets and calls.

Durations are in seconds; sizes are in bytes or in tokens, as named.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import enum

from endivepier.http1 import messages


class RouteKind(enum.Enum):
    """Response type of a route, and whether its requests may be repeated.

    For a stream, `Route.resumable` says whether they may.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Maps requests by `Host` header and path prefix to services.

    Attributes:
        name: unique in the declaration.
        host: value of the `Host` header, in lowercase.
        prefix: path prefix, with a slash at both ends.
        kind: response type, and whether requests may be repeated.
        backends: the services that serve it.
        timeout: longest time that a client is kept waiting.
        objective: latency objective of a response.
        priority: 0 is the most urgent; not used by the gateway.
        most_targets: maximum number of targets that one request is sent to.
        public: whether requests need no API key.
        sticky: whether a target serves an object faster if it has served it
            before; not used by the gateway.
        resumable: whether another target may continue a broken stream.
        retained: whether turns are stored, so that later turns refer to them
            by id.
        retention: how long a turn is stored.
        gap: objective for the pause between two events of a stream.
        homes: the only regions that may serve its requests; empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    backends: tuple[Backend, ...]
    timeout: float
    objective: float
    priority: int
    most_targets: int
    public: bool
    sticky: bool
    resumable: bool
    retained: bool
    retention: float
    gap: float
    homes: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Declared properties of a service's model engines.

    Attributes:
        slots: requests that one engine runs concurrently.
        memory_tokens: size of one engine's KV cache; not used by the gateway.
        event_tokens: tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    event_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable targets.

    Attributes:
        name: unique in the declaration.
        max_connections: connections that one target accepts from all callers
            together; not used by the gateway.
        engine: set if the targets are model engines.
        cold_seconds: how long a target is cold after its start.
        cold_rate: requests a second from all hosts together that a cold
            target tolerates; 0 if that is not limited.
        status_path: path at which a target states its status; empty if there
            is none.
    """

    name: str
    max_connections: int
    engine: Engine | None
    cold_seconds: float = 0.0
    cold_rate: float = 0.0
    status_path: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        name: name under which targets see the account.
        keys: its API keys.
        priority: overrides the route's priority; None if not declared. Not
            used by the gateway.
        rate: allowed requests per second over all entry hosts; 0 for no limit.
        burst: requests allowed beyond the rate in a burst.
        homes: the only regions that may serve its requests; empty for all.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate: float
    burst: float
    homes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Declaration:
    """The complete configuration that the operator declared."""

    revision: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: dict[str, Account]
    limits: messages.ClientLimits


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target, as its registration describes it.

    Attributes:
        name: name of this run of the target; it changes with each restart.
        service: the service that it belongs to.
        address: "ip:port".
        data_centre: data centre that it runs in.
        slots: requests that it runs concurrently.
        draining: whether it accepts no new requests.
        started: start time in Unix milliseconds; 0 if not reported.
        software_version: version of its software; empty if not reported.
        cold_seconds: how long it stays cold, as of its registration.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    started: int
    software_version: str = ""
    cold_seconds: float = 0.0

    @property
    def incarnation(self) -> str:
        """The name and start time, which identify one run for all time."""
        return f"{self.name}@{self.started}"

    @property
    def run(self) -> tuple[str, str, str]:
        """What all rows of one run of the target have in common."""
        return self.incarnation, self.address, self.software_version


MISDIRECTED_REQUEST = 421  # status code: not the target that was meant
# The prompt of a program's first turn has a shared part and one of its own.
MAX_FIRST_TURN_PARTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A named part of a prompt; the same name always has the same text."""

    name: str
    tokens: int


@dataclasses.dataclass(slots=True)
class Call:
    """A decoded client request.

    Attributes:
        id: the client's id of this request; a retry by the client has another.
        method: as sent.
        path: path and query, as sent.
        host: value of the `Host` header, in lowercase, without a port.
        headers: headers to forward, without those that the gateway sets.
        body: the request body.
        received: when it was read completely, monotonic seconds.
        deadline: when the client stops waiting, monotonic seconds, or None.
        key: the client's API key, or None.
        program: id of the program that it belongs to, or empty.
        session: id of the chain of turns that it belongs to, or empty.
        program_deadline: when the program should be finished, monotonic
            seconds, or None.
        budget: tokens that the whole program may generate, or None.
        prompt_tokens: length of the prompt.
        max_tokens: most tokens that this turn may generate.
        parts: parts of the prompt, in order.
        previous: id of the turn that this one continues, or empty.
        last_event: id of the last event that the client received, or None.
        resumes: id of the call that brought the client the first event of
            the stream that this call resumes, or empty.
        affinity: key of the object that it concerns, or empty.
    """

    id: str
    method: bytes
    path: bytes
    host: str
    headers: Sequence[messages.Header]
    body: bytes
    received: float
    deadline: float | None = None
    key: str | None = None
    program: str = ""
    session: str = ""
    program_deadline: float | None = None
    budget: int | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    parts: tuple[Part, ...] = ()
    previous: str = ""
    last_event: int | None = None
    resumes: str = ""
    affinity: str = ""

    @property
    def may_begin_program(self) -> bool:
        """Whether it may be the first turn of its program.

        The prompt of a first turn consists of a shared part and a part of its
        own. A later turn may also have two parts, with a longer last one, so
        this may be true for it, too. Prompts of sub-agents have more parts,
        and tool calls have no budget. What resumes a stream has begun before.
        """
        return (
            bool(self.program)
            and self.budget is not None
            and not self.previous
            and self.last_event is None
            and len(self.parts) <= MAX_FIRST_TURN_PARTS
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """What is sent to a target in one attempt to run a call.

    Attributes:
        target: the target that receives the call.
        account: name of the client account, or empty.
        seconds_left: time until the client stops waiting.
        body: the request body for the target.
        last_event: id of the event after which the target resumes the stream,
            or None.
        contents: fingerprints of what the target receives, for the log.
    """

    target: Target
    account: str
    seconds_left: float
    body: bytes
    last_event: int | None = None
    contents: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What the head of a response states about its call.

    Attributes:
        call: id of the call that it responds to; empty if it names none.
        sealed: whether it carries the target's signature, as successes do.
        not_run: whether the target guarantees that the call has not run.
        leaving: whether the target says that it is about to stop.
        rate: requests a second that the target takes from all hosts together,
            or None if it names no limit.
    """

    call: str
    sealed: bool
    not_run: bool
    leaving: bool = False
    rate: float | None = None

    def says_not_run(self, status: int) -> bool:
        """Returns whether the call has not run, given the status code."""
        return self.not_run or status == MISDIRECTED_REQUEST

    def find_fault(self, status: int) -> str:
        """Returns why a response is none to a call, or an empty string.

        Args:
            status: its status code.
        """
        if not self.call and not self.says_not_run(status):
            return "the response carries no call id"
        if 200 <= status < 300 and not self.sealed:
            return f"a success, {status}, without the target's signature"
        return ""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """What a target states about itself.

    Attributes:
        name: its name, as `Target.name`; empty if not stated.
        started: its start, as `Target.started`; 0 if not stated.
        valid: whether the target that was meant responded. Others do so for
            it: one that has its address now, or a proxy.
    """

    name: str = ""
    started: int = 0
    valid: bool = True
