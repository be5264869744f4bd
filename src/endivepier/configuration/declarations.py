"""States as TOML: to keep in version control and to compare with the fleet.

Declarations are a release note that only adds. Applied to an empty fleet it
makes the state that it was written from.
"""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import enum
import json
import tomllib
from typing import Any

from endivepier.configuration import changes as changes_lib
from endivepier.configuration import checking
from endivepier.configuration import notes
from endivepier.configuration import state as state_lib


def written(state: state_lib.State) -> str:
    """Returns a state as the note that adds all of it."""
    lines = [f"# revision {state.revision}"]
    for section in changes_lib.SECTIONS:
        objects = getattr(state, section)
        for name in sorted(objects):
            values = _values(objects[name])
            lines.extend(_table(notes.Verb.ADDED, section, values))
    return "\n".join(lines) + "\n"


def declared(text: str) -> state_lib.State:
    """Returns the state that declarations describe.

    Raises:
        notes.InvalidNote: with all faults.
    """
    note = notes.parse(text)
    empty = state_lib.State()
    changes = checking.resolve(note, empty)
    return changes_lib.apply_changes(changes, empty)


def difference(old: state_lib.State, new: state_lib.State) -> str:
    """Returns the note that leads from one state to another; "" if none.

    The note is based on the revision of `old`.
    """
    lines: list[str] = []
    withdrawn: list[str] = []
    for section in changes_lib.SECTIONS:
        before = getattr(old, section)
        after = getattr(new, section)
        for name in sorted(after):
            lines.extend(_step(section, before.get(name), after[name]))
        gone = sorted(set(before) - set(after))
        if gone:
            withdrawn.append(f"{section} = {json.dumps(gone)}")
    if withdrawn:
        lines.extend(["", "[withdrawn]", *withdrawn])
    if not lines:
        return ""
    return "\n".join([f"based_on = {old.revision}", *lines]) + "\n"


def line_of(text: str, path: notes.Path) -> int:
    """Returns the number of the line where a path first stands; 1 if nowhere.

    `tomllib` tells no lines, so this looks for the shortest beginning of the
    text that is a document of its own and has the path.
    """
    lines = text.splitlines()
    if not path:
        return 1
    low, high = 1, len(lines)
    while low < high:
        middle = (low + high) // 2
        if _has(lines, middle, high, path):
            high = middle
        else:
            low = middle + 1
    return _within(lines, low, path)


def _has(lines: list[str], count: int, limit: int, path: notes.Path) -> bool:
    """Returns whether the first `count` lines hold the path.

    If they end within a value, the lines up to the end of that value count.
    """
    for end in range(count, limit + 1):
        try:
            value: Any = tomllib.loads("\n".join(lines[:end]))
        except tomllib.TOMLDecodeError:
            continue
        for part in path:
            try:
                value = value[part]
            except (KeyError, IndexError, TypeError):
                return False
        return True
    return True


def _within(lines: list[str], found: int, path: notes.Path) -> int:
    """Returns the line of a list's item if the list spans several lines."""
    try:
        value: Any = tomllib.loads("\n".join(lines[:found]))
        for part in path:
            value = value[part]
    except (tomllib.TOMLDecodeError, KeyError, IndexError, TypeError):
        # The value goes on after this line, which is where it starts.
        return _item_line(lines, found, path)
    return found


def _item_line(lines: list[str], found: int, path: notes.Path) -> int:
    try:
        value: Any = tomllib.loads("\n".join(lines))
        for part in path:
            value = value[part]
    except (tomllib.TOMLDecodeError, KeyError, IndexError, TypeError):
        return found
    for number in range(found, len(lines) + 1):
        if isinstance(value, str) and value in lines[number - 1]:
            return number
    return found


def _step(section: str, before: Any, after: Any) -> list[str]:
    """Returns the lines that add an object or change one."""
    if before == after:
        return []
    values = _values(after)
    if before is None:
        return _table(notes.Verb.ADDED, section, values)
    field = changes_lib.name_field(section)
    changed = {
        name: value
        for name, value in values.items()
        if name == field or value != getattr(before, name)
    }
    for name in set(_values(before)) - set(values):
        changed[name] = getattr(after, name)
    return _table(notes.Verb.CHANGED, section, changed)


def _values(item: Any) -> dict[str, Any]:
    """Returns the fields of an object that differ from the defaults."""
    return {
        field.name: getattr(item, field.name)
        for field in dataclasses.fields(item)
        if getattr(item, field.name) != field.default
    }


def _table(
    verb: notes.Verb, section: str, values: Mapping[str, Any]
) -> list[str]:
    lines = ["", f"[[{verb.value}.{section}]]"]
    lines.extend(f"{name} = {_toml(value)}" for name, value in values.items())
    return lines


def _toml(value: Any) -> str:
    """Returns a value of a field in TOML; JSON writes these alike."""
    if isinstance(value, enum.Enum):
        value = value.value
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")
