"""Release notes: what is added, changed and withdrawn."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import tomllib
from typing import Any

import pydantic

from endivepier import errors
from endivepier.configuration import state as state_lib

SECTIONS: Mapping[str, type[Any]] = {
    "accounts": state_lib.Account,
    "keys": state_lib.Key,
    "pools": state_lib.Pool,
    "targets": state_lib.Target,
    "models": state_lib.Model,
    "routes": state_lib.Route,
    "kinds": state_lib.Kind,
    "templates": state_lib.Template,
}
NAME_FIELDS: Mapping[str, str] = {"keys": "digest", "routes": "prefix"}


class _Changes(pydantic.BaseModel):
    """One table of a note: lists of objects by section."""

    model_config = pydantic.ConfigDict(extra="forbid")

    accounts: list[state_lib.Account] = []
    keys: list[state_lib.Key] = []
    pools: list[state_lib.Pool] = []
    targets: list[state_lib.Target] = []
    models: list[state_lib.Model] = []
    routes: list[state_lib.Route] = []
    kinds: list[state_lib.Kind] = []
    templates: list[state_lib.Template] = []


class _Withdrawals(pydantic.BaseModel):
    """The withdrawn table of a note: lists of names by section."""

    model_config = pydantic.ConfigDict(extra="forbid")

    accounts: list[str] = []
    keys: list[str] = []
    pools: list[str] = []
    targets: list[str] = []
    models: list[str] = []
    routes: list[str] = []
    kinds: list[str] = []
    templates: list[str] = []


class Note(pydantic.BaseModel):
    """A release note as its author wrote it."""

    model_config = pydantic.ConfigDict(extra="forbid")

    title: str = ""
    added: _Changes = _Changes()
    changed: _Changes = _Changes()
    withdrawn: _Withdrawals = _Withdrawals()


def parse(text: str) -> Note:
    """Returns the note that a TOML text spells.

    Raises:
        errors.Refused: `BAD_REQUEST`, with all faults.
    """
    try:
        return Note.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as exc:
        raise _refused([f"not TOML: {exc}"]) from None
    except pydantic.ValidationError as exc:
        faults = [
            f"{'.'.join(str(part) for part in fault['loc'])}: {fault['msg']}"
            for fault in exc.errors(include_url=False)
        ]
        raise _refused(faults) from None


def apply(note: Note, state: state_lib.State) -> state_lib.State:
    """Returns the state after a note, one revision later.

    Raises:
        errors.Refused: `BAD_REQUEST`, with all faults.
    """
    faults: list[str] = []
    maps: dict[str, dict[str, Any]] = {}
    for section in SECTIONS:
        maps[section] = dict(getattr(state, section))
        _apply_section(note, section, maps[section], faults)
    result = dataclasses.replace(state, revision=state.revision + 1, **maps)
    faults.extend(_dangling(result))
    if faults:
        raise _refused(faults)
    return result


def _apply_section(
    note: Note, section: str, objects: dict[str, Any], faults: list[str]
) -> None:
    field = NAME_FIELDS.get(section, "name")
    for item in getattr(note.added, section):
        name = getattr(item, field)
        if name in objects:
            faults.append(f"added.{section}: {name!r} is there; change it")
        objects[name] = item
    for item in getattr(note.changed, section):
        name = getattr(item, field)
        if name not in objects:
            faults.append(f"changed.{section}: there is no {name!r}; add it")
        objects[name] = item
    for name in getattr(note.withdrawn, section):
        if objects.pop(name, None) is None:
            faults.append(f"withdrawn.{section}: there is no {name!r}")


def _dangling(state: state_lib.State) -> list[str]:
    """Returns a fault for each reference to an object that is not there."""
    faults = []
    for key in state.keys.values():
        caller = key.role is state_lib.Role.CALLER
        if caller and key.account not in state.accounts:
            faults.append(f"keys: there is no account {key.account!r}")
    for section in ("targets", "models", "routes"):
        for item in getattr(state, section).values():
            if item.pool not in state.pools:
                faults.append(f"{section}: there is no pool {item.pool!r}")
    for template in state.templates.values():
        if template.model not in state.models:
            faults.append(f"templates: there is no model {template.model!r}")
    return faults


def _refused(faults: list[str]) -> errors.Refused:
    return errors.Refused(errors.Code.BAD_REQUEST, 400, "; ".join(faults))
