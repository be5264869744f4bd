"""Checks a release note against a state and computes its changes."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
from typing import Any

from endivepier.configuration import changes as changes_lib
from endivepier.configuration import notes
from endivepier.configuration import state as state_lib

SHOWN_DIGEST_DIGITS = 12


def resolve(note: notes.Note, state: state_lib.State) -> changes_lib.Changes:
    """Returns the changes that a note makes to a state.

    Raises:
        notes.InvalidNote: the note doesn't fit the state; lists all faults.
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
                    faults.append(_already_exists(entry))
                object_class = changes_lib.SECTIONS[entry.section]
                put[entry.section].append(object_class(**entry.fields))
            case _ if old is None:
                faults.append(_not_found(entry))
            case notes.Verb.CHANGED:
                faults.extend(_immutable_field_faults(entry, old))
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
    faults.extend(_reference_faults(note, after))
    faults.extend(_still_referenced_faults(note, after))
    faults.extend(_last_operator_faults(note, state, after))
    if faults:
        raise notes.InvalidNote(tuple(faults))
    return changes


def display_name(section: str, name: str) -> str:
    """Returns an object's name for a message; digests are shortened."""
    return repr(name[:SHOWN_DIGEST_DIGITS] if section == "keys" else name)


def _already_exists(entry: notes.Entry) -> notes.Fault:
    name = display_name(entry.section, entry.name)
    return notes.Fault(
        entry.path,
        f"{name} already exists",
        f"move it to changed.{entry.section}, or choose another name",
    )


def _not_found(entry: notes.Entry) -> notes.Fault:
    name = display_name(entry.section, entry.name)
    fix = "remove it from the note"
    if entry.verb is notes.Verb.CHANGED:
        fix = f"move it to added.{entry.section}"
    return notes.Fault(
        entry.path, f"there is no {name} among the {entry.section}", fix
    )


def _immutable_field_faults(
    entry: notes.Entry, old: Any
) -> Iterator[notes.Fault]:
    """Yields a fault for each change of an immutable field."""
    immutable = {"keys": ("account", "role"), "pools": ("kind",)}
    for field in immutable.get(entry.section, ()):
        value = entry.fields.get(field, getattr(old, field))
        if value != getattr(old, field):
            yield notes.Fault(
                (*entry.path, field),
                f"the {field} can't change",
                "withdraw it and add another",
            )


def _reference_faults(
    note: notes.Note, after: state_lib.State
) -> Iterator[notes.Fault]:
    """Yields a fault for each reference to a missing or unfit object."""
    for entry in note.entries:
        item = getattr(after, entry.section).get(entry.name)
        if item is None or entry.verb is notes.Verb.WITHDRAWN:
            continue
        if isinstance(item, state_lib.Key):
            yield from _key_faults(entry, item, after)
            continue
        for field, section in notes.REFERENCES.get(entry.section, {}).items():
            name = getattr(item, field)
            referenced = getattr(after, section).get(name)
            if referenced is None:
                yield notes.Fault(
                    (*entry.path, field),
                    f"there is no {name!r} among the {section}",
                    f"add it to {section}, or name an existing one",
                )
            elif isinstance(referenced, state_lib.Pool):
                yield from _pool_kind_faults(entry, referenced)


def _key_faults(
    entry: notes.Entry, key: state_lib.Key, after: state_lib.State
) -> Iterator[notes.Fault]:
    path = (*entry.path, "account")
    match key.role:
        case state_lib.Role.OPERATOR if key.account:
            yield notes.Fault(
                path, "an operator's key has no account", "remove the account"
            )
        case state_lib.Role.CALLER if key.account not in after.accounts:
            yield notes.Fault(
                path,
                f"there is no account {key.account!r}",
                "add it to accounts, or name an existing one",
            )


def _pool_kind_faults(
    entry: notes.Entry, pool: state_lib.Pool
) -> Iterator[notes.Fault]:
    required_kind = {
        "models": state_lib.PoolKind.ENGINE,
        "routes": state_lib.PoolKind.SERVICE,
    }.get(entry.section)
    if required_kind is not None and pool.kind is not required_kind:
        yield notes.Fault(
            (*entry.path, "pool"),
            f"pool {pool.name!r} is of kind {pool.kind.value!r}",
            f"name a pool of kind {required_kind.value!r}",
        )


def _still_referenced_faults(
    note: notes.Note, after: state_lib.State
) -> Iterator[notes.Fault]:
    """Yields a fault for each withdrawn object that is still referenced."""
    for entry in note.entries:
        if entry.verb is not notes.Verb.WITHDRAWN:
            continue
        for section, references in notes.REFERENCES.items():
            for field, referenced_section in references.items():
                if referenced_section != entry.section:
                    continue
                referrers = [
                    display_name(section, name)
                    for name, item in getattr(after, section).items()
                    if getattr(item, field) == entry.name
                ]
                if referrers:
                    yield notes.Fault(
                        entry.path,
                        f"{entry.name!r} is still used by {section}",
                        f"withdraw these {section} as well: "
                        + ", ".join(referrers),
                    )


def _last_operator_faults(
    note: notes.Note, before: state_lib.State, after: state_lib.State
) -> Iterator[notes.Fault]:
    """Yields a fault for each withdrawn operator's key if none is left."""
    if _has_operator(after) or not _has_operator(before):
        return
    for entry in note.entries:
        old = before.keys.get(entry.name)
        if old is not None and old.role is state_lib.Role.OPERATOR:
            yield notes.Fault(
                entry.path,
                "it is the last operator's key",
                "add another operator's key in the same note; the "
                "bootstrap key can't be used again",
            )


def _has_operator(state: state_lib.State) -> bool:
    return any(
        key.role is state_lib.Role.OPERATOR for key in state.keys.values()
    )
