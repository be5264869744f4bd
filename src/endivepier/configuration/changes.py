"""Changes made by release notes: the deltas between revisions."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import hashlib
from typing import Any

from endivepier.configuration import state as state_lib
from endivepier.internal import codec

CHAIN_HEX_DIGITS = 32

# The class of the objects in each section of a state.
SECTIONS: Mapping[str, type[Any]] = {
    "accounts": state_lib.Account,
    "keys": state_lib.Key,
    "pools": state_lib.Pool,
    "targets": state_lib.Target,
    "models": state_lib.Model,
    "routes": state_lib.Route,
    "kinds": state_lib.Kind,
    "templates": state_lib.Template,
    "evacuations": state_lib.Evacuation,
}
# Fields that hold an object's unique name, where that is not `name`.
NAME_FIELDS: Mapping[str, str] = {
    "keys": "digest",
    "routes": "prefix",
    "evacuations": "data_centre",
}
# As a delta without evacuations encodes them, in `put` and in `withdrawn`.
NO_EVACUATIONS = b',"evacuations":[]'


def name_field(section: str) -> str:
    """Returns the field that holds the unique name of a section's objects."""
    return NAME_FIELDS.get(section, "name")


def name_of(section: str, item: Any) -> str:
    """Returns the unique name of an object of a section."""
    return str(getattr(item, name_field(section)))


@dataclasses.dataclass(frozen=True, slots=True)
class Objects:
    """Objects by section, in the order of the release note."""

    accounts: tuple[state_lib.Account, ...] = ()
    keys: tuple[state_lib.Key, ...] = ()
    pools: tuple[state_lib.Pool, ...] = ()
    targets: tuple[state_lib.Target, ...] = ()
    models: tuple[state_lib.Model, ...] = ()
    routes: tuple[state_lib.Route, ...] = ()
    kinds: tuple[state_lib.Kind, ...] = ()
    templates: tuple[state_lib.Template, ...] = ()
    evacuations: tuple[state_lib.Evacuation, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Names:
    """Names of objects by section."""

    accounts: tuple[str, ...] = ()
    keys: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    routes: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    templates: tuple[str, ...] = ()
    evacuations: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The changes that a release note makes to a state.

    Attributes:
        put: the added and changed objects, with their new values.
        withdrawn: names of the removed objects.
    """

    put: Objects
    withdrawn: Names


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """The difference between one revision and the next.

    Attributes:
        revision: the revision that results from it.
        change_id: the operator's idempotency key for the release note.
        parent: chain digest of the state that it applies to.
        title: the note's title.
        accepted: Unix time of the acceptance, in seconds.
        changes: added, changed and withdrawn objects.
    """

    revision: int
    change_id: str
    parent: str
    title: str
    accepted: float
    changes: Changes


def follows(delta: Delta, state: state_lib.State) -> bool:
    """Returns whether `delta` applies directly to `state`."""
    return (delta.revision, delta.parent) == (state.revision + 1, state.chain)


def apply_delta(delta: Delta, state: state_lib.State) -> state_lib.State:
    """Returns the state that results from a delta.

    Raises:
        ValueError: the delta doesn't apply directly to the state.
    """
    if not follows(delta, state):
        raise ValueError(
            f"delta {delta.revision} does not follow revision {state.revision}"
        )
    result = apply_changes(delta.changes, state)
    return dataclasses.replace(
        result, revision=delta.revision, chain=_chain(delta)
    )


def apply_changes(changes: Changes, state: state_lib.State) -> state_lib.State:
    """Returns the state with the changes made, at the same revision."""
    maps: dict[str, Any] = {}
    for section in SECTIONS:
        put = getattr(changes.put, section)
        withdrawn = getattr(changes.withdrawn, section)
        if not put and not withdrawn:
            continue
        objects = dict(getattr(state, section))
        for item in put:
            objects[name_of(section, item)] = item
        for name in withdrawn:
            objects.pop(name, None)
        maps[section] = objects
    operators_began = state.operators_began or any(
        key.role is state_lib.Role.OPERATOR for key in changes.put.keys
    )
    return dataclasses.replace(state, operators_began=operators_began, **maps)


def _chain(delta: Delta) -> str:
    """Returns a digest of a delta and, through its parent, all earlier ones.

    Former builds encode a delta without the section of evacuations. Where it is
    empty it is left out, so that all builds compute the same digests.
    """
    encoded = codec.encode(delta).replace(NO_EVACUATIONS, b"")
    return hashlib.sha256(encoded).hexdigest()[:CHAIN_HEX_DIGITS]
