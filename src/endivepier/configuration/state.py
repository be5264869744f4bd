"""The configuration that is in force: one immutable value a revision."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import enum
from typing import Annotated

import pydantic

DEFAULT_SHARDS = 64
MAX_SHARDS = 999_999

# The bounds stand with the types, and are checked wherever JSON or TOML
# comes in: at release notes, rows of the table and messages of peers.
Name = Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:/@-]{0,99}$")
]
PoolName = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9-]{1,40}$")]
Digest = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
Prefix = Annotated[str, pydantic.Field(pattern=r"^/[^?#\s]{0,199}$")]
Label = Annotated[str, pydantic.Field(max_length=200)]
Positive = Annotated[float, pydantic.Field(gt=0, le=1e9, allow_inf_nan=False)]
Burst = Annotated[float, pydantic.Field(ge=1, le=1e9, allow_inf_nan=False)]
Count = Annotated[int, pydantic.Field(ge=0, le=10**12)]
Shards = Annotated[int, pydantic.Field(ge=1, le=MAX_SHARDS)]


class Role(enum.StrEnum):
    """What a key allows."""

    CALLER = "caller"
    OPERATOR = "operator"


class PoolKind(enum.StrEnum):
    """What the targets of a pool are."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        name: unique name.
        rate: requests a second over the whole fleet.
        burst: most requests at once.
        weight: share of the targets relative to other accounts.
    """

    name: Name
    rate: Positive
    burst: Burst
    weight: Positive = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A key of an account, without the key itself.

    Attributes:
        digest: SHA-256 of the key, in hex; its unique name, too.
        account: the account that it speaks for; empty for operators.
        role: what it allows.
        label: what people call it.
    """

    digest: Digest
    account: Label = ""
    role: Role = Role.CALLER
    label: Label = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A set of targets that can stand in for each other.

    Attributes:
        name: unique name.
        kind: engines or services.
        shards: into how many parts its programs are divided, for engines.
    """

    name: PoolName
    kind: PoolKind
    shards: Shards = DEFAULT_SHARDS


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target: a model engine or a plain service.

    Attributes:
        name: unique name; the host list says which sidecar is beside it.
        pool: the pool that it belongs to.
        checks_fence: whether it refuses orders with an old fencing number.
        tells_outcome: whether it answers status queries by idempotency key.
    """

    name: Name
    pool: Label
    checks_fence: bool = False
    tells_outcome: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that callers may name.

    Attributes:
        name: what callers write, unique.
        pool: the pool whose engines run it.
        version: version of the weights.
        adapter: adapter on top of the weights, or empty.
    """

    name: Name
    pool: Label
    version: Label = "1"
    adapter: Label = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A path to a pool of plain services.

    Attributes:
        prefix: what the path starts with, unique.
        pool: the pool that serves it.
        open: whether it needs no key.
        idempotent: whether calls may be repeated.
    """

    prefix: Prefix
    pool: Label
    open: bool = False
    idempotent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request, for fairness and for contracts.

    Attributes:
        name: unique name.
        weight: worth of one completed request.
    """

    name: Name
    weight: Positive = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Template:
    """Defaults for the programs that name it.

    Attributes:
        name: unique name.
        model: the model of its calls.
        kind: the kind of its requests.
        tokens: budget of generated tokens.
        calls: budget of calls.
        seconds: budget of wall time, in seconds.
    """

    name: Name
    model: Label
    kind: Label = "standard"
    tokens: Count = 20000
    calls: Count = 100
    seconds: Positive = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Everything that release notes declare, as of one revision.

    The maps are keyed by each object's unique name and are never changed.

    Attributes:
        revision: counts accepted release notes.
        chain: digest over all changes up to this revision; two processes
            with the same chain have the same state.
        operators_began: whether an operator's key was ever granted, which
            ends the bootstrap key for good.
        accounts: the client accounts.
        keys: the keys, by digest.
        pools: the target pools.
        targets: the targets.
        models: the models and adapters.
        routes: the routes, by prefix.
        kinds: the kinds of requests.
        templates: the templates of programs.
    """

    revision: int = 0
    chain: str = ""
    operators_began: bool = False
    accounts: Mapping[str, Account] = dataclasses.field(default_factory=dict)
    keys: Mapping[str, Key] = dataclasses.field(default_factory=dict)
    pools: Mapping[str, Pool] = dataclasses.field(default_factory=dict)
    targets: Mapping[str, Target] = dataclasses.field(default_factory=dict)
    models: Mapping[str, Model] = dataclasses.field(default_factory=dict)
    routes: Mapping[str, Route] = dataclasses.field(default_factory=dict)
    kinds: Mapping[str, Kind] = dataclasses.field(default_factory=dict)
    templates: Mapping[str, Template] = dataclasses.field(default_factory=dict)

    def weight_of_kind(self, name: str) -> float:
        """Returns the worth of one request of a kind; 1 if it is unknown."""
        kind = self.kinds.get(name)
        return 1.0 if kind is None else kind.weight

    def route_for(self, path: str) -> Route | None:
        """Returns the route with the longest prefix that `path` has."""
        best: Route | None = None
        for route in self.routes.values():
            if not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best
