"""What is declared for a deployment, and what a client asks of it.

Durations are in seconds, sizes in bytes or tokens as named.
"""

from __future__ import annotations

import dataclasses
import enum

from endivepier.http1 import messages


class RouteKind(enum.Enum):
    """What kind of answer a route gives, and what may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path prefix go.

    Attributes:
        name: unique in the declaration.
        host: the `Host` that it belongs to, in lowercase.
        prefix: beginning of the paths, with a slash at both ends.
        kind: what may be repeated.
        backends: the services that serve it.
        timeout: longest time that a client is kept waiting.
        objective: latency within which an answer is in time.
        priority: 0 is the most urgent.
        most_targets: most targets that one request may be sent to.
        public: whether no key is needed.
        sticky: whether targets serve known objects faster.
        resumable: whether a stream may go on at another target.
        retained: whether turns are kept and continued by reference.
        retention: how long a turn is kept.
        gap: longest pause between two events that is still in time.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """What is known of the model engines of a service.

    Attributes:
        slots: requests that run at once.
        memory_tokens: KV cache of one engine.
        event_tokens: tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    event_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of targets that serve the same.

    Attributes:
        name: unique in the declaration.
        max_connections: what one target accepts from all callers together.
        engine: set for model engines.
    """

    name: str
    max_connections: int
    engine: Engine | None


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        name: what targets are told.
        keys: the keys that belong to it.
        priority: goes before the route's; None if not declared.
        rate: requests a second over all hosts; 0 for no limit.
        burst: requests beyond the rate.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Declaration:
    """A whole configuration, as the operator declared it."""

    revision: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: dict[str, Account]
    limits: messages.ClientLimits


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target as it registered itself.

    Attributes:
        name: of this start of the target; another start has another name.
        service: the service that it belongs to.
        address: "ip:port".
        data_centre: where it stands.
        slots: requests that it runs at once.
        draining: whether it takes no new work.
        started: when it started, in Unix milliseconds; 0 if not told.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    started: int

    @property
    def incarnation(self) -> str:
        """The name together with the start, unique over all time."""
        return f"{self.name}@{self.started}"


FIRST_TURN_PARTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A part of a prompt that requests may share."""

    name: str
    tokens: int


@dataclasses.dataclass(slots=True)
class Call:
    """A request of a client, decoded.

    Attributes:
        id: the client's name for this attempt.
        method: as sent.
        path: path and query, as sent.
        host: the `Host` it was sent to, in lowercase, without a port.
        headers: what is forwarded, without what the system sets itself.
        body: the content.
        received: when it was read whole, monotonic seconds.
        deadline: when the client stops waiting, monotonic seconds, or None.
        key: the client's key, or None.
        program: the program that it belongs to, or empty.
        session: the line of turns that it belongs to, or empty.
        program_deadline: when the program should be finished, or None.
        budget: tokens that the program may generate, or None.
        prompt_tokens: length of the prompt.
        max_tokens: most tokens that this turn may generate.
        parts: parts of the prompt, in order.
        previous: the turn that this one continues, or empty.
        last_event: last event that the client has, or None.
        affinity: object that it concerns, or empty.
    """

    id: str
    method: bytes
    path: bytes
    host: str
    headers: list[messages.Header]
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
    affinity: str = ""

    @property
    def may_begin_program(self) -> bool:
        """Whether it may be the first turn of its program.

        The prompt of a first turn is a shared part and one of its own. That
        of a later turn may be of two parts as well, the last one longer; the
        prompt of a sub-agent has more, and calls of tools have no budget.
        """
        return (
            bool(self.program)
            and self.budget is not None
            and not self.previous
            and len(self.parts) <= FIRST_TURN_PARTS
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """One send of a call to a target.

    Attributes:
        target: where it goes.
        account: name of the client account, or empty.
        seconds_left: how long the client still waits.
        body: what the target receives as body.
        last_event: event after which the stream shall go on, or None.
    """

    target: Target
    account: str
    seconds_left: float
    body: bytes
    last_event: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What an answer's head says about the call that it answers.

    Attributes:
        call: id of the call that it answers, or empty if it names none.
        sealed: whether it bears the target's signature.
        not_run: whether the target promises that the call has not run.
    """

    call: str
    sealed: bool
    not_run: bool
