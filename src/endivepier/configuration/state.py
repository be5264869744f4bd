"""The configuration as of one revision, an immutable value."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import enum
from typing import Annotated

import pydantic

DEFAULT_SHARDS = 64
MAX_SHARDS = 999_999

# Pydantic checks these bounds wherever JSON or TOML is decoded: in release
# notes, in rows of the table and in messages from peers. References to other
# objects are only a `Label`: `checking.resolve` refuses those to a missing
# object, except for a template's kind, which may be unknown.
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
    """The permissions that a key grants."""

    CALLER = "caller"
    OPERATOR = "operator"


class PoolKind(enum.StrEnum):
    """The kind of targets in a pool."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        name: unique name.
        rate: admitted requests per second over the whole fleet.
        burst: size of the rate limit's token bucket, in requests.
        weight: share of the targets' capacity relative to other accounts.
    """

    name: Name
    rate: Positive
    burst: Burst
    weight: Positive = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """An API key, of which only the digest is stored.

    Attributes:
        digest: SHA-256 of the key in hex; also the object's unique name.
        account: the account whose requests it authenticates; empty for an
            operator's key.
        role: the permissions that it grants.
        label: description for people.
    """

    digest: Digest
    account: Label = ""
    role: Role = Role.CALLER
    label: Label = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A set of interchangeable targets.

    Attributes:
        name: unique name.
        kind: engines or services.
        shards: number of shards that its programs are divided into; used
            only for engines.
    """

    name: PoolName
    kind: PoolKind
    shards: Shards = DEFAULT_SHARDS


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target: a model engine or a plain service.

    Attributes:
        name: unique name; the platform's host list maps it to the sidecar
            that runs beside it.
        pool: the pool that it belongs to.
        checks_fence: whether it rejects requests with an outdated fencing
            number.
        tells_outcome: whether it supports status queries by idempotency key.
    """

    name: Name
    pool: Label
    checks_fence: bool = False
    tells_outcome: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that callers may name.

    Attributes:
        name: unique name, as callers write it in requests.
        pool: the pool whose engines run it.
        version: version of the weights.
        adapter: name of the adapter on top of the weights, or empty.
    """

    name: Name
    pool: Label
    version: Label = "1"
    adapter: Label = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Maps a path prefix to a pool of plain services.

    Attributes:
        prefix: unique prefix of the request path.
        pool: the pool that serves the requests.
        open: whether requests need no key.
        idempotent: whether a request may safely be repeated.
    """

    prefix: Prefix
    pool: Label
    open: bool = False
    idempotent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Attributes:
        name: unique name.
        weight: value of one completed request relative to other kinds.
    """

    name: Name
    weight: Positive = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Template:
    """Defaults for the programs that are created from it.

    Attributes:
        name: unique name.
        model: the model that the program calls.
        kind: the kind of the program's requests.
        tokens: budget of generated tokens.
        calls: budget of model calls.
        seconds: budget of wall time, in seconds.
    """

    name: Name
    model: Label
    kind: Label = "standard"
    tokens: Count = 20000
    calls: Count = 100
    seconds: Positive = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """A data centre whose targets get no calls until this is withdrawn.

    Attributes:
        data_centre: unique name of the data centre.
        reason: description for people.
    """

    data_centre: Name
    reason: Label = ""


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """The whole configuration as of one revision.

    The mappings are keyed by unique name and are never modified.

    Attributes:
        revision: number of release notes accepted so far.
        chain: digest of all changes up to this revision; two processes with
            the same chain have the same state.
        operators_began: whether an operator's key was ever granted. From
            then on the bootstrap key is invalid for good.
        accounts: the client accounts.
        keys: the keys, by digest.
        pools: the target pools.
        targets: the targets.
        models: the models and adapters.
        routes: the routes, by prefix.
        kinds: the kinds of requests.
        templates: the program templates.
        evacuations: the evacuated data centres.
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
    evacuations: Mapping[str, Evacuation] = dataclasses.field(
        default_factory=dict
    )

    def weight_of_kind(self, name: str) -> float:
        """Returns the weight of a kind of request; 1 if it is unknown."""
        kind = self.kinds.get(name)
        return 1.0 if kind is None else kind.weight

    def route_for(self, path: str) -> Route | None:
        """Returns the route with the longest prefix that matches `path`."""
        best: Route | None = None
        for route in self.routes.values():
            if not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best
