"""Converts states to TOML declarations and back, and compares states.

Declarations are a release note that only adds objects. Applied to an empty
state, it yields the state that it was generated from. Operators keep
declarations in version control and compare them with the state in force.
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


def to_toml(state: state_lib.State) -> str:
    """Returns the note that adds all objects of a state."""
    lines = [f"# revision {state.revision}"]
    for section in changes_lib.SECTIONS:
        objects = getattr(state, section)
        for name in sorted(objects):
            values = _explicit_values(objects[name])
            lines.extend(_table_lines(notes.Verb.ADDED, section, values))
    return "\n".join(lines) + "\n"


def from_toml(text: str) -> state_lib.State:
    """Returns the state that declarations describe.

    Raises:
        notes.InvalidNote: the declarations have faults; lists all of them.
    """
    note = notes.parse(text)
    empty = state_lib.State()
    changes = checking.resolve(note, empty)
    return changes_lib.apply_changes(changes, empty)


def difference(old: state_lib.State, new: state_lib.State) -> str:
    """Returns the note that turns one state into another.

    The note is based on the revision of `old`. It is empty if the states have
    the same objects.
    """
    lines: list[str] = []
    withdrawn: list[str] = []
    for section in changes_lib.SECTIONS:
        before = getattr(old, section)
        after = getattr(new, section)
        for name in sorted(after):
            lines.extend(_object_lines(section, before.get(name), after[name]))
        removed = sorted(set(before) - set(after))
        if removed:
            withdrawn.append(f"{section} = {json.dumps(removed)}")
    if withdrawn:
        lines.extend(["", "[withdrawn]", *withdrawn])
    if not lines:
        return ""
    return "\n".join([f"based_on = {old.revision}", *lines]) + "\n"


def line_of(text: str, path: notes.Path) -> int:
    """Returns the number of the first line that holds a path's value.

    `tomllib` doesn't report line numbers, so this searches by bisection for
    the fewest leading lines that are a valid document with the path.

    Args:
        text: a TOML document.
        path: keys and list indices; the result is 1 if it is empty.
    """
    lines = text.splitlines()
    if not path:
        return 1
    low, high = 1, len(lines)
    while low < high:
        mid = (low + high) // 2
        if _prefix_has_path(lines, mid, high, path):
            high = mid
        else:
            low = mid + 1
    return _line_of_item(lines, low, path)


def _prefix_has_path(
    lines: list[str], count: int, limit: int, path: notes.Path
) -> bool:
    """Returns whether the first `count` lines contain the path.

    If they end within a multi-line value, the following lines up to the end
    of that value are included.
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


def _line_of_item(lines: list[str], start_line: int, path: notes.Path) -> int:
    """Returns the line of an item, which may be later than `start_line`.

    A list that spans several lines parses only as a whole, so the bisection
    stops at its first line.
    """
    try:
        value: Any = tomllib.loads("\n".join(lines[:start_line]))
        for part in path:
            value = value[part]
    except (tomllib.TOMLDecodeError, KeyError, IndexError, TypeError):
        # The value starts on this line and continues on the next ones.
        return _search_item_line(lines, start_line, path)
    return start_line


def _search_item_line(
    lines: list[str], start_line: int, path: notes.Path
) -> int:
    """Returns the first line from `start_line` on with the path's string.

    Returns `start_line` if the path's value is not a string.
    """
    try:
        value: Any = tomllib.loads("\n".join(lines))
        for part in path:
            value = value[part]
    except (tomllib.TOMLDecodeError, KeyError, IndexError, TypeError):
        return start_line
    for number in range(start_line, len(lines) + 1):
        if isinstance(value, str) and value in lines[number - 1]:
            return number
    return start_line


def _object_lines(section: str, before: Any, after: Any) -> list[str]:
    """Returns the lines that add or change an object; none if it is equal."""
    if before == after:
        return []
    values = _explicit_values(after)
    if before is None:
        return _table_lines(notes.Verb.ADDED, section, values)
    field = changes_lib.name_field(section)
    changed = {
        name: value
        for name, value in values.items()
        if name == field or value != getattr(before, name)
    }
    # A field that returns to its default must be written out.
    for name in set(_explicit_values(before)) - set(values):
        changed[name] = getattr(after, name)
    return _table_lines(notes.Verb.CHANGED, section, changed)


def _explicit_values(item: Any) -> dict[str, Any]:
    """Returns the fields of an object whose values differ from the defaults."""
    return {
        field.name: getattr(item, field.name)
        for field in dataclasses.fields(item)
        if getattr(item, field.name) != field.default
    }


def _table_lines(
    verb: notes.Verb, section: str, values: Mapping[str, Any]
) -> list[str]:
    lines = ["", f"[[{verb.value}.{section}]]"]
    lines.extend(
        f"{name} = {_toml_value(value)}" for name, value in values.items()
    )
    return lines


def _toml_value(value: Any) -> str:
    """Returns a field's value in TOML.

    JSON and TOML write strings, numbers and booleans alike, except that TOML
    requires an escape for the DEL character.
    """
    if isinstance(value, enum.Enum):
        value = value.value
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")
