"""Parses release notes, the TOML documents that operators write.

All faults of a note are collected and reported together. An example:

title = "add a bank"
based_on = 41                  # optional: refuse unless this is the head

[[added.accounts]]
name = "bank-nine"
rate = 20.0
burst = 40.0

[[changed.accounts]]           # only the fields that change
name = "bank-one"
rate = 30.0

[withdrawn]
keys = ["<digest>"]
"""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import enum
import functools
import json
import tomllib
import typing
from typing import Any

import pydantic

from endivepier import errors
from endivepier.configuration import changes as changes_lib

MAX_NOTE_BYTES = 256 * 1024
MAX_TITLE_LENGTH = 200
MAX_SHOWN_FAULTS = 100
TOP_LEVEL_FIELDS = ("title", "based_on", "added", "changed", "withdrawn")
KEY_FIX = (
    "write the digest that `endivepier key new` prints, never the key itself"
)

Path = tuple[str | int, ...]


class Verb(enum.StrEnum):
    """What a note does to an object; also the name of the TOML table."""

    ADDED = "added"
    CHANGED = "changed"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault in a release note.

    Attributes:
        path: keys and list indices of the place in the TOML document; empty
            for the whole note.
        problem: description of the fault.
        fix: instruction that tells how to correct it.
    """

    path: Path
    problem: str
    fix: str

    def __str__(self) -> str:
        location = "".join(
            f"[{part}]" if isinstance(part, int) else f".{part}"
            for part in self.path
        )
        return f"{location[1:] or 'the note'}: {self.problem}; {self.fix}"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One object that a note adds, changes or withdraws.

    Attributes:
        verb: which of these the note does.
        section: the section of the state that the object belongs to.
        name: the object's unique name.
        path: place in the TOML document.
        fields: the validated field values that the note sets.
    """

    verb: Verb
    section: str
    name: str
    path: Path
    fields: Mapping[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """A release note whose syntax and values are valid.

    Whether it also fits a state is checked by `checking.resolve`.

    Attributes:
        title: short description for people.
        based_on: the revision that it must be applied to; None for any.
        entries: the objects that it names, ordered by verb, then by section.
    """

    title: str
    based_on: int | None
    entries: tuple[Entry, ...]


class InvalidNote(errors.Refused):
    """Raised for a note with faults. Correct them all, then apply it again.

    Attributes:
        faults: all faults that were found.
    """

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        shown = "\n".join(str(fault) for fault in faults[:MAX_SHOWN_FAULTS])
        super().__init__(errors.Code.BAD_REQUEST, 400, shown)
        self.faults = faults


def parse(text: str) -> Note:
    """Parses a release note from TOML.

    Raises:
        InvalidNote: the note has faults; lists all that can be found without
            knowing the state.
    """
    if len(text.encode()) > MAX_NOTE_BYTES:
        raise InvalidNote(
            (
                Fault(
                    (),
                    f"it is over {MAX_NOTE_BYTES} bytes",
                    "split it into several notes",
                ),
            )
        )
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise InvalidNote(
            (Fault((), f"not TOML: {exc}", "correct the syntax"),)
        ) from None
    return _Reader(document).note()


class _Reader:
    """Converts one TOML document to a note and collects its faults."""

    def __init__(self, document: Mapping[str, Any]) -> None:
        self._document = document
        self._faults: list[Fault] = []
        self._entries: list[Entry] = []

    def note(self) -> Note:
        """Returns the note, or raises `InvalidNote`."""
        self._reject_unknown_fields(
            self._document,
            (),
            TOP_LEVEL_FIELDS,
            "no such table or field",
        )
        for verb in Verb:
            self._read_table(verb)
        title = self._top_level_value(
            (), "title", self._document.get("title", "")
        )
        based_on = self._top_level_value(
            (), "based_on", self._document.get("based_on")
        )
        self._check_duplicates()
        self._check_withdrawn_references()
        if not self._entries and not self._faults:
            self._add_fault(
                (),
                "it changes nothing",
                "name an object to add, change or withdraw",
            )
        if self._faults:
            raise InvalidNote(tuple(self._faults))
        return Note(title, based_on, tuple(self._entries))

    def _read_table(self, verb: Verb) -> None:
        table = self._document.get(verb.value, {})
        path: Path = (verb.value,)
        if not isinstance(table, dict):
            self._add_fault(path, "it is not a table", f"write [{verb.value}]")
            return
        self._reject_unknown_fields(
            table, path, tuple(changes_lib.SECTIONS), "no such section"
        )
        for section in changes_lib.SECTIONS:
            items = table.get(section, [])
            if not isinstance(items, list):
                fix = f"write [[{verb.value}.{section}]]"
                if verb is Verb.WITHDRAWN:
                    fix = "write a list of names"
                self._add_fault((*path, section), "it is not a list", fix)
                continue
            for index, item in enumerate(items):
                self._read_item(verb, section, (*path, section, index), item)

    def _read_item(
        self, verb: Verb, section: str, path: Path, item: Any
    ) -> None:
        name_field = changes_lib.name_field(section)
        if verb is Verb.WITHDRAWN:
            item = {name_field: item}
        elif not isinstance(item, dict):
            self._add_fault(
                path, "it is not a table", f"write [[{verb}.{section}]]"
            )
            return
        known = _field_types(section)
        self._reject_unknown_fields(item, path, tuple(known), "no such field")
        values: dict[str, Any] = {}
        for name in known:
            if name in item:
                location = path if verb is Verb.WITHDRAWN else (*path, name)
                value = self._validated_field(
                    section, name, location, item[name]
                )
                if value is not None:
                    values[name] = value
        required = (
            {name_field}
            if verb is not Verb.ADDED
            else _required_fields(section)
        )
        for name in sorted(required - item.keys()):
            self._add_fault(path, f"{name!r} is missing", f"add {name} = ...")
        if verb is Verb.CHANGED and set(item) == {name_field}:
            self._add_fault(path, "it changes nothing", "give the new values")
        if name_field in values:
            name = values[name_field]
            self._entries.append(Entry(verb, section, name, path, values))

    def _validated_field(
        self, section: str, name: str, path: Path, value: Any
    ) -> Any:
        # In strict mode, pydantic accepts the value of an enum only from JSON.
        try:
            return _type_adapter(section, name).validate_json(
                json.dumps(value, default=str), strict=True
            )
        except pydantic.ValidationError as exc:
            message = exc.errors(include_url=False, include_input=False)[0]
            # The message never repeats a value of this section: the operator
            # may have written a key where its digest belongs.
            if section == "keys":
                self._add_fault(path, f"the {name} is invalid", KEY_FIX)
            else:
                self._add_fault(path, f"{value!r} is invalid", message["msg"])
            return None

    def _top_level_value(self, path: Path, name: str, value: Any) -> Any:
        """Validates a top-level field and returns its value."""
        match name:
            case "title":
                valid = (
                    isinstance(value, str) and len(value) <= MAX_TITLE_LENGTH
                )
                fix = f"write a string of at most {MAX_TITLE_LENGTH} characters"
            case _:
                number = isinstance(value, int) and not isinstance(value, bool)
                valid = value is None or (number and value >= 0)
                fix = "write a revision number"
        if not valid:
            self._add_fault((*path, name), f"{value!r} is invalid", fix)
        return value

    def _reject_unknown_fields(
        self,
        table: Mapping[str, Any],
        path: Path,
        known: tuple[str, ...],
        problem: str,
    ) -> None:
        for name in table:
            if name not in known:
                fix = "use one of " + ", ".join(known)
                self._add_fault((*path, name), f"{problem}: {name!r}", fix)

    def _check_duplicates(self) -> None:
        seen: dict[tuple[str, str], Path] = {}
        for entry in self._entries:
            key = (entry.section, entry.name)
            if key in seen:
                # Formats the path: without texts, a fault ends in ": ; ".
                first = Fault(seen[key], "", "")
                self._add_fault(
                    entry.path,
                    f"{entry.name!r} is also at {str(first)[:-4]}",
                    "name each object once in a note",
                )
            seen.setdefault(key, entry.path)

    def _check_withdrawn_references(self) -> None:
        """Adds a fault for each reference to an object the note withdraws."""
        withdrawn = {
            (entry.section, entry.name)
            for entry in self._entries
            if entry.verb is Verb.WITHDRAWN
        }
        for entry in self._entries:
            for field, section in REFERENCES.get(entry.section, {}).items():
                name = entry.fields.get(field)
                if (
                    entry.verb is not Verb.WITHDRAWN
                    and (section, name) in withdrawn
                ):
                    self._add_fault(
                        (*entry.path, field),
                        f"the note withdraws {name!r}",
                        f"name one of the {section} that remain",
                    )

    def _add_fault(self, path: Path, problem: str, fix: str) -> None:
        self._faults.append(Fault(path, problem, fix))


# Fields that refer to an object of another section, by section.
REFERENCES: Mapping[str, Mapping[str, str]] = {
    "keys": {"account": "accounts"},
    "targets": {"pool": "pools"},
    "models": {"pool": "pools"},
    "routes": {"pool": "pools"},
    "templates": {"model": "models"},
}


@functools.cache
def _field_types(section: str) -> Mapping[str, Any]:
    object_class = changes_lib.SECTIONS[section]
    return typing.get_type_hints(object_class, include_extras=True)


@functools.cache
def _required_fields(section: str) -> frozenset[str]:
    return frozenset(
        field.name
        for field in dataclasses.fields(changes_lib.SECTIONS[section])
        if field.default is dataclasses.MISSING
    )


@functools.cache
def _type_adapter(section: str, name: str) -> pydantic.TypeAdapter[Any]:
    return pydantic.TypeAdapter(_field_types(section)[name])
