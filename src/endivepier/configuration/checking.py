"""Checks a release note against a state and works out what it changes."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
from typing import Any

from endivepier.configuration import changes as changes_lib
from endivepier.configuration import notes
from endivepier.configuration import state as state_lib

DIGEST_DIGITS = 12


def resolve(note: notes.Note, state: state_lib.State) -> changes_lib.Changes:
    """Returns what a note changes in a state.

    Raises:
        notes.InvalidNote: with all faults.
    """
    put: dict[str, list[Any]] = {name: [] for name in changes_lib.SECTIONS}
    withdrawn: dict[str, list[str]] = {
        name: [] for name in changes_lib.SECTIONS
    }
    faults: list[notes.Fault] = []
    for entry in note.entries:
        objects = getattr(state, entry.section)
        old = objects.get(entry.name)
        match entry.verb:
            case notes.Verb.ADDED:
                if old is not None:
                    faults.append(_there(entry))
                kind = changes_lib.SECTIONS[entry.section]
                put[entry.section].append(kind(**entry.fields))
            case _ if old is None:
                faults.append(_absent(entry))
            case notes.Verb.CHANGED:
                faults.extend(_frozen(entry, old))
                put[entry.section].append(
                    dataclasses.replace(old, **entry.fields)
                )
            case notes.Verb.WITHDRAWN:
                withdrawn[entry.section].append(entry.name)
    changes = changes_lib.Changes(
        changes_lib.Objects(**{k: tuple(v) for k, v in put.items()}),
        changes_lib.Names(**{k: tuple(v) for k, v in withdrawn.items()}),
    )
    after = changes_lib.apply_changes(changes, state)
    faults.extend(_references(note, after))
    faults.extend(_users(note, after))
    faults.extend(_operators(note, state, after))
    if faults:
        raise notes.InvalidNote(tuple(faults))
    return changes


def shown(section: str, name: str) -> str:
    """Returns a name as people read it; digests are shortened."""
    return repr(name[:DIGEST_DIGITS] if section == "keys" else name)


def _there(entry: notes.Entry) -> notes.Fault:
    name = shown(entry.section, entry.name)
    return notes.Fault(
        entry.path,
        f"{name} is there already",
        f"move it to changed.{entry.section}, or take another name",
    )


def _absent(entry: notes.Entry) -> notes.Fault:
    name = shown(entry.section, entry.name)
    fix = "take it out of the note"
    if entry.verb is notes.Verb.CHANGED:
        fix = f"move it to added.{entry.section}"
    return notes.Fault(
        entry.path, f"there is no {name} among the {entry.section}", fix
    )


def _frozen(entry: notes.Entry, old: Any) -> Iterator[notes.Fault]:
    """Yields a fault for each field that can't change in place."""
    fixed = {"keys": ("account", "role"), "pools": ("kind",)}
    for field in fixed.get(entry.section, ()):
        value = entry.fields.get(field, getattr(old, field))
        if value != getattr(old, field):
            yield notes.Fault(
                (*entry.path, field),
                f"the {field} can't change",
                "withdraw it and add another",
            )


def _references(
    note: notes.Note, after: state_lib.State
) -> Iterator[notes.Fault]:
    """Yields a fault for each object of the note that names an absent one."""
    for entry in note.entries:
        item = getattr(after, entry.section).get(entry.name)
        if item is None or entry.verb is notes.Verb.WITHDRAWN:
            continue
        if isinstance(item, state_lib.Key):
            yield from _key_faults(entry, item, after)
            continue
        for field, section in notes.REFERENCES.get(entry.section, {}).items():
            name = getattr(item, field)
            other = getattr(after, section).get(name)
            if other is None:
                yield notes.Fault(
                    (*entry.path, field),
                    f"there is no {name!r} among the {section}",
                    f"add it to {section}, or name one that is there",
                )
            elif isinstance(other, state_lib.Pool):
                yield from _kind_faults(entry, other)


def _key_faults(
    entry: notes.Entry, key: state_lib.Key, after: state_lib.State
) -> Iterator[notes.Fault]:
    path = (*entry.path, "account")
    match key.role:
        case state_lib.Role.OPERATOR if key.account:
            yield notes.Fault(
                path, "an operator's key has no account", "leave account out"
            )
        case state_lib.Role.CALLER if key.account not in after.accounts:
            yield notes.Fault(
                path,
                f"there is no account {key.account!r}",
                "add it to accounts, or name one that is there",
            )


def _kind_faults(
    entry: notes.Entry, pool: state_lib.Pool
) -> Iterator[notes.Fault]:
    needed = {
        "models": state_lib.PoolKind.ENGINE,
        "routes": state_lib.PoolKind.SERVICE,
    }.get(entry.section)
    if needed is not None and pool.kind is not needed:
        yield notes.Fault(
            (*entry.path, "pool"),
            f"pool {pool.name!r} is of kind {pool.kind.value!r}",
            f"name a pool of kind {needed.value!r}",
        )


def _users(note: notes.Note, after: state_lib.State) -> Iterator[notes.Fault]:
    """Yields a fault for each withdrawn object that others still name."""
    for entry in note.entries:
        if entry.verb is not notes.Verb.WITHDRAWN:
            continue
        for section, references in notes.REFERENCES.items():
            for field, referred in references.items():
                if referred != entry.section:
                    continue
                users = [
                    shown(section, name)
                    for name, item in getattr(after, section).items()
                    if getattr(item, field) == entry.name
                ]
                if users:
                    yield notes.Fault(
                        entry.path,
                        f"{entry.name!r} still has {section}",
                        f"withdraw these {section} as well: "
                        + ", ".join(users),
                    )


def _operators(
    note: notes.Note, before: state_lib.State, after: state_lib.State
) -> Iterator[notes.Fault]:
    """Yields a fault if the note would leave no operator's key."""
    if _has_operator(after) or not _has_operator(before):
        return
    for entry in note.entries:
        old = before.keys.get(entry.name)
        if old is not None and old.role is state_lib.Role.OPERATOR:
            yield notes.Fault(
                entry.path,
                "it is the last operator's key",
                "grant another operator's key in the same note; the "
                "bootstrap key does not come back",
            )


def _has_operator(state: state_lib.State) -> bool:
    return any(
        key.role is state_lib.Role.OPERATOR for key in state.keys.values()
    )
